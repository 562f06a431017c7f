import {WaitingOrder, type WaitingSearch} from '../admission/waiting-order.js';
import {type WaitingRequest} from './connection-requests.js';

/** Order by priority, then the customer that holds the fewest connections, then arrival. */
export class PriorityOrder extends WaitingOrder<WaitingRequest> {
	readonly #requests: WaitingRequest[] = [];

	/** The function returns the number of connections that a customer holds. */
	constructor(private readonly heldBy: (customer: string | undefined) => number, private readonly maximumLength: () => number) {
		super();
	}

	override get length(): number {
		return this.#requests.length;
	}

	override get items(): Iterable<WaitingRequest> {
		return this.#requests;
	}

	/** Adds a request behind those of the same or a higher priority. If the queue is full, returns the request without adding it. */
	override add(request: WaitingRequest): WaitingRequest | undefined {
		if (this.#requests.length >= this.maximumLength()) {
			return request;
		}

		const index = this.#requests.findIndex(other => other.priority > request.priority);
		this.#requests.splice(index === -1 ? this.#requests.length : index, 0, request);
		return undefined;
	}

	override findFirst({canServe, isPassedOver = () => false}: WaitingSearch<WaitingRequest>): WaitingRequest | undefined {
		return this.#inOrder().find(request => !isPassedOver(request) && canServe(request));
	}

	override remove(request: WaitingRequest): void {
		const index = this.#requests.indexOf(request);
		if (index !== -1) {
			this.#requests.splice(index, 1);
		}
	}

	override take(request: WaitingRequest): void {
		this.remove(request);
	}

	override recordServed(): void {
		// The order does not depend on served requests.
	}

	override removeUnanswerable(): readonly WaitingRequest[] {
		// The pool checks a request when a connection is free for it.
		return [];
	}

	override expectedWait(): number {
		return 0;
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
