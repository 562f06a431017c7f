import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type MemberTable} from './member-table.js';
import {
	directProbeTimeout, indirectProbeCount, probePeriod, suspicionTime, type GossipRecord,
} from './membership-rules.js';

// A timer that is later than this was held up together with the reading of answers.
const pauseTolerance: Milliseconds = 100;

// Time to read the answers that arrived during a pause.
const catchUpTime: Milliseconds = 100;

/** What the failure detector needs. */
export type FailureDetectorOptions = {
	readonly clock: Clock;
	readonly table: MemberTable;
	readonly probe: (target: GossipRecord, sequence: number) => void;
	readonly probeThrough: (helper: GossipRecord, target: GossipRecord, sequence: number) => void;
	readonly onSuspicion: (entry: GossipRecord) => void;
	readonly onFailure: (entry: GossipRecord) => void;
	readonly onPause: (late: Milliseconds) => void;
};

type Probe = {
	readonly target: string;
	readonly sequence: number;
	answered: boolean;
};

/** Probes one peer a period and turns silence into suspicion and, when it is not refuted, into failure. */
export class FailureDetector {
	#probe: Probe | undefined;
	#sequence = 0;
	#due: Milliseconds = 0;
	#caughtUp = false;
	#cancelTick: Cancel | undefined;
	#cancelIndirect: Cancel | undefined;
	readonly #suspicions = new Map<string, Milliseconds>();

	constructor(private readonly options: FailureDetectorOptions) {}

	/** Starts probing after the delay in milliseconds. */
	start(delay: Milliseconds): void {
		this.#scheduleTick(delay);
	}

	/** Stops probing. */
	stop(): void {
		this.#cancelTick?.();
		this.#cancelIndirect?.();
	}

	/** Returns a number for a probe or a relayed probe. */
	nextSequence(): number {
		this.#sequence++;
		return this.#sequence;
	}

	/** Takes note of an answer; returns whether it belongs to the present probe. */
	acknowledge(sequence: number): boolean {
		if (this.#probe?.sequence !== sequence) {
			return false;
		}

		this.#probe.answered = true;
		return true;
	}

	/** Starts or ends the time for refuting, after the entry of a process changed. */
	track(entry: GossipRecord): void {
		if (entry.health !== 'suspect') {
			this.#suspicions.delete(entry.name);
		} else if (!this.#suspicions.has(entry.name)) {
			this.#suspicions.set(entry.name, this.#refutationDeadline());
		}
	}

	#tick(): void {
		const late = this.options.clock.now() - this.#due;
		if (this.#mustCatchUp(late)) {
			this.#caughtUp = true;
			this.#scheduleTick(catchUpTime);
			return;
		}

		this.#caughtUp = false;
		this.#concludeProbe();
		this.#concludeSuspicions();
		this.#startProbe();
		this.#scheduleTick(probePeriod);
	}

	// After a pause nothing is concluded before the answers that waited were read. After a pause of more than a period,
	// suspicions start again, since refutations may have been lost.
	#mustCatchUp(late: Milliseconds): boolean {
		if (late > probePeriod) {
			this.options.onPause(late);
			this.#probe = undefined;
			for (const name of this.#suspicions.keys()) {
				this.#suspicions.set(name, this.#refutationDeadline());
			}

			return true;
		}

		return late > pauseTolerance && !this.#caughtUp;
	}

	#scheduleTick(delay: Milliseconds): void {
		this.#due = this.options.clock.now() + delay;
		this.#cancelTick = this.options.clock.schedule(delay, () => {
			this.#tick();
		});
	}

	#startProbe(): void {
		const {table, clock} = this.options;
		const name = table.peers.next();
		const target = name === undefined ? undefined : table.get(name);
		if (!target) {
			this.#probe = undefined;
			return;
		}

		const probe: Probe = {target: target.name, sequence: this.nextSequence(), answered: false};
		this.#probe = probe;
		this.options.probe(target, probe.sequence);
		this.#cancelIndirect = clock.schedule(directProbeTimeout, () => {
			if (!probe.answered) {
				this.#probeIndirectly(target, probe.sequence);
			}
		});
	}

	#probeIndirectly(target: GossipRecord, sequence: number): void {
		const {table} = this.options;
		for (const name of table.peers.draw(indirectProbeCount, target.name)) {
			const helper = table.get(name);
			if (helper) {
				this.options.probeThrough(helper, target, sequence);
			}
		}
	}

	#concludeProbe(): void {
		const probe = this.#probe;
		this.#probe = undefined;
		const entry = probe && !probe.answered ? this.options.table.get(probe.target) : undefined;
		if (entry?.health === 'alive') {
			this.options.onSuspicion(entry);
		}
	}

	#concludeSuspicions(): void {
		const now = this.options.clock.now();
		for (const [name, deadline] of this.#suspicions) {
			const entry = this.options.table.get(name);
			if (now >= deadline && entry) {
				this.#suspicions.delete(name);
				this.options.onFailure(entry);
			}
		}
	}

	#refutationDeadline(): Milliseconds {
		return this.options.clock.now() + suspicionTime(this.options.table.liveCount);
	}
}
