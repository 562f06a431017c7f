import {Buffer} from 'node:buffer';
import {
	closeSync, existsSync, fdatasyncSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readFileSync, renameSync, writeSync,
} from 'node:fs';
import {join} from 'node:path';
import {Decoder, Encoder} from 'cbor-x';
import {type Change} from './tables.js';

/** Entry of a member's log; its position is its place in the log, starting at 1. */
export type LogEntry = {readonly term: number; readonly changes: readonly Change[]};

/** Durable state beside the log. */
export type MemberState = {
	readonly promisedTerm: number;
	readonly primaryTerm: number;
	readonly primaryMember: string;
	readonly primaryAddress: string;
};

/** Last position of a term in a log. */
export type TermEnd = {readonly term: number; readonly position: number};

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});
const headerBytes = 4;

/**
Returns the position of the last entry that two logs share.

Each term has one primary, so two logs that hold entries of the same term agree up to the shorter end of that term.
*/
export function lastCommonPosition(first: readonly TermEnd[], second: readonly TermEnd[]): number {
	const common = first.map(({term, position}) => {
		const other = second.find(candidate => candidate.term === term);
		return other ? Math.min(position, other.position) : 0;
	});
	return Math.max(0, ...common);
}

/** Log and promise of a member, in memory and, when a folder is given, in synced files. */
export class MemberLog {
	#state: MemberState = {
		promisedTerm: 0, primaryTerm: 0, primaryMember: '', primaryAddress: '',
	};

	#entries: LogEntry[] = [];
	/** Length of the file up to and including each entry. */
	readonly #ends: number[] = [];
	readonly #file: number | undefined;

	/** Reads the files of the folder. A last record that is incomplete is dropped. */
	constructor(private readonly folder?: string) {
		if (folder !== undefined) {
			mkdirSync(folder, {recursive: true});
			this.#file = openSync(join(folder, 'log'), 'a+');
			this.#load(folder);
		}
	}

	get state(): MemberState {
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

	/** Returns the entries behind a position. */
	after(position: number, limit = Infinity): readonly LogEntry[] {
		return this.#entries.slice(position, position + limit);
	}

	termEnds(): readonly TermEnd[] {
		return [...new Map(this.#entries.map((entry, index) => [entry.term, index + 1]))].map(([term, position]) => ({term, position}));
	}

	/** Adds entries; they are durable when it returns. */
	append(entries: readonly LogEntry[]): void {
		if (this.#file !== undefined) {
			writeSync(this.#file, Buffer.concat(entries.map(entry => this.#encodeRecord(entry))));
			fdatasyncSync(this.#file);
		}

		this.#entries.push(...entries);
	}

	/** Removes all entries behind the position. */
	truncate(position: number): void {
		this.#entries = this.#entries.slice(0, position);
		if (this.#file !== undefined) {
			this.#ends.length = position;
			ftruncateSync(this.#file, this.#ends.at(-1) ?? 0);
			fdatasyncSync(this.#file);
		}
	}

	/** Changes the state; it is durable when it returns. */
	save(changes: Partial<MemberState>): void {
		const state = {...this.#state, ...changes};
		if (this.folder !== undefined) {
			replaceFile(this.folder, 'state', encoder.encode(state));
		}

		this.#state = state;
	}

	#encodeRecord(entry: LogEntry): Buffer {
		const body = encoder.encode(entry);
		const header = Buffer.alloc(headerBytes);
		header.writeUInt32BE(body.length);
		this.#ends.push((this.#ends.at(-1) ?? 0) + headerBytes + body.length);
		return Buffer.concat([header, body]);
	}

	#load(folder: string): void {
		const bytes = readFileSync(join(folder, 'log'));
		for (let end = 0; end + headerBytes <= bytes.length;) {
			const start = end + headerBytes;
			end = start + bytes.readUInt32BE(end);
			if (end <= bytes.length) {
				this.#entries.push(decoder.decode(bytes.subarray(start, end)) as LogEntry);
				this.#ends.push(end);
			}
		}

		this.truncate(this.#entries.length);
		if (existsSync(join(folder, 'state'))) {
			this.#state = decoder.decode(readFileSync(join(folder, 'state'))) as MemberState;
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
