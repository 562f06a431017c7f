import {type Milliseconds} from '../clock/clock.js';

/** Number of expired times that are kept before the list is shortened, so that it is not copied for each one. */
const expiredTimesLimit = 64;

/** Times of the operations of a customer within a sliding window. */
export class SlidingWindow {
	#times: Milliseconds[] = [];
	#expired = 0;

	constructor(private readonly length: Milliseconds) {}

	/** Adds an operation. */
	add(now: Milliseconds): void {
		this.#times.push(now);
	}

	/** Returns the number of operations in the window that ends now. */
	count(now: Milliseconds): number {
		while (this.#expired < this.#times.length && this.#times[this.#expired] <= now - this.length) {
			this.#expired++;
		}

		if (this.#expired > expiredTimesLimit) {
			this.#times = this.#times.slice(this.#expired);
			this.#expired = 0;
		}

		return this.#times.length - this.#expired;
	}

	/** Returns the time until the oldest counted operation leaves the window. */
	timeUntilFirstExpiry(now: Milliseconds): Milliseconds {
		return this.count(now) === 0 ? 0 : this.#times[this.#expired] + this.length - now;
	}
}
