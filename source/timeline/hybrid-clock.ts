import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Hybrid logical time: wall time in milliseconds and a counter that orders equal milliseconds. */
export type HybridTime = {
	readonly milliseconds: Milliseconds;
	readonly counter: number;
};

/** Orders two hybrid times: negative when the first is earlier. */
export function compareHybridTime(first: HybridTime, second: HybridTime): number {
	return first.milliseconds - second.milliseconds || first.counter - second.counter;
}

/** Hybrid logical clock: an event caused by a received message is always later than its sending. */
export class HybridClock {
	#latest: HybridTime = {milliseconds: 0, counter: 0};
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Returns a time later than every time returned or observed before. */
	tick(): HybridTime {
		const wall = Math.floor(this.#clock.wallTime());
		this.#latest = wall > this.#latest.milliseconds
			? {milliseconds: wall, counter: 0}
			: {milliseconds: this.#latest.milliseconds, counter: this.#latest.counter + 1};
		return this.#latest;
	}

	/** Takes note of the time of a received message. */
	observe(time: HybridTime): void {
		if (compareHybridTime(time, this.#latest) > 0) {
			this.#latest = time;
		}
	}
}
