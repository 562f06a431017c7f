import {ConcurrencyLimit} from '../../source/admission/concurrency-limit.js';
import {isAnswerableInTime} from '../../source/admission/deadline-rules.js';
import {WaitingQueue, type WaitingItem} from '../../source/admission/waiting-queue.js';
import {type Clock, type Milliseconds} from '../../source/clock/clock.js';

/** Connections of one instance to one member in the model. */
const connectionCount = 6;

/** Waiting requests for each connection, as in the connection pool. */
const waitersPerConnection = 24;

const replyTimeWeight = 0.2;
const replyTimeHalfLife: Milliseconds = 3000;

/** Request that waits at an instance for a connection to a member. */
export type GateItem = WaitingItem & {
	readonly onTaken: () => void;
	readonly onRefused: () => void;
};

/** What stands between the requests of one instance and one member: a queue and a limit on statements in flight. */
export abstract class MemberGate {
	/** Statements that were sent and not answered. */
	inFlight = 0;
	#averageReplyTime = 0;
	#averageUpdatedAt: Milliseconds = 0;

	constructor(protected readonly clock: Clock) {}

	/** Expected reply time: the moving average, decayed by its age, as in the connection pool. */
	get expectedReplyTime(): Milliseconds {
		return this.#averageReplyTime * (0.5 ** ((this.clock.now() - this.#averageUpdatedAt) / replyTimeHalfLife));
	}

	/** Statements in flight and waiting requests. */
	get load(): number {
		return this.inFlight + this.waitingCount;
	}

	/** Starts waiting requests while the limit allows it. */
	dispatch(): void {
		while (this.inFlight < this.limit) {
			const next = this.takeNext();
			if (!next) {
				return;
			}

			this.inFlight++;
			next.onTaken();
		}
	}

	/** Records the reply to a statement. */
	recordReply(sentAt: Milliseconds): void {
		const time = this.clock.now() - sentAt;
		const previous = this.expectedReplyTime;
		this.#averageReplyTime = previous === 0 ? time : previous + (replyTimeWeight * (time - previous));
		this.#averageUpdatedAt = this.clock.now();
	}

	protected abstract get limit(): number;
	protected abstract get waitingCount(): number;

	/** Adds a request and refuses one if the queue is full. */
	abstract add(item: GateItem): void;

	/** Records that the member refused a statement as busy. */
	abstract recordRefusal(sentAt: Milliseconds): void;

	/** Refuses waiting requests that cannot be answered in time. */
	abstract refuseUnanswerable(): void;

	protected abstract takeNext(): GateItem | undefined;
}

/** Gate with the rules of the connection pool: by priority, then in order of arrival, up to the number of connections. */
export class PriorityGate extends MemberGate {
	readonly #waiting: GateItem[] = [];

	override add(item: GateItem): void {
		if (this.#waiting.length >= connectionCount * waitersPerConnection) {
			item.onRefused();
			return;
		}

		const index = this.#waiting.findIndex(other => other.priority > item.priority);
		this.#waiting.splice(index === -1 ? this.#waiting.length : index, 0, item);
	}

	override recordRefusal(): void {
		// The number of connections does not depend on refusals.
	}

	override refuseUnanswerable(): void {
		// Waiting requests are looked at only when a connection is free.
	}

	protected override get limit(): number {
		return connectionCount;
	}

	protected override get waitingCount(): number {
		return this.#waiting.length;
	}

	protected override takeNext(): GateItem | undefined {
		for (let item = this.#waiting.shift(); item; item = this.#waiting.shift()) {
			if (isAnswerableInTime(item.deadline - this.clock.now(), this.expectedReplyTime)) {
				return item;
			}

			item.onRefused();
		}

		return undefined;
	}
}

/** Gate with a WaitingQueue and a ConcurrencyLimit. */
export class QueueGate extends MemberGate {
	readonly #limit = new ConcurrencyLimit(() => connectionCount);
	readonly #queue = new WaitingQueue<GateItem>({maximumLength: () => connectionCount * waitersPerConnection, expectedReplyTime: () => this.expectedReplyTime});

	override add(item: GateItem): void {
		this.#queue.add(item, this.clock.now())?.onRefused();
	}

	override recordReply(sentAt: Milliseconds): void {
		super.recordReply(sentAt);
		this.#limit.recordReply(sentAt, this.inFlight, this.clock.now());
	}

	override recordRefusal(sentAt: Milliseconds): void {
		this.#limit.recordRefusal(sentAt, this.clock.now());
	}

	override refuseUnanswerable(): void {
		for (const item of this.#queue.removeUnanswerable(this.clock.now())) {
			item.onRefused();
		}
	}

	protected override get limit(): number {
		return this.#limit.limit;
	}

	protected override get waitingCount(): number {
		return this.#queue.length;
	}

	protected override takeNext(): GateItem | undefined {
		return this.#queue.takeNext(() => true, this.clock.now());
	}
}
