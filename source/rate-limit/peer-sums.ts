import {type Milliseconds} from '../clock/clock.js';
import {type SharedSums} from './messages.js';

/** Time after which a control instance that was not heard from counts as unheard; five exchange periods. */
export const hearingTime: Milliseconds = 1000;

type Peer = {
	runId: string;
	version: number;
	watchingCount: number;
	heardAt: Milliseconds;
	readonly sums: Map<string, number>;
	/** Version of the own sums that the peer is known to have. */
	acknowledgedVersion: number;
	/** Own sums that the peer is known to have. */
	readonly acknowledgedSums: Map<string, number>;
};

/** Sums that the other control instances shared, and the own sums that they acknowledged. */
export class PeerSums {
	readonly #peers = new Map<string, Peer>();

	/** Sums of a peer that is no longer heard count for the retention time. */
	constructor(private readonly retention: Milliseconds) {}

	/** Adds the control instances that are known now, and forgets those that no longer are. */
	replaceNames(names: readonly string[]): void {
		const known = new Set(names);
		for (const name of this.#peers.keys()) {
			if (!known.has(name)) {
				this.#peers.delete(name);
			}
		}

		for (const name of names) {
			if (!this.#peers.has(name)) {
				this.#peers.set(name, createPeer(''));
			}
		}
	}

	/** Names of all known peers. */
	get names(): readonly string[] {
		return [...this.#peers.keys()];
	}

	/** Returns the names of the peers that were heard from recently, and after the last suspected suspension. */
	heard(now: Milliseconds, suspendedAt: Milliseconds): readonly string[] {
		return [...this.#peers].filter(([, {heardAt}]) => heardAt >= now - hearingTime && heardAt > suspendedAt).map(([name]) => name);
	}

	/** Process and version of the peer's sums that are known here, and the version of the own sums that it acknowledged. */
	describe(name: string): {readonly knownRunId: string; readonly knownVersion: number; readonly acknowledgedVersion: number} {
		const peer = this.#peers.get(name);
		return {knownRunId: peer?.runId ?? '', knownVersion: peer?.version ?? 0, acknowledgedVersion: peer?.acknowledgedVersion ?? 0};
	}

	/** Stores the sums that a peer shared. Returns false when newer ones are known or ones between are missing. */
	receive({name, runId, watchingCount, baseVersion, version, sums}: SharedSums, heardAt: Milliseconds): boolean {
		let peer = this.#peers.get(name);
		if (peer?.runId !== runId) {
			peer = createPeer(runId);
			this.#peers.set(name, peer);
		}

		peer.heardAt = Math.max(peer.heardAt, heardAt);
		peer.watchingCount = watchingCount;
		if (baseVersion > peer.version || version < peer.version) {
			return false;
		}

		peer.version = version;
		for (const [customer, sum] of sums) {
			peer.sums.set(customer, sum);
		}

		return true;
	}

	/** Records the version of the own sums that a peer states to have, after it received the sums given here. */
	acknowledge(name: string, sent: SharedSums, knownVersion: number): void {
		const peer = this.#peers.get(name);
		if (!peer) {
			return;
		}

		if (knownVersion < sent.version) {
			peer.acknowledgedVersion = 0;
			peer.acknowledgedSums.clear();
			return;
		}

		peer.acknowledgedVersion = sent.version;
		for (const [customer, sum] of sent.sums) {
			peer.acknowledgedSums.set(customer, sum);
		}
	}

	/** Returns the sum of a customer at the given peers. */
	sumOf(customer: string, names: readonly string[]): number {
		let sum = 0;
		for (const name of names) {
			sum += this.#peers.get(name)?.sums.get(customer) ?? 0;
		}

		return sum;
	}

	/** Returns the sum of a customer at the peers that are no longer heard, whose operations may still be in the window. */
	unheardSum(customer: string, heard: readonly string[], now: Milliseconds): number {
		let sum = 0;
		for (const [name, {heardAt, sums}] of this.#peers) {
			if (heardAt >= now - this.retention && !heard.includes(name)) {
				sum += sums.get(customer) ?? 0;
			}
		}

		return sum;
	}

	/** Returns the number of own operations of a customer that at least one of the given peers does not know. */
	unseen(customer: string, total: number, names: readonly string[]): number {
		const known = names.map(name => this.#peers.get(name)?.acknowledgedSums.get(customer) ?? 0);
		return Math.max(0, total - Math.min(total, ...known));
	}

	/** Returns the number of entry instances that watch the given peers. */
	watchingCount(names: readonly string[]): number {
		let count = 0;
		for (const name of names) {
			count += this.#peers.get(name)?.watchingCount ?? 0;
		}

		return count;
	}
}

function createPeer(runId: string): Peer {
	return {
		runId, version: 0, watchingCount: 0, heardAt: Number.NEGATIVE_INFINITY, sums: new Map(), acknowledgedVersion: 0, acknowledgedSums: new Map(),
	};
}
