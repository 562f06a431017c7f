import {Buffer} from 'node:buffer';
import {
	mkdir, open, readFile, rename, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {type Logger} from '../observability/logger.js';
import {uniqueId} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	corruptionError, encodeRecord, readRecords, readSingleRecord,
} from './record-format.js';
import {LogStorage} from './storage.js';
import {
	type ControlLogEntry, type Snapshot, type StoredState, type TermAndVote,
} from './types.js';

const diskIdFile = 'disk';
const termAndVoteFile = 'promise';
const snapshotFile = 'snapshot';
const logFile = 'log';

type LogRecord = {
	readonly entries: readonly ControlLogEntry[];
	/** Commit index known when the record was written. */
	readonly commitIndex?: number;
};

/** Opens a file. Tests replace it to inject failures. */
export type OpenFile = (file: string, flags: string) => Promise<FileHandle>;

/**
Storage in the files of a data folder: `disk` (disk id), `promise` (current term and vote), `snapshot` and `log`.

Each record of the log contains the entries of one sync. A record replaces all entries from its first index on, so the file is append-only until a snapshot replaces it.
*/
export class FileStorage extends LogStorage {
	#logHandle: FileHandle | undefined;
	/** Number of synced bytes of the log. Undefined before the first load and while the outcome of replacing the log file is unknown. */
	#syncedLogBytes: number | undefined;

	constructor(
		private readonly folder: string,
		private readonly logger: Logger,
		private readonly openFile: OpenFile = open,
	) {
		super();
	}

	override async load(): Promise<StoredState> {
		return withStorageErrors(async () => {
			await mkdir(this.folder, {recursive: true});
			await this.#initializeIfEmpty();
			const {diskId} = readSingleRecord(await this.#read(diskIdFile), diskIdFile) as {readonly diskId: string};
			const termAndVote = readSingleRecord(await this.#read(termAndVoteFile), termAndVoteFile) as TermAndVote;
			const snapshotBytes = await this.#readIfPresent(snapshotFile);
			const snapshot = snapshotBytes && readSingleRecord(snapshotBytes, snapshotFile) as Snapshot;
			const records = await this.#openLog();
			const entries = entriesAfterSnapshot(mergeEntries(records), snapshot);
			return {
				diskId, termAndVote, snapshot, entries, commitIndex: Math.max(0, ...records.map(record => record.commitIndex ?? 0)),
			};
		});
	}

	override async saveTermAndVote(termAndVote: TermAndVote): Promise<void> {
		await withStorageErrors(async () => this.#replaceFile(termAndVoteFile, encodeRecord(termAndVote)));
	}

	override async append(entries: readonly ControlLogEntry[], commitIndex = 0): Promise<void> {
		await withStorageErrors(async () => {
			const record = encodeRecord({entries, commitIndex} satisfies LogRecord);
			await writeFully(this.#logHandle!, record, this.#syncedLogBytes!);
			await this.#logHandle!.datasync();
			this.#syncedLogBytes! += record.length;
		});
	}

	override async saveSnapshot(snapshot: Snapshot, entries: readonly ControlLogEntry[]): Promise<void> {
		await withStorageErrors(async () => {
			await this.#replaceFile(snapshotFile, encodeRecord(snapshot));
			const previousLogBytes = this.#syncedLogBytes;
			this.#syncedLogBytes = undefined;
			const records = entries.map(entry => encodeRecord({entries: [entry]} satisfies LogRecord));
			if (previousLogBytes === 0 && records.length === 0) {
				this.#syncedLogBytes = 0;
				return;
			}

			const log = Buffer.concat(records);
			await this.#replaceFile(logFile, log);
			await this.#logHandle!.close();
			this.#logHandle = await this.openFile(this.#path(logFile), 'r+');
			this.#syncedLogBytes = log.length;
		});
	}

	override async close(): Promise<void> {
		await this.#logHandle?.close();
		this.#logHandle = undefined;
	}

	/** Initializes a new data folder. The disk id is written last, so that a folder with a disk id is complete. */
	async #initializeIfEmpty(): Promise<void> {
		if (await this.#readIfPresent(diskIdFile)) {
			return;
		}

		const log = await this.#readIfPresent(logFile);
		const snapshot = await this.#readIfPresent(snapshotFile);
		if (snapshot !== undefined || (log !== undefined && log.length > 0)) {
			throw corruptionError(diskIdFile, 0, 'the file is missing although the folder holds a log or a snapshot');
		}

		await this.#replaceFile(termAndVoteFile, encodeRecord({term: 0, votedFor: null} satisfies TermAndVote));
		await this.#replaceFile(logFile, Buffer.alloc(0));
		const diskId = uniqueId();
		await this.#replaceFile(diskIdFile, encodeRecord({diskId}));
		await this.#syncFolder(path.dirname(this.folder));
		this.logger.info(`initialized the data folder with disk id ${diskId}`);
	}

	/** Opens the log, truncates a torn write at its end and returns the records. */
	async #openLog(): Promise<readonly LogRecord[]> {
		await this.#logHandle?.close();
		this.#logHandle = undefined;
		const storedBytes = await this.#read(logFile);
		// After a failed write, bytes beyond the synced ones may be readable but not durable.
		const bytes = storedBytes.subarray(0, this.#syncedLogBytes ?? storedBytes.length);
		const {values, validBytes, tornBytes} = readRecords(bytes, logFile);
		this.#logHandle = await this.openFile(this.#path(logFile), 'r+');
		if (validBytes < storedBytes.length) {
			await this.#logHandle.truncate(validBytes);
			await this.#logHandle.datasync();
			this.logger.warn(`removed ${storedBytes.length - validBytes} bytes at the end of ${logFile}, from byte ${validBytes} on: ${tornBytes > 0 ? 'incomplete record' : 'failed write'}`);
		}

		this.#syncedLogBytes = validBytes;
		return values as readonly LogRecord[];
	}

	#path(file: string): string {
		return path.join(this.folder, file);
	}

	async #read(file: string): Promise<Buffer> {
		const bytes = await this.#readIfPresent(file);
		if (!bytes) {
			throw corruptionError(file, 0, 'the file is missing');
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

	/** Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the folder. */
	async #replaceFile(file: string, bytes: Buffer): Promise<void> {
		const temporaryPath = this.#path(`${file}.new`);
		const handle = await this.openFile(temporaryPath, 'w');
		try {
			await writeFully(handle, bytes, 0);
			await handle.sync();
		} finally {
			await handle.close();
		}

		await rename(temporaryPath, this.#path(file));
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

/** Merges the records of the log; a record replaces all entries from its first index on. */
function mergeEntries(records: readonly LogRecord[]): readonly ControlLogEntry[] {
	const entries: ControlLogEntry[] = [];
	for (const record of records) {
		const [first] = record.entries;
		const offset = entries.length === 0 ? 0 : first.index - entries[0].index;
		if (offset > entries.length) {
			throw corruptionError(logFile, 0, `entry ${first.index} does not follow the one before it`);
		}

		entries.length = Math.max(0, offset);
		entries.push(...record.entries);
	}

	return entries;
}

/**
Returns the entries after the snapshot. Throws storageCorrupt if the first one is missing.

If the process crashes between replacing the snapshot and replacing the log, the log is older than the snapshot. Log entries after the snapshot are kept unless the log entry at the snapshot's index has another term.
*/
function entriesAfterSnapshot(entries: readonly ControlLogEntry[], snapshot: Snapshot | undefined): readonly ControlLogEntry[] {
	const index = snapshot?.index ?? 0;
	const snapshotEntry = entries.find(entry => entry.index === index);
	if (snapshotEntry && snapshotEntry.term !== snapshot?.term) {
		return [];
	}

	const remainingEntries = entries.filter(entry => entry.index > index);
	if (remainingEntries.length > 0 && remainingEntries[0].index !== index + 1) {
		throw corruptionError(logFile, 0, `entry ${remainingEntries[0].index} does not follow the snapshot at index ${index}`);
	}

	return remainingEntries;
}

async function writeFully(handle: FileHandle, bytes: Buffer, offset: number): Promise<void> {
	let written = 0;
	while (written < bytes.length) {
		const result = await handle.write(bytes, written, bytes.length - written, offset + written);
		written += result.bytesWritten;
	}
}

/** Converts system errors to storageFailed. */
async function withStorageErrors<Result>(work: () => Promise<Result>): Promise<Result> {
	try {
		return await work();
	} catch (error) {
		if (error instanceof BuckthornhitchError) {
			throw error;
		}

		throw new BuckthornhitchError('storageFailed', (error as Error).message, {cause: error});
	}
}
