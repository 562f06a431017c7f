import {AverageReplyTime} from '../admission/average-reply-time.js';
import {ConcurrencyLimit} from '../admission/concurrency-limit.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions, initialLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {type ConnectionPlacement} from './connection-placement.js';
import {type ConnectionRequest} from './connection-requests.js';
import {type PooledConnection} from './pooled-connection.js';

/** Time for which a connection counts that was handed out and on which no statement was sent yet. Longer than setting the session's variables takes; a holder that sends nothing must not keep others from the member. */
const unsentTime: Milliseconds = 20;

/** Statements that take a slot of a member. */
const slotKinds: ReadonlySet<MemberStatement['kind']> = new Set(['read', 'write', 'execute', 'commit']);

/** Use of a connection that counts as a statement in flight. */
type Occupation = {
	readonly isForTransaction: boolean;
	/** Times at which the unanswered statements were sent. */
	readonly sentAt: Set<{readonly at: Milliseconds}>;
	cancelUnsent: Cancel | undefined;
};

/** Dependencies of a gate. */
export type StatementGateOptions = {
	readonly clock: Clock;
	readonly placement: ConnectionPlacement;
	/** Number of slots of the member. */
	readonly slots: number;
	/** Returns the last log position that the member reported. */
	readonly logPosition: () => LogPosition | undefined;
	/** Called when fewer statements are in flight than before, without a connection being released. */
	readonly onFreed: () => void;
};

/**
Limits the statements that this instance keeps in flight at a member on its direct connections. The excess waits in the queue of this instance, which is ordered by priority, rather than in that of the member, which is not.

A connection counts from the time at which it is handed out for a statement until it is released, and in a transaction while a statement is unanswered. Statements of transactions are never held back, since others wait for what the transactions hold.
*/
export class StatementGate {
	readonly #limit: ConcurrencyLimit;
	readonly #occupations = new Map<PooledConnection, Occupation>();
	readonly #replyTime = new AverageReplyTime();
	#repliedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: StatementGateOptions) {
		this.#limit = new ConcurrencyLimit(() => options.placement.maximumOfInstance, () => options.slots);
	}

	/** Number of statements in flight. */
	get inFlight(): number {
		return this.#occupations.size;
	}

	/** Number of statements that may be in flight. */
	get limit(): number {
		return this.#limit.limit;
	}

	/** Expected time from sending a statement to its reply: the moving average, or the time for which unanswered statements have had no reply if that is longer. A single statement that waits for a lock does not count while others are answered. */
	get expectedReplyTime(): Milliseconds {
		const now = this.options.clock.now();
		let oldestSentAt = now;
		for (const {sentAt} of this.#occupations.values()) {
			for (const {at} of sentAt) {
				oldestSentAt = Math.min(oldestSentAt, at);
			}
		}

		return Math.max(this.#replyTime.value(now), now - Math.max(oldestSentAt, this.#repliedAt));
	}

	/** Returns whether the request has to wait because enough statements are in flight, given the number of those that will be sent on connections which are being opened. */
	isClosedFor(request: ConnectionRequest, openingCount = 0): boolean {
		return this.#isGated(request) && this.inFlight + openingCount >= this.limit;
	}

	/** Counts a connection that is handed out for a statement or a transaction, if it is a direct one. */
	occupy(connection: PooledConnection, request: ConnectionRequest): void {
		if (!this.#isGated(request) || connection.memberConnection.isRelayed) {
			return;
		}

		const {clock, onFreed} = this.options;
		const {isForTransaction} = request;
		this.#occupations.set(connection, {
			isForTransaction, sentAt: new Set(), cancelUnsent: clock.schedule(unsentTime, () => {
				this.vacate(connection);
				onFreed();
			}),
		});
	}

	/** Counts a connection no longer that was released or closed. */
	vacate(connection: PooledConnection): void {
		this.#occupations.get(connection)?.cancelUnsent?.();
		this.#occupations.delete(connection);
	}

	/** Counts a connection no longer whose transaction is rolled back, unless a statement on it is unanswered. */
	vacateIfAnswered(connection: PooledConnection): void {
		if (this.#occupations.get(connection)?.sentAt.size === 0) {
			this.vacate(connection);
		}
	}

	/** Counts a statement that is sent on a direct connection, where the shares of all instances are exact. Returns a function that must be called with its reply, or with undefined if there is none. */
	recordSent(connection: PooledConnection, isForTransaction: boolean, statement: MemberStatement): (reply: StatementReply | undefined) => void {
		if (!slotKinds.has(statement.kind) || !this.options.placement.isExact) {
			return () => undefined;
		}

		const occupation = this.#occupations.get(connection) ?? {isForTransaction, sentAt: new Set(), cancelUnsent: undefined};
		occupation.cancelUnsent?.();
		this.#occupations.set(connection, occupation);
		const sent = {at: this.options.clock.now()};
		occupation.sentAt.add(sent);
		const waitsForLog = 'after' in statement && this.#isBehind(statement.after);
		return reply => {
			occupation.sentAt.delete(sent);
			if (reply) {
				this.#recordReply(reply, sent.at, waitsForLog);
			}

			if (isForTransaction && reply?.transaction === 'open' && occupation.sentAt.size === 0 && this.#occupations.get(connection) === occupation) {
				this.#occupations.delete(connection);
				this.options.onFreed();
			}
		};
	}

	/** Returns whether the request is for statements that take slots of the member, of which other instances use exact shares. */
	#isGated({takesSlot, path}: ConnectionRequest): boolean {
		const {isExact, isGateway} = this.options.placement;
		return takesSlot && path !== 'gateway' && isExact && isGateway;
	}

	/** Records a reply. The time of a statement that waited for the log of the member says nothing about its load. */
	#recordReply(reply: StatementReply, sentAt: Milliseconds, waitsForLog: boolean): void {
		const now = this.options.clock.now();
		this.#repliedAt = now;
		if (reply.outcome === 'refused' && reply.reason === 'busy') {
			this.#limit.recordRefusal(sentAt, now);
		} else if (reply.outcome === 'done' && !waitsForLog) {
			this.#limit.recordReply(sentAt, this.inFlight, now);
			this.#replyTime.record(now - sentAt, now);
		}
	}

	#isBehind(after: LogPosition | undefined): boolean {
		return after !== undefined && compareLogPositions(this.options.logPosition() ?? initialLogPosition, after) < 0;
	}
}
