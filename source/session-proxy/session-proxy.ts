import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {CustomerDirectory} from '../customers/customer-directory.js';
import {type Logger} from '../observability/logger.js';
import {uniqueId} from '../random/random.js';
import {type BackendReachability, type PrimaryReport} from '../registry/messages.js';
import {type Route, type RoutingTable} from '../routing-table/types.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {type ReplicationStatusParser} from '../statement/replication-status.js';
import {type ConnectionPlacement} from './connection-placement.js';
import {type RequestLog} from './request-log.js';
import {type MemberPool} from './member-pool.js';
import {type ReadPlacement} from './read-placement.js';
import {ServiceClient} from './service-client.js';
import {type CallerIdentity, type SessionDependencies} from './session-context.js';
import {StatementSession} from './statement-session.js';

/** Dependencies and limits of a session proxy. */
export type SessionProxyOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly requestLog: RequestLog;
	readonly directory: BackendDirectory;
	readonly connector: MemberConnector;
	readonly statusParser: ReplicationStatusParser;
	readonly dataCentre: string;
	/** Returns the maximum number of connections from this instance to a member. */
	readonly maximumConnections: (server: BackendServer) => number;
	/** See `SessionDependencies.admitOperation`. */
	readonly admitOperation?: SessionDependencies['admitOperation'];
	/** Returns the placement of the connections to a member; by default, the connector opens all of them alike. */
	readonly connectionPlacement?: (server: BackendServer) => ConnectionPlacement;
};

/** Why a session was not opened. */
export type SessionRefusal = 'notReady' | 'unknownDatabase' | 'notAuthorized';

/** Time for which a new session waits for the first routing table; shorter than the time after which callers give up. */
const initialRoutingTableTimeout: Milliseconds = 1500;

/** Interval at which members without recent announcements are removed. */
const refreshPeriod: Milliseconds = 1000;

/** Interval at which failing members are probed. */
const probePeriod: Milliseconds = 300;

/** Opens sessions for callers, routes their statements by the routing table and keeps one client per service. */
export class SessionProxy extends Controller {
	#table: RoutingTable | undefined;
	#routes = new Map<string, Route>();
	#customers = new CustomerDirectory({});
	/** Open sessions. */
	readonly #sessions = new Set<StatementSession>();
	readonly #clients = new Map<string, ServiceClient>();
	readonly #tableWaiters = new Set<() => void>();
	#cancelRefresh: Cancel | undefined;
	#cancelProbe: Cancel | undefined;

	constructor(private readonly options: SessionProxyOptions) {
		super();
	}

	/** Current routing table, if one has arrived. */
	get table(): RoutingTable | undefined {
		return this.#table;
	}

	/** Number of open sessions. */
	get sessionCount(): number {
		return this.#sessions.size;
	}

	override start(): void {
		this.options.directory.onChange(server => {
			this.#clients.get(server.service)?.refresh();
		});
		this.#cancelProbe = this.options.clock.repeat(probePeriod, () => {
			for (const client of this.#clients.values()) {
				client.probeFailingMembers();
			}
		});
		this.#cancelRefresh = this.options.clock.repeat(refreshPeriod, () => {
			this.options.directory.prune();
			for (const client of this.#clients.values()) {
				client.refresh();
			}
		});
	}

	override stop(): void {
		this.#cancelRefresh?.();
		this.#cancelProbe?.();
	}

	/** Replaces the routing table, and rolls back the open transactions of customers whose keys were revoked or moved. */
	replaceRoutingTable(table: RoutingTable): void {
		this.#table = table;
		this.#routes = new Map(table.routes.map(route => [route.database, route]));
		this.#customers = new CustomerDirectory(table);
		for (const session of this.#sessions) {
			session.checkCustomer();
		}

		for (const {name} of table.services) {
			this.#getOrCreateClient(name);
		}

		for (const resolve of this.#tableWaiters) {
			resolve();
		}

		this.#tableWaiters.clear();
	}

	/** Applies reports about primaries that a control instance sent. `askedAt` is the time at which this instance requested them. */
	applyPrimaryReports(reports: readonly PrimaryReport[], askedAt: Milliseconds): void {
		for (const report of reports) {
			this.#clients.get(report.service)?.applyPrimaryReport(report, askedAt);
		}
	}

	/** Returns the connection pool of a member, or undefined if it is unknown. */
	poolOf(service: string, member: string): MemberPool | undefined {
		return this.#clients.get(service)?.poolOf(member);
	}

	/** Placements of reads of all services. */
	get placements(): readonly ReadPlacement[] {
		return [...this.#clients.values()].map(({placement}) => placement);
	}

	/** Number of statements that were prepared on connections to members since the start of the process. */
	get preparedCount(): number {
		return [...this.#clients.values()].reduce((sum, {preparationLog}) => sum + preparationLog.preparedCount, 0);
	}

	/** Returns the reachability of each member of all services from this instance. */
	memberReachability(): readonly BackendReachability[] {
		return [...this.#clients.values()].flatMap(client => client.memberReachability());
	}

	/** Opens a session. Resolves with the reason if it is refused: no route exists for the database, the route needs an API key and the caller's is not known, or no routing table arrived in time. */
	async open(caller: CallerIdentity): Promise<StatementSession | SessionRefusal> {
		if (!this.#table) {
			await this.#waitForRoutingTable();
		}

		if (!this.#table) {
			return 'notReady';
		}

		const route = this.#routes.get(caller.database);
		if (!route) {
			return 'unknownDatabase';
		}

		if (!this.#customers.authorize(caller.keyDigest, route).isAuthorized) {
			return 'notAuthorized';
		}

		const session = new StatementSession(uniqueId(), caller, {
			clock: this.options.clock,
			dataCentre: this.options.dataCentre,
			requestLog: this.options.requestLog,
			table: () => this.#table,
			route: name => this.#routes.get(name),
			client: service => this.#getOrCreateClient(service),
			customers: () => this.#customers,
			admitOperation: this.options.admitOperation,
		}, closed => {
			this.#sessions.delete(closed);
		});
		this.#sessions.add(session);
		return session;
	}

	async #waitForRoutingTable(): Promise<void> {
		return new Promise(resolve => {
			const cancel = this.options.clock.schedule(initialRoutingTableTimeout, () => {
				this.#tableWaiters.delete(arrived);
				resolve();
			});
			const arrived = (): void => {
				cancel();
				resolve();
			};

			this.#tableWaiters.add(arrived);
		});
	}

	#getOrCreateClient(service: string): ServiceClient {
		let client = this.#clients.get(service);
		if (!client) {
			const {clock, logger, directory, connector, statusParser, dataCentre, maximumConnections, connectionPlacement} = this.options;
			client = new ServiceClient({
				service,
				clock,
				logger,
				directory,
				connector,
				statusParser,
				dataCentre,
				maximumConnections,
				connectionPlacement,
			});
			this.#clients.set(service, client);
		}

		return client;
	}
}
