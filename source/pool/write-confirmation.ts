import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type GroupBlackboard} from '../database-group/group-state.js';
import {isWriteConfirmed, laterLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';

/** Outcome of the wait for a confirmation. */
export type Confirmation = 'confirmed' | 'superseded' | 'timeout';

type Waiting = {
	readonly point: LogPosition;
	readonly primary: string;
	readonly finish: (outcome: Confirmation) => void;
};

/** Holds back the answers of writes until a majority of members holds them. */
export class WriteConfirmation extends Controller {
	readonly #waiting = new Set<Waiting>();
	#cancelWatch: Cancel | undefined;

	constructor(private readonly board: GroupBlackboard, private readonly clock: Clock) {
		super();
	}

	override start(): void {
		this.#cancelWatch = this.board.watch('observations', () => {
			this.#check();
		});
	}

	override stop(): void {
		this.#cancelWatch?.();
		for (const waiting of this.#waiting) {
			waiting.finish('timeout');
		}
	}

	/** Number of writes that wait. */
	get length(): number {
		return this.#waiting.size;
	}

	/** Waits until the write at the point is confirmed, can no longer be confirmed, or the timeout in milliseconds has passed. */
	async confirm(point: LogPosition, primary: string, timeout: Milliseconds): Promise<Confirmation> {
		const early = this.#outcome(point, primary);
		if (early) {
			return early;
		}

		return new Promise(resolve => {
			const waiting: Waiting = {
				point,
				primary,
				finish: outcome => {
					cancelTimeout();
					this.#waiting.delete(waiting);
					resolve(outcome);
				},
			};
			const cancelTimeout = this.clock.schedule(timeout, () => {
				waiting.finish('timeout');
				this.#publish();
			});
			this.#waiting.add(waiting);
			this.#publish();
		});
	}

	#check(): void {
		if (this.#waiting.size === 0) {
			return;
		}

		for (const waiting of this.#waiting) {
			const outcome = this.#outcome(waiting.point, waiting.primary);
			if (outcome) {
				waiting.finish(outcome);
			}
		}

		this.#publish();
	}

	#outcome(point: LogPosition, primary: string): Confirmation | undefined {
		const members = this.board.read('members');
		const statuses = [...this.board.read('observations').values()].map(({status}) => status).filter(status => members.has(status.member));
		if (isWriteConfirmed(point, primary, statuses, this.board.read('memberCount'))) {
			return 'confirmed';
		}

		// The members of a later term never report the write's own term again.
		return statuses.some(status => status.primaryTerm > point.term) ? 'superseded' : undefined;
	}

	#publish(): void {
		let highest: LogPosition | undefined;
		for (const {point} of this.#waiting) {
			highest = highest ? laterLogPosition(highest, point) : point;
		}

		const present = this.board.read('unconfirmedWritePosition');
		if (present?.term !== highest?.term || present?.position !== highest?.position) {
			this.board.write('unconfirmedWritePosition', highest);
		}
	}
}
