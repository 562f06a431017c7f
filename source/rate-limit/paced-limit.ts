import {type Milliseconds} from '../clock/clock.js';

/** Factor on the rate at which the bound rises. Usage is reported late and rounded to whole operations, which must not refuse a customer at its rate. */
const riseFactor = 1.25;

/** Smallest part of the maximum that may be admitted at once, for customers with little or no burst; requests never arrive evenly. */
const smallestBurstShare = 0.25;

/** Limit of a customer for the instances that hear each other. */
export type WindowLimit = {
	/** Operations to admit in a window at most. */
	readonly maximum: number;
	/** Operations of a window at the customer's rate, without its burst. */
	readonly atRate: number;
};

/**
Bound on the counted operations of one customer, which rises no faster than the customer's rate once the burst is used.

Answers a customer that sends many times its rate for seconds: with the window alone, all operations of a window were admitted within its first second and every one in the rest of it was refused. A customer that sends no more than its rate never reaches the bound, since its counted operations rise no faster.
*/
export class PacedLimit {
	/** Counted operations, as far as they rose no faster than the rate. */
	#baseline: number;
	#updatedAt: Milliseconds;

	/** Begins at the operations that are counted now. */
	constructor(used: number, now: Milliseconds, private readonly window: Milliseconds) {
		this.#baseline = used;
		this.#updatedAt = now;
	}

	/** Returns the operations that may be counted now, given those that are. */
	update(used: number, {maximum, atRate}: WindowLimit, now: Milliseconds): number {
		const rise = riseFactor * atRate * (now - this.#updatedAt) / this.window;
		this.#updatedAt = now;
		this.#baseline = Math.min(used, this.#baseline + rise);
		const burst = Math.max(maximum - atRate, maximum * smallestBurstShare);
		return Math.min(maximum, Math.ceil(Math.min(this.#baseline, atRate) + burst));
	}
}
