import {commandCharacters} from './entry-size.js';
import {currentVoterList} from './log-rules.js';
import {
	type EntryPosition, type ControlLogEntry, type Snapshot, type StoredState, type VoterList,
} from './types.js';

const emptyVoterList: VoterList = {voters: [], learners: []};

/** In-memory log of a voter: a snapshot and the entries after it. */
export class VoterLog {
	#snapshot: Snapshot | undefined;
	#entries: ControlLogEntry[] = [];
	#voterList: VoterList = emptyVoterList;
	#entryCharacters = 0;

	/** The latest snapshot; the entries follow it. */
	get snapshot(): Snapshot | undefined {
		return this.#snapshot;
	}

	/** Index of the last entry included in the snapshot, or 0 without a snapshot. */
	get snapshotIndex(): number {
		return this.#snapshot?.index ?? 0;
	}

	/** Position of the last entry. */
	get lastPosition(): EntryPosition {
		return this.#entries.at(-1) ?? this.#snapshot ?? {index: 0, term: 0};
	}

	/** The current voter list: the latest in the log, committed or not. */
	get voterList(): VoterList {
		return this.#voterList;
	}

	/** Index of the entry that set the current voter list. */
	get voterListIndex(): number {
		return this.#entries.findLast(entry => entry.command.kind === 'changeVoters')?.index ?? this.snapshotIndex;
	}

	/** Number of characters of files and documents in the entries after the snapshot. */
	get entryCharacters(): number {
		return this.#entryCharacters;
	}

	/** Replaces the log by the stored state. */
	load(stored: StoredState): void {
		this.reset(stored.snapshot, stored.entries);
	}

	/** Replaces the snapshot and the entries after it. */
	reset(snapshot: Snapshot | undefined, entries: readonly ControlLogEntry[]): void {
		this.#snapshot = snapshot;
		this.#entries = [...entries];
		this.#updateDerivedState();
	}

	/** Returns the term of an entry, or undefined if the entry is missing or compacted. */
	termAt(index: number): number | undefined {
		return index === this.snapshotIndex ? (this.#snapshot?.term ?? 0) : this.entryAt(index)?.term;
	}

	/** Returns an entry, or undefined if it is missing or compacted. */
	entryAt(index: number): ControlLogEntry | undefined {
		return this.#entries[index - this.snapshotIndex - 1];
	}

	/** Returns up to `limit` entries after an index. */
	entriesAfter(index: number, limit = Number.POSITIVE_INFINITY): readonly ControlLogEntry[] {
		const start = Math.max(0, index - this.snapshotIndex);
		return this.#entries.slice(start, start + limit);
	}

	/** Appends entries after truncating the log at the index of the first one. */
	append(entries: readonly ControlLogEntry[]): void {
		if (entries.length === 0) {
			return;
		}

		this.#entries.length = Math.max(0, entries[0].index - this.snapshotIndex - 1);
		this.#entries.push(...entries);
		this.#updateDerivedState();
	}

	/** Returns the voter list as of an index. */
	voterListAt(index: number): VoterList {
		return currentVoterList(this.#snapshot?.list ?? emptyVoterList, this.#entries.filter(entry => entry.index <= index));
	}

	#updateDerivedState(): void {
		this.#entryCharacters = 0;
		for (const {command} of this.#entries) {
			this.#entryCharacters += commandCharacters(command);
		}

		this.#voterList = currentVoterList(this.#snapshot?.list ?? emptyVoterList, this.#entries);
	}
}
