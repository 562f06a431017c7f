import {maximumTransactions} from '../admission/transaction-share.js';
import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {describeTimeout} from '../clock/describe-timeout.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {type BackendReachability} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ConnectionPath, type ConnectionUse, type MemberConnector} from '../statement/member-connection.js';
import {type StatementReply} from '../statement/types.js';
import {type CallerSessionState} from './caller-session-state.js';
import {ConnectionOpener, type OpenedConnection} from './connection-opener.js';
import {SharedPlacement, surplusIdleTimeout, type ConnectionPlacement} from './connection-placement.js';
import {
	ConnectionRequests, mayUse, type ConnectionRequest, type WaitingRequest,
} from './connection-requests.js';
import {IdleConnections} from './idle-connections.js';
import {MemberHealth} from './member-health.js';
import {PooledConnection} from './pooled-connection.js';

/** Maximum number of waiting requests per connection; as many as the queue of a member holds. */
const maximumWaitersPerConnection = 24;

/** Time to wait for an overdue reply and a rollback before the connection is closed; longer than a request waits in the queue of a slow member. */
const rollbackTimeout: Milliseconds = 6000;

/** Dependencies and limits of a pool. */
export type MemberPoolOptions = {
	readonly connector: MemberConnector;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns the maximum number of connections from this instance to the member. Not used if there is a placement. */
	readonly maximumConnections: () => number;
	/** Placement of the connections; by default, the connector opens all of them alike. */
	readonly placement?: ConnectionPlacement;
};

/** Connection pool of this instance for one member. */
export class MemberPool {
	/** Last log position that the member reported. */
	logPosition: LogPosition | undefined;
	/** Time at which the log position was reported. */
	logPositionAt: Milliseconds = 0;
	/** Time until which the member is avoided, after it refused a read or a transaction. */
	avoidUntil: Milliseconds = 0;
	readonly #placement: ConnectionPlacement;
	readonly #health: MemberHealth;
	readonly #idle = new IdleConnections();
	readonly #inUse = new Set<PooledConnection>();
	/** Connections on which callers' transactions are opened, until they are returned or closed. */
	readonly #inTransaction = new Set<PooledConnection>();
	/** Connections whose transaction is being rolled back. */
	readonly #rollingBack = new Set<PooledConnection>();
	readonly #waiting: ConnectionRequests;
	readonly #opener: ConnectionOpener;
	#isSurplusCloseScheduled = false;
	#isClosed = false;

	constructor(readonly server: BackendServer, private readonly options: MemberPoolOptions) {
		const {clock, connector, logger, maximumConnections, placement = new SharedPlacement(maximumConnections)} = options;
		this.#placement = placement;
		this.#health = new MemberHealth(server.id, clock);
		this.#waiting = new ConnectionRequests(customer => [...this.#inUse].filter(connection => connection.customer === customer).length);
		this.#opener = new ConnectionOpener({
			server,
			clock,
			connector,
			logger,
			placement,
			waiting: this.#waiting,
			isServable: request => this.#isServable(request),
			countOn: path => this.#countOn(path),
			makeRoom: path => this.#idle.closeLeastRecent(path),
			onOpened: opened => {
				this.#addOpened(opened);
			},
			onMemberFailure: startedAt => {
				this.reportFailure(startedAt);
			},
		});
	}

	/** Reachability of the member from this instance: the time since its last answer, and for how long it has been failing. */
	get reachability(): BackendReachability {
		return this.#health.reachability;
	}

	/** Whether the member has not answered since an attempt failed. */
	get isFailing(): boolean {
		return this.#health.isFailing;
	}

	/** Number of connections in use and of requests that wait for one. */
	get load(): number {
		return this.#inUse.size + this.#waiting.length;
	}

	/** Expected reply time: the moving average, decayed by its age. */
	get expectedReplyTime(): Milliseconds {
		return this.#health.expectedReplyTime;
	}

	/**
	Resolves with a connection that belongs to the customer, preferably one on which exactly the variables of the session are set. If there is none, other variables may be set on the connection. Without a session, the connection may belong to any customer; only the proxy's own statements may run on it.

	Rejects with queueFull, deadlinePassed, memberRefused or memberUnreachable.
	*/
	async acquire(timeout: Milliseconds, priority: number, session?: CallerSessionState, customer?: string): Promise<PooledConnection> {
		return this.#acquire({
			priority, deadline: this.options.clock.now() + timeout, session, customer, path: this.#placement.pathFor(customer), isForTransaction: false,
		});
	}

	/** Resolves with a connection on which a caller's transaction is opened. Rejects like `acquire`. */
	async acquireForTransaction(timeout: Milliseconds, priority: number, session: CallerSessionState, customer: string | undefined): Promise<PooledConnection> {
		return this.#acquire({
			priority, deadline: this.options.clock.now() + timeout, session, customer, path: this.#placement.pathFor(customer), isForTransaction: true,
		});
	}

	/** Resolves with a connection for statements that this instance relays for another one. Such a connection never leads through a gateway where each customer has one. */
	async acquireForRelay(timeout: Milliseconds, use: ConnectionUse, session: CallerSessionState, customer: string | undefined): Promise<PooledConnection> {
		return this.#acquire({
			...use, deadline: this.options.clock.now() + timeout, session, customer, path: this.#placement.isByCustomer ? 'own' : undefined,
		});
	}

	/** Returns a connection without an open transaction to the pool. A connection that is not reusable is closed. */
	release(connection: PooledConnection): void {
		this.#removeFromUse(connection);
		if (!connection.isReusable || this.#isClosed || !this.#placement.isAllowed(connection.memberConnection)) {
			if (connection.isInTransaction) {
				this.options.logger.warn(`a connection to ${this.server.id} was returned with an open transaction and is closed`);
			}

			connection.memberConnection.close();
			this.#opener.openIfNeeded();
			return;
		}

		connection.releasedAt = this.options.clock.now();
		const next = this.#nextRequestFor(connection);
		if (next && mayUse(next, connection)) {
			this.#assign(next, connection);
			return;
		}

		if (next) {
			// The place of the connection is needed for another customer.
			connection.memberConnection.close();
			this.#opener.replaceFor(next);
			return;
		}

		this.#idle.add(connection);
		this.#scheduleSurplusClose();
	}

	/**
	Rolls back the transaction of a connection once its last statement was answered, and then returns the connection to the pool.

	Until that answer, the connection is not closed and the rollback is not sent. The statement may still wait for a slot on the member, which would run it after the close or the rollback, outside its transaction.
	*/
	releaseAfterRollback(connection: PooledConnection): void {
		this.#inUse.delete(connection);
		this.#rollingBack.add(connection);
		const cancel = this.options.clock.schedule(rollbackTimeout, () => {
			connection.memberConnection.close();
		});
		void this.#rollBack(connection).finally(cancel);
		this.#opener.openIfNeeded();
	}

	/** Closes a connection whose state is unknown. */
	discard(connection: PooledConnection): void {
		this.#removeFromUse(connection);
		connection.memberConnection.close();
		this.#opener.openIfNeeded();
	}

	/** Records that the member did not answer a statement that was sent at `sentAt`. Has no effect if the member has answered since then. */
	reportFailure(sentAt: Milliseconds): void {
		if (this.#health.recordFailure(sentAt)) {
			// Existing connections may never recover; new ones show whether the member is reachable.
			this.#closeIdle();
		}
	}

	/** Adds the reply time of a read, in milliseconds, to the moving average. */
	recordReplyTime(time: Milliseconds): void {
		this.#health.recordReplyTime(time);
	}

	/** Returns whether a request with the deadline may still be answered by the member in time. */
	isAnswerableBefore(deadline: Milliseconds): boolean {
		return this.#health.isAnswerableBefore(deadline);
	}

	/** Closes the pool and its idle connections. Connections in use are closed when they are released. */
	close(): void {
		this.#isClosed = true;
		this.#opener.close();
		this.#closeIdle();
		this.#waiting.rejectWhere(() => true, new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`));
	}

	async #acquire(request: ConnectionRequest): Promise<PooledConnection> {
		if (this.#isClosed) {
			throw new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`);
		}

		this.#closeForbidden();
		const idle = this.#isTransactionShareUsed(request) ? undefined : this.#idle.take(request);
		if (idle) {
			this.#markInUse(idle, request);
			return idle;
		}

		if (this.#waiting.length >= maximumWaitersPerConnection * this.#placement.maximumConnections(request.path)) {
			throw new BuckthornhitchError('queueFull', `${this.#waiting.length} requests wait for ${this.server.id}`);
		}

		return this.#waitForConnection(request);
	}

	async #waitForConnection(request: ConnectionRequest): Promise<PooledConnection> {
		const {clock} = this.options;
		const timeout = request.deadline - clock.now();
		return new Promise((resolve, reject) => {
			const waiting: WaitingRequest = {
				...request,
				resolve,
				reject,
				cancel: clock.schedule(Math.max(0, timeout), () => {
					this.#waiting.remove(waiting);
					reject(new BuckthornhitchError('deadlinePassed', `no connection to ${this.server.id} ${describeTimeout(timeout)}`));
				}),
			};
			this.#waiting.add(waiting);
			this.#opener.openIfNeeded();
		});
	}

	#closeIdle(): void {
		this.#idle.closeWhere(() => true);
	}

	async #rollBack(connection: PooledConnection): Promise<void> {
		try {
			const reply = await connection.rollBack(rollbackTimeout);
			this.#rollingBack.delete(connection);
			if (connection.isReusable) {
				this.release(connection);
				return;
			}

			this.options.logger.warn(`connection to ${this.server.id} closed: its transaction is ${reply.transaction} after a rollback`);
		} catch (error) {
			this.options.logger.debug(`connection to ${this.server.id} closed: the rollback failed: ${toBuckthornhitchError(error).message}`);
		}

		this.#rollingBack.delete(connection);
		this.#inTransaction.delete(connection);
		connection.memberConnection.close();
		if (this.#placement.isExact) {
			this.#opener.openIfNeeded();
		}
	}

	/** Returns the request that a released connection is for. If the request may not use the connection, the connection has to be replaced for it. */
	#nextRequestFor(connection: PooledConnection): WaitingRequest | undefined {
		const isOpening = this.#opener.createOpeningCheck();
		return this.#nextRequest(request => this.#isServable(request)
			&& (mayUse(request, connection) || (request.path === connection.path && !isOpening(request) && this.#opener.mayOpen(request))));
	}

	/** Returns the first waiting request that can be served, after rejecting those before it that cannot be answered in time any more. */
	#nextRequest(canServe: (request: WaitingRequest) => boolean): WaitingRequest | undefined {
		const late: WaitingRequest[] = [];
		const next = this.#waiting.findNext(request => {
			const isServed = canServe(request);
			if (isServed && !this.isAnswerableBefore(request.deadline)) {
				late.push(request);
				return false;
			}

			return isServed;
		});
		this.#waiting.rejectWhere(request => late.includes(request), new BuckthornhitchError('deadlinePassed', `no connection to ${this.server.id} early enough for an answer in time`));
		return next;
	}

	/** Returns whether the customer of the request would hold all connections while another customer waits. */
	#wouldHoldAll(request: ConnectionRequest): boolean {
		const {customer, path, session} = request;
		const maximum = this.#placement.maximumConnections(path);
		return session !== undefined && maximum > 1 && this.#waiting.isOtherCustomerWaiting(request)
			&& [...this.#inUse].filter(connection => connection.path === path && connection.customer === customer).length >= maximum - 1;
	}

	/** Returns whether a free connection may be given to the request now. */
	#isServable(request: ConnectionRequest): boolean {
		return !this.#wouldHoldAll(request) && !this.#isTransactionShareUsed(request);
	}

	/** Returns whether the request is for a transaction and the connections that may be in transactions are. */
	#isTransactionShareUsed({isForTransaction, path}: ConnectionRequest): boolean {
		// Elsewhere the connections of an instance are few and its callers are its own.
		if (!isForTransaction || !this.#placement.isExact || path === 'gateway') {
			return false;
		}

		const count = [...this.#inTransaction].filter(connection => connection.path === path).length;
		return count >= maximumTransactions(this.#placement.maximumConnections(path));
	}

	#assign(request: WaitingRequest, connection: PooledConnection): void {
		this.#waiting.remove(request);
		request.cancel();
		this.#markInUse(connection, request);
		request.resolve(connection);
	}

	#markInUse(connection: PooledConnection, {priority, isForTransaction}: ConnectionRequest): void {
		this.#inUse.add(connection);
		if (isForTransaction) {
			this.#inTransaction.add(connection);
		}

		connection.memberConnection.setUse({priority, isForTransaction});
	}

	#removeFromUse(connection: PooledConnection): void {
		this.#inUse.delete(connection);
		this.#inTransaction.delete(connection);
	}

	/** Returns the number of connections on the path that the member counts. */
	#countOn(path: ConnectionPath | undefined): number {
		const counted = this.#placement.isExact ? [...this.#inUse, ...this.#rollingBack] : [...this.#inUse];
		return this.#idle.countOn(path) + counted.filter(connection => connection.path === path).length;
	}

	#addOpened({memberConnection, customer, path}: OpenedConnection): void {
		if (!memberConnection.isRelayed) {
			this.#recordReachable();
		}

		const connection = new PooledConnection(memberConnection, {
			clock: this.options.clock,
			customer,
			path,
			onReply: reply => {
				this.#recordReachable(reply);
			},
		});
		memberConnection.onClosed(() => {
			this.#idle.remove(connection);
		});
		const own = connection.isReusable ? this.#nextRequest(request => mayUse(request, connection) && this.#isServable(request)) : undefined;
		if (own) {
			this.#assign(own, connection);
		} else {
			this.release(connection);
		}
	}

	/** Records that the member is reachable, and the log position in its reply, if there is one. */
	#recordReachable(reply?: StatementReply): void {
		this.#health.recordAnswer();
		if (reply?.point) {
			this.logPosition = reply.point;
			this.logPositionAt = this.options.clock.now();
		}
	}

	/** Closes surplus connections once they have been idle for their time-out. */
	#scheduleSurplusClose(): void {
		if (this.#isSurplusCloseScheduled) {
			return;
		}

		// Where time-outs differ, a single timer serves all connections.
		this.#isSurplusCloseScheduled = this.#placement.isExact;
		this.options.clock.schedule(surplusIdleTimeout, () => {
			this.#isSurplusCloseScheduled = false;
			this.#closeForbidden();
			const surplus = this.#idle.length + this.#inUse.size - 1;
			this.#idle.closeOlderThan(({memberConnection, customer}) => this.#placement.idleTimeout(memberConnection, customer), this.options.clock.now(), surplus);
			if (this.#placement.isExact && this.#idle.length > 0) {
				this.#scheduleSurplusClose();
			}
		});
	}

	/** Closes the idle connections that the placement does not allow any more. */
	#closeForbidden(): void {
		this.#idle.closeWhere(({memberConnection}) => !this.#placement.isAllowed(memberConnection));
	}
}
