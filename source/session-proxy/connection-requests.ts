import {type WaitingOrder, type WaitingSearch} from '../admission/waiting-order.js';
import {type WaitingItem} from '../admission/waiting-lane.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {type ConnectionPath} from '../statement/member-connection.js';
import {type CallerSessionState} from './caller-session-state.js';
import {type PooledConnection} from './pooled-connection.js';

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
	cancel: Cancel;
};

/** A request was refused in a queue without having run. */
export class QueueRefusalError extends BuckthornhitchError {
	/** The expected wait is that of the request if it had stayed in the queue. */
	constructor(codeName: ResultCodeName, detail: string, readonly expectedWait: Milliseconds) {
		super(codeName, detail);
	}
}

/** Returns whether the request may use the connection. Statements of the proxy itself may use the connection of any customer. */
export function mayUse({session, customer, path}: ConnectionRequest, connection: PooledConnection): boolean {
	return session === undefined || (connection.customer === customer && connection.path === path);
}

/** Returns the conditions under which the request can be served, apart from its customer. */
export function servingConditions({session, path, isForTransaction, takesSlot, isFromRelay}: ConnectionRequest): string {
	return [session === undefined, path, isForTransaction, takesSlot, isFromRelay].join(' ');
}

/** Dependencies of the waiting requests. */
export type ConnectionRequestsOptions = {
	readonly clock: Clock;
	/** Name of the member, for refusals. */
	readonly member: string;
	/** Returns whether the instances' shares of the member's connections are exact, which decides the order. */
	readonly isExact: () => boolean;
	/** Order where the shares are exact. */
	readonly exactOrder: () => WaitingOrder<WaitingRequest>;
	/** Order elsewhere. */
	readonly sharedOrder: () => WaitingOrder<WaitingRequest>;
};

/** Requests that wait for a connection to one member, in the order of the placement in force. */
export class ConnectionRequests {
	#order: WaitingOrder<WaitingRequest>;
	#isExact: boolean;
	/** Number of waiting requests of callers, by path and customer. */
	readonly #counts = new Map<ConnectionPath | undefined, Map<string | undefined, number>>();

	constructor(private readonly options: ConnectionRequestsOptions) {
		this.#isExact = options.isExact();
		this.#order = this.#createOrder();
	}

	/** Number of waiting requests. */
	get length(): number {
		return this.#order.length;
	}

	/** Adds a request. If the queue is full, rejects the last request in the order, which may be the added one. */
	add(request: WaitingRequest): void {
		this.#followPlacement();
		this.#count(request, 1);
		const refused = this.#order.add(request, this.#now);
		if (refused) {
			this.#refuse(refused, 'queueFull', `${this.length} requests wait for ${this.options.member}`);
		}
	}

	/** Returns the first request that meets the conditions. */
	find(search: WaitingSearch<WaitingRequest>): WaitingRequest | undefined {
		this.#followPlacement();
		return this.#order.find(search, this.#now);
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

	/** Rejects a request whose deadline has passed. */
	expire(request: WaitingRequest, error: BuckthornhitchError): void {
		this.#remove(request);
		request.reject(error);
	}

	/** Rejects the requests that cannot be answered in time any more, given those that precede them. */
	rejectUnanswerable(): void {
		for (const request of this.#order.removeUnanswerable(this.#now)) {
			this.#refuse(request, 'deadlinePassed', `no answer of ${this.options.member} in time`);
		}
	}

	/** Rejects a request that can be served but not answered in time any more. */
	rejectLate(request: WaitingRequest): void {
		this.#refuse(request, 'deadlinePassed', `no connection to ${this.options.member} early enough for an answer in time`);
	}

	/** Rejects and removes the requests for which the function returns true. */
	rejectWhere(predicate: (request: WaitingRequest) => boolean, error: BuckthornhitchError): void {
		for (const request of [...this.#order.items].filter(other => predicate(other))) {
			this.#remove(request);
			request.reject(error);
		}
	}

	get #now(): Milliseconds {
		return this.options.clock.now();
	}

	#refuse(request: WaitingRequest, codeName: ResultCodeName, detail: string): void {
		this.#remove(request);
		request.reject(this.#isExact ? new QueueRefusalError(codeName, detail, this.#order.expectedWait(request, this.#now)) : new BuckthornhitchError(codeName, detail));
	}

	#remove(request: WaitingRequest): void {
		this.#count(request, -1);
		this.#order.remove(request);
		request.cancel();
	}

	#count({session, path, customer}: ConnectionRequest, change: number): void {
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
			const refused = this.#order.add(request, this.#now);
			if (refused) {
				this.#refuse(refused, 'queueFull', `${this.length} requests wait for ${this.options.member}`);
			}
		}
	}

	#createOrder(): WaitingOrder<WaitingRequest> {
		const {exactOrder, sharedOrder} = this.options;
		return this.#isExact ? exactOrder() : sharedOrder();
	}
}
