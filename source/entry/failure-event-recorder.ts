import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Timeline} from '../timeline/timeline.js';

const minimumEventInterval: Milliseconds = 1000;

type RecentEvent = {
	readonly recordedAt: Milliseconds;
	suppressedCount: number;
};

/** Records lost transactions and unknown outcomes in the timeline. It records at most one event a second for each code and database, so that an outage does not evict all other events. */
export class FailureEventRecorder {
	readonly #recentEvents = new Map<string, RecentEvent>();

	constructor(private readonly clock: Clock, private readonly timeline: Timeline) {}

	/** Records the failure reported to a caller and the error that caused it. */
	record(failure: BuckthornhitchError, cause: BuckthornhitchError, database: string): void {
		const now = this.clock.now();
		const key = `${failure.code} ${database}`;
		const recent = this.#recentEvents.get(key);
		if (recent && now - recent.recordedAt < minimumEventInterval) {
			recent.suppressedCount++;
			return;
		}

		this.#recentEvents.set(key, {recordedAt: now, suppressedCount: 0});
		const more = recent && recent.suppressedCount > 0 ? `, ${recent.suppressedCount} more since the last event` : '';
		const originalCause = cause.cause instanceof BuckthornhitchError ? cause.cause : cause;
		this.timeline.record('entry', failure.codeName, database, `BH${originalCause.code}${more}`);
	}
}
