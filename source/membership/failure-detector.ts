import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type MembershipTable} from './membership-table.js';
import {
	directProbeTimeout, indirectProbeCount, probePeriod, suspicionTimeout, type GossipRecord,
} from './membership-rules.js';

// When a timer runs later than this, the event loop was blocked, so that received answers are still unread.
const timerDelayTolerance: Milliseconds = 100;

// Time to process the answers that arrived while the event loop was blocked.
const catchUpTime: Milliseconds = 100;

/** Dependencies and callbacks of the failure detector. */
export type FailureDetectorOptions = {
	readonly clock: Clock;
	readonly table: MembershipTable;
	readonly probe: (target: GossipRecord, sequence: number) => void;
	/** Asks another process, the relay, to probe the target. */
	readonly probeIndirectly: (relay: GossipRecord, target: GossipRecord, sequence: number) => void;
	readonly onSuspicion: (record: GossipRecord) => void;
	readonly onFailure: (record: GossipRecord) => void;
	/** Called when this process was paused for longer than a probe period. */
	readonly onPause: (delay: Milliseconds) => void;
};

type Probe = {
	readonly target: string;
	readonly sequence: number;
	answered: boolean;
};

/** SWIM failure detector: probes one peer per period, suspects it when it does not answer, and reports it failed when the suspicion is not refuted in time. */
export class FailureDetector {
	#probe: Probe | undefined;
	#sequence = 0;
	#tickDueAt: Milliseconds = 0;
	#isTickPostponed = false;
	#cancelTick: Cancel | undefined;
	#cancelIndirectProbe: Cancel | undefined;
	readonly #refutationDeadlines = new Map<string, Milliseconds>();

	constructor(private readonly options: FailureDetectorOptions) {}

	/** Starts probing after a delay in milliseconds. */
	start(delay: Milliseconds): void {
		this.#scheduleTick(delay);
	}

	/** Stops probing. */
	stop(): void {
		this.#cancelTick?.();
		this.#cancelIndirectProbe?.();
	}

	/** Returns the next sequence number, for a probe of this process or one that it relays. */
	nextSequence(): number {
		this.#sequence++;
		return this.#sequence;
	}

	/** Records an acknowledgement; returns whether it belongs to the current probe. */
	acknowledge(sequence: number): boolean {
		if (this.#probe?.sequence !== sequence) {
			return false;
		}

		this.#probe.answered = true;
		return true;
	}

	/** Starts or cancels the suspicion timeout of a process after its record changed. */
	updateSuspicion(record: GossipRecord): void {
		if (record.health !== 'suspect') {
			this.#refutationDeadlines.delete(record.name);
		} else if (!this.#refutationDeadlines.has(record.name)) {
			this.#refutationDeadlines.set(record.name, this.#nextRefutationDeadline());
		}
	}

	#tick(): void {
		const delay = this.options.clock.now() - this.#tickDueAt;
		if (this.#handlePause(delay)) {
			this.#isTickPostponed = true;
			this.#scheduleTick(catchUpTime);
			return;
		}

		this.#isTickPostponed = false;
		this.#evaluateProbe();
		this.#failExpiredSuspicions();
		this.#startProbe();
		this.#scheduleTick(probePeriod);
	}

	// Returns whether the tick is to be postponed. After a pause of this process, no peer is suspected before the answers received
	// meanwhile are processed. After a pause longer than a probe period, the current probe is dropped and suspicion timeouts start
	// again, since refutations may have been lost.
	#handlePause(delay: Milliseconds): boolean {
		if (delay > probePeriod) {
			this.options.onPause(delay);
			this.#probe = undefined;
			for (const name of this.#refutationDeadlines.keys()) {
				this.#refutationDeadlines.set(name, this.#nextRefutationDeadline());
			}

			return true;
		}

		return delay > timerDelayTolerance && !this.#isTickPostponed;
	}

	#scheduleTick(delay: Milliseconds): void {
		this.#tickDueAt = this.options.clock.now() + delay;
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
		this.#cancelIndirectProbe = clock.schedule(directProbeTimeout, () => {
			if (!probe.answered) {
				this.#probeIndirectly(target, probe.sequence);
			}
		});
	}

	#probeIndirectly(target: GossipRecord, sequence: number): void {
		const {table} = this.options;
		for (const name of table.peers.sample(indirectProbeCount, target.name)) {
			const relay = table.get(name);
			if (relay) {
				this.options.probeIndirectly(relay, target, sequence);
			}
		}
	}

	#evaluateProbe(): void {
		const probe = this.#probe;
		this.#probe = undefined;
		const record = probe && !probe.answered ? this.options.table.get(probe.target) : undefined;
		if (record?.health === 'alive') {
			this.options.onSuspicion(record);
		}
	}

	#failExpiredSuspicions(): void {
		const now = this.options.clock.now();
		for (const [name, deadline] of this.#refutationDeadlines) {
			const record = this.options.table.get(name);
			if (now >= deadline && record) {
				this.#refutationDeadlines.delete(name);
				this.options.onFailure(record);
			}
		}
	}

	#nextRefutationDeadline(): Milliseconds {
		return this.options.clock.now() + suspicionTimeout(this.options.table.liveCount);
	}
}
