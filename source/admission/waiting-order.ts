import {type Milliseconds} from '../clock/clock.js';

/** Conditions on the waiting request to find. */
export type WaitingSearch<Item> = {
	/** Returns whether the request can be served now. If not, an order may skip the requests of the same lane, for which the answer would be the same. */
	readonly canServe: (item: Item) => boolean;
	/** Returns whether the request needs nothing at the moment. Called once for each request in order, before `canServe`. */
	readonly isPassedOver?: (item: Item) => boolean;
};

/** Order in which waiting requests are served. */
export abstract class WaitingOrder<Item> {
	/** Number of waiting requests. */
	abstract get length(): number;

	/** Waiting requests, in any order. */
	abstract get items(): Iterable<Item>;

	/** Adds a request. Returns the request to refuse if the queue is full, which may be the added one. */
	abstract add(item: Item, now: Milliseconds): Item | undefined;

	/** Returns the first request that meets the conditions. */
	abstract findFirst(search: WaitingSearch<Item>, now: Milliseconds): Item | undefined;

	/** Removes a request that is not wanted any more; it has no effect if the request does not wait. */
	abstract remove(item: Item): void;

	/** Removes a request that is served now, and counts it as served. */
	abstract take(item: Item, now: Milliseconds): void;

	/** Counts a request that is served without waiting. */
	abstract recordServed(served: {readonly customer: string | undefined}, now: Milliseconds): void;

	/** Removes and returns requests that cannot be answered in time any more, given those that precede them. */
	abstract removeUnanswerable(now: Milliseconds): readonly Item[];

	/** Returns the expected wait of a request that is or would be in the queue; 0 if it is not known. */
	abstract expectedWait(item: Item, now: Milliseconds): Milliseconds;
}
