import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Attempt} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';

/** A read without an answer after this long, or after a multiple of the usual time, is sent to another member as well. */
const shortestHedgeDelay: Milliseconds = 120;

/** Multiple of the usual answer time after which a read is hedged; few answers take longer. */
const hedgeFactor = 4;

/** Sends one read to members in order: to the next one when one refuses, and beside it when one is slow. A read may run at several members. */
export class HedgedRead {
	#next = 0;
	#running = 0;
	#settle: ((attempt: Attempt) => void) | undefined;
	#last: Attempt = {kind: 'notRun', reason: 'busy', detail: 'no member takes reads'};

	constructor(
		private readonly clock: Clock,
		private readonly pools: readonly MemberPool[],
		/** Reads at a member; an attempt that has not sent anything yet ends when the read is no longer wanted. */
		private readonly readAt: (pool: MemberPool, isWanted: () => boolean) => Promise<Attempt>,
	) {}

	/** Resolves with the first answer, or with the last failure when there is none. */
	async run(): Promise<Attempt> {
		return new Promise(resolve => {
			this.#settle = resolve;
			this.#startNext();
		});
	}

	#startNext(): void {
		if (!this.#settle) {
			return;
		}

		const pool = this.pools.at(this.#next);
		this.#next++;
		if (pool) {
			this.#running++;
			const delay = Math.max(shortestHedgeDelay, hedgeFactor * pool.expectedAnswerTime);
			const cancelHedge = this.clock.schedule(delay, () => {
				this.#startNext();
			});
			void this.#follow(pool, cancelHedge);
		} else if (this.#running === 0) {
			this.#finish(this.#last);
		}
	}

	async #follow(pool: MemberPool, cancelHedge: Cancel): Promise<void> {
		const attempt = await this.readAt(pool, () => this.#settle !== undefined);
		this.#running--;
		cancelHedge();
		this.#last = attempt;
		const isRefused = attempt.kind === 'answered' && attempt.reply.outcome === 'refused';
		if (attempt.kind === 'answered' && (!isRefused || this.#next >= this.pools.length)) {
			this.#finish(attempt);
		} else {
			this.#startNext();
		}
	}

	#finish(attempt: Attempt): void {
		this.#settle?.(attempt);
		this.#settle = undefined;
	}
}
