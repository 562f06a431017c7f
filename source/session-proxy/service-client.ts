import {retryAfter, type RetryCause} from '../admission/retry-after.js';
import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {SystemRandom, type Random} from '../random/random.js';
import {type BackendReachability, type PrimaryReport} from '../registry/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {type RefusalReason} from '../statement/types.js';
import {type ConnectionPlacement} from './connection-placement.js';
import {FreshnessTracker} from './freshness-tracker.js';
import {MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {ReadPlacement} from './read-placement.js';

/** Timeout for a member to confirm that it is the primary. The confirmation needs no execution slot on the member. */
const confirmTimeout: Milliseconds = 400;

/** Interval between two searches for the primary. */
const primarySearchInterval: Milliseconds = 60;

/** Time since the creation of a client after which a member that appears has just started; the directory is known by then. */
const discoveryTime: Milliseconds = 2000;

/** Age up to which a member has just started although it was known from the beginning. */
const recentStartAge: Milliseconds = 5000;

/** Dependencies and limits of a client of one service. */
export type ServiceClientOptions = {
	readonly service: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly connector: MemberConnector;
	readonly dataCentre: string;
	/** Returns the maximum number of connections from this instance to a member. */
	readonly maximumConnections: (server: BackendServer) => number;
	/** Source of random numbers for the placement of reads; that of the operating system if absent. */
	readonly random?: Random;
	/** Returns the placement of the connections to a member; by default, the connector opens all of them alike. */
	readonly connectionPlacement?: (server: BackendServer) => ConnectionPlacement;
};

/** A request that did not run on any of the pools. */
export type NotRunRequest = {
	readonly pools: readonly MemberPool[];
	/** Reason of the last refusal. */
	readonly reason: RefusalReason;
	/** Expected wait in the queue that refused the request, if one did. */
	readonly expectedWait?: Milliseconds;
	readonly needsPrimary: boolean;
	/** Time for which the caller has a use for the reply. */
	readonly usefulTime: Milliseconds;
};

/** Client of one service: connection pools of its members, the current primary and the freshness of its data. */
export class ServiceClient {
	readonly freshness: FreshnessTracker;
	/** Placement of reads on recovering and ejected members. */
	readonly placement: ReadPlacement;
	readonly #createdAt: Milliseconds;
	readonly #pools = new Map<string, MemberPool>();
	readonly #poolsBeingProbed = new Set<MemberPool>();
	#primary: string | undefined;
	/** Last known primary, also after it was forgotten. */
	#lastPrimary: string | undefined;
	/** Term in which the primary last confirmed its role. */
	#primaryTerm = 0;
	/** Time since which no primary is known. */
	#primaryMissingSince: Milliseconds;
	readonly #random: Random;
	#primarySearch: Promise<string | undefined> | undefined;

	constructor(private readonly options: ServiceClientOptions) {
		this.freshness = new FreshnessTracker(options.clock);
		this.#random = options.random ?? new SystemRandom();
		this.placement = new ReadPlacement({...options, random: this.#random});
		this.#primaryMissingSince = options.clock.now();
		this.#createdAt = options.clock.now();
		this.refresh();
	}

	/** Pools of the members that are not leaving. */
	get pools(): readonly MemberPool[] {
		return [...this.#pools.values()].filter(pool => !pool.server.isLeaving);
	}

	/** Id of the member believed to be the primary. */
	get primaryId(): string | undefined {
		return this.#primary;
	}

	/** Returns the reachability of each member from this instance. */
	memberReachability(): readonly BackendReachability[] {
		return [...this.#pools.values()].map(pool => pool.reachability);
	}

	/** Opens and closes pools to match the directory. */
	refresh(): void {
		const present = new Map(this.options.directory.serversOf(this.options.service).map(server => [server.id, server]));
		for (const [id, pool] of this.#pools) {
			const server = present.get(id);
			if (server?.address !== pool.server.address || server.startedAt !== pool.server.startedAt || server.isLeaving !== pool.server.isLeaving) {
				this.options.logger.info(`${this.options.service}: ${id} ${server?.isLeaving ? 'is leaving' : 'is gone or has restarted'}`);
				pool.close();
				this.#pools.delete(id);
				this.placement.forget(id);
				this.forgetPrimary(id);
			}
		}

		for (const [id, server] of present) {
			if (!this.#pools.has(id)) {
				this.#pools.set(id, this.#openPool(server));
				if (this.#hasJustStarted(server)) {
					this.placement.beginRecovery(id, 'started');
				}
			}
		}
	}

	/** Applies a report about the primary that a control instance sent. `askedAt` is the time at which this instance requested it. */
	applyPrimaryReport(report: PrimaryReport, askedAt: Milliseconds): void {
		this.freshness.add({member: report.primary, logPosition: report.point, startedAt: askedAt - report.age});
		if (report.point.term > this.#primaryTerm) {
			this.#setPrimary(report.primary, report.point.term);
		}
	}

	/** Forgets the primary if it is the given member, which refused as a replica or could not be reached. */
	forgetPrimary(id: string): void {
		if (this.#primary === id) {
			this.#primary = undefined;
			this.#primaryMissingSince = this.options.clock.now();
		}
	}

	/** Returns the time after which a caller should repeat a request that did not run. */
	retryAfter({
		pools, reason, expectedWait, needsPrimary, usefulTime,
	}: NotRunRequest): Milliseconds {
		const cause: RetryCause = needsPrimary && this.#primary === undefined
			? {kind: 'promotion', missingFor: this.options.clock.now() - this.#primaryMissingSince}
			: (expectedWait === undefined ? causeOfRefusal(pools, reason) : {kind: 'queue', workAhead: expectedWait});
		return retryAfter(cause, usefulTime, this.#random);
	}

	/** Records the log position in a reply of the primary to a statement that was sent at `askedAt`. */
	recordPrimaryPosition(id: string, logPosition: LogPosition | undefined, askedAt: Milliseconds): void {
		if (logPosition) {
			this.freshness.add({member: id, logPosition, startedAt: askedAt});
			if (logPosition.term >= this.#primaryTerm) {
				this.#setPrimary(id, logPosition.term);
			}
		}
	}

	/** Tells the placement of reads which members are failing, and which is the primary. */
	observePlacement(): void {
		this.placement.observe([...this.#pools.values()].map(({server: {id}, isFailing}) => ({id, isFailing, isPrimary: id === this.#lastPrimary})));
	}

	/** Probes failing members, since reads avoid them until they answer. */
	probeFailingMembers(): void {
		this.observePlacement();
		for (const pool of this.#pools.values()) {
			if (pool.isFailing && !this.#poolsBeingProbed.has(pool)) {
				this.#poolsBeingProbed.add(pool);
				void this.#checkPrimaryRole(pool, this.options.clock.now() + confirmTimeout).finally(() => {
					this.#poolsBeingProbed.delete(pool);
				});
			}
		}
	}

	/** Returns the pool of a member, or undefined if it is unknown. */
	poolOf(id: string): MemberPool | undefined {
		return this.#pools.get(id);
	}

	/** Resolves with the pool of the primary. Rejects with noPrimary if none is found before the deadline. */
	async primaryPool(deadline: Milliseconds): Promise<MemberPool> {
		const {clock, service} = this.options;
		for (;;) {
			const pool = this.#primary === undefined ? undefined : this.#pools.get(this.#primary);
			if (pool && !pool.server.isGone) {
				return pool;
			}

			this.#primarySearch ??= this.#findPrimary().finally(() => {
				this.#primarySearch = undefined;
			});
			const found = await Promise.race([this.#primarySearch, clock.sleep(Math.max(0, deadline - clock.now()))]);
			if (found === undefined) {
				if (clock.now() + primarySearchInterval >= deadline) {
					throw new BuckthornhitchError('noPrimary', service);
				}

				await clock.sleep(primarySearchInterval);
			}
		}
	}

	/** Resolves once the primary has confirmed its log position in reply to a request sent at `time` or later. Rejects with noPrimary if it does not do so before the deadline. */
	async confirmPrimarySince(time: Milliseconds, deadline: Milliseconds): Promise<void> {
		const {clock} = this.options;
		while ((this.freshness.newest?.startedAt ?? Number.NEGATIVE_INFINITY) < time) {
			const pool = await this.primaryPool(deadline);
			if (!await this.#checkPrimaryRole(pool, deadline)) {
				this.forgetPrimary(pool.server.id);
				if (clock.now() >= deadline) {
					throw new BuckthornhitchError('noPrimary', this.options.service);
				}
			}
		}
	}

	/** Begins and rolls back a write transaction on the connection; only the primary accepts it. Resolves with whether the member is the primary, and records its log position if so. */
	async checkPrimaryRoleOn(pool: MemberPool, connection: PooledConnection): Promise<boolean> {
		const askedAt = this.options.clock.now();
		const beginReply = connection.execute({kind: 'begin', isReadOnly: false}, confirmTimeout);
		const rollbackReply = connection.execute({kind: 'rollback'}, confirmTimeout).catch(() => undefined);
		const reply = await beginReply;
		if (reply.outcome === 'refused') {
			await rollbackReply;
			return false;
		}

		this.recordPrimaryPosition(pool.server.id, reply.point, askedAt);
		await rollbackReply;
		return true;
	}

	#setPrimary(id: string, term: number): void {
		if (this.#primary !== id) {
			this.options.logger.info(`${this.options.service}: primary is ${id} in term ${term}, was ${this.#primary ?? 'unknown'}${this.#lastPrimary === undefined ? '' : ` in term ${this.#primaryTerm}`}`);
		}

		if (this.#lastPrimary !== undefined && this.#lastPrimary !== id) {
			this.placement.beginRecovery(id, 'promoted');
		}

		this.#primary = id;
		this.#lastPrimary = id;
		this.#primaryTerm = term;
	}

	#hasJustStarted({startedAt}: BackendServer): boolean {
		const {clock} = this.options;
		const age = clock.wallTime() - startedAt;
		return clock.now() - this.#createdAt >= discoveryTime || (age >= 0 && age < recentStartAge);
	}

	/** Asks every member whether it is the primary. Resolves with the id of the member that confirms it. If several do, resolves with the one that has the latest log position. */
	async #findPrimary(): Promise<string | undefined> {
		const deadline = this.options.clock.now() + confirmTimeout;
		const pools = [...this.#pools.values()];
		const confirmedPools = await Promise.all(pools.map(async pool => await this.#checkPrimaryRole(pool, deadline) ? pool : undefined));
		const primaries = confirmedPools.filter(pool => pool !== undefined);
		const [latest] = primaries.toSorted((first, second) => compareLogPositions(second.logPosition ?? {term: 0, position: 0}, first.logPosition ?? {term: 0, position: 0}));
		return latest?.server.id;
	}

	/** Resolves with whether the member confirms that it is the primary. Resolves with false also if the member cannot be reached or does not answer. */
	async #checkPrimaryRole(pool: MemberPool, deadline: Milliseconds): Promise<boolean> {
		const startedAt = this.options.clock.now();
		let connection: PooledConnection | undefined;
		try {
			connection = await pool.acquire(Math.min(confirmTimeout, deadline - startedAt), 0);
			const isPrimary = await this.checkPrimaryRoleOn(pool, connection);
			pool.release(connection);
			return isPrimary;
		} catch {
			if (connection) {
				pool.reportFailure(startedAt);
				pool.discard(connection);
			}

			return false;
		}
	}

	#openPool(server: BackendServer): MemberPool {
		const {connector, clock, logger, maximumConnections, connectionPlacement} = this.options;
		return new MemberPool(server, {
			connector,
			clock,
			logger,
			maximumConnections: () => maximumConnections(server),
			placement: connectionPlacement?.(server),
		});
	}
}

/** Returns the cause of a refusal because of load: the time in which the least loaded pool answers the requests that it has. The end of other causes, such as replicas that lag behind, is not known. */
function causeOfRefusal(pools: readonly MemberPool[], reason: RefusalReason): RetryCause {
	const reachable = pools.filter(({isFailing}) => !isFailing);
	const workAhead = Math.min(...reachable.map(({expectedReplyTime, load}) => expectedReplyTime * (1 + load)));
	return reason === 'busy' && Number.isFinite(workAhead) ? {kind: 'queue', workAhead} : {kind: 'unknown'};
}
