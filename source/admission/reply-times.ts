import {type Milliseconds} from '../clock/clock.js';
import {median} from './median.js';

/** Number of latest reply times that are kept for each member. */
const sampleCount = 16;

/** Age up to which reply times count. */
const sampleLifetime: Milliseconds = 10_000;

type Sample = {
	readonly at: Milliseconds;
	readonly replyTime: Milliseconds;
};

/** Recent reply times of the members of one service. */
export class ReplyTimes {
	readonly #samples = new Map<string, Sample[]>();

	/** Records the time in which a member replied. */
	record(id: string, replyTime: Milliseconds, now: Milliseconds): void {
		const samples = this.#samples.get(id) ?? [];
		this.#samples.set(id, samples);
		samples.push({at: now, replyTime});
		if (samples.length > sampleCount) {
			samples.shift();
		}
	}

	/** Returns the median of the members' median reply times, so that a member with many replies counts as much as one with few. Undefined if none has replied recently. */
	medianOf(ids: readonly string[], now: Milliseconds): Milliseconds | undefined {
		return median(ids.map(id => this.#recentMedianOf(id, now)).filter(time => time !== undefined));
	}

	/** Forgets a member that has left or has started again. */
	forget(id: string): void {
		this.#samples.delete(id);
	}

	#recentMedianOf(id: string, now: Milliseconds): Milliseconds | undefined {
		return median((this.#samples.get(id) ?? []).filter(({at}) => now - at <= sampleLifetime).map(({replyTime}) => replyTime));
	}
}
