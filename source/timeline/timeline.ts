import {compareHybridTime, type HybridClock, type HybridTime} from './hybrid-clock.js';

/** One event of the time line. */
export type TimelineEvent = {
	readonly time: HybridTime;
	readonly process: string;
	readonly part: string;
	readonly kind: string;
	readonly subject: string;
	readonly detail: string;
};

/** Events kept by one process. */
export const timelineCapacity = 10_000;

/** Latest events of one process, in a ring of bounded size. */
export class Timeline {
	readonly #events: TimelineEvent[] = [];
	#next = 0;

	constructor(readonly process: string, readonly hybridClock: HybridClock, private readonly capacity: number = timelineCapacity) {}

	/** Records an event now and returns it. */
	record(part: string, kind: string, subject: string, detail = ''): TimelineEvent {
		const event = {
			time: this.hybridClock.tick(), process: this.process, part, kind, subject, detail,
		};
		this.#events[this.#next] = event;
		this.#next = (this.#next + 1) % this.capacity;
		return event;
	}

	/** Returns the kept events, oldest first. */
	events(): readonly TimelineEvent[] {
		return mergeEvents([this.#events]);
	}
}

/** Merges the events of several processes in causal order. */
export function mergeEvents(lists: ReadonlyArray<readonly TimelineEvent[]>): readonly TimelineEvent[] {
	return lists.flat().sort((first, second) => compareHybridTime(first.time, second.time) || first.process.localeCompare(second.process));
}
