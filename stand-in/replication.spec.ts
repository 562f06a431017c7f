import assert from 'node:assert/strict';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test, type TestContext} from 'node:test';
import {FaultInjectingRelay} from './fault-injecting-relay.js';
import {
	connectClient, promoteFirst, startMembers, waitUntil,
} from './group-fixture.js';
import {type StandInMember} from './member.js';

const timeout = 20_000;

async function startGroup(context: TestContext): Promise<readonly StandInMember[]> {
	const members = await startMembers(['a', 'b', 'c']);
	context.after(async () => Promise.all(members.map(async member => member.stop())));
	return members;
}

const point = (member: StandInMember): readonly number[] => {
	const {logTerm, receivedPosition, appliedPosition} = member.status();
	return [logTerm, receivedPosition, appliedPosition];
};

const reaches = async (member: StandInMember, term: number, position: number): Promise<void> =>
	waitUntil(() => point(member).join(' ') === [term, position, position].join(' '));

async function ids(member: StandInMember): Promise<readonly number[]> {
	const client = await connectClient(member.address);
	const {rows} = await client.query<{id: number}>('SELECT id FROM t ORDER BY id');
	await client.end();
	return rows.map(({id}) => id);
}

test('a replica misses entries, takes writes, or does not catch up after a restart', {timeout}, async context => {
	const [a, b, c] = await startGroup(context);
	promoteFirst(1, [a, b, c]);
	const client = await connectClient(a.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await reaches(b, 1, 2);
	await b.stop();
	await client.query('INSERT INTO t VALUES (1), (2)');
	await b.start();
	await reaches(b, 1, 3);
	assert.deepEqual(await ids(b), [1, 2]);
	const replica = await connectClient(b.address);
	await assert.rejects(replica.query('INSERT INTO t VALUES (3)'), {code: '25006'});
	await a.stop();
	await a.start();
	assert.equal(a.status().acceptingWrites, true);
	await reaches(c, 1, 3);
});

test('the delays of receipt and of applying are mixed up or ignored by a promotion', {timeout}, async context => {
	const [a, b, c] = await startGroup(context);
	[b.applyDelay, c.receiveDelay] = [3_600_000, 3_600_000];
	promoteFirst(1, [a, b, c]);
	const client = await connectClient(a.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await waitUntil(() => b.status().receivedPosition === 2);
	assert.deepEqual(point(b), [1, 2, 0]);
	assert.deepEqual(point(c), [0, 0, 0]);
	promoteFirst(2, [b, c]);
	assert.deepEqual(point(b), [2, 3, 3]);
	assert.deepEqual(await ids(b), []);
});

test('an old primary commits after a higher promise or keeps a tail that the new primary does not hold', {timeout}, async context => {
	const [a, b, c] = await startGroup(context);
	const relay = new FaultInjectingRelay({target: a.address});
	await relay.start();
	context.after(() => {
		relay.close();
	});
	promoteFirst(1, [a, b, c], relay.address);
	const client = await connectClient(a.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await client.query('INSERT INTO t VALUES (1)');
	await Promise.all([reaches(b, 1, 3), reaches(c, 1, 3)]);
	relay.dropTraffic();
	await client.query('INSERT INTO t VALUES (2)');
	await client.query('BEGIN');
	await client.query('INSERT INTO t VALUES (3)');
	promoteFirst(2, [b, c]);
	a.callGroupFunction('group_promise', [3]);
	assert.equal(a.status().acceptingWrites, false);
	await assert.rejects(client.query('COMMIT'), {code: '55000'});
	await assert.rejects(client.query('INSERT INTO t VALUES (4)'), {code: '55000'});
	assert.deepEqual(point(a), [1, 4, 4]);
	promoteFirst(4, [b, c, a]);
	await reaches(a, 4, 5);
	assert.deepEqual(await ids(a), [1]);
	await assert.rejects(client.query('INSERT INTO t VALUES (4)'), {code: '25006'});
});

test('a replica that has promised a higher term goes on to receive entries of the lower one', {timeout}, async context => {
	const [a, b, c] = await startGroup(context);
	promoteFirst(1, [a, b, c]);
	const client = await connectClient(a.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await Promise.all([reaches(b, 1, 2), reaches(c, 1, 2)]);
	b.callGroupFunction('group_promise', [2]);
	for (const id of [1, 2, 3]) {
		await client.query('INSERT INTO t VALUES ($1)', [id]);
	}

	await reaches(c, 1, 5);
	assert.deepEqual(point(b), [1, 2, 2]);
});

test('a term is promised twice, given two primaries, or followed below the promise', {timeout}, async context => {
	const [a, b] = await startGroup(context);
	a.callGroupFunction('group_promise', [5]);
	for (const term of [5, 4]) {
		assert.throws(() => a.callGroupFunction('group_promise', [term]), {sqlState: '55000'});
		assert.throws(() => a.callGroupFunction('group_follow', [term - 1, 'b', b.address]), {sqlState: '55000'});
	}

	assert.throws(() => b.callGroupFunction('group_promote', [5]), {sqlState: '55000'});
	a.callGroupFunction('group_promote', [5]);
	assert.throws(() => a.callGroupFunction('group_follow', [5, 'b', b.address]), {sqlState: '55000'});
	b.callGroupFunction('group_follow', [5, 'a', a.address]);
	assert.throws(() => b.callGroupFunction('group_promote', [5]), {sqlState: '55000'});
	assert.throws(() => b.callGroupFunction('group_promise', [5]), {sqlState: '55000'});
	await reaches(b, 5, 1);
});

test('a promise or an entry is forgotten by the files, or an incomplete last record is read', {timeout}, async context => {
	const dataFolder = mkdtempSync(join(tmpdir(), 'stand-in-'));
	context.after(() => {
		rmSync(dataFolder, {recursive: true});
	});
	const [first] = await startMembers(['a'], {dataFolder});
	promoteFirst(1, [first]);
	const client = await connectClient(first.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await client.query('INSERT INTO t VALUES (1)');
	await client.query('INSERT INTO t VALUES (2)');
	first.callGroupFunction('group_promise', [7]);
	await first.stop();
	const log = join(dataFolder, 'log');
	writeFileSync(log, readFileSync(log).subarray(0, -1));
	const [second] = await startMembers(['a'], {dataFolder});
	assert.deepEqual(point(second), [1, 3, 3]);
	assert.equal(second.status().promisedTerm, 7);
	assert.deepEqual(await ids(second), [1]);
	promoteFirst(8, [second]);
	await second.stop();
	const [third] = await startMembers(['a'], {dataFolder});
	context.after(async () => third.stop());
	assert.deepEqual(point(third), [8, 4, 4]);
});
