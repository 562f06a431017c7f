import {type Milliseconds} from '../clock/clock.js';
import {isAnswerableInTime} from './deadline-rules.js';
import {RecentCounts} from './recent-counts.js';
import {
	canMeetTarget, compareByTime, WaitingLane, type LaneEntry, type LaneState, type WaitingItem,
} from './waiting-lane.js';
import {WaitingOrder, type WaitingSearch} from './waiting-order.js';

export type {WaitingItem} from './waiting-lane.js';

/** Limits of a waiting queue; functions return the current value. */
export type WaitingQueueOptions<Item> = {
	readonly maximumLength: () => number;
	/** Expected time from the end of the wait to the reply. */
	readonly expectedReplyTime: () => Milliseconds;
	/** Expected time between two served requests while requests wait. By default, it is known only from the requests served in the last second, which were fewer than possible if none waited. */
	readonly expectedInterval?: () => Milliseconds;
	/** Returns the conditions under which a request can be served. Those with the same priority, customer and conditions are in the same lane. */
	readonly conditionsOf?: (item: Item) => string;
};

/** Part of the latency target after which a waiting request counts as one priority higher. */
const firstAgeingShare = 1 / 2;

/** Part of the latency target after which a waiting request counts as one of the highest priority; the rest is needed to answer it in time. */
const secondAgeingShare = 3 / 4;

/** One of so many served requests is chosen with ageing. If all were, a burst of the lowest priority of 1.45 times the capacity would make a tenth of the highest late. */
const ageingPeriod = 4;

/** Time over which the served requests are counted. */
const servedWindow: Milliseconds = 1000;

/** Served requests below which the time between two of them is not known well enough to refuse others. */
const minimumServedCount = 4;

/** Part of the queue's length that must have arrived or been served before all requests are checked again, so that the work of the checks grows in proportion to the requests. */
const checkedShare = 1 / 16;

/** Time after which all requests are checked again in any case. */
const checkInterval: Milliseconds = 100;

type QueueLane<Item extends WaitingItem> = {
	readonly key: string;
	/** Request for which the lane was created; all have the same priority and customer. */
	readonly first: Item;
	readonly requests: WaitingLane<Item>;
};

type QueueEntry<Item extends WaitingItem> = LaneEntry<Item> & {
	readonly lane: QueueLane<Item>;
};

type OrderState = LaneState & {
	readonly isAgeing: boolean;
	readonly servedCounts: ReadonlyMap<string | undefined, number>;
};

/** Position of a search in the requests of a lane. */
type LaneCursor<Item extends WaitingItem> = {
	readonly lane: QueueLane<Item>;
	readonly rest: Iterator<Item, undefined>;
	current: Item;
};

/**
Bounded queue of requests in the order in which callers need them: open transactions first, then by priority, then the customer that was served least in the last second, then the earliest latency target that can be met, then the earliest deadline that can be met.

Requests that have missed their latency target go behind those that can still meet it. Otherwise, an overload of 5% makes every request of a priority wait until it is late. Answers a burst of the lowest priority, which must not delay the highest, and a customer's flood, which must not delay other customers. Ageing answers a steady load of higher priorities, which must not starve the lowest.

Requests are kept in lanes by priority and customer. The next one is found by comparing the first of each lane, so that the work for a request does not grow with the length of the queue.
*/
export class WaitingQueue<Item extends WaitingItem> extends WaitingOrder<Item> {
	readonly #entries = new Map<Item, QueueEntry<Item>>();
	readonly #lanes = new Map<string, QueueLane<Item>>();
	readonly #served = new RecentCounts<string | undefined>(servedWindow);
	/** Requests that were added, by priority. */
	readonly #arrivals = new RecentCounts<number>(servedWindow);
	#takenCount = 0;
	#nextSequence = 0;
	#changesSinceCheck = 0;
	#checkedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: WaitingQueueOptions<Item>) {
		super();
	}

	override get length(): number {
		return this.#entries.size;
	}

	override get items(): Iterable<Item> {
		return this.#entries.keys();
	}

	/** Adds a request. If the queue is full, returns the request to refuse: the last one in the order, which may be the added one. */
	override add(item: Item, now: Milliseconds): Item | undefined {
		const lane = this.#laneOf(item);
		const entry: QueueEntry<Item> = {item, lane, sequence: this.#nextSequence++};
		lane.requests.add(entry);
		this.#entries.set(item, entry);
		this.#arrivals.add(item.priority, now);
		this.#changesSinceCheck++;
		if (this.length <= this.options.maximumLength()) {
			return undefined;
		}

		const state = this.#state(now);
		const [last] = [...this.#lanes.values()].map(({requests}) => requests.last(state)).toSorted((first, second) => compareItems(second, first, state));
		this.remove(last);
		return last;
	}

	/** Removes and returns the first request for which `canServe` returns true, and counts it as served. */
	takeNext(canServe: (item: Item) => boolean, now: Milliseconds): Item | undefined {
		const next = this.findFirst({canServe}, now);
		if (next) {
			this.take(next, now);
		}

		return next;
	}

	override take(item: Item, now: Milliseconds): void {
		this.remove(item);
		this.recordServed(item, now);
		this.#takenCount++;
	}

	/** Returns the first request that meets the conditions. `canServe` must return the same for all requests of a lane. */
	override findFirst({canServe, isPassedOver = () => false}: WaitingSearch<Item>, now: Milliseconds): Item | undefined {
		const state = this.#state(now, this.#takenCount % ageingPeriod === ageingPeriod - 1);
		let cursors = [...this.#lanes.values()].flatMap(lane => cursorsOf(lane, state));
		while (cursors.length > 0) {
			const first = firstOf(cursors, state);
			if (isPassedOver(first.current)) {
				if (!advance(first)) {
					cursors = cursors.filter(cursor => cursor !== first);
				}
			} else if (canServe(first.current)) {
				return first.current;
			} else {
				cursors = cursors.filter(({lane}) => lane !== first.lane);
			}
		}

		return undefined;
	}

	override recordServed({customer}: Pick<WaitingItem, 'customer'>, now: Milliseconds): void {
		this.#served.add(customer, now);
		this.#changesSinceCheck++;
	}

	override remove(item: Item): void {
		const entry = this.#entries.get(item);
		if (!entry) {
			return;
		}

		const {lane} = entry;
		this.#entries.delete(item);
		lane.requests.remove(entry);
		if (lane.requests.length === 0) {
			this.#lanes.delete(lane.key);
		}
	}

	/** Removes and returns the requests that cannot be answered in time any more, given those that precede them. They should be refused at once. In a long queue, a call after few changes has no effect. */
	override removeUnanswerable(now: Milliseconds): readonly Item[] {
		if (this.#changesSinceCheck < this.length * checkedShare && now - this.#checkedAt < checkInterval) {
			return [];
		}

		this.#changesSinceCheck = 0;
		this.#checkedAt = now;
		const interval = this.#serviceInterval(now);
		const state = this.#state(now);
		const removed: Item[] = [];
		const intervalsBehindArrivals = this.#intervalsBehindArrivals(interval, now);
		let position = 0;
		for (const item of this.#inOrder(state)) {
			position++;
			const wait = position * (canMeetTarget(item, state) ? interval : intervalsBehindArrivals.get(item.priority)!);
			if (!isAnswerableInTime(item.deadline - now, wait + state.replyTime)) {
				position--;
				removed.push(item);
				this.remove(item);
			}
		}

		return removed;
	}

	/** Returns the expected wait of a request that is or would be in the queue: the time in which those that precede it and the request itself are served. 0 if the rate at which requests are served is not known. */
	override expectedWait(item: Item, now: Milliseconds): Milliseconds {
		const state = this.#state(now);
		let preceding = this.#entries.has(item) ? 0 : 1;
		for (const {first, requests} of this.#lanes.values()) {
			const order = compareLanes(first, item, state);
			if (order < 0) {
				preceding += requests.length;
			} else if (order === 0) {
				preceding += requests.countPreceding(item, state);
			}
		}

		return preceding * this.#serviceInterval(now);
	}

	#laneOf(item: Item): QueueLane<Item> {
		const {isInTransaction, priority, customer} = item;
		const key = [isInTransaction, priority, this.options.conditionsOf?.(item), customer === undefined, customer].join(' ');
		let lane = this.#lanes.get(key);
		if (!lane) {
			lane = {key, first: item, requests: new WaitingLane()};
			this.#lanes.set(key, lane);
		}

		return lane;
	}

	#state(now: Milliseconds, isAgeing = false): OrderState {
		return {
			now, replyTime: this.options.expectedReplyTime(), isAgeing, servedCounts: this.#served.counts(now),
		};
	}

	#inOrder(state: OrderState): readonly Item[] {
		return [...this.#entries.keys()].toSorted((first, second) => compareItems(first, second, state));
	}

	/** Returns the average time between two served requests, or 0 if it is not known. */
	#serviceInterval(now: Milliseconds): Milliseconds {
		const count = this.#served.total(now);
		const oldestAt = this.#served.oldestAt(now);
		const expected = this.options.expectedInterval?.();
		if (oldestAt === undefined || count < minimumServedCount) {
			return expected ?? 0;
		}

		return Math.min((now - oldestAt) / count, expected ?? Number.POSITIVE_INFINITY);
	}

	/** Returns the average time between two served requests that is left for requests which new ones of their priority precede, by priority. Infinite if as many arrive as are served. */
	#intervalsBehindArrivals(interval: Milliseconds, now: Milliseconds): ReadonlyMap<number, Milliseconds> {
		const arrivals = this.#arrivals.counts(now);
		const priorities = new Set([...this.#lanes.values()].map(({first: {priority}}) => priority));
		return new Map([...priorities].map(priority => {
			let preceding = 0;
			for (const [other, count] of arrivals) {
				preceding += other <= priority ? count : 0;
			}

			const remainingShare = 1 - (preceding * interval / servedWindow);
			return [priority, remainingShare <= 0 ? Number.POSITIVE_INFINITY : interval / remainingShare];
		}));
	}
}

/** Compares requests by everything except their times. Those for which it returns 0 are ordered by `compareByTime`. */
function compareLanes(first: WaitingItem, second: WaitingItem, {now, isAgeing, servedCounts}: OrderState): number {
	return Number(second.isInTransaction) - Number(first.isInTransaction)
		|| (isAgeing ? agedPriority(first, now) - agedPriority(second, now) : first.priority - second.priority)
		|| (servedCounts.get(first.customer) ?? 0) - (servedCounts.get(second.customer) ?? 0);
}

function compareItems(first: WaitingItem, second: WaitingItem, state: OrderState): number {
	return compareLanes(first, second, state) || compareByTime(first, second, state);
}

/** Returns the positions at which a search begins. With ageing, the requests of a lane that have missed their target compete with those of higher priorities, so that they have a position of their own. */
function cursorsOf<Item extends WaitingItem>(lane: QueueLane<Item>, state: OrderState): ReadonlyArray<LaneCursor<Item>> {
	const {requests} = lane;
	const parts = state.isAgeing ? [requests.inTime(state), requests.late(state)] : [requests.inOrder(state)];
	return parts.flatMap(part => {
		const rest = part[Symbol.iterator]();
		const next = rest.next();
		return next.done ? [] : [{lane, rest, current: next.value}];
	});
}

/** Returns the position whose request is first in the order. */
function firstOf<Item extends WaitingItem>(cursors: ReadonlyArray<LaneCursor<Item>>, state: OrderState): LaneCursor<Item> {
	let [first] = cursors;
	for (const cursor of cursors) {
		if (compareItems(cursor.current, first.current, state) < 0) {
			first = cursor;
		}
	}

	return first;
}

/** Moves to the next request of the lane. Returns false if there is none. */
function advance<Item extends WaitingItem>(cursor: LaneCursor<Item>): boolean {
	const next = cursor.rest.next();
	if (next.done) {
		return false;
	}

	cursor.current = next.value;
	return true;
}

function agedPriority({priority, arrivedAt, latencyTarget}: WaitingItem, now: Milliseconds): number {
	const waited = now - arrivedAt;
	if (waited >= latencyTarget * secondAgeingShare) {
		return 0;
	}

	return waited >= latencyTarget * firstAgeingShare ? Math.max(0, priority - 1) : priority;
}
