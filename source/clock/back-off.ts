import {type Random} from '../random/random.js';
import {type Milliseconds} from './clock.js';

/** Bounds of the delays of a {@link BackOff}. */
export type BackOffOptions = {
	readonly shortest: Milliseconds;
	readonly longest: Milliseconds;
};

/** Delays between attempts that double with each failure. The delays are spread over half of their length, so that instances that failed together do not return together. */
export class BackOff {
	#failures = 0;

	constructor(private readonly random: Random, private readonly options: BackOffOptions) {}

	/** Returns the delay before the next attempt after a further failure. */
	nextDelay(): Milliseconds {
		const {shortest, longest} = this.options;
		const delay = Math.min(longest, shortest * (2 ** this.#failures));
		this.#failures++;
		return delay * (0.5 + (0.5 * this.random.fraction()));
	}

	/** Makes the next delay the shortest one, after a success. */
	reset(): void {
		this.#failures = 0;
	}
}
