import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type GroupBlackboard} from '../database-group/group-state.js';
import {isWriteConfirmed, laterLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';

/** Outcome of waiting for the confirmation of a write. */
export type ConfirmationOutcome = 'confirmed' | 'superseded' | 'timeout';

type PendingWrite = {
	readonly position: LogPosition;
	readonly primary: string;
	readonly finish: (outcome: ConfirmationOutcome) => void;
};

/** Delays the responses to writes until a majority of members has received the writes. */
export class WriteConfirmation extends Controller {
	readonly #pendingWrites = new Set<PendingWrite>();
	#cancelWatch: Cancel | undefined;

	constructor(private readonly board: GroupBlackboard, private readonly clock: Clock) {
		super();
	}

	override start(): void {
		this.#cancelWatch = this.board.watch('observations', () => {
			this.#resolvePendingWrites();
		});
	}

	override stop(): void {
		this.#cancelWatch?.();
		for (const pendingWrite of this.#pendingWrites) {
			pendingWrite.finish('timeout');
		}
	}

	/** Number of writes that wait for confirmation. */
	get pendingCount(): number {
		return this.#pendingWrites.size;
	}

	/** Waits until the write at the log position is confirmed or can no longer be confirmed, at most until the timeout. */
	async waitForConfirmation(position: LogPosition, primary: string, timeout: Milliseconds): Promise<ConfirmationOutcome> {
		const knownOutcome = this.#decideOutcome(position, primary);
		if (knownOutcome) {
			return knownOutcome;
		}

		return new Promise(resolve => {
			const pendingWrite: PendingWrite = {
				position,
				primary,
				finish: outcome => {
					cancelTimeout();
					this.#pendingWrites.delete(pendingWrite);
					resolve(outcome);
				},
			};
			const cancelTimeout = this.clock.schedule(timeout, () => {
				pendingWrite.finish('timeout');
				this.#publishUnconfirmedPosition();
			});
			this.#pendingWrites.add(pendingWrite);
			this.#publishUnconfirmedPosition();
		});
	}

	#resolvePendingWrites(): void {
		if (this.#pendingWrites.size === 0) {
			return;
		}

		for (const pendingWrite of this.#pendingWrites) {
			const outcome = this.#decideOutcome(pendingWrite.position, pendingWrite.primary);
			if (outcome) {
				pendingWrite.finish(outcome);
			}
		}

		this.#publishUnconfirmedPosition();
	}

	#decideOutcome(position: LogPosition, primary: string): ConfirmationOutcome | undefined {
		const members = this.board.read('members');
		const statuses = [...this.board.read('observations').values()].map(({status}) => status).filter(status => members.has(status.member));
		if (isWriteConfirmed(position, primary, statuses, this.board.read('memberCount'))) {
			return 'confirmed';
		}

		// Once a member reports a later primary term, the write can no longer be confirmed: the members that follow the later term never report the term of the write again.
		return statuses.some(status => status.primaryTerm > position.term) ? 'superseded' : undefined;
	}

	/** Writes the latest position of the pending writes to the blackboard. */
	#publishUnconfirmedPosition(): void {
		let latest: LogPosition | undefined;
		for (const {position} of this.#pendingWrites) {
			latest = latest ? laterLogPosition(latest, position) : position;
		}

		const published = this.board.read('unconfirmedWritePosition');
		if (published?.term !== latest?.term || published?.position !== latest?.position) {
			this.board.write('unconfirmedWritePosition', latest);
		}
	}
}
