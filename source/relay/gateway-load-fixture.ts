import {retryAfter} from '../admission/retry-after.js';
import {type BackendServer} from '../backend-directory/types.js';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {LinkClient} from '../links/link-client.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {LoadedMember, LoadedMemberConnector} from '../session-proxy/loaded-member-fake.js';
import {MemberPool} from '../session-proxy/member-pool.js';
import {type PooledConnection} from '../session-proxy/pooled-connection.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {expectedWaitOf} from '../session-proxy/statement-attempt.js';
import {allocateConnections} from './connection-allocation.js';
import {InMemoryLinks} from './in-memory-links-fixture.js';
import {RelayServer} from './relay-server.js';
import {RelayingConnector} from './relaying-connector.js';

/** Class of requests of a deployment at one of its six services. */
export type RequestClass = {
	readonly priority: number;
	readonly perSecond: number;
	readonly latencyTarget: Milliseconds;
	readonly statementTimeout: Milliseconds;
	/** Time for which the client has a use for the reply. */
	readonly deadline: Milliseconds;
	/** Share of the requests that are transactions of two statements. */
	readonly transactionShare: number;
};

/** Load of a deployment at one of its six services, played at one member. */
export type Deployment = {
	readonly hasCustomers: boolean;
	readonly entryCount: number;
	/** Number of connections that the member accepts. */
	readonly connectionLimit: number;
	/** Mean time for which a read or a write takes a slot. A burst of the lowest priority of 2.6 times its usual rate takes 103% of the four slots. */
	readonly meanServiceTime: Milliseconds;
	/** Request classes in the order of their priorities. */
	readonly requestClasses: readonly RequestClass[];
};

/** Deployment with customers. */
export const deploymentA: Deployment = {
	hasCustomers: true,
	entryCount: 142,
	connectionLimit: 112,
	meanServiceTime: 25,
	requestClasses: [
		{
			priority: 0, perSecond: 11, latencyTarget: 400, statementTimeout: 800, deadline: 2500, transactionShare: 0.25,
		},
		{
			priority: 1, perSecond: 19, latencyTarget: 600, statementTimeout: 1500, deadline: 4000, transactionShare: 0,
		},
		{
			priority: 2, perSecond: 52, latencyTarget: 1500, statementTimeout: 800, deadline: 2500, transactionShare: 0,
		},
	],
};

/** Deployment without customers. No priorities are stated for its reads; they follow that of the primary requests in order. */
export const deploymentB: Deployment = {
	hasCustomers: false,
	entryCount: 83,
	connectionLimit: 46,
	meanServiceTime: 13,
	requestClasses: [
		{
			priority: 1, perSecond: 22.5, latencyTarget: 400, statementTimeout: 4000, deadline: 4000, transactionShare: 0,
		},
		{
			priority: 2, perSecond: 22.5, latencyTarget: 800, statementTimeout: 8000, deadline: 8000, transactionShare: 0,
		},
		{
			priority: 3, perSecond: 105, latencyTarget: 800, statementTimeout: 4000, deadline: 4000, transactionShare: 0,
		},
	],
};

/** A request of a client, with its end. */
export type LoadResult = {
	readonly requestClass: RequestClass;
	readonly customer: string;
	readonly sentAt: Milliseconds;
	readonly endedAt: Milliseconds;
	readonly isAnswered: boolean;
};

/** Changes of the usual load. */
export type LoadOptions = {
	/** Factor on the rate of a priority. */
	readonly rateFactor?: (priority: number, now: Milliseconds) => number;
	/** Factor on the rate of the customer with the most requests. */
	readonly customerFactor?: (now: Milliseconds) => number;
	readonly seed?: number;
};

const customerCount = 87;
const zipfExponent = 1.2;
const entryCount = 24;

/** Time for which opening a connection takes a slot. */
const connectTime: Milliseconds = 12;

/** One-way latency within the region of the member, and between regions. */
const latencyInRegion: Milliseconds = 1;
const latencyBetweenRegions: Milliseconds = 12;

/** Delay before a statement that the member refused as busy is sent again. */
const busyRetryDelay: Milliseconds = 15;

const sites = [['north-1', 'north'], ['north-2', 'north'], ['south-1', 'south'], ['south-2', 'south'], ['west-1', 'west'], ['west-2', 'west']] as const;

/** Links with a latency. */
class DelayedLinks extends LinkClient {
	constructor(private readonly clock: ManualClock, private readonly links: LinkClient, private readonly latencyTo: (address: string) => Milliseconds) {
		super();
	}

	override async request(address: string, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		const latency = this.latencyTo(address);
		await this.clock.sleep(latency);
		const response = await this.links.request(address, name, body, timeout);
		await this.clock.sleep(latency);
		return response;
	}

	override notify(address: string, name: string, body: unknown): void {
		this.clock.schedule(this.latencyTo(address), () => {
			this.links.notify(address, name, body);
		});
	}
}

/** Clients that send the load of one service to one member through entry instances, four of which are gateways. */
export class GatewayLoad {
	readonly clock = new ManualClock();
	readonly member: LoadedMember;
	readonly results: LoadResult[] = [];
	readonly pools: readonly MemberPool[];
	readonly #random: SeededRandom;
	readonly #customerWeights: readonly number[];
	#nextId = 0;

	constructor(private readonly deployment: Deployment, private readonly options: LoadOptions = {}) {
		const {clock} = this;
		const {hasCustomers, connectionLimit, meanServiceTime} = deployment;
		const {seed = 1} = options;
		this.#random = new SeededRandom(seed);
		this.#customerWeights = Array.from({length: hasCustomers ? customerCount : 1}, (_, index) => 1 / ((index + 1) ** zipfExponent));
		this.member = new LoadedMember(clock, true, {
			slots: 4, queueLimit: 32, serviceTime: () => -Math.log(1 - this.#random.fraction()) * meanServiceTime, connectTime,
		});
		const server: BackendServer = {...testAnnouncement('a', {role: 'primary', dataCentre: sites[0][0], slots: 4}), isGone: false};
		const records = Array.from({length: entryCount}, (_, index): EntryRecord => {
			const [dataCentre, region] = sites[index % sites.length];
			return {
				name: `entry-${index}`, address: `entry-${index}:1`, dataCentre, region,
			};
		});
		const allocation = allocateConnections({
			connectionLimit, controlCount: 5, entryCount: deployment.entryCount, dataCentreCount: sites.length, hasCustomers,
		});
		const links = new InMemoryLinks();
		const regionOf = (address: string): string | undefined => records.find(record => record.address === address)?.region;
		this.pools = records.map((record, index) => {
			const connector = new RelayingConnector({
				name: record.name,
				clock,
				random: new SeededRandom(1),
				logger: silentLogger,
				linkClient: new DelayedLinks(clock, links.clientWithLink(index), address => regionOf(address) === record.region ? latencyInRegion : latencyBetweenRegions),
				direct: new LoadedMemberConnector(new Map([['a', this.member]])),
				entries: () => records.filter(({dataCentre}) => dataCentre === record.dataCentre),
				allEntries: () => records,
				memberDataCentre: () => server.dataCentre,
				connectionAllocation: () => allocation,
				isKnownMember: () => true,
			});
			const pool = new MemberPool(server, {
				connector, clock, logger: silentLogger, maximumConnections: () => connector.maximumConnections(server), placement: connector.placementOf(server),
			});
			new RelayServer({
				clock, logger: silentLogger, linkServer: links.serverAt(record.address), isGateway: () => connector.isGateway(server), poolOf: () => pool,
			}).start();
			return pool;
		});
	}

	/** Sends requests at random times for a duration, and then waits until all have ended. */
	async run(duration: Milliseconds): Promise<void> {
		while (this.clock.now() < duration) {
			for (const requestClass of this.deployment.requestClasses) {
				this.#arrive(requestClass);
			}

			await this.clock.advanceInSteps(1, 1);
		}

		await this.clock.advanceInSteps(Math.max(...this.deployment.requestClasses.map(({deadline}) => deadline)), 5);
	}

	/** Returns the results of the requests that were sent in a period and meet the condition. */
	resultsOf(from: Milliseconds, to: Milliseconds, condition: (result: LoadResult) => boolean): readonly LoadResult[] {
		return this.results.filter(result => result.sentAt >= from && result.sentAt < to && condition(result));
	}

	#arrive(requestClass: RequestClass): void {
		const now = this.clock.now();
		const {rateFactor, customerFactor} = this.options;
		const total = sum(this.#customerWeights);
		const weights = this.#customerWeights.map((weight, index) => index === 0 ? weight * (customerFactor?.(now) ?? 1) : weight);
		const perMillisecond = requestClass.perSecond / 1000 * (rateFactor?.(requestClass.priority, now) ?? 1) * sum(weights) / total;
		if (this.#random.fraction() < perMillisecond) {
			let rest = this.#random.fraction() * sum(weights);
			const index = weights.findIndex(weight => {
				rest -= weight;
				return rest < 0;
			});
			const pool = this.pools[this.#random.integerBelow(this.pools.length)];
			void this.#send(requestClass, `customer-${index}`, pool);
		}
	}

	/** Sends a request until it is answered, or the client has no use for the reply any more. */
	async #send(requestClass: RequestClass, customer: string, pool: MemberPool): Promise<void> {
		const sentAt = this.clock.now();
		const isTransaction = this.#random.fraction() < requestClass.transactionShare;
		let outcome: 'done' | Milliseconds;
		do {
			outcome = await this.#attempt(requestClass, customer, pool, isTransaction);
			if (outcome !== 'done') {
				await this.clock.sleep(outcome);
			}
		} while (outcome !== 'done' && this.clock.now() < sentAt + requestClass.deadline);

		this.results.push({
			requestClass, customer, sentAt, endedAt: this.clock.now(), isAnswered: outcome === 'done',
		});
	}

	/** Resolves with 'done', or with the time after which to send the request again. */
	async #attempt(requestClass: RequestClass, customer: string, pool: MemberPool, isForTransaction: boolean): Promise<'done' | Milliseconds> {
		const {priority, latencyTarget, statementTimeout} = requestClass;
		const deadline = this.clock.now() + statementTimeout;
		const targetAt = this.clock.now() + latencyTarget;
		let connection: PooledConnection | undefined;
		try {
			connection = await pool.acquireForCaller(statementTimeout, {priority, isForTransaction, targetAt}, new CallerSessionState(), this.deployment.hasCustomers ? customer : undefined);
			const kinds = isForTransaction ? ['begin', 'read', 'read', 'commit'] as const : ['read'] as const;
			for (const kind of kinds) {
				const id = String(this.#nextId++);
				const reply = await connection.execute(kind === 'begin' ? {kind, isReadOnly: false} : (kind === 'commit' ? {kind, id} : {kind, id, text: 'READ 1'}), deadline - this.clock.now());
				if (reply.outcome === 'refused') {
					pool.releaseAfterRollback(connection);
					return this.#retryDelay(reply, statementTimeout);
				}
			}

			pool.release(connection);
			return 'done';
		} catch (error) {
			if (connection) {
				pool.releaseAfterRollback(connection);
			}

			return this.#retryDelay(toBuckthornhitchError(error), statementTimeout);
		}
	}

	#retryDelay(refused: unknown, usefulTime: Milliseconds): Milliseconds {
		const {expectedWait} = expectedWaitOf(refused);
		return expectedWait === undefined ? busyRetryDelay : retryAfter({kind: 'queue', workAhead: expectedWait}, usefulTime, this.#random);
	}
}

/** Returns the share of the requests that were answered within their latency target. */
export function promptShare(results: readonly LoadResult[]): number {
	return results.filter(({isAnswered, sentAt, endedAt, requestClass}) => isAnswered && endedAt - sentAt <= requestClass.latencyTarget).length / results.length;
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
