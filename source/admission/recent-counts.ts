import {type Milliseconds} from '../clock/clock.js';

/** Number of expired events that are kept before the list is shortened, so that it is not copied for each one. */
const expiredEventsLimit = 64;

type RecentEvent<Key> = {
	readonly at: Milliseconds;
	readonly key: Key;
};

/** Events of the last period, counted by key. Each event is added and removed in constant time. */
export class RecentCounts<Key> {
	#events: Array<RecentEvent<Key>> = [];
	#expired = 0;
	readonly #counts = new Map<Key, number>();

	constructor(private readonly period: Milliseconds) {}

	/** Adds an event that happens now. */
	add(key: Key, now: Milliseconds): void {
		this.#removeExpired(now);
		this.#events.push({at: now, key});
		this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
	}

	/** Returns the number of events of each key; keys without events are absent. */
	counts(now: Milliseconds): ReadonlyMap<Key, number> {
		this.#removeExpired(now);
		return this.#counts;
	}

	/** Returns the number of events. */
	total(now: Milliseconds): number {
		this.#removeExpired(now);
		return this.#events.length - this.#expired;
	}

	/** Returns the time of the oldest event, or undefined if there is none. */
	oldestAt(now: Milliseconds): Milliseconds | undefined {
		this.#removeExpired(now);
		return this.#events.at(this.#expired)?.at;
	}

	#removeExpired(now: Milliseconds): void {
		while (this.#expired < this.#events.length && now - this.#events[this.#expired].at >= this.period) {
			const {key} = this.#events[this.#expired];
			const count = this.#counts.get(key)! - 1;
			if (count === 0) {
				this.#counts.delete(key);
			} else {
				this.#counts.set(key, count);
			}

			this.#expired++;
		}

		if (this.#expired > expiredEventsLimit) {
			this.#events = this.#events.slice(this.#expired);
			this.#expired = 0;
		}
	}
}
