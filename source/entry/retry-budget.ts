import {type Clock, type Milliseconds} from '../clock/clock.js';

const retriesPerRequest = 0.1;
const retriesPerSecond = 10;
const millisecondsPerSecond: Milliseconds = 1000;
const maximumBalance = 100;

/** Limits retries to a tenth of the requests plus ten a second, so that retries cannot amplify an overload. */
export class RetryBudget {
	#balance = retriesPerSecond;
	#refilledAt: Milliseconds;

	constructor(private readonly clock: Clock) {
		this.#refilledAt = clock.now();
	}

	/** Counts a request, which adds to the budget. */
	countRequest(): void {
		this.#add(retriesPerRequest);
	}

	/** Takes one retry from the budget. Returns false if the budget is exhausted. */
	tryTake(): boolean {
		const now = this.clock.now();
		this.#add(((now - this.#refilledAt) / millisecondsPerSecond) * retriesPerSecond);
		this.#refilledAt = now;
		if (this.#balance < 1) {
			return false;
		}

		this.#balance--;
		return true;
	}

	#add(amount: number): void {
		this.#balance = Math.min(maximumBalance, this.#balance + amount);
	}
}
