import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {type Consistency} from '../routing-table/types.js';
import {type MemberConnection, MemberConnector, type MemberTarget} from '../statement/member-connection.js';
import {FakeMemberConnector, type FakeMemberServer, type ReceivedStatement} from '../session-proxy/member-server-fake.js';
import {MemberPool} from '../session-proxy/member-pool.js';
import {SessionFixture} from '../session-proxy/session-fixture.js';
import {type MemberStatement} from '../statement/types.js';
import {type ConnectionAllocation} from './connection-allocation.js';
import {InMemoryLinks, type InMemoryLinkServer} from './in-memory-links-fixture.js';
import {type RelayStatementRequest} from './messages.js';
import {RelayServer} from './relay-server.js';
import {RelayingConnector} from './relaying-connector.js';

const allocation: ConnectionAllocation = {connectionsPerEntry: 4, gatewaysPerDataCentre: undefined, gatewaysNearMember: 2};

const entries: readonly EntryRecord[] = [
	{name: 'gateway-1', address: 'gateway-1:1', dataCentre: 'here'},
	{name: 'gateway-2', address: 'gateway-2:1', dataCentre: 'here'},
	{name: 'requester', address: 'requester:1', dataCentre: 'there'},
];

/** Connects to the members, which exist only after the connector. */
class DirectConnector extends MemberConnector {
	#connector: FakeMemberConnector | undefined;

	constructor(private readonly members: readonly FakeMemberServer[]) {
		super();
	}

	override async connect(target: MemberTarget): Promise<MemberConnection> {
		this.#connector ??= new FakeMemberConnector(this.members);
		return this.#connector.connect(target);
	}
}

/** Sessions at an entry of a deployment with gateways near the members: two gateways in the data centre of the members, and an entry in another one. */
export class NearMemberFixture {
	readonly clock = new ManualClock();
	readonly links = new InMemoryLinks();
	/** Sessions at the entry, and the members. */
	readonly sessions: SessionFixture;
	/** Relay servers of the gateways, by name. */
	readonly relayServers = new Map<string, RelayServer>();
	/** Pools of the gateways, by the name of the gateway and the id of the member. */
	readonly gatewayPools = new Map<string, MemberPool>();
	/** Names of the gateways that run an earlier build, which states no support for anything, ignores the fields that it does not know, and names prepared statements by their definitions. */
	readonly earlierBuilds = new Set<string>();

	/** The sessions are at the entry with the name. */
	constructor(name: 'gateway-1' | 'requester' = 'requester', consistency: Consistency = 'primary') {
		const members: FakeMemberServer[] = [];
		const direct = new DirectConnector(members);
		const connector = this.#createConnector(name, direct);
		this.sessions = new SessionFixture(consistency, connector, this.clock, server => connector.placementOf(server));
		members.push(...this.sessions.members);
		for (const {name: gateway, address} of entries.slice(0, 2)) {
			const gatewayConnector = this.#createConnector(gateway, direct);
			for (const {server} of members) {
				this.gatewayPools.set(`${gateway} ${server.id}`, new MemberPool(server, {
					connector: gatewayConnector, clock: this.clock, logger: silentLogger, maximumConnections: () => 4, placement: gatewayConnector.placementOf(server),
				}));
			}

			const relayServer = new RelayServer({
				clock: this.clock,
				logger: silentLogger,
				linkServer: this.#linkServerOf(gateway, address),
				poolOf: (_, member) => this.gatewayPools.get(`${gateway} ${member}`),
			});
			relayServer.start();
			this.relayServers.set(gateway, relayServer);
		}
	}

	/** Member that is the primary at the start. */
	get primary(): FakeMemberServer {
		return this.sessions.primary;
	}

	/** Makes another member the primary of the next term. */
	promote(member: FakeMemberServer): void {
		for (const other of this.sessions.members) {
			other.role = other === member ? 'primary' : 'replica';
		}

		member.point = {term: 2, position: member.point.position + 1};
	}

	/** Statements that were relayed since the index. */
	relayedSince(index: number): readonly RelayStatementRequest[] {
		return this.links.requests.slice(index).filter(({name}) => name === 'relayStatement').map(({body}) => body as RelayStatementRequest);
	}

	/** Statements that read data and were received by any member. */
	get receivedReads(): ReadonlyArray<ReceivedStatement & {readonly member: string}> {
		return this.sessions.members.flatMap(({server, received}) => received.filter(({statement}) => statement.kind === 'read' || statement.kind === 'execute')
			.map(statement => ({...statement, member: server.id})));
	}

	#createConnector(name: string, direct: MemberConnector): RelayingConnector {
		return new RelayingConnector({
			name,
			clock: this.clock,
			random: new SeededRandom(1),
			logger: silentLogger,
			linkClient: this.links,
			direct,
			entries: () => entries,
			allEntries: () => entries,
			memberDataCentre: () => 'here',
			connectionAllocation: () => allocation,
			isKnownMember: () => true,
		});
	}

	#linkServerOf(gateway: string, address: string): InMemoryLinkServer {
		const server = this.links.serverAt(address);
		return {
			...server,
			handle: (name, handler) => {
				server.handle(name, async (body, peer) => {
					if (!this.earlierBuilds.has(gateway)) {
						return handler(body, peer);
					}

					const {isPrimaryRead, isInTransaction, ...known} = body as RelayStatementRequest;
					const response = await handler(name === 'relayStatement' ? {...known, statement: withEarlierName(known.statement)} : known, peer);
					return name === 'openRelay' ? null : response;
				});
			},
		};
	}
}

/** Names a prepared statement as gateways of an earlier build do, which ignore the name that the entry sent. */
function withEarlierName(statement: MemberStatement): MemberStatement {
	return statement.kind === 'prepare' ? {...statement, name: `${statement.shape.access === 'read' ? 'r' : 'w'}_${statement.shape.shape}`} : statement;
}
