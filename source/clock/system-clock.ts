import {performance} from 'node:perf_hooks';
import {Clock, type Cancel, type Milliseconds} from './clock.js';

/** Difference between the steps of both clocks that is taken for a suspension; well above the rate at which time synchronization slews a clock between two readings. */
const suspensionTolerance: Milliseconds = 30;

/** Clock of the operating system: monotonic for decisions. */
export class SystemClock extends Clock {
	#offset = Date.now() - performance.now();
	#suspectedUntil = Number.NEGATIVE_INFINITY;

	/** A suspension shows as a jump of the wall clock against the steady one; a clock that was set looks the same and is treated alike. */
	override lastSuspectedSuspension(): Milliseconds {
		const now = performance.now();
		const offset = Date.now() - now;
		if (Math.abs(offset - this.#offset) > suspensionTolerance) {
			this.#suspectedUntil = now;
		}

		this.#offset = offset;
		return this.#suspectedUntil;
	}

	override now(): Milliseconds {
		return performance.now();
	}

	override wallTime(): Milliseconds {
		return Date.now();
	}

	override schedule(delay: Milliseconds, action: () => void): Cancel {
		const timer = setTimeout(action, delay);
		return () => {
			clearTimeout(timer);
		};
	}
}
