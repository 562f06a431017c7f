import {isAnswerableInTime} from '../admission/deadline-rules.js';
import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {type BackendReachability} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ConnectionUse, type MemberConnector} from '../statement/member-connection.js';
import {type StatementReply} from '../statement/types.js';
import {type CallerSessionState} from './caller-session-state.js';
import {ConnectionOpener, type OpenedConnection} from './connection-opener.js';
import {SharedPlacement, type ConnectionPlacement} from './connection-placement.js';
import {
	ConnectionRequests, createConnectionRequest, mayUse, type ConnectionRequest, type RequestOwner, type WaitingRequest,
} from './connection-requests.js';
import {ConnectionsInUse} from './connections-in-use.js';
import {IdleConnections} from './idle-connections.js';
import {MemberHealth} from './member-health.js';
import {PooledConnection} from './pooled-connection.js';
import {type PreparationLog} from './preparation-log.js';
import {StatementGate} from './statement-gate.js';
import {SurplusConnections} from './surplus-connections.js';

/** Time to wait for an overdue reply and a rollback before the connection is closed; longer than a request waits in the queue of a slow member. */
export const rollbackTimeout: Milliseconds = 6000;

/** Time for which this instance holds the only connection of a member before it lets the leader of the control log connect. */
const yieldingPeriod: Milliseconds = 1500;

/** Time for which the only connection of a member is left to others; the leader tries several times in it. */
const yieldingPause: Milliseconds = 250;

/** Dependencies and limits of a pool. */
export type MemberPoolOptions = {
	readonly connector: MemberConnector;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Records the statements that are prepared on the connections. */
	readonly preparationLog?: PreparationLog;
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
	readonly #inUse: ConnectionsInUse;
	/** Limits the statements in flight where the shares of all instances are exact. */
	readonly #gate: StatementGate;
	readonly #waiting: ConnectionRequests;
	readonly #opener: ConnectionOpener;
	readonly #surplus: SurplusConnections;
	#isClosed = false;
	#openedCount = 0;

	constructor(readonly server: BackendServer, private readonly options: MemberPoolOptions) {
		const {clock, connector, logger, maximumConnections, placement = new SharedPlacement(maximumConnections)} = options;
		this.#placement = placement;
		this.#health = new MemberHealth(server.id, clock);
		this.#inUse = new ConnectionsInUse(placement);
		this.#surplus = new SurplusConnections(clock, placement, this.#idle, this.#inUse);
		this.#gate = new StatementGate({
			clock,
			placement,
			slots: server.slots,
			logPosition: () => this.logPosition,
			onFreed: () => {
				this.#serveWaiting();
			},
		});
		this.#waiting = new ConnectionRequests({
			clock,
			member: server.id,
			isExact: () => placement.isExact,
			maximumConnections: () => placement.maximumOfInstance,
			heldBy: customer => this.#inUse.countOf(customer),
			expectedReplyTime: () => this.#replyTimeOnConnection,
			concurrency: () => placement.isGateway ? this.#gate.limit : placement.maximumOfInstance,
		});
		this.#opener = new ConnectionOpener({
			server,
			clock,
			connector,
			logger,
			placement,
			waiting: this.#waiting,
			isServable: request => this.#isServable(request),
			countOn: path => this.#idle.countOn(path) + this.#inUse.countOn(path),
			hasIdle: path => this.#idle.countOn(path) > 0,
			makeRoom: path => this.#idle.closeLeastRecent(path),
			onOpened: opened => {
				this.#addOpened(opened);
			},
			onMayOpen: () => {
				this.#serveWaiting();
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

	/** Whether gateways near the member hold its connections. Single reads of the primary then run in a transaction of their own (see `primary-read.ts`). */
	get hasGatewaysNearMember(): boolean {
		return this.#placement.isExact;
	}

	/** Number of connections in use and of requests that wait for one. */
	get load(): number {
		return this.#inUse.count + this.#waiting.length;
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
		return this.#acquire(timeout, {priority, isForTransaction: false, isOfProxy: session === undefined}, {
			session, customer, path: this.#placement.pathFor(customer), isFromRelay: false,
		});
	}

	/** Resolves with a connection for a statement or a transaction of a caller at this instance. Rejects like `acquire`. */
	async acquireForCaller(timeout: Milliseconds, use: ConnectionUse, session: CallerSessionState, customer: string | undefined): Promise<PooledConnection> {
		return this.#acquire(timeout, use, {
			session, customer, path: this.#placement.pathFor(customer), isFromRelay: false,
		});
	}

	/** Resolves with a connection for statements that this instance relays for another one. Such a connection never leads through a gateway where each customer has one. Rejects like `acquire`, and with notGateway if this instance is not or no longer a gateway to the member. */
	async acquireForRelay(timeout: Milliseconds, use: ConnectionUse, session: CallerSessionState, customer: string | undefined): Promise<PooledConnection> {
		return this.#acquire(timeout, use, {
			session, customer, path: this.#placement.isByCustomer ? 'own' : undefined, isFromRelay: true,
		});
	}

	/** Returns a connection without an open transaction to the pool. A connection that is not reusable is closed. */
	release(connection: PooledConnection): void {
		this.#removeFromUse(connection);
		if (this.#isDueToYield(connection)) {
			this.#yield(connection);
			return;
		}

		if (!connection.isReusable || this.#isClosed || !this.#placement.isAllowed(connection.memberConnection)) {
			if (connection.isInTransaction) {
				this.options.logger.warn(`a connection to ${this.server.id} was returned with an open transaction and is closed`);
			}

			connection.memberConnection.close();
			this.#serveWaiting();
			return;
		}

		connection.releasedAt = this.options.clock.now();
		if (this.#placement.isExact) {
			this.#idle.add(connection);
			this.#serveWaiting();
			this.#surplus.scheduleClose();
			return;
		}

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
		this.#surplus.scheduleClose();
	}

	/**
	Rolls back the transaction of a connection once its last statement was answered, and then returns the connection to the pool.

	Until that answer, the connection is not closed and the rollback is not sent. The statement may still wait for a slot on the member, which would run it after the close or the rollback, outside its transaction.
	*/
	releaseAfterRollback(connection: PooledConnection): void {
		this.#inUse.beginRollback(connection);
		this.#gate.vacateIfAnswered(connection);
		const cancel = this.options.clock.schedule(rollbackTimeout, () => {
			this.#gate.vacate(connection);
			connection.memberConnection.close();
		});
		void this.#rollBack(connection).finally(cancel);
		this.#serveWaiting();
	}

	/** Closes a connection whose state is unknown. */
	discard(connection: PooledConnection): void {
		this.#removeFromUse(connection);
		connection.memberConnection.close();
		this.#serveWaiting();
	}

	/** Rejects the requests of a session that wait for a connection, because its caller has left. */
	rejectRequestsOf(session: CallerSessionState): void {
		this.#waiting.rejectWhere(request => request.session === session, new BuckthornhitchError('deadlinePassed', 'The caller has left.'));
	}

	/** Records that the member did not answer a statement that was sent at `sentAt`. Has no effect if the member has answered since then. */
	reportFailure(sentAt: Milliseconds): void {
		if (this.#health.recordFailure(sentAt)) {
			// Existing connections may never recover; new ones show whether the member is reachable.
			this.#idle.closeWhere(() => true);
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
		this.#idle.closeWhere(() => true);
		this.#waiting.rejectWhere(() => true, new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`));
	}

	#isDueToYield({memberConnection, openedAt}: PooledConnection): boolean {
		return this.#placement.isYielding && !memberConnection.isRelayed && this.options.clock.now() - openedAt >= yieldingPeriod;
	}

	/** Closes the only connection of the member, and opens none for a moment. */
	#yield(connection: PooledConnection): void {
		this.#opener.pauseFor(connection.path, yieldingPause);
		this.#idle.remove(connection);
		connection.memberConnection.close();
		this.#serveWaiting();
	}

	/** Expected time from the assignment of a connection to the reply. */
	get #replyTimeOnConnection(): Milliseconds {
		return this.#placement.isGateway ? this.#gate.expectedReplyTime : this.#health.expectedReplyTime;
	}

	async #acquire(timeout: Milliseconds, use: ConnectionUse, owner: RequestOwner): Promise<PooledConnection> {
		const request = createConnectionRequest(owner, use, timeout, this.options.clock.now());
		if (this.#isClosed) {
			throw new BuckthornhitchError('memberUnreachable', `${this.server.id} is gone`);
		}

		this.#surplus.closeForbidden();
		if (request.isFromRelay && !this.#placement.isGateway) {
			throw new BuckthornhitchError('notGateway', this.server.id);
		}

		const idle = this.#inUse.isTransactionShareUsed(request) || this.#gate.isClosedFor(request) ? undefined : this.#idle.take(request);
		if (idle) {
			this.#waiting.recordServed(request);
			this.#markInUse(idle, request);
			return idle;
		}

		const connection = this.#waiting.add(request);
		this.#serveWaiting();
		return connection;
	}

	/** Serves the waiting requests that can be served now, on idle connections or by opening connections. */
	#serveWaiting(): void {
		if (!this.#placement.isExact) {
			this.#opener.openIfNeeded();
			return;
		}

		if (!this.#placement.isGateway) {
			this.#waiting.rejectFromRelays(new BuckthornhitchError('notGateway', this.server.id));
		}

		this.#waiting.rejectUnanswerable();
		for (;;) {
			const isOpening = this.#opener.createOpeningCheck();
			const next = this.#waiting.findFirst({
				isPassedOver: request => !this.#idle.has(request) && isOpening(request),
				canServe: request => this.#isServable(request) && (this.#idle.has(request) || this.#mayOpenFor(request)),
			});
			if (!next) {
				return;
			}

			const connection = this.#idle.take(next);
			if (!connection) {
				this.#opener.openFor(next);
			} else if (isAnswerableInTime(next.deadline - this.options.clock.now(), this.#replyTimeOnConnection)) {
				this.#assign(next, connection);
			} else {
				this.#idle.add(connection);
				this.#waiting.rejectLate(next);
			}
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

		this.#removeFromUse(connection);
		connection.memberConnection.close();
		if (this.#placement.isExact) {
			this.#serveWaiting();
		}
	}

	/** Returns the request that a released connection is for. If the request may not use the connection, the connection has to be replaced for it. */
	#nextRequestFor(connection: PooledConnection): WaitingRequest | undefined {
		const isOpening = this.#opener.createOpeningCheck();
		return this.#findAnswerable(request => this.#isServable(request)
			&& (mayUse(request, connection) || (request.path === connection.path && !isOpening(request) && this.#opener.mayOpen(request))));
	}

	#findAnswerable(canServe: (request: WaitingRequest) => boolean): WaitingRequest | undefined {
		return this.#waiting.findAnswerable(canServe, deadline => this.isAnswerableBefore(deadline));
	}

	/** Returns whether a free connection may be given to the request now. */
	#isServable(request: ConnectionRequest): boolean {
		return !this.#gate.isClosedFor(request)
			&& !this.#inUse.wouldHoldAll(request, () => this.#waiting.isOtherCustomerWaiting(request))
			&& !this.#inUse.isTransactionShareUsed(request);
	}

	/** Returns whether a connection may be opened for the request. Statements for which one is being opened count as in flight, so that no more connections are opened than can be used. */
	#mayOpenFor(request: ConnectionRequest): boolean {
		return !this.#gate.isClosedFor(request, this.#opener.openingCountOn(request.path)) && this.#opener.canOpen(request);
	}

	#assign(request: WaitingRequest, connection: PooledConnection): void {
		this.#waiting.take(request);
		this.#markInUse(connection, request);
		request.resolve(connection);
	}

	#markInUse(connection: PooledConnection, request: ConnectionRequest): void {
		const {priority, isForTransaction, targetAt} = request;
		this.#inUse.add(connection, request);
		this.#gate.occupy(connection, request);
		connection.memberConnection.setUse({priority, isForTransaction, targetAt});
	}

	#removeFromUse(connection: PooledConnection): void {
		this.#inUse.remove(connection);
		this.#gate.vacate(connection);
	}

	#addOpened({memberConnection, customer, path}: OpenedConnection): void {
		if (!memberConnection.isRelayed) {
			this.#recordReachable();
		}

		const connectionNumber = ++this.#openedCount;
		const connection: PooledConnection = new PooledConnection(memberConnection, {
			clock: this.options.clock,
			customer,
			path,
			onReply: reply => {
				this.#recordReachable(reply);
			},
			onSent: memberConnection.isRelayed ? undefined : statement => this.#gate.recordSent(connection, this.#inUse.isForTransaction(connection), statement),
			onPrepared: (name, definition) => {
				const {gateway} = memberConnection;
				this.options.preparationLog?.record({
					member: this.server.id, connection: connectionNumber, gateway, name, definition,
				});
			},
		});
		memberConnection.onClosed(() => {
			this.#idle.remove(connection);
		});
		if (this.#placement.isYielding) {
			this.options.clock.schedule(yieldingPeriod, () => {
				if (this.#idle.includes(connection) && this.#isDueToYield(connection)) {
					this.#yield(connection);
				}
			});
		}

		if (this.#placement.isExact) {
			this.release(connection);
			return;
		}

		const own = connection.isReusable ? this.#findAnswerable(request => mayUse(request, connection) && this.#isServable(request)) : undefined;
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
}
