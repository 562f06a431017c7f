import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type GroupBlackboard} from '../database-group/group-state.js';
import {type Logger} from '../observability/logger.js';
import {type Timeline} from '../timeline/timeline.js';
import {findPrimary} from './execution-context.js';

/** Dependencies of a FailoverGapController. */
export type FailoverGapOptions = {
	readonly database: string;
	readonly board: GroupBlackboard;
	readonly clock: Clock;
	readonly timeline: Timeline;
	readonly logger: Logger;
	/** Called with the duration of each gap. */
	readonly observeGap: (gap: Milliseconds) => void;
};

/** Measures failover gaps: the time from the last response of an old primary to the first response of its successor. */
export class FailoverGapController extends Controller {
	#latestTerm = 0;
	#lastResponseAt: Milliseconds = 0;
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
		const primary = findPrimary(board);
		if (!primary || primary.primaryTerm < this.#latestTerm) {
			return;
		}

		const now = clock.now();
		if (primary.primaryTerm > this.#latestTerm) {
			if (this.#latestTerm > 0) {
				const gap = now - this.#lastResponseAt;
				observeGap(gap);
				timeline.record('group', 'writes accepted again', `${database}/${primary.member}`, `term ${primary.primaryTerm}, gap ${Math.round(gap)} ms`);
				logger.info(`${database}/${primary.member}: writes accepted again in term ${primary.primaryTerm} after ${Math.round(gap)} ms`);
			}

			this.#latestTerm = primary.primaryTerm;
		}

		this.#lastResponseAt = Math.max(this.#lastResponseAt, board.read('observations').get(primary.member)?.askedAt ?? 0);
	}
}
