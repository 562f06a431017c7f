import {OutlierEjection} from '../admission/outlier-ejection.js';
import {RecoveryPace, type RecoveryCause} from '../admission/recovery-pace.js';
import {ReplyTimes} from '../admission/reply-times.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {SystemRandom, type Random} from '../random/random.js';

/** Interval at which a primary that goes on failing its requests is reported again. */
const primaryReportInterval: Milliseconds = 15_000;

/** Member as the placement of reads sees it. */
export type PlacedMember = {
	readonly id: string;
	readonly isPrimary: boolean;
	readonly isFailing: boolean;
};

/** How a read ended at a member. `failed` means that the member ran and failed it or did not answer, `overloaded` that it refused it because of load, `withdrawn` that the end says nothing about the member. */
export type ReadOutcome = 'replied' | 'failed' | 'overloaded' | 'withdrawn';

/** A read that was sent to a member, with its end. */
export type EndedRead = {
	readonly outcome: ReadOutcome;
	readonly sentAt: Milliseconds;
	readonly latencyTarget: Milliseconds;
};

/** Dependencies of the placement of reads. */
export type ReadPlacementOptions = {
	readonly service: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly random?: Random;
};

type Recovery = {
	readonly pace: RecoveryPace;
	readonly startedAt: Milliseconds;
};

/** Placement of the reads of one service: which members recover, which share of their reads they get, and which are ejected. */
export class ReadPlacement {
	/** Number of recoveries that have begun. */
	recoveryCount = 0;
	/** Number of ejections that have begun. */
	ejectionCount = 0;
	/** Number of reports of a primary that fails its requests. */
	failingPrimaryCount = 0;
	readonly #ejection = new OutlierEjection();
	#primaryReportedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	readonly #recoveries = new Map<string, Recovery>();
	readonly #failing = new Set<string>();
	readonly #replyTimes = new ReplyTimes();
	#members: readonly PlacedMember[] = [];
	readonly #random: Random;

	constructor(private readonly options: ReadPlacementOptions) {
		this.#random = options.random ?? new SystemRandom();
	}

	/** Number of members that recover. */
	get recoveringCount(): number {
		return this.#recoveries.size;
	}

	/** Number of members that are ejected from reads. */
	get ejectedCount(): number {
		return this.#ejection.ejectedCount;
	}

	/** Begins the recoveries of members that have answered again after a failure or whose ejection has ended, and ends those that are complete. */
	observe(members: readonly PlacedMember[]): void {
		this.#members = members;
		for (const {id, isFailing} of members) {
			if (isFailing) {
				this.#failing.add(id);
				// The time without an answer must not raise the share; the recovery begins again with the next answer.
				this.#recoveries.delete(id);
			} else if (this.#failing.delete(id)) {
				this.beginRecovery(id, 'resumed');
			}
		}

		const now = this.options.clock.now();
		for (const id of this.#ejection.endEjections(now)) {
			this.beginRecovery(id, 'readmitted');
		}

		for (const [id, {pace, startedAt}] of this.#recoveries) {
			if (pace.isCompleteAt(now)) {
				this.#recoveries.delete(id);
				this.options.logger.info(`${this.options.service}: ${id} has recovered and gets its full share of reads`, {duration: Math.round(now - startedAt)});
			}
		}
	}

	/** Begins the recovery of a member. The recovery of a member that already recovers goes on. */
	beginRecovery(id: string, cause: RecoveryCause): void {
		if (this.#recoveries.has(id)) {
			return;
		}

		const startedAt = this.options.clock.now();
		const pace = new RecoveryPace(startedAt, cause);
		this.#recoveries.set(id, {pace, startedAt});
		this.recoveryCount++;
		this.options.logger.info(`${this.options.service}: ${id} recovers (${cause}) and gets a share of its reads`, {cause, share: pace.shareAt(startedAt)});
	}

	/** Returns the share of its usual reads that a member gets; 1 unless it recovers. */
	recoveryShareOf(id: string): number {
		return this.#recoveries.get(id)?.pace.shareAt(this.options.clock.now()) ?? 1;
	}

	/** Returns whether reads avoid the member because it fails its requests. */
	isEjected(id: string): boolean {
		return this.#ejection.isEjected(id);
	}

	/** Returns a random number from 0 up to but not including 1 that decides whether a read is within the shares of recovering members. */
	drawRead(): number {
		return this.#recoveries.size === 0 ? 0 : this.#random.fraction();
	}

	/** Records that a read is sent to a member. Returns a function that records its end. */
	recordSent(id: string): (read: EndedRead) => void {
		const recovery = this.#recoveries.get(id);
		recovery?.pace.recordSent(this.options.clock.now());
		return read => {
			this.#recordEnd(id, recovery?.pace, read);
		};
	}

	/** Records whether a request failed at a member: it did not answer, or it ran and failed the request. */
	recordRequest(id: string, isFailure: boolean): void {
		const now = this.options.clock.now();
		this.#ejection.record(id, isFailure, now);
		if (isFailure) {
			this.#handleFailure(id, now);
		}
	}

	/** Forgets a member that has left or has started again. */
	forget(id: string): void {
		this.#ejection.forget(id);
		this.#recoveries.delete(id);
		this.#failing.delete(id);
		this.#replyTimes.forget(id);
	}

	#recordEnd(id: string, pace: RecoveryPace | undefined, {outcome, sentAt, latencyTarget}: EndedRead): void {
		const now = this.options.clock.now();
		switch (outcome) {
			case 'replied': {
				this.#replyTimes.record(id, now - sentAt, now);
				pace?.recordReply(sentAt, now, {peerMedian: this.#peerMedian(id, now), latencyTarget});
				this.recordRequest(id, false);
				break;
			}

			case 'failed': {
				pace?.recordFailure(sentAt, now);
				this.recordRequest(id, true);
				break;
			}

			case 'overloaded': {
				pace?.recordFailure(sentAt, now);
				break;
			}

			case 'withdrawn': {
				pace?.recordWithdrawn(now);
				break;
			}
		}
	}

	/** Ejects a member that fails more requests than its peers. A primary is only reported, since writes have nowhere else to go. */
	#handleFailure(id: string, now: Milliseconds): void {
		const {service, logger} = this.options;
		const members = this.#members.map(member => member.id);
		if (this.#members.some(member => member.id === id && member.isPrimary)) {
			if (now - this.#primaryReportedAt >= primaryReportInterval && this.#ejection.isOutlier(id, members, now)) {
				this.#primaryReportedAt = now;
				this.failingPrimaryCount++;
				logger.warn(`${service}: the primary ${id} fails its requests more often than the other members; writes go on to it`);
			}

			return;
		}

		const duration = this.#ejection.tryEject(id, members, now);
		if (duration !== undefined) {
			this.#recoveries.delete(id);
			this.ejectionCount++;
			logger.warn(`${service}: ${id} is ejected from reads for ${duration} ms, since it fails its requests more often than the other members`, {duration});
		}
	}

	/** Returns the median reply time of the other members, without those that recover, fail or are ejected unless there are no others. */
	#peerMedian(id: string, now: Milliseconds): Milliseconds | undefined {
		const peers = this.#members.filter(member => member.id !== id).map(member => member.id);
		const usual = peers.filter(peer => !this.#recoveries.has(peer) && !this.#failing.has(peer) && !this.#ejection.isEjected(peer));
		return this.#replyTimes.medianOf(usual, now) ?? this.#replyTimes.medianOf(peers, now);
	}
}
