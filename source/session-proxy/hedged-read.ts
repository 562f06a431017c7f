import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type StatementAttempt} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';

/** Minimum time without a reply after which a read is also sent to another member. */
const minimumHedgeDelay: Milliseconds = 120;

/** Multiple of the expected reply time after which a read is hedged; few replies take longer. */
const hedgeDelayFactor = 4;

/** Hedged request: sends a read to members in order, moving to the next one when a member refuses or fails, and also when it is slow. The read may run on several members. */
export class HedgedRead {
	#nextPoolIndex = 0;
	#runningCount = 0;
	#resolve: ((attempt: StatementAttempt) => void) | undefined;
	#lastAttempt: StatementAttempt = {kind: 'notRun', reason: 'busy', detail: 'no member takes reads'};

	constructor(
		private readonly clock: Clock,
		private readonly pools: readonly MemberPool[],
		/** Attempts the read on a member. An attempt that has not sent the read yet stops once `isWanted` returns false. */
		private readonly readFrom: (pool: MemberPool, isWanted: () => boolean) => Promise<StatementAttempt>,
	) {}

	/** Resolves with the first successful attempt, or with the last one if all failed. */
	async run(): Promise<StatementAttempt> {
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#startNext();
		});
	}

	#startNext(): void {
		if (!this.#resolve) {
			return;
		}

		const pool = this.pools.at(this.#nextPoolIndex);
		this.#nextPoolIndex++;
		if (pool) {
			this.#runningCount++;
			const delay = Math.max(minimumHedgeDelay, hedgeDelayFactor * pool.expectedReplyTime);
			const cancelHedge = this.clock.schedule(delay, () => {
				this.#startNext();
			});
			void this.#runAttempt(pool, cancelHedge);
		} else if (this.#runningCount === 0) {
			this.#finish(this.#lastAttempt);
		}
	}

	async #runAttempt(pool: MemberPool, cancelHedge: Cancel): Promise<void> {
		const attempt = await this.readFrom(pool, () => this.#resolve !== undefined);
		this.#runningCount--;
		cancelHedge();
		this.#lastAttempt = attempt;
		const isRefused = attempt.kind === 'answered' && attempt.reply.outcome === 'refused';
		if (attempt.kind === 'answered' && (!isRefused || this.#nextPoolIndex >= this.pools.length)) {
			this.#finish(attempt);
		} else {
			this.#startNext();
		}
	}

	#finish(attempt: StatementAttempt): void {
		this.#resolve?.(attempt);
		this.#resolve = undefined;
	}
}
