import {describeTimeout} from '../clock/describe-timeout.js';
import {type WaitingOrder, type WaitingSearch} from '../admission/waiting-order.js';
import {WaitingQueue, type WaitingItem} from '../admission/waiting-queue.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {type ConnectionPath, type ConnectionUse} from '../statement/member-connection.js';
import {type CallerSessionState} from './caller-session-state.js';
import {type PooledConnection} from './pooled-connection.js';
import {PriorityOrder} from './priority-order.js';

/** Request for a connection to a member. */
export type ConnectionRequest = WaitingItem & {
	/** Undefined for the statements of the proxy itself. */
	readonly session: CallerSessionState | undefined;
	readonly path: ConnectionPath | undefined;
	/** Whether a caller's transaction is opened on the connection, which then stays in use until the transaction ends. */
	readonly isForTransaction: boolean;
	/** Whether the statements take a slot of the member, unlike those of the proxy itself. */
	readonly takesSlot: boolean;
	/** Time by which a caller should have its reply; undefined for the statements of the proxy itself. */
	readonly targetAt: Milliseconds | undefined;
	/** Whether another instance sent the request, which this instance serves as a gateway. */
	readonly isFromRelay: boolean;
};

/** Request that waits for a connection. */
export type WaitingRequest = ConnectionRequest & {
	readonly resolve: (connection: PooledConnection) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	readonly cancel: Cancel;
};

/** A request was refused in a queue without having run. */
export class QueueRefusalError extends BuckthornhitchError {
	/** The expected wait is that of the request if it had stayed in the queue. */
	constructor(codeName: ResultCodeName, detail: string, readonly expectedWait: Milliseconds) {
		super(codeName, detail);
	}
}

/** Whom a request is for, and how a connection for it is opened. */
export type RequestOwner = Pick<ConnectionRequest, 'session' | 'customer' | 'path' | 'isFromRelay'>;

/** Returns the request for a connection that is needed now for the use. Without a target, the timeout is the target. */
export function createConnectionRequest(owner: RequestOwner, use: ConnectionUse, timeout: Milliseconds, now: Milliseconds): ConnectionRequest {
	const {priority, isForTransaction, isOfProxy = false, targetAt} = use;
	return {
		...owner,
		priority,
		isForTransaction,
		takesSlot: !isOfProxy,
		targetAt,
		arrivedAt: now,
		deadline: now + timeout,
		latencyTarget: targetAt === undefined ? timeout : targetAt - now,
		// Statements of open transactions do not wait for a connection, since a transaction keeps its own.
		isInTransaction: false,
	};
}

/** Returns whether the request may use the connection. Statements of the proxy itself may use the connection of any customer. */
export function mayUse({session, customer, path}: ConnectionRequest, connection: PooledConnection): boolean {
	return session === undefined || (connection.customer === customer && connection.path === path);
}

/** Returns the conditions under which the request can be served, apart from its customer. */
function servingConditions({session, path, isForTransaction, takesSlot, isFromRelay}: ConnectionRequest): string {
	return [session === undefined, path, isForTransaction, takesSlot, isFromRelay].join(' ');
}

/** Maximum number of waiting requests per connection; as many as the queue of a member holds. */
const maximumWaitersPerConnection = 24;

/** Time after which waiting requests are checked without an arrival or a release. */
const checkInterval: Milliseconds = 100;

/** Dependencies of the waiting requests; functions return the current value. */
export type ConnectionRequestsOptions = {
	readonly clock: Clock;
	/** Name of the member, for refusals. */
	readonly member: string;
	/** Whether the instances' shares of the member's connections are exact, which decides the order. */
	readonly isExact: () => boolean;
	/** Number of connections that this instance may have to the member. */
	readonly maximumConnections: () => number;
	/** Number of connections that a customer holds. */
	readonly heldBy: (customer: string | undefined) => number;
	/** Expected time from the assignment of a connection to the reply. */
	readonly expectedReplyTime: () => Milliseconds;
	/** Number of statements that may be in flight at the same time. */
	readonly concurrency: () => number;
};

/** Requests that wait for a connection to one member, in the order of the placement in force. */
export class ConnectionRequests {
	#order: WaitingOrder<WaitingRequest>;
	#isExact: boolean;
	/** Number of waiting requests of callers, by path and customer. */
	readonly #counts = new Map<ConnectionPath | undefined, Map<string | undefined, number>>();

	/** Number of waiting requests of other instances. */
	#fromRelaysCount = 0;
	#isCheckScheduled = false;

	constructor(private readonly options: ConnectionRequestsOptions) {
		this.#isExact = options.isExact();
		this.#order = this.#createOrder();
	}

	/** Number of waiting requests. */
	get length(): number {
		return this.#order.length;
	}

	/** Adds a request. Resolves with its connection, or rejects when its deadline passes or it is refused. If the queue is full, the last request in the order is refused, which may be the added one. */
	async add(request: ConnectionRequest): Promise<PooledConnection> {
		this.#followPlacement();
		const {clock, member} = this.options;
		const timeout = request.deadline - this.#now;
		return new Promise((resolve, reject) => {
			const waiting: WaitingRequest = {
				...request,
				resolve,
				reject,
				cancel: clock.schedule(Math.max(0, timeout), () => {
					this.#reject(waiting, new BuckthornhitchError('deadlinePassed', `no connection to ${member} ${describeTimeout(timeout)}`));
				}),
			};
			this.#count(waiting, 1);
			this.#addToOrder(waiting);
		});
	}

	/** Returns the first request that meets the conditions. */
	findFirst(search: WaitingSearch<WaitingRequest>): WaitingRequest | undefined {
		this.#followPlacement();
		return this.#order.findFirst(search, this.#now);
	}

	/** Returns the first request that can be served, after rejecting those before it that cannot be answered before their deadline any more. */
	findAnswerable(canServe: (request: WaitingRequest) => boolean, isAnswerableBefore: (deadline: Milliseconds) => boolean): WaitingRequest | undefined {
		const late: WaitingRequest[] = [];
		const next = this.findFirst({
			canServe(request) {
				const isServed = canServe(request);
				if (isServed && !isAnswerableBefore(request.deadline)) {
					late.push(request);
					return false;
				}

				return isServed;
			},
		});
		for (const request of late) {
			this.rejectLate(request);
		}

		return next;
	}

	/** Returns whether a request of another customer waits for a connection on the path. */
	isOtherCustomerWaiting({customer, path}: ConnectionRequest): boolean {
		const counts = this.#counts.get(path);
		return counts !== undefined && (counts.size > 1 || (counts.size === 1 && !counts.has(customer)));
	}

	/** Removes a request that is served now. */
	take(request: WaitingRequest): void {
		this.#count(request, -1);
		this.#order.take(request, this.#now);
		request.cancel();
	}

	/** Counts a request that is served without waiting. */
	recordServed(request: ConnectionRequest): void {
		this.#order.recordServed(request, this.#now);
	}

	/** Rejects the requests that cannot be answered in time any more, given those that precede them. While requests wait, repeats this, since a member that answers nothing causes no other check. */
	rejectUnanswerable(): void {
		this.#followPlacement();
		for (const request of this.#order.removeUnanswerable(this.#now)) {
			this.#refuse(request, 'deadlinePassed', `no answer of ${this.options.member} in time`);
		}

		if (this.length > 0 && !this.#isCheckScheduled) {
			this.#isCheckScheduled = true;
			this.options.clock.schedule(checkInterval, () => {
				this.#isCheckScheduled = false;
				this.rejectUnanswerable();
			});
		}
	}

	/** Rejects a request that can be served but not answered in time any more. */
	rejectLate(request: WaitingRequest): void {
		this.#refuse(request, 'deadlinePassed', `no connection to ${this.options.member} early enough for an answer in time`);
	}

	/** Rejects the requests of other instances. */
	rejectFromRelays(error: BuckthornhitchError): void {
		if (this.#fromRelaysCount > 0) {
			this.rejectWhere(({isFromRelay}) => isFromRelay, error);
		}
	}

	/** Rejects and removes the requests for which the function returns true. */
	rejectWhere(predicate: (request: WaitingRequest) => boolean, error: BuckthornhitchError): void {
		for (const request of [...this.#order.items].filter(other => predicate(other))) {
			this.#reject(request, error);
		}
	}

	get #now(): Milliseconds {
		return this.options.clock.now();
	}

	#refuse(request: WaitingRequest, codeName: ResultCodeName, detail: string): void {
		this.#reject(request, this.#isExact ? new QueueRefusalError(codeName, detail, this.#order.expectedWait(request, this.#now)) : new BuckthornhitchError(codeName, detail));
	}

	#reject(request: WaitingRequest, error: BuckthornhitchError): void {
		this.#count(request, -1);
		this.#order.remove(request);
		request.cancel();
		request.reject(error);
	}

	#count({
		session, path, customer, isFromRelay,
	}: ConnectionRequest, change: number): void {
		this.#fromRelaysCount += isFromRelay ? change : 0;
		if (session === undefined) {
			return;
		}

		const counts = this.#counts.get(path) ?? new Map<string | undefined, number>();
		this.#counts.set(path, counts);
		const count = (counts.get(customer) ?? 0) + change;
		if (count > 0) {
			counts.set(customer, count);
		} else {
			counts.delete(customer);
		}
	}

	/** Moves the requests to the order of the placement, if it has changed. */
	#followPlacement(): void {
		if (this.#isExact === this.options.isExact()) {
			return;
		}

		const requests = [...this.#order.items];
		this.#isExact = this.options.isExact();
		this.#order = this.#createOrder();
		for (const request of requests) {
			this.#addToOrder(request);
		}
	}

	#addToOrder(request: WaitingRequest): void {
		const refused = this.#order.add(request, this.#now);
		if (refused) {
			this.#refuse(refused, 'queueFull', `${this.length} requests wait for ${this.options.member}`);
		}
	}

	#createOrder(): WaitingOrder<WaitingRequest> {
		const {maximumConnections, heldBy, expectedReplyTime, concurrency} = this.options;
		const maximumLength = (): number => maximumWaitersPerConnection * maximumConnections();
		return this.#isExact
			? new WaitingQueue<WaitingRequest>({
				maximumLength, expectedReplyTime, expectedInterval: () => expectedReplyTime() / concurrency(), conditionsOf: servingConditions,
			})
			: new PriorityOrder(heldBy, maximumLength);
	}
}
