import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type StatementAttempt} from './statement-attempt.js';

/** Minimum time without a reply after which a read is also sent to another member. */
const minimumHedgeDelay: Milliseconds = 120;

/** Multiple of the expected reply time after which a read is hedged; few replies take longer. */
const hedgeDelayFactor = 4;

/** Member, or way to execute a read, that a hedged read tries. */
export type ReadSource = {
	readonly expectedReplyTime: Milliseconds;
};

/** Hedged request: tries the sources of a read, such as members, in order, moving to the next one when a source refuses or fails, and also when it is slow. The read may run on several members. */
export class HedgedRead<Source extends ReadSource> {
	#nextIndex = 0;
	#runningCount = 0;
	#resolve: ((attempt: StatementAttempt) => void) | undefined;
	#lastAttempt: StatementAttempt = {kind: 'notRun', reason: 'busy', detail: 'no member takes reads'};

	constructor(
		private readonly clock: Clock,
		private readonly sources: readonly Source[],
		/** Attempts the read on a source. An attempt that has not sent the read yet stops once `isWanted` returns false. */
		private readonly readFrom: (source: Source, isWanted: () => boolean) => Promise<StatementAttempt>,
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

		const source = this.sources.at(this.#nextIndex);
		this.#nextIndex++;
		if (source) {
			this.#runningCount++;
			const delay = Math.max(minimumHedgeDelay, hedgeDelayFactor * source.expectedReplyTime);
			const cancelHedge = this.clock.schedule(delay, () => {
				this.#startNext();
			});
			void this.#runAttempt(source, cancelHedge);
		} else if (this.#runningCount === 0) {
			this.#finish(this.#lastAttempt);
		}
	}

	async #runAttempt(source: Source, cancelHedge: Cancel): Promise<void> {
		const attempt = await this.readFrom(source, () => this.#resolve !== undefined);
		this.#runningCount--;
		cancelHedge();
		this.#lastAttempt = attempt;
		const isRefused = attempt.kind === 'answered' && attempt.reply.outcome === 'refused';
		if (attempt.kind === 'answered' && (!isRefused || this.#nextIndex >= this.sources.length)) {
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
