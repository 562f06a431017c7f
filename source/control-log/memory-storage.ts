import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {LogStorage} from './storage.js';
import {
	type ControlLogEntry, type Snapshot, type StoredState, type TermAndVote,
} from './types.js';

/** In-memory storage for tests, with injectable write failures. */
export class MemoryStorage extends LogStorage {
	/** Whether every write fails. */
	failing = false;
	/** Number of writes, each of which is one sync in a file storage. */
	syncCount = 0;
	#termAndVote: TermAndVote = {term: 0, votedFor: null};
	#snapshot: Snapshot | undefined;
	#entries: readonly ControlLogEntry[] = [];
	#commitIndex = 0;

	constructor(readonly diskId: string) {
		super();
	}

	override async load(): Promise<StoredState> {
		return {
			diskId: this.diskId, termAndVote: this.#termAndVote, snapshot: this.#snapshot, entries: this.#entries, commitIndex: this.#commitIndex,
		};
	}

	override async saveTermAndVote(termAndVote: TermAndVote): Promise<void> {
		this.#sync();
		this.#termAndVote = termAndVote;
	}

	override async append(entries: readonly ControlLogEntry[], commitIndex = 0): Promise<void> {
		this.#sync();
		this.#commitIndex = Math.max(this.#commitIndex, commitIndex);
		this.#entries = [...this.#entries.filter(entry => entry.index < entries[0].index), ...entries];
	}

	override async saveSnapshot(snapshot: Snapshot, entries: readonly ControlLogEntry[]): Promise<void> {
		this.#sync();
		this.#snapshot = snapshot;
		this.#entries = [...entries];
	}

	#sync(): void {
		if (this.failing) {
			throw new BuckthornhitchError('storageFailed', 'A failure was injected.');
		}

		this.syncCount++;
	}
}
