import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../random/random.js';
import {
	decodeDatagram, decodeGossipRecord, encodeDatagram, encodeGossipRecord, maximumDatagramBytes, updateByteBudget,
} from './datagram-codec.js';
import {MembershipTable} from './membership-table.js';
import {
	toProcessState, resolveRecord, supersedes, type Health, type GossipRecord,
} from './membership-rules.js';
import {PeerList} from './peer-list.js';
import {UpdateQueue} from './update-queue.js';

const healthValues: readonly Health[] = ['alive', 'suspect', 'failed', 'left'];

const arbitraryRecord: fc.Arbitrary<GossipRecord> = fc.record({
	name: fc.constantFrom('a', 'b', 'c'),
	incarnation: fc.integer({min: 0, max: 4}),
	health: fc.constantFrom(...healthValues),
	draining: fc.boolean(),
}).map(({
	name, incarnation, health, draining,
}) => ({
	name,
	role: 'pool',
	instance: 'i',
	dataCentre: 'd',
	region: 'r',
	linkAddress: 'l:1',
	gossipAddress: 'g:1', incarnation, health, draining,
	state: toProcessState(health, draining),
	configurationRevision: 0,
}));

test('a record with an older incarnation, or a better health at the same incarnation, never replaces the known record', () => {
	fc.assert(fc.property(fc.array(arbitraryRecord, {maxLength: 30}), records => {
		const table = new MembershipTable(new SeededRandom(1), 'own');
		for (const record of records) {
			const before = table.get(record.name);
			table.merge(record, 0);
			const after = table.get(record.name);
			assert.ok(!before || !after || before === after || supersedes(after, before));
			assert.ok(!after || after.incarnation >= (before?.incarnation ?? 0));
		}
	}), {seed: 11});
});

// Guards against counting a live process as failed because an isolated process reports it so, before the live process could refute the report.
test('a process whose known record is alive becomes at most suspect when it is reported as failed', () => {
	fc.assert(fc.property(arbitraryRecord, arbitraryRecord, (first, second) => {
		const held = resolveRecord({...second, name: 'a', health: 'failed'}, {...first, name: 'a', health: 'alive'});
		assert.ok(held === undefined || held.health === 'suspect');
	}), {seed: 12});
});

test('bucket hashes are equal exactly when the live records are, regardless of the order of updates', () => {
	fc.assert(fc.property(fc.array(arbitraryRecord.map(record => ({...record, health: 'alive' as const})), {maxLength: 12}), arbitraryRecord, (records, extra) => {
		const [forward, backward] = [new MembershipTable(new SeededRandom(1), 'own'), new MembershipTable(new SeededRandom(2), 'own')];
		const distinct = [...new Map(records.map(record => [`${record.name}${record.incarnation}`, record])).values()];
		for (const [index, record] of distinct.entries()) {
			forward.merge(record, 0);
			backward.merge(distinct[distinct.length - 1 - index], 0);
		}

		assert.deepEqual(forward.differingBuckets(backward.bucketHashes()), []);
		assert.equal(forward.digest, backward.digest);
		forward.merge({...extra, health: 'alive', incarnation: 9}, 0);
		assert.equal(forward.differingBuckets(backward.bucketHashes()).length, 1);
	}), {seed: 13});
});

test('a datagram never exceeds 1,200 bytes, and each update is transmitted a bounded number of times', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 600}), {maxLength: 40}), fc.string({maxLength: 60}), (sizes, name) => {
		const queue = new UpdateQueue();
		for (const [index, size] of sizes.entries()) {
			queue.add(`process-${index}`, Buffer.alloc(size));
		}

		let sent = 0;
		while (queue.size > 0) {
			const updates = queue.take(updateByteBudget(name, name, name, name), 3);
			sent += updates.length;
			const bytes = encodeDatagram({
				kind: 'pingRequest', from: name, to: name, sequence: 2 ** 32, revision: 2 ** 32, digest: 2 ** 31, introduce: true, targetName: name, targetAddress: name, updates,
			});
			assert.ok(bytes.length <= maximumDatagramBytes, `${bytes.length} bytes`);
		}

		assert.equal(sent, sizes.length * 3);
	}), {seed: 14});
});

test('decoding malformed bytes does not throw, and an encoded record decodes to the same record', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 60}), arbitraryRecord, (bytes, record) => {
		decodeDatagram(bytes);
		decodeGossipRecord(bytes);
		assert.deepEqual(decodeGossipRecord(encodeGossipRecord(record)), record);
	}), {seed: 15});
});

test('every peer is probed in each probe round while others join and leave', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.boolean(), fc.integer({min: 0, max: 9})), {maxLength: 40}), changes => {
		const peers = new PeerList(new SeededRandom(4));
		const expected = new Set<string>();
		for (const [joins, number] of changes) {
			peers[joins ? 'add' : 'remove'](`p${number}`);
			expected[joins ? 'add' : 'delete'](`p${number}`);
			peers.next();
		}

		const names = Array.from({length: 2 * expected.size}, () => peers.next());
		assert.deepEqual(new Set(names), expected);
		assert.equal(new Set(peers.sample(3)).size, Math.min(3, expected.size));
	}), {seed: 16});
});
