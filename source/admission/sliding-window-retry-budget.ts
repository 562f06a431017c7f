import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Maximum ratio of retries to requests within the window. */
const maximumRetryShare = 0.1;

/** Retries that are allowed within the window however few requests there are. */
const minimumRetriesPerWindow = 10;

const windowLength: Milliseconds = 1000;
const bucketLength: Milliseconds = 100;

type Bucket = {
	requests: number;
	retries: number;
};

/** Limits retries to a share of the requests of the last second, so that retries cannot amplify an overload. */
export class SlidingWindowRetryBudget {
	readonly #buckets = new Map<number, Bucket>();

	constructor(private readonly clock: Clock) {}

	/** Counts a request. */
	countRequest(): void {
		this.#currentBucket().requests++;
	}

	/** Returns whether a retry is allowed now, and counts it if so. */
	tryRetry(): boolean {
		const current = this.#currentBucket();
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#buckets.values()) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		if (retries >= Math.max(minimumRetriesPerWindow, requests * maximumRetryShare)) {
			return false;
		}

		current.retries++;
		return true;
	}

	#currentBucket(): Bucket {
		const index = Math.floor(this.clock.now() / bucketLength);
		const existing = this.#buckets.get(index);
		if (existing) {
			return existing;
		}

		for (const otherIndex of this.#buckets.keys()) {
			if (otherIndex <= index - (windowLength / bucketLength)) {
				this.#buckets.delete(otherIndex);
			}
		}

		const added = {requests: 0, retries: 0};
		this.#buckets.set(index, added);
		return added;
	}
}
