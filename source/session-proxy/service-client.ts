import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {type BackendReachability, type PrimaryReport} from '../registry/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {Freshness} from './freshness-tracker.js';
import {MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';

/** Time for the primary to confirm that it leads; it takes no slot. */
const confirmTimeout: Milliseconds = 400;

/** Pause between two searches for the primary. */
const searchPause: Milliseconds = 60;

/** What the members of a service are reached with. */
export type ServiceClientOptions = {
	readonly service: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly connector: MemberConnector;
	readonly dataCentre: string;
	/** Returns how many connections this instance may have to a member. */
	readonly mostConnections: (server: BackendServer) => number;
};

/** The members of one service as seen from this instance: their connections, the primary and the freshness of data. */
export class ServiceClient {
	readonly freshness: Freshness;
	readonly #pools = new Map<string, MemberPool>();
	readonly #probed = new Set<MemberPool>();
	#primary: string | undefined;
	/** Term in which the primary was last seen to lead. */
	#primaryTerm = 0;
	#search: Promise<string | undefined> | undefined;

	constructor(private readonly options: ServiceClientOptions) {
		this.freshness = new Freshness(options.clock);
		this.refresh();
	}

	/** Returns the pools of members that take new work. */
	get pools(): readonly MemberPool[] {
		return [...this.#pools.values()].filter(pool => !pool.server.isLeaving);
	}

	/** The member that is taken for the primary. */
	get primaryId(): string | undefined {
		return this.#primary;
	}

	/** Returns how this instance fares with the members. */
	contacts(): readonly BackendReachability[] {
		return [...this.#pools.values()].map(pool => pool.contact);
	}

	/** Brings the pools in line with the directory. */
	refresh(): void {
		const present = new Map(this.options.directory.serversOf(this.options.service).map(server => [server.id, server]));
		for (const [id, pool] of this.#pools) {
			const server = present.get(id);
			if (server?.address !== pool.server.address || server.startedAt !== pool.server.startedAt || server.isLeaving !== pool.server.isLeaving) {
				this.options.logger.info(`${this.options.service}: ${id} ${server?.isLeaving ? 'is leaving' : 'is gone or started again'}`);
				pool.close();
				this.#pools.delete(id);
				if (this.#primary === id) {
					this.#primary = undefined;
				}
			}
		}

		for (const [id, server] of present) {
			if (!this.#pools.has(id)) {
				this.#pools.set(id, this.#openPool(server));
			}
		}
	}

	/** Takes over what a control instance confirmed; the response left this instance's knowledge at the given time. */
	receiveReport(report: PrimaryReport, askedAt: Milliseconds): void {
		this.freshness.add({member: report.primary, point: report.point, startedAt: askedAt - report.age});
		if (report.point.term > this.#primaryTerm) {
			this.#setPrimary(report.primary, report.point.term);
		}
	}

	/** Takes note that a member refused as a replica, or could not be reached. */
	doubtPrimary(id: string): void {
		if (this.#primary === id) {
			this.#primary = undefined;
		}
	}

	/** Takes note of a point that the primary named in answer to a statement sent at the time. */
	primaryAnswered(id: string, point: LogPosition | undefined, askedAt: Milliseconds): void {
		if (point) {
			this.freshness.add({member: id, point, startedAt: askedAt});
			if (point.term >= this.#primaryTerm) {
				this.#setPrimary(id, point.term);
			}
		}
	}

	/** Asks the members that did not answer again, since reads pass them over until they do. */
	probeFailing(): void {
		for (const pool of this.#pools.values()) {
			if (pool.isFailing && !this.#probed.has(pool)) {
				this.#probed.add(pool);
				void this.#confirm(pool, this.options.clock.now() + confirmTimeout).finally(() => {
					this.#probed.delete(pool);
				});
			}
		}
	}

	/** Returns the pool of a member. */
	poolOf(id: string): MemberPool | undefined {
		return this.#pools.get(id);
	}

	/** Resolves with the pool of the primary. Rejects with noPrimary when none is found until the time. */
	async primaryPool(deadline: Milliseconds): Promise<MemberPool> {
		const {clock, service} = this.options;
		for (;;) {
			const pool = this.#primary === undefined ? undefined : this.#pools.get(this.#primary);
			if (pool && !pool.server.isGone) {
				return pool;
			}

			this.#search ??= this.#findPrimary().finally(() => {
				this.#search = undefined;
			});
			const found = await Promise.race([this.#search, clock.sleep(Math.max(0, deadline - clock.now()))]);
			if (found === undefined) {
				if (clock.now() + searchPause >= deadline) {
					throw new BuckthornhitchError('noPrimary', service);
				}

				await clock.sleep(searchPause);
			}
		}
	}

	/** Resolves once the primary has named a point in answer to a question sent at or after the time. Rejects with noPrimary. */
	async confirmSince(time: Milliseconds, deadline: Milliseconds): Promise<void> {
		const {clock} = this.options;
		while ((this.freshness.newest?.startedAt ?? Number.NEGATIVE_INFINITY) < time) {
			const pool = await this.primaryPool(deadline);
			if (!await this.#confirm(pool, deadline)) {
				this.doubtPrimary(pool.server.id);
				if (clock.now() >= deadline) {
					throw new BuckthornhitchError('noPrimary', this.options.service);
				}
			}
		}
	}

	/** Asks on an open connection to the primary for its point; resolves with whether it leads. */
	async confirmOn(pool: MemberPool, link: PooledConnection): Promise<boolean> {
		const askedAt = this.options.clock.now();
		const opening = link.execute({kind: 'begin', isReadOnly: false}, confirmTimeout);
		const ending = link.execute({kind: 'rollback'}, confirmTimeout).catch(() => undefined);
		const reply = await opening;
		if (reply.outcome === 'refused') {
			await ending;
			return false;
		}

		this.primaryAnswered(pool.server.id, reply.point, askedAt);
		await ending;
		return true;
	}

	#setPrimary(id: string, term: number): void {
		if (this.#primary !== id) {
			this.options.logger.info(`${this.options.service}: ${id} leads term ${term}, before ${this.#primary ?? 'none'} in term ${this.#primaryTerm}`);
		}

		this.#primary = id;
		this.#primaryTerm = term;
	}

	/** Asks every member whether it leads. */
	async #findPrimary(): Promise<string | undefined> {
		const deadline = this.options.clock.now() + confirmTimeout;
		const pools = [...this.#pools.values()];
		const answers = await Promise.all(pools.map(async pool => await this.#confirm(pool, deadline) ? pool : undefined));
		const leaders = answers.filter(pool => pool !== undefined);
		const [latest] = leaders.toSorted((first, second) => compareLogPositions(second.point ?? {term: 0, position: 0}, first.point ?? {term: 0, position: 0}));
		return latest?.server.id;
	}

	async #confirm(pool: MemberPool, deadline: Milliseconds): Promise<boolean> {
		const startedAt = this.options.clock.now();
		let link: PooledConnection | undefined;
		try {
			link = await pool.acquire(Math.min(confirmTimeout, deadline - startedAt), 0);
			const leads = await this.confirmOn(pool, link);
			pool.release(link);
			return leads;
		} catch {
			if (link) {
				pool.reportFailure(startedAt);
				pool.discard(link);
			}

			return false;
		}
	}

	#openPool(server: BackendServer): MemberPool {
		const {connector, clock, logger, mostConnections} = this.options;
		return new MemberPool(server, {
			connector,
			clock,
			logger,
			maximumConnections: () => mostConnections(server),
		});
	}
}
