import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../random/random.js';
import {
	decodeDatagram, decodeGossipRecord, encodeDatagram, encodeGossipRecord, maximumDatagramBytes, updateBudget,
} from './datagram-codec.js';
import {MemberTable} from './member-table.js';
import {
	publicState, resolveEntry, supersedes, type Health, type GossipRecord,
} from './membership-rules.js';
import {PeerList} from './peer-list.js';
import {UpdateQueue} from './update-queue.js';

const healths: readonly Health[] = ['alive', 'suspect', 'failed', 'left'];

const arbitraryEntry: fc.Arbitrary<GossipRecord> = fc.record({
	name: fc.constantFrom('a', 'b', 'c'),
	incarnation: fc.integer({min: 0, max: 4}),
	health: fc.constantFrom(...healths),
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
	state: publicState(health, draining),
	configurationRevision: 0,
}));

test('a stale incarnation or a milder health of the same incarnation never replaces newer knowledge', () => {
	fc.assert(fc.property(fc.array(arbitraryEntry, {maxLength: 30}), entries => {
		const table = new MemberTable(new SeededRandom(1), 'own');
		for (const entry of entries) {
			const before = table.get(entry.name);
			table.learn(entry, 0);
			const after = table.get(entry.name);
			assert.ok(!before || !after || before === after || supersedes(after, before));
			assert.ok(!after || after.incarnation >= (before?.incarnation ?? 0));
		}
	}), {seed: 11});
});

test('a process believed alive is not ended by the word of others before it could refute', () => {
	fc.assert(fc.property(arbitraryEntry, arbitraryEntry, (first, second) => {
		const held = resolveEntry({...second, name: 'a', health: 'failed'}, {...first, name: 'a', health: 'alive'});
		assert.ok(held === undefined || held.health === 'suspect');
	}), {seed: 12});
});

test('tables with the same live records do not differ in their hashes, and others do, whatever the order of the news', () => {
	fc.assert(fc.property(fc.array(arbitraryEntry.map(entry => ({...entry, health: 'alive' as const})), {maxLength: 12}), arbitraryEntry, (entries, extra) => {
		const [forward, backward] = [new MemberTable(new SeededRandom(1), 'own'), new MemberTable(new SeededRandom(2), 'own')];
		const distinct = [...new Map(entries.map(entry => [`${entry.name}${entry.incarnation}`, entry])).values()];
		for (const [index, entry] of distinct.entries()) {
			forward.learn(entry, 0);
			backward.learn(distinct[distinct.length - 1 - index], 0);
		}

		assert.deepEqual(forward.differingBuckets(backward.bucketHashes()), []);
		assert.equal(forward.digest, backward.digest);
		forward.learn({...extra, health: 'alive', incarnation: 9}, 0);
		assert.equal(forward.differingBuckets(backward.bucketHashes()).length, 1);
	}), {seed: 13});
});

test('a datagram never exceeds 1,200 bytes, and an update is not passed on without end', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 600}), {maxLength: 40}), fc.string({maxLength: 60}), (sizes, name) => {
		const queue = new UpdateQueue();
		for (const [index, size] of sizes.entries()) {
			queue.add(`process-${index}`, Buffer.alloc(size));
		}

		let sent = 0;
		while (queue.size > 0) {
			const updates = queue.take(updateBudget(name, name, name, name), 3);
			sent += updates.length;
			const bytes = encodeDatagram({
				kind: 'pingRequest', from: name, to: name, sequence: 2 ** 32, revision: 2 ** 32, digest: 2 ** 31, introduce: true, targetName: name, targetAddress: name, updates,
			});
			assert.ok(bytes.length <= maximumDatagramBytes, `${bytes.length} bytes`);
		}

		assert.equal(sent, sizes.length * 3);
	}), {seed: 14});
});

test('malformed bytes do not raise an exception in the receiver, and records survive the wire', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 60}), arbitraryEntry, (bytes, entry) => {
		decodeDatagram(bytes);
		decodeGossipRecord(bytes);
		assert.deepEqual(decodeGossipRecord(encodeGossipRecord(entry)), entry);
	}), {seed: 15});
});

test('no peer is left out of a round of probes while others join and leave', () => {
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
		assert.equal(new Set(peers.draw(3)).size, Math.min(3, expected.size));
	}), {seed: 16});
});
