import {Buffer} from 'node:buffer';
import {
	closeSync, existsSync, fdatasyncSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readFileSync, renameSync, writeSync,
} from 'node:fs';
import {join} from 'node:path';
import {Decoder, Encoder} from 'cbor-x';
import {type Change} from './tables.js';

/** Entry of a member's log. The first entry has position 1. */
export type LogEntry = {readonly term: number; readonly changes: readonly Change[]};

/** State that a member stores durably in addition to the log. */
export type DurableMemberState = {
	readonly promisedTerm: number;
	readonly primaryTerm: number;
	readonly primaryMember: string;
	readonly primaryAddress: string;
};

/** Position of the last entry of a term in a log. */
export type TermEnd = {readonly term: number; readonly position: number};

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});
const headerLength = 4;

/**
Returns the position of the last entry that two logs have in common.

Each term has only one primary, so two logs with entries of the same term are equal up to the lower of their last positions in that term.
*/
export function lastCommonPosition(first: readonly TermEnd[], second: readonly TermEnd[]): number {
	const sharedPositions = first.map(({term, position}) => {
		const other = second.find(candidate => candidate.term === term);
		return other ? Math.min(position, other.position) : 0;
	});
	return Math.max(0, ...sharedPositions);
}

/** Log and durable state of a member, in memory and, if a folder is given, also in files that are synced on every change. */
export class MemberLog {
	#state: DurableMemberState = {
		promisedTerm: 0, primaryTerm: 0, primaryMember: '', primaryAddress: '',
	};

	#entries: LogEntry[] = [];
	/** File offset of the end of each entry. */
	readonly #endOffsets: number[] = [];
	readonly #file: number | undefined;

	/** Reads the files in the folder. An incomplete last record is discarded, since a crash can interrupt an append. */
	constructor(private readonly folder?: string) {
		if (folder !== undefined) {
			mkdirSync(folder, {recursive: true});
			this.#file = openSync(join(folder, 'log'), 'a+');
			this.#loadFiles(folder);
		}
	}

	get state(): DurableMemberState {
		return this.#state;
	}

	/** Position of the last entry. */
	get length(): number {
		return this.#entries.length;
	}

	/** Term of the last entry. */
	get lastTerm(): number {
		return this.#entries.at(-1)?.term ?? 0;
	}

	/** Returns the entries after a position, at most as many as the limit. */
	entriesAfter(position: number, limit = Infinity): readonly LogEntry[] {
		return this.#entries.slice(position, position + limit);
	}

	/** Returns the last position of each term in the log. */
	termEnds(): readonly TermEnd[] {
		return [...new Map(this.#entries.map((entry, index) => [entry.term, index + 1]))].map(([term, position]) => ({term, position}));
	}

	/** Appends entries. They are durable when the call returns. */
	append(entries: readonly LogEntry[]): void {
		if (this.#file !== undefined) {
			writeSync(this.#file, Buffer.concat(entries.map(entry => this.#encodeRecord(entry))));
			fdatasyncSync(this.#file);
		}

		this.#entries.push(...entries);
	}

	/** Removes all entries after the position. */
	truncate(position: number): void {
		this.#entries = this.#entries.slice(0, position);
		if (this.#file !== undefined) {
			this.#endOffsets.length = position;
			ftruncateSync(this.#file, this.#endOffsets.at(-1) ?? 0);
			fdatasyncSync(this.#file);
		}
	}

	/** Changes the state. The change is durable when the call returns. */
	saveState(changes: Partial<DurableMemberState>): void {
		const state = {...this.#state, ...changes};
		if (this.folder !== undefined) {
			replaceFile(this.folder, 'state', encoder.encode(state));
		}

		this.#state = state;
	}

	#encodeRecord(entry: LogEntry): Buffer {
		const body = encoder.encode(entry);
		const header = Buffer.alloc(headerLength);
		header.writeUInt32BE(body.length);
		this.#endOffsets.push((this.#endOffsets.at(-1) ?? 0) + headerLength + body.length);
		return Buffer.concat([header, body]);
	}

	#loadFiles(folder: string): void {
		const bytes = readFileSync(join(folder, 'log'));
		for (let end = 0; end + headerLength <= bytes.length;) {
			const start = end + headerLength;
			end = start + bytes.readUInt32BE(end);
			if (end <= bytes.length) {
				this.#entries.push(decoder.decode(bytes.subarray(start, end)) as LogEntry);
				this.#endOffsets.push(end);
			}
		}

		this.truncate(this.#entries.length);
		if (existsSync(join(folder, 'state'))) {
			this.#state = decoder.decode(readFileSync(join(folder, 'state'))) as DurableMemberState;
		}
	}
}

function replaceFile(folder: string, name: string, body: Buffer): void {
	const file = openSync(join(folder, `${name}.new`), 'w');
	writeSync(file, body);
	fsyncSync(file);
	closeSync(file);
	renameSync(join(folder, `${name}.new`), join(folder, name));
	const directory = openSync(folder, 'r');
	fsyncSync(directory);
	closeSync(directory);
}
