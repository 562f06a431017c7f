import {type Milliseconds} from '../clock/clock.js';

/** Weight of the latest sample in the moving average. */
const sampleWeight = 0.2;

/** Half-life of the average, so that a member that was slow is tried again. */
const halfLife: Milliseconds = 3000;

/** Moving average of reply times that decays with its age. */
export class AverageReplyTime {
	#average = 0;
	#updatedAt: Milliseconds = 0;

	/** Returns the average, decayed by its age; 0 before the first reply. */
	value(now: Milliseconds): Milliseconds {
		return this.#average * (0.5 ** ((now - this.#updatedAt) / halfLife));
	}

	/** Adds a reply time. */
	record(time: Milliseconds, now: Milliseconds): void {
		const previous = this.value(now);
		this.#average = previous === 0 ? time : previous + (sampleWeight * (time - previous));
		this.#updatedAt = now;
	}
}
