import {type Clock, type Milliseconds} from '../clock/clock.js';

const shareOfRequests = 0.1;
const retriesPerSecond = 10;
const oneSecond: Milliseconds = 1000;
const largestBalance = 100;

/** Bounds retries to a tenth of the requests, at least ten a second, so that retries can not multiply an overload. */
export class RetryBudget {
	#balance = retriesPerSecond;
	#filledAt: Milliseconds;

	constructor(private readonly clock: Clock) {
		this.#filledAt = clock.now();
	}

	/** Counts one request. */
	countRequest(): void {
		this.#add(shareOfRequests);
	}

	/** Takes one retry; returns false when the budget is spent. */
	take(): boolean {
		const now = this.clock.now();
		this.#add(((now - this.#filledAt) / oneSecond) * retriesPerSecond);
		this.#filledAt = now;
		if (this.#balance < 1) {
			return false;
		}

		this.#balance--;
		return true;
	}

	#add(amount: number): void {
		this.#balance = Math.min(largestBalance, this.#balance + amount);
	}
}
