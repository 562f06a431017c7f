import {type Milliseconds} from '../clock/clock.js';
import {isAnswerableInTime} from './deadline-rules.js';

/** A request that waits, for example for a connection to a member. */
export type WaitingItem = {
	/** Priority of the request; 0 is the highest. */
	readonly priority: number;
	readonly arrivedAt: Milliseconds;
	readonly deadline: Milliseconds;
	/** Time from the arrival within which the request should be answered; negative if it was late when it arrived. */
	readonly latencyTarget: Milliseconds;
	readonly customer: string | undefined;
	/** Whether the request belongs to an open transaction, including its commit. Others wait for what the transaction holds. */
	readonly isInTransaction: boolean;
};

/** Time at which an order is determined, and what is known about replies. */
export type LaneState = {
	readonly now: Milliseconds;
	/** Expected time from the end of the wait to the reply. */
	readonly replyTime: Milliseconds;
};

/** Multiple of the expected reply time that must be left for a reply within the latency target; replies vary around the expected time. */
const replyTimeMargin = 1.5;

/** Entry of a lane. The sequence number distinguishes requests with the same times. */
export type LaneEntry<Item> = {
	readonly item: Item;
	readonly sequence: number;
};

/** Returns the time at which the request should be answered: its latency target, or its deadline if that is earlier. */
export function targetTime({arrivedAt, latencyTarget, deadline}: WaitingItem): Milliseconds {
	return Math.min(arrivedAt + latencyTarget, deadline);
}

/** Returns whether the request can still be answered within its latency target. */
export function canMeetTarget(item: WaitingItem, {now, replyTime}: LaneState): boolean {
	return targetTime(item) - now >= replyTime * replyTimeMargin;
}

/** Returns whether the request can still be answered before its deadline. */
export function canMeetDeadline({deadline}: WaitingItem, {now, replyTime}: LaneState): boolean {
	return isAnswerableInTime(deadline - now, replyTime);
}

/** Compares requests of the same priority and customer: those that can meet their latency target come first, by target, then those that can meet their deadline, then the others. */
export function compareByTime(first: WaitingItem, second: WaitingItem, state: LaneState): number {
	const meetsTarget = canMeetTarget(first, state);
	return Number(canMeetTarget(second, state)) - Number(meetsTarget)
		|| (meetsTarget ? targetTime(first) - targetTime(second) : 0)
		|| Number(canMeetDeadline(second, state)) - Number(canMeetDeadline(first, state))
		|| first.deadline - second.deadline
		|| first.arrivedAt - second.arrivedAt;
}

/**
Waiting requests with the same priority and customer that can be served under the same conditions, in the order of `compareByTime`.

That order changes with time, so the requests are kept sorted by latency target and by deadline, and the boundaries are searched for. A request is added, found and removed without visiting the others.
*/
export class WaitingLane<Item extends WaitingItem> {
	readonly #byTarget: Array<LaneEntry<Item>> = [];
	readonly #byDeadline: Array<LaneEntry<Item>> = [];

	/** Number of requests. */
	get length(): number {
		return this.#byTarget.length;
	}

	/** Adds a request. */
	add(entry: LaneEntry<Item>): void {
		this.#byTarget.splice(countBefore(this.#byTarget, other => compareTargets(other, entry) < 0), 0, entry);
		this.#byDeadline.splice(countBefore(this.#byDeadline, other => compareDeadlines(other, entry) < 0), 0, entry);
	}

	/** Removes a request that is in the lane. */
	remove(entry: LaneEntry<Item>): void {
		this.#byTarget.splice(countBefore(this.#byTarget, other => compareTargets(other, entry) < 0), 1);
		this.#byDeadline.splice(countBefore(this.#byDeadline, other => compareDeadlines(other, entry) < 0), 1);
	}

	/** Yields the requests in order. */
	* inOrder(state: LaneState): Iterable<Item, undefined> {
		yield * this.inTime(state);
		yield * this.late(state);
	}

	/** Yields the requests that can meet their latency target, in order. */
	* inTime(state: LaneState): Iterable<Item, undefined> {
		for (let index = this.#lateCount(state); index < this.#byTarget.length; index++) {
			yield this.#byTarget[index].item;
		}
	}

	/** Yields the requests that cannot meet their latency target, in order. */
	* late(state: LaneState): Iterable<Item, undefined> {
		if (this.#lateCount(state) === 0) {
			return;
		}

		const start = this.#hopelessCount(state);
		for (let offset = 0; offset < this.#byDeadline.length; offset++) {
			const {item} = this.#byDeadline[(start + offset) % this.#byDeadline.length];
			if (!canMeetTarget(item, state)) {
				yield item;
			}
		}
	}

	/** Returns the last request: one that cannot meet its deadline, otherwise the one with the latest target among those that cannot meet it, otherwise the one with the latest target. */
	last(state: LaneState): Item {
		const lateCount = this.#lateCount(state);
		const hopeless = this.#byDeadline.at(this.#hopelessCount(state) - 1);
		if (lateCount > 0 && hopeless && !canMeetDeadline(hopeless.item, state) && !canMeetTarget(hopeless.item, state)) {
			return hopeless.item;
		}

		return this.#byTarget.at(lateCount - 1)!.item;
	}

	/** Returns the number of requests that precede the given one, of the same priority and customer count, or are at the same place. */
	countPreceding(item: Item, state: LaneState): number {
		const lateCount = this.#lateCount(state);
		if (canMeetTarget(item, state)) {
			return countBefore(this.#byTarget, other => targetTime(other.item) <= targetTime(item)) - lateCount;
		}

		const earlier = countBefore(this.#byDeadline, other => other.item.deadline <= item.deadline);
		return this.length - lateCount + Math.min(lateCount, earlier);
	}

	/** Returns the number of requests that cannot meet their latency target; they are the first in the order by target. */
	#lateCount(state: LaneState): number {
		return countBefore(this.#byTarget, ({item}) => !canMeetTarget(item, state));
	}

	/** Returns the number of requests that cannot meet their deadline; they are the first in the order by deadline. */
	#hopelessCount(state: LaneState): number {
		return countBefore(this.#byDeadline, ({item}) => !canMeetDeadline(item, state));
	}
}

function compareTargets(first: LaneEntry<WaitingItem>, second: LaneEntry<WaitingItem>): number {
	return targetTime(first.item) - targetTime(second.item) || compareDeadlines(first, second);
}

function compareDeadlines(first: LaneEntry<WaitingItem>, second: LaneEntry<WaitingItem>): number {
	return first.item.deadline - second.item.deadline || first.sequence - second.sequence;
}

/** Returns the number of entries at the begin of the sorted list for which the function returns true, by binary search. */
function countBefore<Entry>(entries: readonly Entry[], isBefore: (entry: Entry) => boolean): number {
	let low = 0;
	let high = entries.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (isBefore(entries[middle])) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
