import {performance} from 'node:perf_hooks';
import {Clock, type Cancel, type Milliseconds} from './clock.js';

/** Clock of the operating system: monotonic for decisions. */
export class SystemClock extends Clock {
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
