import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Hybrid logical timestamp: wall time in milliseconds and a counter that orders events of the same millisecond. */
export type HybridTime = {
	readonly milliseconds: Milliseconds;
	readonly counter: number;
};

/** Compares two hybrid timestamps: negative when the first is earlier. */
export function compareHybridTime(first: HybridTime, second: HybridTime): number {
	return first.milliseconds - second.milliseconds || first.counter - second.counter;
}

/** Hybrid logical clock: the receipt of a message always gets a later timestamp than its sending. */
export class HybridClock {
	#latest: HybridTime = {milliseconds: 0, counter: 0};
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Returns a timestamp later than every timestamp returned or observed before. */
	tick(): HybridTime {
		const wall = Math.floor(this.#clock.wallTime());
		this.#latest = wall > this.#latest.milliseconds
			? {milliseconds: wall, counter: 0}
			: {milliseconds: this.#latest.milliseconds, counter: this.#latest.counter + 1};
		return this.#latest;
	}

	/** Advances the clock to at least the timestamp of a received message. */
	observe(time: HybridTime): void {
		if (compareHybridTime(time, this.#latest) > 0) {
			this.#latest = time;
		}
	}
}
