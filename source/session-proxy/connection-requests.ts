import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ConnectionPath} from '../statement/member-connection.js';
import {type CallerSessionState} from './caller-session-state.js';
import {type PooledConnection} from './pooled-connection.js';

/** Request for a connection to a member. */
export type ConnectionRequest = {
	/** Requests with a lower number are served first. */
	readonly priority: number;
	readonly deadline: Milliseconds;
	/** Undefined for the statements of the proxy itself. */
	readonly session: CallerSessionState | undefined;
	/** Name of the customer to whom the connection must belong. */
	readonly customer: string | undefined;
	readonly path: ConnectionPath | undefined;
	/** Whether a caller's transaction is opened on the connection, which then stays in use until the transaction ends. */
	readonly isForTransaction: boolean;
};

/** Request that waits for a connection. */
export type WaitingRequest = ConnectionRequest & {
	readonly resolve: (connection: PooledConnection) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	cancel: Cancel;
};

/** Returns whether the request may use the connection. Statements of the proxy itself may use the connection of any customer. */
export function mayUse({session, customer, path}: ConnectionRequest, connection: PooledConnection): boolean {
	return session === undefined || (connection.customer === customer && connection.path === path);
}

/** Requests that wait for a connection to one member, in the order in which they are served: by priority, then the customer that holds the fewest connections, then by arrival. */
export class ConnectionRequests {
	#requests: WaitingRequest[] = [];

	/** The function returns the number of connections that a customer holds. */
	constructor(private readonly heldBy: (customer: string | undefined) => number) {}

	/** Number of waiting requests. */
	get length(): number {
		return this.#requests.length;
	}

	/** Adds a request behind those of the same or a higher priority. */
	add(request: WaitingRequest): void {
		const index = this.#requests.findIndex(other => other.priority > request.priority);
		this.#requests.splice(index === -1 ? this.#requests.length : index, 0, request);
	}

	/** Returns the first request that can be served. The function is called for the requests in order. */
	findNext(canServe: (request: WaitingRequest) => boolean): WaitingRequest | undefined {
		return this.#inOrder().find(request => canServe(request));
	}

	/** Returns whether a request of another customer waits for a connection on the path. */
	isOtherCustomerWaiting({customer, path}: ConnectionRequest): boolean {
		return this.#requests.some(other => other.session !== undefined && other.path === path && other.customer !== customer);
	}

	/** Removes a request; it has no effect if the request does not wait. */
	remove(request: WaitingRequest): void {
		const index = this.#requests.indexOf(request);
		if (index !== -1) {
			this.#requests.splice(index, 1);
		}
	}

	/** Rejects and removes the requests for which the function returns true. */
	rejectWhere(predicate: (request: WaitingRequest) => boolean, error: BuckthornhitchError): void {
		const rejected = this.#requests.filter(request => predicate(request));
		this.#requests = this.#requests.filter(request => !predicate(request));
		for (const request of rejected) {
			request.cancel();
			request.reject(error);
		}
	}

	#inOrder(): readonly WaitingRequest[] {
		const customers = new Set(this.#requests.map(({customer}) => customer));
		if (customers.size <= 1) {
			return this.#requests;
		}

		const held = new Map([...customers].map(customer => [customer, this.heldBy(customer)]));
		return this.#requests.toSorted((first, second) => first.priority - second.priority || held.get(first.customer)! - held.get(second.customer)!);
	}
}
