import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type GroupBlackboard} from '../database-group/group-state.js';
import {type Logger} from '../observability/logger.js';
import {type Timeline} from '../timeline/timeline.js';
import {primaryOf} from './execution-context.js';

/** What the measurement of failover gaps needs. */
export type FailoverGapOptions = {
	readonly database: string;
	readonly board: GroupBlackboard;
	readonly clock: Clock;
	readonly timeline: Timeline;
	readonly logger: Logger;
	/** Takes a gap in milliseconds. */
	readonly observeGap: (gap: Milliseconds) => void;
};

/** Measures the time from the last answer of an old primary to the first answer of the new one. */
export class FailoverGapController extends Controller {
	#term = 0;
	#lastAnswerAt: Milliseconds = 0;
	readonly #cancels: Cancel[] = [];

	constructor(private readonly options: FailoverGapOptions) {
		super();
	}

	override start(): void {
		this.#cancels.push(this.options.board.watch('observations', () => {
			this.#update();
		}));
	}

	override stop(): void {
		for (const cancel of this.#cancels.splice(0)) {
			cancel();
		}
	}

	#update(): void {
		const {board, clock, database, timeline, logger, observeGap} = this.options;
		const primary = primaryOf(board);
		if (!primary || primary.primaryTerm < this.#term) {
			return;
		}

		const now = clock.now();
		if (primary.primaryTerm > this.#term) {
			if (this.#term > 0) {
				const gap = now - this.#lastAnswerAt;
				observeGap(gap);
				timeline.record('group', 'writes accepted again', `${database}/${primary.member}`, `term ${primary.primaryTerm}, gap ${Math.round(gap)} ms`);
				logger.info(`${database}/${primary.member}: writes accepted again in term ${primary.primaryTerm} after ${Math.round(gap)} ms`);
			}

			this.#term = primary.primaryTerm;
		}

		this.#lastAnswerAt = Math.max(this.#lastAnswerAt, board.read('observations').get(primary.member)?.askedAt ?? 0);
	}
}
