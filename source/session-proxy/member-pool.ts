import {isAnswerableInTime} from '../admission/deadline-rules.js';
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

/** Timeout for opening a connection. It covers a round trip between regions, the wait for a slot and the time that members take to accept a connection. */
const connectTimeout: Milliseconds = 700;

/** Delay before another connection is opened after one failed or was refused. */
const reconnectDelay: Milliseconds = 150;

/** Idle time after which a connection is closed unless it is the last one. Members keep the connections of a lost instance for seconds, so an instance should not hold more than it uses. */
const surplusIdleTimeout: Milliseconds = 1000;

/** Initial limit on connections; it rises as the member accepts more. */
const initialConnectionLimit = 2;

/** Interval at which the connection limit rises by one while requests wait. */
const limitIncreaseInterval: Milliseconds = 150;

/** Time for which the connection limit does not rise after the member refused a connection because of its own limit. */
const limitHoldTime: Milliseconds = 2000;

/** Maximum number of waiting requests per connection; as many as the queue of a member holds. */
const maximumWaitersPerConnection = 24;

/** Time to wait for an overdue reply and a rollback before the connection is closed; longer than a request waits in the queue of a slow member. */
const rollbackTimeout: Milliseconds = 6000;

/** Weight of the latest sample in the moving average of reply times. */
const replyTimeWeight = 0.2;

/** Half-life of the average reply time, so that a member that was slow is tried again. */
const replyTimeHalfLife: Milliseconds = 3000;

type Waiter = {
	/** Waiters with a lower number are served first. */
	readonly priority: number;
	readonly deadline: Milliseconds;
	readonly session: CallerSessionState | undefined;
	readonly resolve: (connection: PooledConnection) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	cancel: Cancel;
};

/** Dependencies and limits of a pool. */
export type MemberPoolOptions = {
	readonly connector: MemberConnector;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns the maximum number of connections from this instance to the member. */
	readonly maximumConnections: () => number;
};

/** Connection pool of this instance for one member. */
export class MemberPool {
	/** Last log position that the member reported. */
	logPosition: LogPosition | undefined;
	/** Time at which the log position was reported. */
	logPositionAt: Milliseconds = 0;
	/** Time until which the member is avoided, after it refused a read or a transaction. */
	avoidUntil: Milliseconds = 0;
	readonly #idle: PooledConnection[] = [];
	readonly #inUse = new Set<PooledConnection>();
	readonly #waiters: Waiter[] = [];
	#openingCount = 0;
	#reconnectAt = 0;
	#connectionRefusedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#connectionLimit = initialConnectionLimit;
	#limitRaisedAt: Milliseconds = 0;
	#isFailureLogged = false;
	#answeredAt: Milliseconds | undefined;
	#failingSince: Milliseconds | undefined;
	#averageReplyTime = 0;
	#averageUpdatedAt = 0;
	#isClosed = false;

	constructor(readonly server: BackendServer, private readonly options: MemberPoolOptions) {}

	/** Reachability of the member from this instance: the time since its last answer, and for how long it has been failing. */
	get reachability(): BackendReachability {
		const now = this.options.clock.now();
		return {
			id: this.server.id,
			answeredAgo: this.#answeredAt === undefined ? null : Math.round(now - this.#answeredAt),
			failingFor: this.#failingSince === undefined ? 0 : Math.max(1, Math.round(now - this.#failingSince)),
		};
	}

	/** Whether the member has not answered since an attempt failed. */
	get isFailing(): boolean {
		return this.#failingSince !== undefined;
	}

	/** Number of connections in use and of requests that wait for one. */
	get load(): number {
		return this.#inUse.size + this.#waiters.length;
	}

	/** Expected reply time: the moving average, decayed by its age. */
	get expectedReplyTime(): Milliseconds {
		const age = this.options.clock.now() - this.#averageUpdatedAt;
		return this.#averageReplyTime * (0.5 ** (age / replyTimeHalfLife));
	}

	/** Resolves with a connection, preferably one on which exactly the variables of the session are set. If there is none, other variables may be set on the connection. Rejects with queueFull, deadlinePassed, memberRefused or memberUnreachable. */
	async acquire(timeout: Milliseconds, priority: number, session?: CallerSessionState, _customer?: string): Promise<PooledConnection> {
		if (this.#isClosed) {
			throw new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`);
		}

		const idle = this.#takeIdle(session);
		if (idle) {
			this.#inUse.add(idle);
			return idle;
		}

		if (this.#waiters.length >= maximumWaitersPerConnection * this.options.maximumConnections()) {
			throw new BuckthornhitchError('queueFull', `${this.#waiters.length} requests wait for ${this.server.id}`);
		}

		return new Promise((resolve, reject) => {
			const waiter: Waiter = {
				priority,
				deadline: this.options.clock.now() + timeout,
				session,
				resolve,
				reject,
				cancel: this.options.clock.schedule(Math.max(0, timeout), () => {
					this.#removeWaiter(waiter);
					reject(new BuckthornhitchError('deadlinePassed', `no connection to ${this.server.id} within ${Math.round(timeout)} ms`));
				}),
			};
			const index = this.#waiters.findIndex(other => other.priority > priority);
			this.#waiters.splice(index === -1 ? this.#waiters.length : index, 0, waiter);
			this.#openIfNeeded();
		});
	}

	/** Returns a connection without an open transaction to the pool. A connection that is not reusable is closed. */
	release(connection: PooledConnection): void {
		this.#inUse.delete(connection);
		if (!connection.isReusable || this.#isClosed) {
			if (connection.isInTransaction) {
				this.options.logger.warn(`a connection to ${this.server.id} was returned with an open transaction and is closed`);
			}

			connection.memberConnection.close();
			this.#openIfNeeded();
			return;
		}

		connection.releasedAt = this.options.clock.now();
		const waiter = this.#takeNextWaiter();
		if (waiter) {
			this.#assign(waiter, connection);
			return;
		}

		this.#idle.push(connection);
		this.#scheduleSurplusClose();
	}

	/**
	Rolls back the transaction of a connection once its last statement was answered, and then returns the connection to the pool.

	Until that answer, the connection is not closed and the rollback is not sent. The statement may still wait for a slot on the member, which would run it after the close or the rollback, outside its transaction.
	*/
	releaseAfterRollback(connection: PooledConnection): void {
		this.#inUse.delete(connection);
		const cancel = this.options.clock.schedule(rollbackTimeout, () => {
			connection.memberConnection.close();
		});
		void this.#rollBack(connection).finally(cancel);
		this.#openIfNeeded();
	}

	/** Closes a connection whose state is unknown. */
	discard(connection: PooledConnection): void {
		this.#inUse.delete(connection);
		connection.memberConnection.close();
		this.#openIfNeeded();
	}

	/** Records that the member did not answer a statement that was sent at `sentAt`. Has no effect if the member has answered since then. */
	reportFailure(sentAt: Milliseconds): void {
		if (this.#answeredAt !== undefined && this.#answeredAt >= sentAt) {
			return;
		}

		this.#failingSince ??= sentAt;
		// Existing connections may never recover; new ones show whether the member is reachable.
		this.#closeIdle();
	}

	/** Adds the reply time of a read, in milliseconds, to the moving average. */
	recordReplyTime(time: Milliseconds): void {
		const previous = this.expectedReplyTime;
		this.#averageReplyTime = previous === 0 ? time : previous + (replyTimeWeight * (time - previous));
		this.#averageUpdatedAt = this.options.clock.now();
	}

	/** Returns whether a request with the deadline may still be answered by the member in time. */
	isAnswerableBefore(deadline: Milliseconds): boolean {
		return isAnswerableInTime(deadline - this.options.clock.now(), this.expectedReplyTime);
	}

	/** Closes the pool and its idle connections. Connections in use are closed when they are released. */
	close(): void {
		this.#isClosed = true;
		this.#closeIdle();
		this.#rejectWaiters(new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`));
	}

	#takeIdle(session: CallerSessionState | undefined): PooledConnection | undefined {
		for (let index = this.#idle.length - 1; index >= 0; index--) {
			if (this.#idle[index].memberConnection.isClosed) {
				this.#idle.splice(index, 1);
			}
		}

		const matching = session ? this.#idle.findLastIndex(connection => connection.matchesVariables(session)) : -1;
		return matching === -1 ? this.#idle.pop() : this.#idle.splice(matching, 1)[0];
	}

	#closeIdle(): void {
		for (const connection of this.#idle.splice(0)) {
			connection.memberConnection.close();
		}
	}

	async #rollBack(connection: PooledConnection): Promise<void> {
		try {
			const reply = await connection.rollBack(rollbackTimeout);
			if (connection.isReusable) {
				this.release(connection);
				return;
			}

			this.options.logger.warn(`connection to ${this.server.id} closed: its transaction is ${reply.transaction} after a rollback`);
		} catch (error) {
			this.options.logger.debug(`connection to ${this.server.id} closed: the rollback failed: ${toBuckthornhitchError(error).message}`);
		}

		connection.memberConnection.close();
	}

	/** Removes and returns the next waiter, and rejects those before it that cannot be answered in time any more. */
	#takeNextWaiter(): Waiter | undefined {
		for (let waiter = this.#waiters.shift(); waiter; waiter = this.#waiters.shift()) {
			if (this.isAnswerableBefore(waiter.deadline)) {
				return waiter;
			}

			waiter.cancel();
			waiter.reject(new BuckthornhitchError('deadlinePassed', `no connection to ${this.server.id} early enough for an answer in time`));
		}

		return undefined;
	}

	#assign(waiter: Waiter, connection: PooledConnection): void {
		waiter.cancel();
		this.#inUse.add(connection);
		waiter.resolve(connection);
	}

	#removeWaiter(waiter: Waiter): void {
		const index = this.#waiters.indexOf(waiter);
		if (index !== -1) {
			this.#waiters.splice(index, 1);
		}
	}

	#openIfNeeded(): void {
		const connectionCount = this.#idle.length + this.#inUse.size + this.#openingCount;
		if (this.#isClosed || this.#waiters.length <= this.#openingCount || connectionCount >= this.#updateConnectionLimit(connectionCount)) {
			return;
		}

		const delay = this.#reconnectAt - this.options.clock.now();
		if (delay > 0) {
			if (connectionCount === 0) {
				this.options.clock.schedule(delay, () => {
					this.#openIfNeeded();
				});
			}

			return;
		}

		void this.#openConnection();
	}

	/** Raises the connection limit by one if it is reached, the increase interval has passed and the member has not refused a connection recently. Returns the limit. `#handleOpenFailure` lowers it when the member refuses a connection. */
	#updateConnectionLimit(connectionCount: number): number {
		const now = this.options.clock.now();
		if (connectionCount >= this.#connectionLimit && now - this.#limitRaisedAt >= limitIncreaseInterval && now - this.#connectionRefusedAt >= limitHoldTime) {
			this.#connectionLimit++;
			this.#limitRaisedAt = now;
		}

		this.#connectionLimit = Math.min(this.#connectionLimit, this.options.maximumConnections());
		return this.#connectionLimit;
	}

	async #openConnection(): Promise<void> {
		const startedAt = this.options.clock.now();
		this.#openingCount++;
		try {
			const {id, service, address} = this.server;
			const memberConnection = await this.options.connector.connect({id, service, address}, connectTimeout);
			this.#openingCount--;
			if (!memberConnection.isRelayed) {
				this.#recordReachable();
			}

			this.#isFailureLogged = false;
			this.#addOpened(new PooledConnection(memberConnection, this.options.clock, reply => {
				this.#recordReachable(reply);
			}));
		} catch (error) {
			this.#openingCount--;
			this.#handleOpenFailure(toBuckthornhitchError(error), startedAt);
		}
	}

	#addOpened(connection: PooledConnection): void {
		connection.memberConnection.onClosed(() => {
			const index = this.#idle.indexOf(connection);
			if (index !== -1) {
				this.#idle.splice(index, 1);
			}
		});
		this.#inUse.add(connection);
		this.release(connection);
	}

	#handleOpenFailure(error: BuckthornhitchError, startedAt: Milliseconds): void {
		if (!this.#isFailureLogged) {
			this.#isFailureLogged = true;
			this.options.logger.warn(`cannot connect to ${this.server.id} of ${this.server.service} at ${this.server.address}: ${error.message}`);
		}

		this.#reconnectAt = this.options.clock.now() + reconnectDelay;
		if (error instanceof MemberRefusedError) {
			if (error.reason !== 'connectionLimit') {
				this.#rejectWaiters(error);
				return;
			}

			this.#connectionRefusedAt = this.options.clock.now();
			this.#connectionLimit = Math.max(1, this.#idle.length + this.#inUse.size);
			// Other instances hold the remaining connections; waiting requests share those of this instance.
			if (this.#idle.length + this.#inUse.size > 0) {
				return;
			}
		} else {
			this.reportFailure(startedAt);
			if (this.#inUse.size > 0) {
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

	/** Records that the member is reachable, and the log position in its reply, if there is one. */
	#recordReachable(reply?: StatementReply): void {
		this.#answeredAt = this.options.clock.now();
		this.#failingSince = undefined;
		if (reply?.point) {
			this.logPosition = reply.point;
			this.logPositionAt = this.#answeredAt;
		}
	}

	#scheduleSurplusClose(): void {
		this.options.clock.schedule(surplusIdleTimeout, () => {
			const surplus = this.#idle.length + this.#inUse.size - 1;
			const cutoff = this.options.clock.now() - surplusIdleTimeout;
			for (let count = 0; count < surplus; count++) {
				const index = this.#idle.findIndex(connection => connection.releasedAt <= cutoff);
				if (index === -1) {
					return;
				}

				this.#idle.splice(index, 1)[0].memberConnection.close();
			}
		});
	}
}
