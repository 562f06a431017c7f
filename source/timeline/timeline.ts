import {compareHybridTime, type HybridClock, type HybridTime} from './hybrid-clock.js';

/** An event of a time line. */
export type TimelineEvent = {
	readonly time: HybridTime;
	readonly process: string;
	/** Component of the process, for example `group`. */
	readonly part: string;
	readonly kind: string;
	/** What the event is about, for example a database or one of its members. */
	readonly subject: string;
	readonly detail: string;
};

/** Number of events that a process keeps. */
export const timelineCapacity = 10_000;

/** Latest events of one process, in a ring buffer. */
export class Timeline {
	readonly #events: TimelineEvent[] = [];
	#next = 0;

	constructor(readonly process: string, readonly hybridClock: HybridClock, private readonly capacity: number = timelineCapacity) {}

	/** Records an event with the current time and returns it. */
	record(part: string, kind: string, subject: string, detail = ''): TimelineEvent {
		const event = {
			time: this.hybridClock.tick(), process: this.process, part, kind, subject, detail,
		};
		this.#events[this.#next] = event;
		this.#next = (this.#next + 1) % this.capacity;
		return event;
	}

	/** Returns the retained events, oldest first. */
	events(): readonly TimelineEvent[] {
		return mergeEvents([this.#events]);
	}
}

/** Merges the events of several processes in the order of their hybrid timestamps, which puts each cause before its effects. */
export function mergeEvents(lists: ReadonlyArray<readonly TimelineEvent[]>): readonly TimelineEvent[] {
	return lists.flat().sort((first, second) => compareHybridTime(first.time, second.time) || first.process.localeCompare(second.process));
}
