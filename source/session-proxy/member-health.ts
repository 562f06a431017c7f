import {isAnswerableInTime} from '../admission/deadline-rules.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type BackendReachability} from '../registry/messages.js';

/** Weight of the latest sample in the moving average of reply times. */
const replyTimeWeight = 0.2;

/** Half-life of the average reply time, so that a member that was slow is tried again. */
const replyTimeHalfLife: Milliseconds = 3000;

/** Reachability and reply times of a member as seen from this instance. */
export class MemberHealth {
	#answeredAt: Milliseconds | undefined;
	#failingSince: Milliseconds | undefined;
	#averageReplyTime = 0;
	#averageUpdatedAt = 0;

	constructor(private readonly id: string, private readonly clock: Clock) {}

	/** Time since the last answer of the member, and for how long it has been failing. */
	get reachability(): BackendReachability {
		const now = this.clock.now();
		return {
			id: this.id,
			answeredAgo: this.#answeredAt === undefined ? null : Math.round(now - this.#answeredAt),
			failingFor: this.#failingSince === undefined ? 0 : Math.max(1, Math.round(now - this.#failingSince)),
		};
	}

	/** Whether the member has not answered since an attempt failed. */
	get isFailing(): boolean {
		return this.#failingSince !== undefined;
	}

	/** Expected reply time: the moving average, decayed by its age. */
	get expectedReplyTime(): Milliseconds {
		const age = this.clock.now() - this.#averageUpdatedAt;
		return this.#averageReplyTime * (0.5 ** (age / replyTimeHalfLife));
	}

	/** Records that the member did not answer a statement that was sent at `sentAt`. Returns false, and has no effect, if the member has answered since then. */
	recordFailure(sentAt: Milliseconds): boolean {
		if (this.#answeredAt !== undefined && this.#answeredAt >= sentAt) {
			return false;
		}

		this.#failingSince ??= sentAt;
		return true;
	}

	/** Records that the member answered now. */
	recordAnswer(): void {
		this.#answeredAt = this.clock.now();
		this.#failingSince = undefined;
	}

	/** Adds a reply time, in milliseconds, to the moving average. */
	recordReplyTime(time: Milliseconds): void {
		const previous = this.expectedReplyTime;
		this.#averageReplyTime = previous === 0 ? time : previous + (replyTimeWeight * (time - previous));
		this.#averageUpdatedAt = this.clock.now();
	}

	/** Returns whether a request with the deadline may still be answered by the member in time. */
	isAnswerableBefore(deadline: Milliseconds): boolean {
		return isAnswerableInTime(deadline - this.clock.now(), this.expectedReplyTime);
	}
}
