import {type BackendServer} from '../backend-directory/types.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {type BackendReachability} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberRefusedError, type MemberConnector} from '../statement/member-connection.js';
import {type StatementReply} from '../statement/types.js';
import {type CallerSessionState} from './caller-session-state.js';
import {PooledConnection} from './pooled-connection.js';

/** Time for a new connection: a round trip between regions, the wait for a slot, and the members' own time to accept it. */
const connectTimeout: Milliseconds = 700;

/** After a refusal for too many connections, no other one is opened for this long. */
const refusalPause: Milliseconds = 150;

/** A connection beyond the first one is closed after it was idle for this long, since members hold on to those of a lost instance for seconds. */
const surplusIdleTime: Milliseconds = 1000;

/** Connections that an instance may have before it has seen that more are accepted. */
const firstCeiling = 2;

/** The ceiling rises by one at this pace while requests wait. */
const growthPause: Milliseconds = 150;

/** After a refusal for too many connections the ceiling stays where it is for this long. */
const cautionTime: Milliseconds = 2000;

/** Requests that may wait for each connection; as many as the queue of a member holds. */
const waitersPerConnection = 24;

/** An overdue answer is awaited for this long before its connection is closed; longer than the queue of a slow member. */
const retirementTime: Milliseconds = 6000;

/** Weight of the newest answer in the smoothed answer time. */
const smoothing = 0.2;

/** An answer time is forgotten by half in this time, so that a member that was slow is tried again. */
const forgetting: Milliseconds = 3000;

type Waiter = {
	readonly priority: number;
	readonly session: CallerSessionState | undefined;
	readonly resolve: (link: PooledConnection) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	cancel: Cancel;
};

/** What a pool needs. */
export type MemberPoolOptions = {
	readonly connector: MemberConnector;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns how many connections this instance may have to the member. */
	readonly maximumConnections: () => number;
};

/** Connections of this instance to one member. */
export class MemberPool {
	/** Last point that the member named, and when. */
	point: LogPosition | undefined;
	pointAt: Milliseconds = 0;
	/** Time until which the member is passed over for reads, after it refused one. */
	avoidUntil: Milliseconds = 0;
	readonly #idle: PooledConnection[] = [];
	readonly #used = new Set<PooledConnection>();
	readonly #waiters: Waiter[] = [];
	#opening = 0;
	#refusedUntil = 0;
	#refusedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#ceiling = firstCeiling;
	#raisedAt: Milliseconds = 0;
	#isFailureLogged = false;
	#answeredAt: Milliseconds | undefined;
	#failingSince: Milliseconds | undefined;
	#answerTime = 0;
	#answerTimeAt = 0;
	#closed = false;

	constructor(readonly server: BackendServer, private readonly options: MemberPoolOptions) {}

	/** How this instance fares with the member. */
	get contact(): BackendReachability {
		const now = this.options.clock.now();
		return {
			id: this.server.id,
			answeredAgo: this.#answeredAt === undefined ? null : Math.round(now - this.#answeredAt),
			failingFor: this.#failingSince === undefined ? 0 : Math.max(1, Math.round(now - this.#failingSince)),
		};
	}

	/** Whether every attempt fails at present. */
	get isFailing(): boolean {
		return this.#failingSince !== undefined;
	}

	/** Connections in use and requests that wait for one. */
	get load(): number {
		return this.#used.size + this.#waiters.length;
	}

	/** Expected time of an answer, from the last answers and the load. */
	get expectedAnswerTime(): Milliseconds {
		const age = this.options.clock.now() - this.#answerTimeAt;
		return this.#answerTime * (0.5 ** (age / forgetting));
	}

	/** Resolves with a connection whose session may hold other values. Rejects with queueFull, deadlinePassed, memberRefused or memberUnreachable; nothing was sent then. */
	async acquire(timeout: Milliseconds, priority: number, session?: CallerSessionState): Promise<PooledConnection> {
		if (this.#closed) {
			throw new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`);
		}

		const idle = this.#takeIdle(session);
		if (idle) {
			this.#used.add(idle);
			return idle;
		}

		if (this.#waiters.length >= waitersPerConnection * this.options.maximumConnections()) {
			throw new BuckthornhitchError('queueFull', `${this.#waiters.length} requests wait for ${this.server.id}`);
		}

		return new Promise((resolve, reject) => {
			const waiter: Waiter = {
				priority,
				session,
				resolve,
				reject,
				cancel: this.options.clock.schedule(Math.max(0, timeout), () => {
					this.#remove(waiter);
					reject(new BuckthornhitchError('deadlinePassed', `no connection to ${this.server.id} within ${Math.round(timeout)} ms`));
				}),
			};
			const position = this.#waiters.findIndex(other => other.priority > priority);
			this.#waiters.splice(position === -1 ? this.#waiters.length : position, 0, waiter);
			this.#openMore();
		});
	}

	/** Gives a connection back; it must hold no transaction. A connection with an unanswered statement is closed. */
	release(link: PooledConnection): void {
		this.#used.delete(link);
		if (link.isPending || link.memberConnection.isClosed || this.#closed) {
			link.memberConnection.close();
			this.#openMore();
			return;
		}

		link.releasedAt = this.options.clock.now();
		const waiter = this.#waiters.shift();
		if (waiter) {
			this.#hand(waiter, link);
			return;
		}

		this.#idle.push(link);
		this.#closeSurplus();
	}

	/**
	Takes a connection out of use, and rolls it back once its last statement was answered.

	A member may run a statement that waits for a slot even after its connection was closed, and then outside its transaction. For the same reason nothing is sent behind such a statement.
	*/
	releaseAfterRollback(link: PooledConnection): void {
		this.#used.delete(link);
		const cancel = this.options.clock.schedule(retirementTime, () => {
			link.memberConnection.close();
		});
		void this.#rollBack(link).finally(cancel);
		this.#openMore();
	}

	/** Closes a connection whose state is not known. */
	discard(link: PooledConnection): void {
		this.#used.delete(link);
		link.memberConnection.close();
		this.#openMore();
	}

	/** Takes note that the member did not answer what was sent at the time; an answer since then shows that it lives. */
	reportFailure(since: Milliseconds): void {
		if (this.#answeredAt !== undefined && this.#answeredAt >= since) {
			return;
		}

		this.#failingSince ??= since;
		// Connections of a member that answers nothing may be silent for good; new ones show whether it is reached.
		this.#closeIdle();
	}

	/** Takes note of the time of an answer to a read, in milliseconds. */
	recordAnswerTime(time: Milliseconds): void {
		const previous = this.expectedAnswerTime;
		this.#answerTime = previous === 0 ? time : previous + (smoothing * (time - previous));
		this.#answerTimeAt = this.options.clock.now();
	}

	/** Closes all connections; those in use end with their request. */
	close(): void {
		this.#closed = true;
		this.#closeIdle();
		this.#rejectWaiters(new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`));
	}

	#takeIdle(session: CallerSessionState | undefined): PooledConnection | undefined {
		for (let position = this.#idle.length - 1; position >= 0; position--) {
			if (this.#idle[position].memberConnection.isClosed) {
				this.#idle.splice(position, 1);
			}
		}

		const matching = session ? this.#idle.findLastIndex(link => link.matches(session)) : -1;
		return matching === -1 ? this.#idle.pop() : this.#idle.splice(matching, 1)[0];
	}

	#closeIdle(): void {
		for (const link of this.#idle.splice(0)) {
			link.memberConnection.close();
		}
	}

	async #rollBack(link: PooledConnection): Promise<void> {
		try {
			await link.settled();
			const reply = await link.execute({kind: 'rollback'}, retirementTime);
			if (reply.transaction === 'idle') {
				this.release(link);
				return;
			}

			this.options.logger.warn(`a connection to ${this.server.id} is ${reply.transaction} after a rollback`);
		} catch (error) {
			this.options.logger.debug(`a connection to ${this.server.id} was not rolled back: ${toBuckthornhitchError(error).message}`);
		}

		link.memberConnection.close();
	}

	#hand(waiter: Waiter, link: PooledConnection): void {
		waiter.cancel();
		this.#used.add(link);
		waiter.resolve(link);
	}

	#remove(waiter: Waiter): void {
		const position = this.#waiters.indexOf(waiter);
		if (position !== -1) {
			this.#waiters.splice(position, 1);
		}
	}

	#openMore(): void {
		const open = this.#idle.length + this.#used.size + this.#opening;
		if (this.#closed || this.#waiters.length <= this.#opening || open >= this.#raisedCeiling(open)) {
			return;
		}

		const pause = this.#refusedUntil - this.options.clock.now();
		if (pause > 0) {
			if (open === 0) {
				this.options.clock.schedule(pause, () => {
					this.#openMore();
				});
			}

			return;
		}

		void this.#open();
	}

	/** Returns how many connections may be open now; it rises slowly, and falls when the member refuses one. */
	#raisedCeiling(open: number): number {
		const now = this.options.clock.now();
		if (open >= this.#ceiling && now - this.#raisedAt >= growthPause && now - this.#refusedAt >= cautionTime) {
			this.#ceiling++;
			this.#raisedAt = now;
		}

		this.#ceiling = Math.min(this.#ceiling, this.options.maximumConnections());
		return this.#ceiling;
	}

	async #open(): Promise<void> {
		const startedAt = this.options.clock.now();
		this.#opening++;
		try {
			const {id, service, address} = this.server;
			const link = await this.options.connector.connect({id, service, address}, connectTimeout);
			this.#opening--;
			if (!link.isRelayed) {
				this.#answered();
			}

			this.#isFailureLogged = false;
			this.#adoptOpened(new PooledConnection(link, this.options.clock, reply => {
				this.#answered(reply);
			}));
		} catch (error) {
			this.#opening--;
			this.#openFailed(toBuckthornhitchError(error), startedAt);
		}
	}

	#adoptOpened(link: PooledConnection): void {
		link.memberConnection.onClosed(() => {
			const position = this.#idle.indexOf(link);
			if (position !== -1) {
				this.#idle.splice(position, 1);
			}
		});
		this.#used.add(link);
		this.release(link);
	}

	#openFailed(error: BuckthornhitchError, startedAt: Milliseconds): void {
		if (!this.#isFailureLogged) {
			this.#isFailureLogged = true;
			this.options.logger.warn(`no connection to ${this.server.id} of ${this.server.service} at ${this.server.address}: ${error.message}`);
		}

		this.#refusedUntil = this.options.clock.now() + refusalPause;
		if (error instanceof MemberRefusedError) {
			if (error.reason !== 'connectionLimit') {
				this.#rejectWaiters(error);
				return;
			}

			this.#refusedAt = this.options.clock.now();
			this.#ceiling = Math.max(1, this.#idle.length + this.#used.size);
			// Others hold the connections; the waiting requests use those that this instance has.
			if (this.#idle.length + this.#used.size > 0) {
				return;
			}
		} else {
			this.reportFailure(startedAt);
			if (this.#used.size > 0) {
				return;
			}
		}

		this.#rejectWaiters(error);
	}

	#rejectWaiters(error: BuckthornhitchError): void {
		for (const waiter of this.#waiters.splice(0)) {
			waiter.cancel();
			waiter.reject(error);
		}
	}

	#answered(reply?: StatementReply): void {
		this.#answeredAt = this.options.clock.now();
		this.#failingSince = undefined;
		if (reply?.point) {
			this.point = reply.point;
			this.pointAt = this.#answeredAt;
		}
	}

	#closeSurplus(): void {
		this.options.clock.schedule(surplusIdleTime, () => {
			const surplus = this.#idle.length + this.#used.size - 1;
			const oldest = this.options.clock.now() - surplusIdleTime;
			for (let count = 0; count < surplus; count++) {
				const position = this.#idle.findIndex(link => link.releasedAt <= oldest);
				if (position === -1) {
					return;
				}

				this.#idle.splice(position, 1)[0].memberConnection.close();
			}
		});
	}
}
