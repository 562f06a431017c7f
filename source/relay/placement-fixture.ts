import {type BackendServer} from '../backend-directory/types.js';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberPool} from '../session-proxy/member-pool.js';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {type PooledConnection} from '../session-proxy/pooled-connection.js';
import {type ConnectionStatement} from '../statement/types.js';
import {FakeMemberConnector, FakeMemberServer} from '../session-proxy/member-server-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {allocateConnections, orderByDistance, orderGateways} from './connection-allocation.js';
import {InMemoryLinks} from './in-memory-links-fixture.js';
import {RelayServer} from './relay-server.js';
import {RelayingConnector} from './relaying-connector.js';

/** One entry of the fixture. */
export type PlacedEntry = {
	readonly record: EntryRecord;
	readonly connector: RelayingConnector;
	readonly pool: MemberPool;
	readonly relayServer: RelayServer;
};

/** Data centres and regions of the entries; the member is in the first one. */
const sites = [['north-1', 'north'], ['north-2', 'north'], ['south-1', 'south'], ['south-2', 'south']] as const;

/** Several entries in four data centres of two regions, with few connections to one member. */
export class PlacementFixture {
	readonly clock = new ManualClock();
	readonly links = new InMemoryLinks();
	readonly member: FakeMemberServer;
	readonly entries: readonly PlacedEntry[];
	/** Entries in the order in which they become gateways. */
	readonly order: readonly PlacedEntry[];
	/** Whether the entries know those of the other data centres. */
	knowsAllEntries = true;

	constructor({entriesPerDataCentre = 6, connectionLimit = 46, hasCustomers = false} = {}) {
		const server: BackendServer = {...testAnnouncement('a', {role: 'primary', dataCentre: sites[0][0]}), isGone: false};
		this.member = new FakeMemberServer(server);
		this.member.role = 'primary';
		this.links.waitForTimeout = async (timeout: Milliseconds) => {
			await this.clock.sleep(timeout);
			throw new BuckthornhitchError('linkOutcomeUnknown', 'no answer');
		};

		const records = sites.flatMap(([dataCentre, region]) => Array.from({length: entriesPerDataCentre}, (_, index): EntryRecord => ({
			name: `${dataCentre}-${index}`, address: `${dataCentre}-${index}:1`, dataCentre, region,
		})));
		const allocation = allocateConnections({
			connectionLimit, controlCount: 5, entryCount: records.length, dataCentreCount: sites.length, hasCustomers,
		});
		this.entries = records.map((record, index) => {
			const {clock, links} = this;
			const connector = new RelayingConnector({
				name: record.name,
				clock,
				random: new SeededRandom(1),
				logger: silentLogger,
				linkClient: links.clientWithLink(index),
				direct: new FakeMemberConnector([this.member]),
				entries: () => records.filter(({dataCentre}) => dataCentre === record.dataCentre),
				allEntries: () => this.knowsAllEntries ? records : undefined,
				memberDataCentre: () => server.dataCentre,
				connectionAllocation: () => allocation,
				isKnownMember: () => true,
			});
			const pool = new MemberPool(server, {
				connector, clock, logger: silentLogger, maximumConnections: () => connector.maximumConnections(server), placement: connector.placementOf(server),
			});
			const relayServer = new RelayServer({
				clock,
				logger: silentLogger,
				linkServer: links.serverAt(record.address),
				isGateway: () => connector.isGateway(server),
				poolOf: () => connector.isDirectlyUnreachable(server.id) ? undefined : pool,
			});
			relayServer.start();
			return {
				record, connector, pool, relayServer,
			};
		});
		this.order = orderByDistance(server.id, server.dataCentre, records).map(({name}) => this.entry(name));
	}

	/** Returns the entry with the name. */
	entry(name: string): PlacedEntry {
		return this.entries.find(({record}) => record.name === name)!;
	}

	/** Returns the address of the gateway that an entry without direct connections tries first. */
	firstGatewayOf({record}: PlacedEntry, customer?: string): string {
		return orderGateways(this.member.server.id, this.order.slice(0, 4).map(other => other.record), record.name, customer)[0].address;
	}

	/** Executes a statement as the sessions do. Resolves with 'done', the reason of a refusal or the name of a result code. */
	async attempt(pool: MemberPool, statement: ConnectionStatement, customer?: string): Promise<string> {
		let connection: PooledConnection | undefined;
		try {
			connection = await this.settle(pool.acquire(2000, 1, new CallerSessionState(), customer));
			const reply = await this.settle(connection.execute(statement, 500));
			pool.release(connection);
			return reply.outcome === 'done' ? 'done' : reply.reason;
		} catch (error) {
			if (connection) {
				pool.releaseAfterRollback(connection);
			}

			return toBuckthornhitchError(error).codeName;
		}
	}

	/** Advances the clock until the promise is settled. */
	async settle<Value>(promise: Promise<Value>): Promise<Value> {
		const settled: Array<{readonly value?: Value; readonly error?: unknown}> = [];
		promise.then(value => {
			settled.push({value});
		}, (error: unknown) => {
			settled.push({error});
		});
		for (let passed = 0; settled.length === 0 && passed < 5000; passed += 5) {
			await this.clock.advanceInSteps(5, 5);
		}

		const [outcome] = settled;
		if (outcome?.error !== undefined) {
			throw toBuckthornhitchError(outcome.error);
		}

		return outcome.value!;
	}
}
