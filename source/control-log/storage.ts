import {
	type ControlLogEntry, type Snapshot, type StoredState, type TermAndVote,
} from './types.js';

/**
Durable storage of one voter. A write is durable when the returned promise resolves.

The caller makes one call at a time. After a call rejects with storageFailed, the stored state is unknown until the next `load`.
*/
export abstract class LogStorage {
	/** Closes open files; `load` opens them again. */
	async close(): Promise<void> {
		// Nothing to close by default.
	}

	/** Loads the stored state; initializes an empty data folder with a new disk id. Throws storageCorrupt or storageFailed. */
	abstract load(): Promise<StoredState>;

	/** Replaces the current term and vote. Throws storageFailed. */
	abstract saveTermAndVote(termAndVote: TermAndVote): Promise<void>;

	/** Appends entries together with the known commit index. Stored entries from the index of the first new one on are replaced. Throws storageFailed. */
	abstract append(entries: readonly ControlLogEntry[], commitIndex?: number): Promise<void>;

	/** Replaces the snapshot and the log; the entries follow the snapshot. Throws storageFailed. */
	abstract saveSnapshot(snapshot: Snapshot, entries: readonly ControlLogEntry[]): Promise<void>;
}

/** Deterministic state machine that applies committed entries; it reaches the same state on every voter. */
export abstract class StateMachine {
	/** Applies a committed entry and returns its result. */
	abstract apply(entry: ControlLogEntry): unknown;

	/** Returns the state as a value that can be encoded in CBOR. */
	abstract snapshot(): unknown;

	/** Replaces the state by a value from `snapshot`; undefined restores the initial state. */
	abstract restore(state: unknown): void;
}
