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

const replicationProgress = (member: StandInMember): readonly number[] => {
	const {logTerm, receivedPosition, appliedPosition} = member.status();
	return [logTerm, receivedPosition, appliedPosition];
};

const waitForPosition = async (member: StandInMember, term: number, position: number): Promise<void> =>
	waitUntil(() => replicationProgress(member).join(' ') === [term, position, position].join(' '));

async function selectIds(member: StandInMember): Promise<readonly number[]> {
	const client = await connectClient(member.address);
	const {rows} = await client.query<{id: number}>('SELECT id FROM t ORDER BY id');
	await client.end();
	return rows.map(({id}) => id);
}

test('a replica receives all entries, refuses writes and catches up after a restart', {timeout}, async context => {
	const [a, b, c] = await startGroup(context);
	promoteFirst(1, [a, b, c]);
	const client = await connectClient(a.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await waitForPosition(b, 1, 2);
	await b.stop();
	await client.query('INSERT INTO t VALUES (1), (2)');
	await b.start();
	await waitForPosition(b, 1, 3);
	assert.deepEqual(await selectIds(b), [1, 2]);
	const replica = await connectClient(b.address);
	await assert.rejects(replica.query('INSERT INTO t VALUES (3)'), {code: '25006'});
	await a.stop();
	await a.start();
	assert.equal(a.status().acceptingWrites, true);
	await waitForPosition(c, 1, 3);
});

test('receive and apply delays are separate, and a promotion applies received entries without waiting', {timeout}, async context => {
	const [a, b, c] = await startGroup(context);
	[b.applyDelay, c.receiveDelay] = [3_600_000, 3_600_000];
	promoteFirst(1, [a, b, c]);
	const client = await connectClient(a.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await waitUntil(() => b.status().receivedPosition === 2);
	assert.deepEqual(replicationProgress(b), [1, 2, 0]);
	assert.deepEqual(replicationProgress(c), [0, 0, 0]);
	promoteFirst(2, [b, c]);
	assert.deepEqual(replicationProgress(b), [2, 3, 3]);
	assert.deepEqual(await selectIds(b), []);
});

// The old primary has a committed entry that it could not replicate and an open transaction when the others move to a higher term.
test('a superseded primary refuses commits and removes entries that the new primary does not have', {timeout}, async context => {
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
	await Promise.all([waitForPosition(b, 1, 3), waitForPosition(c, 1, 3)]);
	relay.dropTraffic();
	await client.query('INSERT INTO t VALUES (2)');
	await client.query('BEGIN');
	await client.query('INSERT INTO t VALUES (3)');
	promoteFirst(2, [b, c]);
	a.callGroupFunction('group_promise', [3]);
	assert.equal(a.status().acceptingWrites, false);
	await assert.rejects(client.query('COMMIT'), {code: '55000'});
	await assert.rejects(client.query('INSERT INTO t VALUES (4)'), {code: '55000'});
	assert.deepEqual(replicationProgress(a), [1, 4, 4]);
	promoteFirst(4, [b, c, a]);
	await waitForPosition(a, 4, 5);
	assert.deepEqual(await selectIds(a), [1]);
	await assert.rejects(client.query('INSERT INTO t VALUES (4)'), {code: '25006'});
});

// The status returned with the promise decides which member is promoted, so an entry received later could be lost.
test('a replica receives no more entries of a term after it has promised a higher one', {timeout}, async context => {
	const [a, b, c] = await startGroup(context);
	promoteFirst(1, [a, b, c]);
	const client = await connectClient(a.address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await Promise.all([waitForPosition(b, 1, 2), waitForPosition(c, 1, 2)]);
	b.callGroupFunction('group_promise', [2]);
	for (const id of [1, 2, 3]) {
		await client.query('INSERT INTO t VALUES ($1)', [id]);
	}

	await waitForPosition(c, 1, 5);
	assert.deepEqual(replicationProgress(b), [1, 2, 2]);
});

test('a term is promised at most once and has one primary, and a member does not replicate in a lower term than it promised', {timeout}, async context => {
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
	await waitForPosition(b, 5, 1);
});

// Cutting off the last byte of the log simulates a crash during an append.
test('a restart restores the promised term and all complete log entries from the files', {timeout}, async context => {
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
	assert.deepEqual(replicationProgress(second), [1, 3, 3]);
	assert.equal(second.status().promisedTerm, 7);
	assert.deepEqual(await selectIds(second), [1]);
	promoteFirst(8, [second]);
	await second.stop();
	const [third] = await startMembers(['a'], {dataFolder});
	context.after(async () => third.stop());
	assert.deepEqual(replicationProgress(third), [8, 4, 4]);
});
