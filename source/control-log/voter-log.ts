import {fileCharacters} from './entry-size.js';
import {currentVoterList} from './log-rules.js';
import {
	type LogEnd, type ControlLogEntry, type Snapshot, type StoredState, type VoterList,
} from './types.js';

const emptyList: VoterList = {voters: [], learners: []};

/** A voter's log in memory: a snapshot and the entries after it. */
export class VoterLog {
	#snapshot: Snapshot | undefined;
	#entries: ControlLogEntry[] = [];
	#list: VoterList = emptyList;
	#characters = 0;

	/** The snapshot that the entries follow. */
	get snapshot(): Snapshot | undefined {
		return this.#snapshot;
	}

	/** Index of the last entry that the snapshot covers. */
	get baseIndex(): number {
		return this.#snapshot?.index ?? 0;
	}

	/** Index and term of the last entry. */
	get end(): LogEnd {
		return this.#entries.at(-1) ?? this.#snapshot ?? {index: 0, term: 0};
	}

	/** The voter list in force. */
	get list(): VoterList {
		return this.#list;
	}

	/** Index of the entry that brought the list in force. */
	get listIndex(): number {
		return this.#entries.findLast(entry => entry.command.kind === 'changeVoters')?.index ?? this.baseIndex;
	}

	/** Characters of files in the entries after the snapshot. */
	get characters(): number {
		return this.#characters;
	}

	/** Takes over what was read from storage. */
	load(stored: StoredState): void {
		this.reset(stored.snapshot, stored.entries);
	}

	/** Replaces the snapshot and the entries after it. */
	reset(snapshot: Snapshot | undefined, entries: readonly ControlLogEntry[]): void {
		this.#snapshot = snapshot;
		this.#entries = [...entries];
		this.#refresh();
	}

	/** Returns the term of a held entry, or undefined when it is not held or covered by the snapshot's inside. */
	termAt(index: number): number | undefined {
		return index === this.baseIndex ? (this.#snapshot?.term ?? 0) : this.entryAt(index)?.term;
	}

	/** Returns a held entry. */
	entryAt(index: number): ControlLogEntry | undefined {
		return this.#entries[index - this.baseIndex - 1];
	}

	/** Returns the held entries after an index, at most the given number. */
	entriesAfter(index: number, limit = Number.POSITIVE_INFINITY): readonly ControlLogEntry[] {
		const start = Math.max(0, index - this.baseIndex);
		return this.#entries.slice(start, start + limit);
	}

	/** Adds entries in place of all from the first one's index on. */
	append(entries: readonly ControlLogEntry[]): void {
		if (entries.length === 0) {
			return;
		}

		this.#entries.length = Math.max(0, entries[0].index - this.baseIndex - 1);
		this.#entries.push(...entries);
		this.#refresh();
	}

	/** Returns the voter list in force at an index. */
	listAt(index: number): VoterList {
		return currentVoterList(this.#snapshot?.list ?? emptyList, this.#entries.filter(entry => entry.index <= index));
	}

	#refresh(): void {
		this.#characters = 0;
		for (const {command} of this.#entries) {
			this.#characters += fileCharacters(command);
		}

		this.#list = currentVoterList(this.#snapshot?.list ?? emptyList, this.#entries);
	}
}
