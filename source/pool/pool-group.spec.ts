import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {serialize} from 'pg-protocol';
import {FaultInjectingRelay} from '../../stand-in/fault-injecting-relay.js';
import {startMembers, waitUntil} from '../../stand-in/group-fixture.js';
import {type StandInMember, type StandInMemberOptions} from '../../stand-in/member.js';
import {SystemClock} from '../clock/system-clock.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {findErrorInResponse, readTextRows} from '../postgres-protocol/backend-rows.js';
import {type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ExecuteResponse} from './messages.js';
import {startTestPool, testDatabase, type TestPool} from './pool-fixture.js';
import {createBackendClients} from './pool-process.js';
import {requestFingerprint} from './idempotent-request-executor.js';

const clock = new SystemClock();

type Group = {readonly pool: TestPool; readonly members: readonly StandInMember[]};

async function startGroup(context: TestContext, options: Partial<StandInMemberOptions> = {}): Promise<Group> {
	const members = await startMembers(['a', 'b', 'c'], options);
	const pool = startTestPool({clock, backends: createBackendClients(clock, 'pool-1')});
	context.after(async () => {
		pool.pool.stop();
		await Promise.all(members.map(async member => member.stop()));
	});
	await pool.announce(members);
	await succeeds(pool.execute('CREATE TABLE notices (id int PRIMARY KEY, body text)'));
	return {pool, members};
}

async function succeeds(response: Promise<ExecuteResponse>): Promise<ExecuteResponse> {
	const answer = await response;
	assert.equal(findErrorInResponse(answer.bytes), undefined);
	return answer;
}

function rowsOf(response: ExecuteResponse) {
	return readTextRows(splitBackendMessages(response.bytes));
}

function primaryOf({pool, members}: Group): StandInMember {
	const name = pool.pool.status().databases[0].primary;
	return members.find(member => member.name === name)!;
}

test('a new group has a primary, and a session reads its own write from a replica', async context => {
	const {pool} = await startGroup(context, {applyDelay: 5});
	const written = await succeeds(pool.execute('INSERT INTO notices VALUES (1, \'boil\')'));
	const read = await succeeds(pool.execute('SELECT body FROM notices WHERE id = 1', {access: 'read', neededPoint: written.point}));
	assert.deepEqual(rowsOf(read), [{body: 'boil'}]);
	assert.equal(read.servedByRole, 'replica');
});

test('a killed primary loses no acknowledged write and applies none twice', async context => {
	const group = await startGroup(context);
	const acknowledged: number[] = [];
	let next = 0;
	const writer = async (): Promise<void> => {
		while (next < 400) {
			const id = next++;
			if (id === 200) {
				void primaryOf(group).stop();
			}

			try {
				await succeeds(group.pool.execute(`INSERT INTO notices VALUES (${id}, 'x')`));
				acknowledged.push(id);
			} catch (error) {
				assert.equal((error as {codeName?: string}).codeName, 'outcomeUnknown');
			}
		}
	};

	await Promise.all([writer(), writer(), writer(), writer()]);
	const read = await succeeds(group.pool.execute('SELECT id FROM notices', {access: 'read'}));
	const stored = new Set(rowsOf(read).map(row => Number(row.id)));
	assert.deepEqual(acknowledged.filter(id => !stored.has(id)), []);
	assert.ok(acknowledged.length >= 396);
});

test('a primary that is cut off from pool and replicas loses no acknowledged write and is replaced', async context => {
	const members = await startMembers(['a', 'b', 'c']);
	const relays = await Promise.all(members.map(async member => {
		const relay = new FaultInjectingRelay({target: member.address});
		await relay.start();
		return relay;
	}));
	const pool = startTestPool({clock, backends: createBackendClients(clock, 'pool-1')});
	context.after(async () => {
		pool.pool.stop();
		for (const relay of relays) {
			relay.close();
		}

		await Promise.all(members.map(async member => member.stop()));
	});
	await pool.announce(members.map(({name}, index) => ({name, address: relays[index].address})));
	await succeeds(pool.execute('CREATE TABLE notices (id int PRIMARY KEY, body text)'));
	const old = primaryOf({pool, members});
	await succeeds(pool.execute('INSERT INTO notices VALUES (1, \'x\')'));
	relays[members.indexOf(old)].dropTraffic();
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (2, \'x\')'), {codeName: 'outcomeUnknown'});
	const written = await succeeds(pool.execute('INSERT INTO notices VALUES (3, \'x\')'));
	assert.notEqual(written.servedBy, old.name);
	await relays[members.indexOf(old)].heal();
	await waitUntil(() => old.status().logTerm === written.point.term);
	const read = await succeeds(pool.execute('SELECT id FROM notices', {access: 'read', neededPoint: written.point}));
	assert.deepEqual(rowsOf(read).map(({id}) => id).toSorted((first, second) => Number(first) - Number(second)), ['1', '3']);
});

test('a retry of a request id returns the recorded outcome and writes nothing', async context => {
	const {pool} = await startGroup(context);
	const first = await succeeds(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'}));
	const second = await succeeds(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'}));
	assert.deepEqual(second.bytes, first.bytes);
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (2, \'x\')', {requestId: 'r1'}), {codeName: 'requestIdReused'});
});

test('a late copy of a request runs after its id was abandoned', async context => {
	const {pool} = await startGroup(context);
	assert.deepEqual(await pool.abandon('r1'), {outcome: 'abandoned'});
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'}), {codeName: 'requestAbandoned'});
	assert.deepEqual(await pool.abandon('r1'), {outcome: 'abandoned'});
	const read = await succeeds(pool.execute('SELECT id FROM notices', {access: 'read'}));
	assert.deepEqual(rowsOf(read), []);
});

test('an id is abandoned though the outcome of its request is recorded', async context => {
	const {pool} = await startGroup(context);
	const statement = 'INSERT INTO notices VALUES (1, \'x\')';
	const first = await succeeds(pool.execute(statement, {requestId: 'r1'}));
	const recorded = await pool.abandon('r1');
	assert.ok(recorded.outcome === 'done');
	assert.deepEqual(recorded.response.bytes, first.bytes);
	assert.equal(recorded.fingerprint, requestFingerprint(serialize.query(statement)));
	const repeated = await succeeds(pool.execute(statement, {requestId: 'r1'}));
	assert.deepEqual(repeated.bytes, first.bytes);
});

test('an id is abandoned and its request that runs at the same time takes effect', async context => {
	const {pool} = await startGroup(context, {serviceTime: 2});
	await pool.abandon('r-first');
	for (let id = 0; id < 20; id++) {
		const request = succeeds(pool.execute(`INSERT INTO notices VALUES (${id}, 'x')`, {requestId: `r${id}`}));
		const ended = request.then(() => 'done', (error: unknown) => (error as BuckthornhitchError).codeName);
		await clock.sleep(id);
		const {outcome} = await pool.abandon(`r${id}`);
		assert.equal(await ended, outcome === 'done' ? 'done' : 'requestAbandoned');
		const read = await succeeds(pool.execute(`SELECT id FROM notices WHERE id = ${id}`, {access: 'read'}));
		assert.equal(rowsOf(read).length, outcome === 'done' ? 1 : 0);
	}
});

test('an abandon request is accepted for an id that is too old or belongs to a transaction, or without an id', async context => {
	const {pool} = await startGroup(context);
	await assert.rejects(pool.abandon('00000000-0001-7000-8000-000000000000'), {codeName: 'requestIdExpired'});
	await succeeds(pool.execute('BEGIN', {transactionId: 't1', requestId: 'r1'}));
	await succeeds(pool.execute('COMMIT', {transactionId: 't1', requestId: 'r1'}));
	await assert.rejects(pool.abandon('r1'), {codeName: 'requestIdReused'});
	await assert.rejects(pool.server.request('abandonRequest', {database: testDatabase, deadline: 1000}), {codeName: 'malformedMessage'});
});

test('old records of request ids are removed only when a repeated id would be rejected by its age', async context => {
	const {pool} = await startGroup(context);
	const idOf = (age: number): string => {
		const digits = Math.floor(Date.now() - age).toString(16).padStart(12, '0');
		return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000000`;
	};

	const day = 86_400_000;
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: idOf(2 * day)}), {codeName: 'requestIdExpired'});
	await succeeds(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: idOf(0)}));
	for (const [id, age] of [[idOf(2 * day), 2 * day], ['free-text', 2 * day]] as const) {
		await succeeds(pool.execute(`INSERT INTO buckthornhitch_requests (request_id, outcome, recorded_at) VALUES ('${id}', 'done', ${Date.now() - age})`));
	}

	await pool.pool.serviceOf(testDatabase).retention.removeOld();
	const read = await succeeds(pool.execute('SELECT request_id FROM buckthornhitch_requests', {access: 'read'}));
	assert.deepEqual(rowsOf(read).map(row => row.request_id?.slice(14)).toSorted((first, second) => String(first).localeCompare(String(second))), ['', '7000-8000-000000000000']);
});

test('a write with a request id is resolved after the primary was killed', async context => {
	const group = await startGroup(context, {serviceTime: 20});
	await succeeds(group.pool.execute('INSERT INTO notices VALUES (0, \'x\')', {requestId: 'r0'}));
	const pending = group.pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'});
	await clock.sleep(30);
	await primaryOf(group).stop();
	await succeeds(pending);
	const read = await succeeds(group.pool.execute('SELECT count(*) FROM notices', {access: 'read'}));
	assert.deepEqual(rowsOf(read), [{count: '2'}]);
});

test('a transaction keeps its connection, and is rolled back when the link of its entry closes', async context => {
	const {pool} = await startGroup(context);
	const begin = await succeeds(pool.execute('BEGIN', {transactionId: 't1'}));
	assert.equal(begin.transactionStatus, 'open');
	await succeeds(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {transactionId: 't1'}));
	const commit = await succeeds(pool.execute('COMMIT', {transactionId: 't1'}));
	assert.equal(commit.transactionStatus, 'idle');
	await succeeds(pool.execute('BEGIN', {transactionId: 't2'}));
	await succeeds(pool.execute('INSERT INTO notices VALUES (2, \'x\')', {transactionId: 't2'}));
	pool.server.closeLink(1);
	await assert.rejects(pool.execute('COMMIT', {transactionId: 't2'}), {codeName: 'transactionLost'});
	const read = await succeeds(pool.execute('SELECT id FROM notices', {access: 'read'}));
	assert.deepEqual(rowsOf(read), [{id: '1'}]);
});

test('a planned change of the primary rejects no write', async context => {
	const group = await startGroup(context);
	const old = primaryOf(group);
	const target = group.members.find(member => member !== old)!;
	const writes = Array.from({length: 40}, async (_, id) => succeeds(group.pool.execute(`INSERT INTO notices VALUES (${id}, 'x')`)));
	await group.pool.server.request('promote', {database: testDatabase, member: target.name});
	await Promise.all(writes);
	assert.equal(primaryOf(group), target);
});

test('a draining pool lets an open transaction finish and gives its leases back', async context => {
	const {pool, members} = await startGroup(context);
	await succeeds(pool.execute('BEGIN', {transactionId: 't1'}));
	const drained = pool.pool.drain();
	await assert.rejects(pool.execute('BEGIN', {transactionId: 't2'}), {codeName: 'draining'});
	await succeeds(pool.execute('COMMIT', {transactionId: 't1'}));
	await drained;
	assert.deepEqual(members.map(member => member.status().leaseHolder), ['', '', '']);
});
