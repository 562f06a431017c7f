import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Share of the requests of the last second that may be retries. */
const retryShare = 0.1;

/** Retries that are allowed in each second however few requests there are. */
const retriesAlwaysAllowed = 10;

const windowLength: Milliseconds = 1000;
const bucketLength: Milliseconds = 100;

type Bucket = {
	requests: number;
	retries: number;
};

/** Limits retries to a share of the requests, so that retries cannot multiply an overload. */
export class SlidingWindowRetryBudget {
	readonly #buckets = new Map<number, Bucket>();

	constructor(private readonly clock: Clock) {}

	/** Counts a request. */
	countRequest(): void {
		this.#bucket().requests++;
	}

	/** Returns whether a retry is allowed now, and counts it if so. */
	tryRetry(): boolean {
		const current = this.#bucket();
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#buckets.values()) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		if (retries >= Math.max(retriesAlwaysAllowed, requests * retryShare)) {
			return false;
		}

		current.retries++;
		return true;
	}

	#bucket(): Bucket {
		const index = Math.floor(this.clock.now() / bucketLength);
		const present = this.#buckets.get(index);
		if (present) {
			return present;
		}

		for (const old of this.#buckets.keys()) {
			if (old <= index - (windowLength / bucketLength)) {
				this.#buckets.delete(old);
			}
		}

		const added = {requests: 0, retries: 0};
		this.#buckets.set(index, added);
		return added;
	}
}
