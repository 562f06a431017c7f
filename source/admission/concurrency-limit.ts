import {type Milliseconds} from '../clock/clock.js';
import {median} from './median.js';

/** Shortest time between two changes of the limit, so that a change shows in the reply times. */
const minimumRoundDuration: Milliseconds = 100;

/** Replies that a round needs. */
const repliesPerRound = 5;

/** Ratio of the reply time to the lowest recent one from which the limit is lowered. Up to it, requests hardly wait for a slot on the member. */
const tolerance = 2;

/** Largest reduction of the limit in one round. */
const smallestGradient = 0.5;

/** Factor on the limit after a refusal because of load. */
const refusalFactor = 0.75;

/** Part of the limit that must have been in use for it to rise; the reply times of a smaller number say nothing about more. */
const usedShare = 0.5;

/** Time for which the lowest reply time of a round counts. */
const lowestLifetime: Milliseconds = 15_000;

/** Initial limit; a pool begins with as many connections. */
const initialLimit = 2;

type RoundMinimum = {
	readonly at: Milliseconds;
	readonly replyTime: Milliseconds;
};

/** Decides how many statements one instance keeps in flight at a member, from the reply time relative to the lowest recent one. Answers instances that together send a member more than it can queue: the member refuses the excess as busy, while its queue delays the rest. */
export class ConcurrencyLimit {
	#limit = initialLimit;
	#round: Milliseconds[] = [];
	#largestInFlight = 0;
	#changedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#minima: RoundMinimum[] = [];

	/** The maximum is the number of connections that the instance may have to the member. Long reply times lower the limit to the floor at most; only refusals lower it further. */
	constructor(private readonly maximum: () => number, private readonly floor: () => number = () => 1) {}

	/** Number of statements that may be in flight; between 1 and the maximum. */
	get limit(): number {
		return Math.max(1, Math.min(this.maximum(), Math.floor(this.#limit)));
	}

	/** Records a reply to a statement that was sent at `sentAt`, while so many statements were in flight. */
	recordReply(sentAt: Milliseconds, inFlight: number, now: Milliseconds): void {
		this.#largestInFlight = Math.max(this.#largestInFlight, inFlight);
		if (sentAt < this.#changedAt) {
			return;
		}

		this.#round.push(now - sentAt);
		if (this.#round.length >= repliesPerRound && now - this.#changedAt >= minimumRoundDuration) {
			this.#endRound(now);
		}
	}

	/** Records that the member refused a statement because of load. */
	recordRefusal(sentAt: Milliseconds, now: Milliseconds): void {
		if (sentAt >= this.#changedAt) {
			this.#changeLimit(this.#limit * refusalFactor, now);
		}
	}

	#endRound(now: Milliseconds): void {
		this.#minima.push({at: now, replyTime: Math.min(...this.#round)});
		this.#minima = this.#minima.filter(({at}) => now - at < lowestLifetime);
		const lowest = Math.min(...this.#minima.map(({replyTime}) => replyTime));
		const gradient = Math.max(smallestGradient, Math.min(1, tolerance * lowest / Math.max(1, median(this.#round)!)));
		const isUsed = this.#largestInFlight >= this.limit * usedShare;
		const headroom = isUsed ? Math.sqrt(this.#limit) : 0;
		const smallest = Math.min(this.#limit + headroom, this.floor());
		this.#changeLimit(Math.max(smallest, gradient === 1 ? this.#limit + headroom : this.#limit * gradient), now);
	}

	#changeLimit(limit: number, now: Milliseconds): void {
		this.#limit = Math.max(1, Math.min(this.maximum(), limit));
		this.#changedAt = now;
		this.#round = [];
		this.#largestInFlight = 0;
	}
}
