import {BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendAnnouncement, type BackendServer} from '../backend-directory/types.js';
import {ManualClock} from '../clock/manual-clock.js';
import {digestKey} from '../customers/key-digest.js';
import {type Customer} from '../customers/types.js';
import {type OperationAdmission} from '../rate-limit/messages.js';
import {silentLogger} from '../observability/logger.js';
import {type Consistency, type Route} from '../routing-table/types.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {type SessionStatement, type StatementReply} from '../statement/types.js';
import {type ConnectionPlacement} from './connection-placement.js';
import {FakeMemberConnector, FakeMemberServer, FakeReplicationStatusParser} from './member-server-fake.js';
import {type ExplainedRequest} from './explained-request.js';
import {RequestLog, type RequestDecision} from './request-log.js';
import {SessionProxy} from './session-proxy.js';
import {type StatementSession} from './statement-session.js';

/** Returns an announcement of a replica for tests. */
export function testAnnouncement(id: string, changes: Partial<BackendAnnouncement> = {}): BackendAnnouncement {
	return {
		id, service: 'ledger', address: `${id}:1`, dataCentre: 'here', slots: 3, isLeaving: false, role: 'replica', startedAt: 1, sequence: 1, ...changes,
	};
}

class RecordingRequestLog extends RequestLog {
	readonly decisions: RequestDecision[] = [];
	readonly explained: ExplainedRequest[] = [];

	override record(decision: RequestDecision): void {
		this.decisions.push(decision);
	}

	override explain(request: ExplainedRequest): void {
		this.explained.push(request);
	}
}

/** Session proxy with an in-memory primary and two replicas. */
export class SessionFixture {
	readonly log = new RecordingRequestLog();
	readonly directory: BackendDirectory;
	readonly members: readonly FakeMemberServer[];
	readonly proxy: SessionProxy;

	/** Maximum number of connections to each member. */
	maximumConnections = 28;
	/** Names of the customers for whose operations the limiter was asked. */
	readonly askedCustomers: string[] = [];
	/** Answers of the limiter to the next operations; all others are admitted. */
	readonly admissions: Array<OperationAdmission | Promise<OperationAdmission>> = [];
	readonly #consistency: Consistency;
	#version = 1;

	/** Several proxies may share a clock and the connector of other members than the fake ones. */
	constructor(consistency: Consistency = 'readYourWrites', connector?: MemberConnector, readonly clock = new ManualClock(), connectionPlacement?: (server: BackendServer) => ConnectionPlacement) {
		this.#consistency = consistency;
		this.directory = new BackendDirectory(clock);
		this.members = ['a', 'b', 'c'].map(id => new FakeMemberServer({...testAnnouncement(id, {role: id === 'a' ? 'primary' : 'replica'}), isGone: false}));
		this.primary.role = 'primary';
		for (const {server} of this.members) {
			this.directory.applyAnnouncement(server);
		}

		this.proxy = new SessionProxy({
			clock: this.clock,
			logger: silentLogger,
			requestLog: this.log,
			directory: this.directory,
			connector: connector ?? new FakeMemberConnector(this.members),
			statusParser: new FakeReplicationStatusParser(),
			dataCentre: 'here',
			maximumConnections: () => this.maximumConnections,
			connectionPlacement,
			admitOperation: async ({name}) => {
				this.askedCustomers.push(name);
				return this.admissions.shift() ?? {admitted: true};
			},
		});
		this.#replaceRoutingTable({});
	}

	/** First member, which starts as the primary. */
	get primary(): FakeMemberServer {
		return this.members[0];
	}

	/** Returns the statements of a kind that members received, with the member and the transaction state of the connection. */
	received(kind: string): ReadonlyArray<{readonly member: string; readonly transaction: string}> {
		return this.members.flatMap(member => member.received.filter(({statement}) => statement.kind === kind)
			.map(({transaction}) => ({member: member.server.id, transaction})));
	}

	/** Opens a session on the test database with an API key. */
	async open(key = 'any'): Promise<StatementSession> {
		const session = await this.proxy.open({database: 'db', keyDigest: digestKey(key)});
		if (typeof session === 'string') {
			throw new TypeError(`the session was not opened: ${session}`);
		}

		return session;
	}

	/** Executes a statement and advances the clock until it is answered, for at most the duration in milliseconds. */
	async run(session: StatementSession, statement: SessionStatement, duration = 2000): Promise<StatementReply> {
		const replies: StatementReply[] = [];
		void session.execute(statement).then(reply => {
			replies.push(reply);
		});
		for (let passed = 0; replies.length === 0 && passed < duration; passed += 5) {
			await this.advance(5);
		}

		if (replies.length === 0) {
			throw new Error(`no answer within ${duration} ms`);
		}

		return replies[0];
	}

	/** Puts a routing table with the customers and their keys in force, or one without customers. */
	configureCustomers(keysByName: Readonly<Record<string, readonly string[]>> | undefined, changes: Partial<Route> = {}): void {
		const customers = keysByName && Object.entries(keysByName).map(([name, keys]): Customer => ({
			name, keyDigests: keys.map(key => digestKey(key)), priority: 0, rateLimit: undefined,
		}));
		this.#replaceRoutingTable(changes, customers);
	}

	/** Advances the clock by the duration in milliseconds. */
	async advance(duration: number): Promise<void> {
		await this.clock.advanceInSteps(duration, 5);
	}

	#replaceRoutingTable(changes: Partial<Route>, customers?: readonly Customer[]): void {
		this.proxy.replaceRoutingTable({
			version: this.#version++,
			routes: [{...routeOf(this.#consistency), ...changes}],
			services: [{name: 'ledger', connectionLimit: 20, synchronousReplicas: 0}],
			idleTransactionLimit: 3000,
			...(customers && {customers}),
		});
	}
}

function routeOf(consistency: Consistency): Route {
	return {
		name: 'route', database: 'db', pathPrefix: '/', service: 'ledger', consistency, statementTimeout: 800, latencyTarget: 400, priority: 1,
		maximumStaleness: consistency === 'primary' ? 0 : 1500,
	};
}
