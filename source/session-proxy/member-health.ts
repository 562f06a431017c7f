import {AverageReplyTime} from '../admission/average-reply-time.js';
import {isAnswerableInTime} from '../admission/deadline-rules.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type BackendReachability} from '../registry/messages.js';

/** Reachability and reply times of a member as seen from this instance. */
export class MemberHealth {
	#answeredAt: Milliseconds | undefined;
	#failingSince: Milliseconds | undefined;
	readonly #replyTime = new AverageReplyTime();

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
		return this.#replyTime.value(this.clock.now());
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
		this.#replyTime.record(time, this.clock.now());
	}

	/** Returns whether a request with the deadline may still be answered by the member in time. */
	isAnswerableBefore(deadline: Milliseconds): boolean {
		return isAnswerableInTime(deadline - this.clock.now(), this.expectedReplyTime);
	}
}
