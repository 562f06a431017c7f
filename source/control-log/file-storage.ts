import {Buffer} from 'node:buffer';
import {
	mkdir, open, readFile, rename, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {type Logger} from '../observability/logger.js';
import {uniqueId} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	corruption, encodeRecord, readRecords, readSingleRecord,
} from './record-format.js';
import {LogStorage} from './storage.js';
import {
	type ControlLogEntry, type Snapshot, type StoredState, type VoterPromise,
} from './types.js';

const diskFile = 'disk';
const promiseFile = 'promise';
const snapshotFile = 'snapshot';
const logFile = 'log';

type LogRecord = {
	readonly entries: readonly ControlLogEntry[];
	/** Index up to which entries were known to be committed. */
	readonly commitIndex?: number;
};

/** Opens a file; replaced in tests to inject failures. */
export type OpenFile = (file: string, flags: string) => Promise<FileHandle>;

/**
Storage in the files of one data folder: `disk` with the disk id, `promise`, `snapshot` and `log`.

Each record of the log holds the entries of one sync. Entries whose index is held already replace the held ones from there on, so the log is only ever extended until a snapshot replaces it.
*/
export class FileStorage extends LogStorage {
	#log: FileHandle | undefined;
	/** Synced bytes of the log; undefined while they are not known. */
	#logBytes: number | undefined;

	constructor(
		private readonly folder: string,
		private readonly logger: Logger,
		private readonly openFile: OpenFile = open,
	) {
		super();
	}

	override async load(): Promise<StoredState> {
		return failing(async () => {
			await mkdir(this.folder, {recursive: true});
			await this.#formatIfEmpty();
			const {diskId} = readSingleRecord(await this.#read(diskFile), diskFile) as {readonly diskId: string};
			const promise = readSingleRecord(await this.#read(promiseFile), promiseFile) as VoterPromise;
			const snapshotBytes = await this.#readIfPresent(snapshotFile);
			const snapshot = snapshotBytes && readSingleRecord(snapshotBytes, snapshotFile) as Snapshot;
			const records = await this.#openLog();
			const entries = entriesAfterSnapshot(mergeEntries(records), snapshot);
			return {
				diskId, promise, snapshot, entries, commitIndex: Math.max(0, ...records.map(record => record.commitIndex ?? 0)),
			};
		});
	}

	override async savePromise(promise: VoterPromise): Promise<void> {
		await failing(async () => this.#replace(promiseFile, encodeRecord(promise)));
	}

	override async append(entries: readonly ControlLogEntry[], commitIndex = 0): Promise<void> {
		await failing(async () => {
			const record = encodeRecord({entries, commitIndex} satisfies LogRecord);
			await writeFully(this.#log!, record, this.#logBytes!);
			await this.#log!.datasync();
			this.#logBytes! += record.length;
		});
	}

	override async saveSnapshot(snapshot: Snapshot, entries: readonly ControlLogEntry[]): Promise<void> {
		await failing(async () => {
			await this.#replace(snapshotFile, encodeRecord(snapshot));
			const bytes = this.#logBytes;
			this.#logBytes = undefined;
			const records = entries.map(entry => encodeRecord({entries: [entry]} satisfies LogRecord));
			if (bytes === 0 && records.length === 0) {
				this.#logBytes = 0;
				return;
			}

			const log = Buffer.concat(records);
			await this.#replace(logFile, log);
			await this.#log!.close();
			this.#log = await this.openFile(this.#path(logFile), 'r+');
			this.#logBytes = log.length;
		});
	}

	override async close(): Promise<void> {
		await this.#log?.close();
		this.#log = undefined;
	}

	/** The disk id is written last, so that a folder with one is complete. */
	async #formatIfEmpty(): Promise<void> {
		if (await this.#readIfPresent(diskFile)) {
			return;
		}

		const log = await this.#readIfPresent(logFile);
		const snapshot = await this.#readIfPresent(snapshotFile);
		if (snapshot !== undefined || (log !== undefined && log.length > 0)) {
			throw corruption(diskFile, 0, 'the file is missing although the folder holds a log or a snapshot');
		}

		await this.#replace(promiseFile, encodeRecord({term: 0, votedFor: null} satisfies VoterPromise));
		await this.#replace(logFile, Buffer.alloc(0));
		const diskId = uniqueId();
		await this.#replace(diskFile, encodeRecord({diskId}));
		await this.#syncFolder(path.dirname(this.folder));
		this.logger.info(`formatted the data folder with disk id ${diskId}`);
	}

	/** Opens the log, cuts a torn tail and returns its records. */
	async #openLog(): Promise<readonly LogRecord[]> {
		await this.#log?.close();
		this.#log = undefined;
		const all = await this.#read(logFile);
		// After a failed write, bytes past the synced ones may be readable without being durable.
		const bytes = all.subarray(0, this.#logBytes ?? all.length);
		const {values, length, tornBytes} = readRecords(bytes, logFile);
		this.#log = await this.openFile(this.#path(logFile), 'r+');
		if (length < all.length) {
			await this.#log.truncate(length);
			await this.#log.datasync();
			this.logger.warn(`cut ${all.length - length} bytes of an interrupted write off ${logFile} at byte ${length}${tornBytes > 0 ? '' : ', after a failed write'}`);
		}

		this.#logBytes = length;
		return values as readonly LogRecord[];
	}

	#path(file: string): string {
		return path.join(this.folder, file);
	}

	async #read(file: string): Promise<Buffer> {
		const bytes = await this.#readIfPresent(file);
		if (!bytes) {
			throw corruption(file, 0, 'the file is missing');
		}

		return bytes;
	}

	async #readIfPresent(file: string): Promise<Buffer | undefined> {
		try {
			return await readFile(this.#path(file));
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
				return undefined;
			}

			throw error;
		}
	}

	/** Replaces a file by write, sync, rename and sync of the folder. */
	async #replace(file: string, bytes: Buffer): Promise<void> {
		const temporary = this.#path(`${file}.new`);
		const handle = await this.openFile(temporary, 'w');
		try {
			await writeFully(handle, bytes, 0);
			await handle.sync();
		} finally {
			await handle.close();
		}

		await rename(temporary, this.#path(file));
		await this.#syncFolder(this.folder);
	}

	async #syncFolder(folder: string): Promise<void> {
		const handle = await this.openFile(folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	}
}

/** Joins the records of the log; a record replaces held entries from its first index on. */
function mergeEntries(records: readonly LogRecord[]): readonly ControlLogEntry[] {
	const entries: ControlLogEntry[] = [];
	for (const record of records) {
		const [first] = record.entries;
		const position = entries.length === 0 ? 0 : first.index - entries[0].index;
		if (position > entries.length) {
			throw corruption(logFile, 0, `entry ${first.index} does not follow the one before it`);
		}

		entries.length = Math.max(0, position);
		entries.push(...record.entries);
	}

	return entries;
}

/**
Returns the entries that follow the snapshot. Throws storageCorrupt when some are missing.

A crash between the replacement of the snapshot and that of the log leaves an older log. Its entries past the snapshot are kept only if it agrees with the snapshot's last entry.
*/
function entriesAfterSnapshot(entries: readonly ControlLogEntry[], snapshot: Snapshot | undefined): readonly ControlLogEntry[] {
	const index = snapshot?.index ?? 0;
	const last = entries.find(entry => entry.index === index);
	if (last && last.term !== snapshot?.term) {
		return [];
	}

	const rest = entries.filter(entry => entry.index > index);
	if (rest.length > 0 && rest[0].index !== index + 1) {
		throw corruption(logFile, 0, `entry ${rest[0].index} does not follow the snapshot at index ${index}`);
	}

	return rest;
}

async function writeFully(handle: FileHandle, bytes: Buffer, position: number): Promise<void> {
	let written = 0;
	while (written < bytes.length) {
		const result = await handle.write(bytes, written, bytes.length - written, position + written);
		written += result.bytesWritten;
	}
}

/** Turns errors of the operating system into storageFailed. */
async function failing<Result>(work: () => Promise<Result>): Promise<Result> {
	try {
		return await work();
	} catch (error) {
		if (error instanceof BuckthornhitchError) {
			throw error;
		}

		throw new BuckthornhitchError('storageFailed', (error as Error).message, {cause: error});
	}
}
