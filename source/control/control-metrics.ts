import {Counter, Gauge, type Registry} from 'prom-client';
import {type VoterRole} from '../control-log/types.js';

/** Metrics of a control process: accepted revision, commit index, changes by result, role and elections won. */
export class ControlMetrics {
	readonly revision: Gauge;
	readonly commitIndex: Gauge;
	readonly #changes: Counter<'result'>;
	readonly #role: Gauge<'role'>;
	readonly #elections: Counter;

	constructor(registry: Registry) {
		const registers = [registry];
		this.revision = new Gauge({name: 'buckthornhitch_control_revision', help: 'Accepted revision known here.', registers});
		this.commitIndex = new Gauge({name: 'buckthornhitch_control_commit_index', help: 'Index of the last committed entry known here.', registers});
		this.#changes = new Counter({
			name: 'buckthornhitch_control_changes_total', help: 'Changes carried out or refused, by result code name.', labelNames: ['result'], registers,
		});
		this.#role = new Gauge({
			name: 'buckthornhitch_control_role', help: '1 for the present role of the voter.', labelNames: ['role'], registers,
		});
		this.#elections = new Counter({name: 'buckthornhitch_control_elections_won_total', help: 'Elections that this voter won.', registers});
	}

	/** Counts a change by the name of its result code. */
	countChange(result: string): void {
		this.#changes.inc({result});
	}

	/** Sets the current role; becoming leader counts as a won election. */
	setRole(role: VoterRole): void {
		this.#role.reset();
		this.#role.set({role}, 1);
		if (role === 'leader') {
			this.#elections.inc();
		}
	}
}
