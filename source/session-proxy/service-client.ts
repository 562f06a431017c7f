import {retryAfter, type RetryCause} from '../admission/retry-after.js';
import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {initialLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {SystemRandom, type Random} from '../random/random.js';
import {type BackendReachability, type PrimaryReport} from '../registry/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {provesPrimary} from '../statement/primary-proof.js';
import {type ReplicationStatusParser} from '../statement/replication-status.js';
import {type RefusalReason} from '../statement/types.js';
import {type ConnectionPlacement} from './connection-placement.js';
import {FreshnessTracker} from './freshness-tracker.js';
import {MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {PreparationLog} from './preparation-log.js';
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
	readonly statusParser: ReplicationStatusParser;
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
	/** Statements that were prepared on the connections to all members. */
	readonly preparationLog: PreparationLog;
	readonly #createdAt: Milliseconds;
	readonly #pools = new Map<string, MemberPool>();
	readonly #poolsBeingProbed = new Set<MemberPool>();
	#primary: string | undefined;
	/** Last known primary, also after it was forgotten. */
	#lastPrimary: string | undefined;
	/** Term in which the last known primary leads, or the term of its last log entry while it has not reported the one in which it leads. */
	#primaryTerm = 0;
	/** Time since which no primary is known. */
	#primaryMissingSince: Milliseconds;
	readonly #random: Random;
	#primarySearch: Promise<void> | undefined;

	constructor(private readonly options: ServiceClientOptions) {
		this.freshness = new FreshnessTracker(options.clock);
		this.preparationLog = new PreparationLog(options.clock, options.logger);
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
	applyPrimaryReport({primary, point, age}: PrimaryReport, askedAt: Milliseconds): void {
		const primaryTerm = this.#termOf(primary, point);
		this.freshness.add({
			member: primary, logPosition: point, startedAt: askedAt - age, primaryTerm,
		});
		if (primaryTerm > this.#primaryTerm || this.#lastPrimary === undefined) {
			this.#setPrimary(primary, primaryTerm);
		}
	}

	/** Returns whether a member that answered as the primary, with its log position, leads an earlier term than another member that is known to lead. */
	isSuperseded(id: string, logPosition: LogPosition): boolean {
		return this.#termOf(id, logPosition) < this.#primaryTerm;
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

	/** Records the reply of the primary to a statement sent at `askedAt`, unless the primary is superseded. Its log position is undefined if it is not known; the reply then sets no freshness floor. `reportedTerm` is the term in which the member says that it leads. */
	recordPrimaryPosition(id: string, logPosition: LogPosition | undefined, askedAt: Milliseconds, reportedTerm = 0): void {
		const primaryTerm = Math.max(reportedTerm, this.#termOf(id, logPosition ?? initialLogPosition));
		if (primaryTerm < this.#primaryTerm) {
			return;
		}

		if (logPosition) {
			this.freshness.add({
				member: id, logPosition, startedAt: askedAt, primaryTerm,
			});
		}

		this.#setPrimary(id, primaryTerm);
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

	/** Resolves with the pool of the primary. Rejects with noPrimary if none is found before the deadline, or while it is wanted. */
	async primaryPool(deadline: Milliseconds, isWanted: () => boolean): Promise<MemberPool> {
		const {clock, service} = this.options;
		for (;;) {
			const pool = this.#poolOfPrimary;
			if (pool) {
				return pool;
			}

			this.#primarySearch ??= this.#findPrimary().finally(() => {
				this.#primarySearch = undefined;
			});
			await Promise.race([this.#primarySearch, clock.sleep(Math.max(0, deadline - clock.now()))]);
			if (!this.#poolOfPrimary) {
				if (clock.now() + primarySearchInterval >= deadline || !isWanted()) {
					throw new BuckthornhitchError('noPrimary', service);
				}

				await clock.sleep(primarySearchInterval);
			}
		}
	}

	/** Resolves once the primary has confirmed its log position in reply to a request sent at `time` or later. Rejects with noPrimary if it does not do so before the deadline, or while it is wanted. */
	async confirmPrimarySince(time: Milliseconds, deadline: Milliseconds, isWanted: () => boolean): Promise<void> {
		const {clock, service} = this.options;
		while ((this.freshness.newest?.startedAt ?? Number.NEGATIVE_INFINITY) < time) {
			if (clock.now() >= deadline || !isWanted()) {
				throw new BuckthornhitchError('noPrimary', service);
			}

			const pool = await this.primaryPool(deadline, isWanted);
			if (!await this.#checkPrimaryRole(pool, deadline)) {
				this.forgetPrimary(pool.server.id);
			} else if ((this.freshness.newest?.startedAt ?? Number.NEGATIVE_INFINITY) < time) {
				// The position of the primary is not known.
				await clock.sleep(primarySearchInterval);
			}
		}
	}

	get #poolOfPrimary(): MemberPool | undefined {
		const pool = this.#primary === undefined ? undefined : this.#pools.get(this.#primary);
		return pool?.server.isGone ? undefined : pool;
	}

	/** Returns the term in which a member that answers as the primary leads, as far as it is known. The log of a new primary ends in an earlier term until its first commit. */
	#termOf(id: string, {term}: LogPosition): number {
		return id === this.#primary ? Math.max(term, this.#primaryTerm) : term;
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

	/** Asks every member whether it is the primary, and records the one that confirms it. */
	async #findPrimary(): Promise<void> {
		const deadline = this.options.clock.now() + confirmTimeout;
		await Promise.all([...this.#pools.values()].map(async pool => this.#checkPrimaryRole(pool, deadline)));
	}

	/** Resolves with whether the member confirms that it is the primary of the latest known term, and records its log position if so. Resolves with false also if it does not answer. */
	async #checkPrimaryRole(pool: MemberPool, deadline: Milliseconds): Promise<boolean> {
		const startedAt = this.options.clock.now();
		let connection: PooledConnection | undefined;
		try {
			connection = await pool.acquire(Math.min(confirmTimeout, deadline - startedAt), 0);
			const isPrimary = await this.#checkPrimaryRoleOn(pool, connection);
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

	/** Begins and rolls back a write transaction on the connection; only the primary accepts it. */
	async #checkPrimaryRoleOn({server: {id}}: MemberPool, connection: PooledConnection): Promise<boolean> {
		const askedAt = this.options.clock.now();
		const [begun, rolledBack] = await Promise.all([
			connection.execute({kind: 'begin', isReadOnly: false}, confirmTimeout),
			connection.execute({kind: 'rollback'}, confirmTimeout),
		]);
		if (begun.outcome === 'refused') {
			return false;
		}

		if (!provesPrimary(begun) || rolledBack.transaction !== 'idle') {
			throw new BuckthornhitchError('linkOutcomeUnknown', `A reply of ${id} is missing.`);
		}

		const reportedTerm = this.isSuperseded(id, begun.point ?? initialLogPosition) ? await this.#queryPrimaryTerm(connection) : 0;
		this.recordPrimaryPosition(id, begun.point, askedAt, reportedTerm);
		return this.#primary === id;
	}

	/** Resolves with the term in which the member says that it leads, or 0 if it does not say so. */
	async #queryPrimaryTerm(connection: PooledConnection): Promise<number> {
		const reply = await connection.execute({kind: 'status'}, confirmTimeout);
		const status = reply.outcome === 'done' ? this.options.statusParser.parse(reply.rows) : undefined;
		return status?.role === 'primary' ? status.term : 0;
	}

	#openPool(server: BackendServer): MemberPool {
		const {connector, clock, logger, maximumConnections, connectionPlacement} = this.options;
		return new MemberPool(server, {
			connector,
			clock,
			logger,
			preparationLog: this.preparationLog,
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
