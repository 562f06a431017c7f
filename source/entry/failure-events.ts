import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Timeline} from '../timeline/timeline.js';

const quietPeriod: Milliseconds = 1000;

type Recent = {
	readonly recordedAt: Milliseconds;
	left: number;
};

/** Records lost transactions and unknown outcomes: one event a second for each code and database, so that an outage does not push everything else out of the timeline. */
export class FailureEvents {
	readonly #recent = new Map<string, Recent>();

	constructor(private readonly clock: Clock, private readonly timeline: Timeline) {}

	/** Records what a caller was told and the failure behind it. */
	record(failure: BuckthornhitchError, cause: BuckthornhitchError, database: string): void {
		const now = this.clock.now();
		const key = `${failure.code} ${database}`;
		const recent = this.#recent.get(key);
		if (recent && now - recent.recordedAt < quietPeriod) {
			recent.left++;
			return;
		}

		this.#recent.set(key, {recordedAt: now, left: 0});
		const more = recent && recent.left > 0 ? `, ${recent.left} more since the last event` : '';
		const first = cause.cause instanceof BuckthornhitchError ? cause.cause : cause;
		this.timeline.record('entry', failure.codeName, database, `BH${first.code}${more}`);
	}
}
