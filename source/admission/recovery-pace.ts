import {type Milliseconds} from '../clock/clock.js';
import {median} from './median.js';

/** Why a backend server recovers. `readmitted` means that its ejection has ended. */
export type RecoveryCause = 'started' | 'promoted' | 'resumed' | 'readmitted';

/** What the reply times of a recovering backend server are compared with. */
export type PaceReference = {
	/** Median reply time of the other backend servers of the service; undefined if none has answered recently. */
	readonly peerMedian: Milliseconds | undefined;
	/** Time within which the operation of the caller should be completed. */
	readonly latencyTarget: Milliseconds;
};

/** Smallest share of reads; enough for a reply in each round at usual rates, and little enough for a server that does a fraction of its usual work. */
export const probeShare = 1 / 16;

/** First share of a server that is not expected to be cold: a replica that was promoted, or a server that announces no cold time. */
export const warmFirstShare = 1 / 4;

/** Replies in a round at the full share; as many as a member runs at the same time. Rounds of smaller shares are shorter in proportion, since an instance with few callers waits seconds for each probe. */
const repliesPerFullRound = 4;

/** Shortest time between two changes of the share, so that a queue that the last change has caused shows in the reply times. */
const minimumRoundDuration: Milliseconds = 100;

/** Time without reads after which the share rises by one probe share. */
const idleRisePeriod: Milliseconds = 200;

/** Ratio of the reply times to those of the peers up to which the share is doubled. */
const onPaceRatio = 1.5;

/** Ratio of the reply times to those of the peers above which the share is halved. */
const overloadRatio = 3;

/** Differences between reply times below this are delays of the instance itself, which has a fraction of a processor. */
const smallestReference: Milliseconds = 5;

/** Part of the latency target that one reply may take when nothing else is known; an operation has several statements. */
const replyShareOfTarget = 1 / 4;

/** Time without an improvement of the reply times after which they count as the usual ones of the server, for example because it is farther away than its peers. Longer than most servers take to warm up. */
const steadyTime: Milliseconds = 5000;

/** Ratio to the shortest reply times so far below which reply times count as improved. */
const improvementRatio = 0.9;

/** Decides which share of its reads a recovering backend server receives, from how it answers. Answers a server that has just started, been promoted or resumed: all reads at once keep it slow for seconds, and a fixed pause leaves it idle when it is warm. */
export class RecoveryPace {
	#share: number;
	/** Time of the last change of the share by replies or failures; replies to earlier reads say nothing about the current share. */
	#changedAt: Milliseconds;
	#trafficAt: Milliseconds;
	#unansweredCount = 0;
	#round: Milliseconds[] = [];
	#isComplete = false;
	#shortestSlowRound = Number.POSITIVE_INFINITY;
	#improvedAt: Milliseconds;
	#usualReplyTime = 0;

	/** The announced remaining cold time is only a hint for the first share, since servers may report it wrongly. */
	constructor(startedAt: Milliseconds, cause: RecoveryCause, announcedColdTime?: Milliseconds) {
		this.#share = cause === 'promoted' || (cause === 'started' && announcedColdTime === 0) ? warmFirstShare : probeShare;
		this.#changedAt = startedAt;
		this.#trafficAt = startedAt;
		this.#improvedAt = startedAt;
	}

	/** Returns the share of its usual reads that the server should receive, up to 1. */
	shareAt(now: Milliseconds): number {
		this.#raiseWhileIdle(now);
		return this.#share;
	}

	/** Returns whether the server has recovered: it has kept the pace of its peers with the full share, or there was no traffic to judge it by. */
	isCompleteAt(now: Milliseconds): boolean {
		this.#raiseWhileIdle(now);
		return this.#isComplete;
	}

	/** Records that a read is sent to the server. It must be followed by one of the other records. */
	recordSent(now: Milliseconds): void {
		this.#raiseWhileIdle(now);
		this.#unansweredCount++;
		this.#trafficAt = now;
	}

	/** Records the reply to a read that was sent at `sentAt`. */
	recordReply(sentAt: Milliseconds, now: Milliseconds, reference: PaceReference): void {
		this.#recordEnd(now);
		if (sentAt < this.#changedAt) {
			return;
		}

		this.#round.push(now - sentAt);
		if (this.#round.length >= repliesPerFullRound * this.#share && now - this.#changedAt >= minimumRoundDuration) {
			this.#endRound(median(this.#round)!, now, reference);
		}
	}

	/** Records that the server did not answer a read, failed it or refused it because of load. */
	recordFailure(sentAt: Milliseconds, now: Milliseconds): void {
		this.#recordEnd(now);
		if (sentAt >= this.#changedAt) {
			this.#changeShare(this.#share / 2, now);
		}
	}

	/** Records the end of a read that says nothing about the pace of the server. */
	recordWithdrawn(now: Milliseconds): void {
		this.#recordEnd(now);
	}

	#recordEnd(now: Milliseconds): void {
		this.#unansweredCount--;
		this.#trafficAt = now;
	}

	#endRound(replyTime: Milliseconds, now: Milliseconds, reference: PaceReference): void {
		if (replyTime <= this.#replyTimeLimit(onPaceRatio, reference)) {
			this.#isComplete ||= this.#share === 1;
			this.#changeShare(this.#share * 2, now);
			return;
		}

		this.#learnUsualReplyTime(replyTime, now, reference.latencyTarget * replyShareOfTarget);
		this.#changeShare(replyTime > this.#replyTimeLimit(overloadRatio, reference) ? this.#share / 2 : this.#share, now);
	}

	/** Returns the ratio times the reply time that is expected of the server: that of its peers, or its own usual one if that leaves callers enough time. */
	#replyTimeLimit(ratio: number, {peerMedian, latencyTarget}: PaceReference): Milliseconds {
		const acceptable = latencyTarget * replyShareOfTarget * ratio / onPaceRatio;
		return peerMedian === undefined
			? acceptable
			: Math.max(ratio * Math.max(smallestReference, peerMedian), Math.min(ratio * this.#usualReplyTime, acceptable));
	}

	/** Accepts the shortest slow reply time as the usual one of the server once it has not improved for some time, unless callers could not use it. Does so only once, so that a growing queue is never accepted as usual. */
	#learnUsualReplyTime(replyTime: Milliseconds, now: Milliseconds, acceptable: Milliseconds): void {
		if (replyTime < this.#shortestSlowRound * improvementRatio) {
			this.#shortestSlowRound = replyTime;
			this.#improvedAt = now;
		} else if (this.#usualReplyTime === 0 && now - this.#improvedAt >= steadyTime && this.#shortestSlowRound <= acceptable) {
			this.#usualReplyTime = this.#shortestSlowRound;
		}
	}

	#changeShare(share: number, now: Milliseconds): void {
		this.#share = Math.min(1, Math.max(probeShare, share));
		this.#changedAt = now;
		this.#round = [];
	}

	#raiseWhileIdle(now: Milliseconds): void {
		if (this.#unansweredCount > 0) {
			return;
		}

		const steps = Math.floor((now - this.#trafficAt) / idleRisePeriod);
		if (steps > 0) {
			this.#trafficAt += steps * idleRisePeriod;
			const raised = this.#share + (steps * probeShare);
			this.#isComplete ||= raised > 1;
			this.#share = Math.min(1, raised);
		}
	}
}
