import {
	type ControlLogEntry, type Snapshot, type StoredState, type VoterPromise,
} from './types.js';

/**
Durable state of one voter. A call has taken effect only when its promise resolves.

Calls are made one after the other. After a call rejects with storageFailed, the state is known again only after `load`.
*/
export abstract class LogStorage {
	/** Releases open files; `load` opens them again. */
	async close(): Promise<void> {
		// Storage without files has nothing to release.
	}

	/** Reads everything; formats an empty data folder with a new disk id. Throws storageCorrupt or storageFailed. */
	abstract load(): Promise<StoredState>;

	/** Replaces the promise. Throws storageFailed. */
	abstract savePromise(promise: VoterPromise): Promise<void>;

	/** Adds entries, with the index up to which entries are known to be committed; held entries from the first one's index on are replaced. Throws storageFailed. */
	abstract append(entries: readonly ControlLogEntry[], commitIndex?: number): Promise<void>;

	/** Replaces the snapshot and all entries by those given, which follow the snapshot. Throws storageFailed. */
	abstract saveSnapshot(snapshot: Snapshot, entries: readonly ControlLogEntry[]): Promise<void>;
}

/** Effect of a log on a state, the same on every voter. */
export abstract class StateMachine {
	/** Carries out a committed entry and returns its answer. */
	abstract apply(entry: ControlLogEntry): unknown;

	/** Returns the state as a value that can be encoded. */
	abstract snapshot(): unknown;

	/** Replaces the state by an image; undefined means the initial state. */
	abstract restore(image: unknown): void;
}
