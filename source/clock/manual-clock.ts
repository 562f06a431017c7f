import {Clock, type Cancel, type Milliseconds} from './clock.js';

type ScheduledAction = {
	readonly dueAt: Milliseconds;
	readonly action: () => void;
};

/** Clock that advances only on request, for tests and model checking. */
export class ManualClock extends Clock {
	#now: Milliseconds = 0;
	readonly #scheduled = new Set<ScheduledAction>();

	override now(): Milliseconds {
		return this.#now;
	}

	override wallTime(): Milliseconds {
		return this.#now;
	}

	override schedule(delay: Milliseconds, action: () => void): Cancel {
		const entry = {dueAt: this.#now + delay, action};
		this.#scheduled.add(entry);
		return () => {
			this.#scheduled.delete(entry);
		};
	}

	/** Advances the clock by the duration in milliseconds and runs the actions that become due, in order. */
	advance(duration: Milliseconds): void {
		const end = this.#now + duration;
		for (let next = this.#nextDue(end); next; next = this.#nextDue(end)) {
			this.#scheduled.delete(next);
			this.#now = next.dueAt;
			next.action();
		}

		this.#now = end;
	}

	/** Advances the clock in steps and lets pending promises settle after each step. */
	async advanceInSteps(duration: Milliseconds, step: Milliseconds): Promise<void> {
		for (let elapsed = 0; elapsed < duration; elapsed += step) {
			this.advance(step);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	#nextDue(end: Milliseconds): ScheduledAction | undefined {
		let next: ScheduledAction | undefined;
		for (const entry of this.#scheduled) {
			// Actions are kept in the order of their scheduling, so the first of those with the same time comes first.
			if (entry.dueAt <= end && (next === undefined || entry.dueAt < next.dueAt)) {
				next = entry;
			}
		}

		return next;
	}
}
