import {type Milliseconds} from '../clock/clock.js';
import {isAnswerableInTime} from './deadline-rules.js';

/** A request that waits, for example for a connection to a member. */
export type WaitingItem = {
	/** Priority of the request; 0 is the highest. */
	readonly priority: number;
	readonly arrivedAt: Milliseconds;
	readonly deadline: Milliseconds;
	readonly latencyTarget: Milliseconds;
	readonly customer: string | undefined;
	/** Whether the request belongs to an open transaction, including its commit. Others wait for what the transaction holds. */
	readonly isInTransaction: boolean;
};

/** Limits of a waiting queue; functions return the current value. */
export type WaitingQueueOptions = {
	readonly maximumLength: () => number;
	/** Expected time from the end of the wait to the reply. */
	readonly expectedReplyTime: () => Milliseconds;
};

/** Part of the latency target after which a waiting request counts as one priority higher. */
const firstAgeingShare = 1 / 2;

/** Part of the latency target after which a waiting request counts as one of the highest priority; the rest is needed to answer it in time. */
const secondAgeingShare = 3 / 4;

/** One of so many served requests is chosen with ageing. If all were, a burst of the lowest priority of 1.45 times the capacity would make a tenth of the highest late. */
const ageingPeriod = 4;

/** Multiple of the expected reply time that must be left for a reply within the latency target; replies vary around the expected time. */
const replyTimeMargin = 1.5;

/** Time over which the served requests are counted. */
const servedWindow: Milliseconds = 1000;

/** Served requests below which the time between two of them is not known well enough to refuse others. */
const minimumServedCount = 4;

type ServedRequest = {
	readonly at: Milliseconds;
	readonly customer: string | undefined;
};

type Arrival = {
	readonly at: Milliseconds;
	readonly priority: number;
};

type OrderState = {
	readonly now: Milliseconds;
	readonly isAgeing: boolean;
	readonly servedCounts: ReadonlyMap<string | undefined, number>;
};

/**
Bounded queue of requests in the order in which callers need them: open transactions first, then by priority, then the customer that was served least in the last second, then the earliest latency target that can be met, then the earliest deadline that can be met.

Requests that have missed their latency target go behind those that can still meet it. Otherwise, an overload of 5% makes every request of a priority wait until it is late. Answers a burst of the lowest priority, which must not delay the highest, and a customer's flood, which must not delay other customers. Ageing answers a steady load of higher priorities, which must not starve the lowest.
*/
export class WaitingQueue<Item extends WaitingItem> {
	readonly #items = new Set<Item>();
	#served: ServedRequest[] = [];
	#arrivals: Arrival[] = [];
	#takenCount = 0;

	constructor(private readonly options: WaitingQueueOptions) {}

	/** Number of waiting requests. */
	get length(): number {
		return this.#items.size;
	}

	/** Adds a request. If the queue is full, returns the request to refuse: the last one in the order, which may be the added one. */
	add(item: Item, now: Milliseconds): Item | undefined {
		this.#items.add(item);
		this.#arrivals.push({at: now, priority: item.priority});
		this.#arrivals = withinWindow(this.#arrivals, now);
		if (this.#items.size <= this.options.maximumLength()) {
			return undefined;
		}

		const last = this.#inOrder(now).at(-1)!;
		this.#items.delete(last);
		return last;
	}

	/** Removes and returns the first request for which `canServe` returns true. */
	takeNext(canServe: (item: Item) => boolean, now: Milliseconds): Item | undefined {
		const isAgeing = this.#takenCount % ageingPeriod === ageingPeriod - 1;
		const next = this.#inOrder(now, isAgeing).find(item => canServe(item));
		if (next) {
			this.#takenCount++;
			this.#items.delete(next);
			this.recordServed(next.customer, now);
		}

		return next;
	}

	/** Counts a request that was served without waiting, for the order among customers. */
	recordServed(customer: string | undefined, now: Milliseconds): void {
		this.#served.push({at: now, customer});
		this.#served = withinWindow(this.#served, now);
	}

	/** Removes a request that is not wanted any more. */
	remove(item: Item): void {
		this.#items.delete(item);
	}

	/** Removes and returns the requests that cannot be answered in time any more, given those that precede them. They should be refused at once. */
	removeUnanswerable(now: Milliseconds): readonly Item[] {
		const interval = this.#serviceInterval(now);
		const replyTime = this.options.expectedReplyTime();
		const removed: Item[] = [];
		let position = 0;
		for (const item of this.#inOrder(now)) {
			position++;
			const wait = position * (this.#canMeetTarget(item, now) ? interval : this.#intervalBehindArrivals(item, interval, now));
			if (!isAnswerableInTime(item.deadline - now, wait + replyTime)) {
				position--;
				removed.push(item);
				this.#items.delete(item);
			}
		}

		return removed;
	}

	/** Returns the expected wait of a request that is or would be in the queue: the time in which those that precede it and the request itself are served, at the rate of the last second. 0 if that rate is not known. */
	expectedWait(item: Item, now: Milliseconds): Milliseconds {
		const state = {now, isAgeing: false, servedCounts: this.#servedCounts(now)};
		const preceding = [...this.#items].filter(other => other !== item && this.#compare(other, item, state) <= 0).length;
		return (preceding + 1) * this.#serviceInterval(now);
	}

	#inOrder(now: Milliseconds, isAgeing = false): readonly Item[] {
		const state = {now, isAgeing, servedCounts: this.#servedCounts(now)};
		return [...this.#items].toSorted((first, second) => this.#compare(first, second, state));
	}

	#compare(first: Item, second: Item, {now, isAgeing, servedCounts}: OrderState): number {
		const replyTime = this.options.expectedReplyTime();
		const canMeetDeadline = (item: Item): boolean => isAnswerableInTime(item.deadline - now, replyTime);
		const canMeetTarget = (item: Item): boolean => this.#canMeetTarget(item, now);
		return Number(second.isInTransaction) - Number(first.isInTransaction)
			|| (isAgeing ? agedPriority(first, now) - agedPriority(second, now) : first.priority - second.priority)
			|| (servedCounts.get(first.customer) ?? 0) - (servedCounts.get(second.customer) ?? 0)
			|| Number(canMeetTarget(second)) - Number(canMeetTarget(first))
			|| (canMeetTarget(first) ? targetTime(first) - targetTime(second) : 0)
			|| Number(canMeetDeadline(second)) - Number(canMeetDeadline(first))
			|| first.deadline - second.deadline
			|| first.arrivedAt - second.arrivedAt;
	}

	/** Returns the average time between two served requests of the last second, or 0 if too few were served to know it. */
	#serviceInterval(now: Milliseconds): Milliseconds {
		this.#served = withinWindow(this.#served, now);
		const oldest = this.#served.at(0);
		return oldest && this.#served.length >= minimumServedCount ? (now - oldest.at) / this.#served.length : 0;
	}

	#servedCounts(now: Milliseconds): ReadonlyMap<string | undefined, number> {
		this.#served = withinWindow(this.#served, now);
		const counts = new Map<string | undefined, number>();
		for (const {customer} of this.#served) {
			counts.set(customer, (counts.get(customer) ?? 0) + 1);
		}

		return counts;
	}

	#canMeetTarget(item: Item, now: Milliseconds): boolean {
		return targetTime(item) - now >= this.options.expectedReplyTime() * replyTimeMargin;
	}

	/** Returns the average time between two served requests that is left for a request which new ones of its priority precede. Infinite if as many arrive as are served. */
	#intervalBehindArrivals({priority}: Item, interval: Milliseconds, now: Milliseconds): Milliseconds {
		const preceding = withinWindow(this.#arrivals, now).filter(arrival => arrival.priority <= priority).length;
		const remainingShare = 1 - (preceding * interval / servedWindow);
		return remainingShare <= 0 ? Number.POSITIVE_INFINITY : interval / remainingShare;
	}
}

function withinWindow<Entry extends {readonly at: Milliseconds}>(entries: readonly Entry[], now: Milliseconds): Entry[] {
	return entries.filter(({at}) => now - at < servedWindow);
}

function targetTime({arrivedAt, latencyTarget}: WaitingItem): Milliseconds {
	return arrivedAt + latencyTarget;
}

function agedPriority({priority, arrivedAt, latencyTarget}: WaitingItem, now: Milliseconds): number {
	const waitedShare = (now - arrivedAt) / latencyTarget;
	if (waitedShare >= secondAgeingShare) {
		return 0;
	}

	return waitedShare >= firstAgeingShare ? Math.max(0, priority - 1) : priority;
}
