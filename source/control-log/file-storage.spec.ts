import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	mkdtemp, open, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import fastCheck from 'fast-check';
import {silentLogger} from '../observability/logger.js';
import {FileStorage, type OpenFile} from './file-storage.js';
import {encodeRecord, readRecords} from './record-format.js';
import {type ControlLogEntry, type Snapshot} from './types.js';

const entry = (index: number, term = 1): ControlLogEntry => ({index, term, command: {kind: 'opening'}});
const snapshot = (index: number, term: number): Snapshot => ({
	index, term, group: 'group', list: {voters: [], learners: []}, image: {revision: index},
});

async function temporaryFolder(context: TestContext): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'control-log-'));
	context.after(async () => rm(folder, {recursive: true}));
	return path.join(folder, 'data');
}

/** Loads the folder with a new storage and closes it; returns the terms of the entries by index. */
async function loadTerms(folder: string): Promise<ReadonlyMap<number, number>> {
	const storage = new FileStorage(folder, silentLogger);
	try {
		const {entries} = await storage.load();
		return new Map(entries.map(({index, term}) => [index, term]));
	} finally {
		await storage.close();
	}
}

test('disk id, term and vote, snapshot and entries survive a restart unchanged', async context => {
	const folder = await temporaryFolder(context);
	const storage = new FileStorage(folder, silentLogger);
	const {diskId} = await storage.load();
	await storage.saveTermAndVote({term: 3, votedFor: 'one/disk'});
	await storage.append([entry(1), entry(2), entry(3)]);
	await storage.append([entry(2, 2)], 1);
	await storage.saveSnapshot(snapshot(1, 1), [entry(2, 2)]);
	await storage.append([entry(3, 3)], 2);
	await storage.close();
	const restarted = new FileStorage(folder, silentLogger);
	assert.deepEqual(await restarted.load(), {
		diskId, termAndVote: {term: 3, votedFor: 'one/disk'}, snapshot: snapshot(1, 1), entries: [entry(2, 2), entry(3, 3)], commitIndex: 2,
	});
	await restarted.close();
});

// A crash in the middle of a write leaves an incomplete last record. The voter must still start and load every entry before that record.
test('a last record torn at any byte is dropped, and all entries before it are loaded', async context => {
	const folder = await temporaryFolder(context);
	const storage = new FileStorage(folder, silentLogger);
	await storage.load();
	await storage.append([entry(1), entry(2)]);
	// Length of the log up to the last record, which is truncated below.
	const {length} = await readFile(path.join(folder, 'log'));
	await storage.append([entry(3), entry(4)]);
	await storage.close();
	const completeFile = await readFile(path.join(folder, 'log'));
	for (let end = length; end < completeFile.length; end++) {
		await writeFile(path.join(folder, 'log'), completeFile.subarray(0, end));
		assert.deepEqual(await loadTerms(folder), new Map([[1, 1], [2, 1]]));
	}

	await storage.load();
	await storage.append([entry(3, 2)]);
	await storage.close();
	assert.deepEqual(await loadTerms(folder), new Map([[1, 1], [2, 1], [3, 2]]));
});

// If a damaged record were taken for a torn write, the durable entries after it would be dropped.
test('a damaged record before the last one is reported as storageCorrupt', () => {
	const records = [1, 2, 3].map(index => encodeRecord({entries: [entry(index)]}));
	const bytes = Buffer.concat(records);
	const lastRecordStart = bytes.length - records[2].length;
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 0, max: lastRecordStart - 1}), fastCheck.integer({min: 1, max: 255}), (damagedOffset, addedValue) => {
		const damaged = Buffer.from(bytes);
		damaged[damagedOffset] = (damaged[damagedOffset] + addedValue) % 256;
		const start = damagedOffset < records[0].length ? 0 : records[0].length;
		assert.throws(() => readRecords(damaged, 'log'), {codeName: 'storageCorrupt', message: new RegExp(`log at byte ${start}:`, 'v')});
	}), {seed: 11, numRuns: 300});
});

// If a damaged or missing file were treated as empty, the voter could vote twice in a term or lose durable entries.
test('a damaged promise, snapshot or disk file, or a missing promise, log or disk file, is reported as storageCorrupt', async context => {
	const folder = await temporaryFolder(context);
	const storage = new FileStorage(folder, silentLogger);
	await storage.load();
	await storage.saveSnapshot(snapshot(1, 1), [entry(2)]);
	await storage.close();
	for (const file of ['promise', 'snapshot', 'disk']) {
		const completeFile = await readFile(path.join(folder, file));
		await writeFile(path.join(folder, file), completeFile.subarray(0, -1));
		await assert.rejects(loadTerms(folder), {codeName: 'storageCorrupt', message: new RegExp(`${file} at byte 0`, 'v')});
		await writeFile(path.join(folder, file), completeFile);
	}

	for (const file of ['promise', 'log', 'disk']) {
		const completeFile = await readFile(path.join(folder, file));
		await rm(path.join(folder, file));
		await assert.rejects(loadTerms(folder), {codeName: 'storageCorrupt', message: new RegExp(`${file} at byte 0`, 'v')});
		await writeFile(path.join(folder, file), completeFile);
	}

	assert.deepEqual(await loadTerms(folder), new Map([[2, 1]]));
});

// If the process crashes between replacing the snapshot and replacing the log, the log is older than the snapshot. Its entries may belong to another term than the snapshot.
test('log entries after the snapshot are loaded only if the log matches the last entry of the snapshot', async context => {
	const folder = await temporaryFolder(context);
	const storage = new FileStorage(folder, silentLogger);
	await storage.load();
	await storage.append([entry(1), entry(2), entry(3)]);
	await storage.close();
	await writeFile(path.join(folder, 'snapshot'), encodeRecord(snapshot(2, 2)));
	assert.deepEqual(await loadTerms(folder), new Map());
	await writeFile(path.join(folder, 'snapshot'), encodeRecord(snapshot(2, 1)));
	assert.deepEqual(await loadTerms(folder), new Map([[3, 1]]));
});

/** Simulated disk. While it is full, only `writtenShare` of the bytes of a write reach the file, from 0 to 1. */
type TestDisk = {full: boolean; readonly writtenShare: number};

/** Opens files that fail as on a full disk while `full` is set: only a share of the bytes is written, and syncs fail. */
function openFileOn(disk: TestDisk): OpenFile {
	const failWithNoSpace = async (): Promise<never> => {
		throw new Error('ENOSPC: no space left on device');
	};

	return async (file, flags) => {
		const handle = await open(file, flags);
		const write = async (bytes: Buffer, offset: number, length: number, position: number): Promise<unknown> => {
			const share = disk.full ? disk.writtenShare : 1;
			const result = await handle.write(bytes, offset, Math.floor(length * share), position);
			return share < 1 ? failWithNoSpace() : result;
		};

		return new Proxy(handle, {
			get(target, name) {
				if (name === 'write') {
					return write;
				}

				if (disk.full && (name === 'datasync' || name === 'sync')) {
					return failWithNoSpace;
				}

				const value: unknown = Reflect.get(target, name);
				return typeof value === 'function' ? value.bind(target) as unknown : value;
			},
		});
	};
}

for (const writtenShare of [0, 0.5, 1]) {
	// Bytes of a failed write may be readable afterwards. They must not be loaded, and the entries before them must not be lost.
	test(`after a write that fails on a full disk with ${writtenShare * 100}% of its bytes written, only the entries of earlier writes are loaded`, async context => {
		const folder = await temporaryFolder(context);
		const disk: TestDisk = {full: false, writtenShare};
		const storage = new FileStorage(folder, silentLogger, openFileOn(disk));
		const {diskId} = await storage.load();
		await storage.append([entry(1)]);
		disk.full = true;
		await assert.rejects(storage.append([entry(2)]), {codeName: 'storageFailed'});
		await assert.rejects(storage.saveTermAndVote({term: 9, votedFor: null}), {codeName: 'storageFailed'});
		await assert.rejects(storage.saveSnapshot(snapshot(1, 1), []), {codeName: 'storageFailed'});
		disk.full = false;
		assert.deepEqual(await storage.load(), {
			diskId, termAndVote: {term: 0, votedFor: null}, snapshot: undefined, entries: [entry(1)], commitIndex: 0,
		});
		await storage.append([entry(2, 2)]);
		await storage.close();
		assert.deepEqual(await loadTerms(folder), new Map([[1, 1], [2, 2]]));
	});
}
