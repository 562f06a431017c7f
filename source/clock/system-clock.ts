import {performance} from 'node:perf_hooks';
import {Clock, type Cancel, type Milliseconds} from './clock.js';

/** A change of the offset between the wall clock and the monotonic clock above this counts as a suspension. Time synchronization adjusts the wall clock by much less between two readings. */
const suspensionThreshold: Milliseconds = 30;

/** Longest delay of a timer; a longer one would fire at once. */
const longestTimerDelay: Milliseconds = (2 ** 31) - 1;

/** Clock of the operating system. */
export class SystemClock extends Clock {
	#wallClockOffset = Date.now() - performance.now();
	#lastSuspectedSuspension = Number.NEGATIVE_INFINITY;

	/** Detects a suspension by a jump of the wall clock relative to the monotonic clock. Setting the wall clock looks the same and is treated as a suspension too. */
	override lastSuspectedSuspension(): Milliseconds {
		const now = performance.now();
		const offset = Date.now() - now;
		if (Math.abs(offset - this.#wallClockOffset) > suspensionThreshold) {
			this.#lastSuspectedSuspension = now;
		}

		this.#wallClockOffset = offset;
		return this.#lastSuspectedSuspension;
	}

	override now(): Milliseconds {
		return performance.now();
	}

	override wallTime(): Milliseconds {
		return Date.now();
	}

	override schedule(delay: Milliseconds, action: () => void): Cancel {
		const dueAt = this.now() + delay;
		let timer: NodeJS.Timeout;
		const wait = (remaining: Milliseconds): void => {
			timer = remaining > longestTimerDelay
				? setTimeout(() => {
					wait(dueAt - this.now());
				}, longestTimerDelay)
				: setTimeout(action, remaining);
		};

		wait(delay);
		return () => {
			clearTimeout(timer);
		};
	}
}
