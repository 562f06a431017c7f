import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {serialize} from 'pg-protocol';
import {FaultInjectingRelay} from '../../stand-in/fault-injecting-relay.js';
import {startMembers, waitUntil} from '../../stand-in/group-fixture.js';
import {type StandInMember, type StandInMemberOptions} from '../../stand-in/member.js';
import {ManualClock} from '../clock/manual-clock.js';
import {SystemClock} from '../clock/system-clock.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {findErrorInResponse, readTextRows} from '../postgres-protocol/backend-rows.js';
import {PostgresMemberClientFactory} from '../database-group/postgres-member-client.js';
import {type Address} from '../links/address.js';
import {type BackendConnection, BackendConnector} from '../postgres-protocol/backend-connection.js';
import {type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ExecuteResponse} from './messages.js';
import {
	poolTestDeployment, startTestPool, testDatabase, type TestPool,
} from './pool-fixture.js';
import {createBackendClients} from './pool-process.js';
import {requestFingerprint} from './idempotent-request-executor.js';

const clock = new SystemClock();

/** Advances a manual clock only while the pool awaits no answer of a member, so that the load of the computer does not count as time. */
class ClockBetweenExchanges extends BackendConnector {
	readonly clock = new ManualClock();
	readonly #connector = createBackendClients(this.clock, 'pool-1').connector;
	#unansweredCount = 0;

	override async connect(address: Address, database: string, appName: string, timeout: number): Promise<BackendConnection> {
		const connection = await this.#await(this.#connector.connect(address, database, appName, timeout));
		const exchange = connection.exchange.bind(connection);
		connection.exchange = async (bytes, readyCount, exchangeTimeout) => this.#await(exchange(bytes, readyCount, exchangeTimeout));
		return connection;
	}

	/** Advances the clock until the promise is settled. */
	async settle<Result>(promise: Promise<Result>): Promise<Result> {
		const state = {isSettled: false};
		const settled = promise.finally(() => {
			state.isSettled = true;
		});
		while (!state.isSettled) {
			this.clock.advance(this.#unansweredCount === 0 ? 1 : 0);
			await setImmediate();
		}

		return settled;
	}

	async #await<Result>(answer: Promise<Result>): Promise<Result> {
		this.#unansweredCount++;
		try {
			return await answer;
		} finally {
			this.#unansweredCount--;
		}
	}
}

type Group = {readonly pool: TestPool; readonly members: readonly StandInMember[]};

async function startGroup(context: TestContext, options: Partial<StandInMemberOptions> = {}): Promise<Group> {
	const members = await startMembers(['a', 'b', 'c'], options);
	const pool = startTestPool({clock, backendClients: createBackendClients(clock, 'pool-1')});
	context.after(async () => {
		pool.pool.stop();
		await Promise.all(members.map(async member => member.stop()));
	});
	await pool.announce(members);
	await expectSuccess(pool.execute('CREATE TABLE notices (id int PRIMARY KEY, body text)'));
	return {pool, members};
}

async function expectSuccess(response: Promise<ExecuteResponse>): Promise<ExecuteResponse> {
	const settled = await response;
	assert.equal(findErrorInResponse(settled.bytes), undefined);
	return settled;
}

function rowsOf(response: ExecuteResponse) {
	return readTextRows(splitBackendMessages(response.bytes));
}

function primaryOf({pool, members}: Group): StandInMember {
	const name = pool.pool.status().databases[0].primary;
	return members.find(member => member.name === name)!;
}

// A replica that has not yet applied the write would return a stale result. The pool waits for a replica only for a limited time, so the test controls the clock.
test('a new group gets a primary, and a session reads its own write from a replica', async context => {
	const time = new ClockBetweenExchanges();
	const members = await startMembers(['a', 'b', 'c'], {applyDelay: 5, clock: time.clock});
	const pool = startTestPool({clock: time.clock, backendClients: {connector: time, clients: new PostgresMemberClientFactory(time, 'pool-1')}});
	context.after(async () => {
		pool.pool.stop();
		await Promise.all(members.map(async member => member.stop()));
	});
	const execute = async (...request: Parameters<TestPool['execute']>): Promise<ExecuteResponse> => time.settle(expectSuccess(pool.execute(...request)));
	await time.settle(pool.announce(members));
	await execute('CREATE TABLE notices (id int PRIMARY KEY, body text)');
	const written = await execute('INSERT INTO notices VALUES (1, \'boil\')');
	const startedAt = time.clock.now();
	const read = await execute('SELECT body FROM notices WHERE id = 1', {access: 'read', neededPoint: written.point});
	assert.deepEqual(rowsOf(read), [{body: 'boil'}]);
	assert.equal(read.servedByRole, 'replica');
	const wait = time.clock.now() - startedAt;
	assert.ok(wait > 0 && wait < poolTestDeployment.limits.replicaWait, `the read waited ${wait} ms for a replica`);
});

// A write acknowledged before a majority had it would be missing after the failover; a repeated one would violate the primary key.
test('after the primary is killed, no acknowledged write is lost and none is applied twice', async context => {
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
				await expectSuccess(group.pool.execute(`INSERT INTO notices VALUES (${id}, 'x')`));
				acknowledged.push(id);
			} catch (error) {
				assert.equal((error as {codeName?: string}).codeName, 'outcomeUnknown');
			}
		}
	};

	await Promise.all([writer(), writer(), writer(), writer()]);
	const read = await expectSuccess(group.pool.execute('SELECT id FROM notices', {access: 'read'}));
	const stored = new Set(rowsOf(read).map(row => Number(row.id)));
	assert.deepEqual(acknowledged.filter(id => !stored.has(id)), []);
	assert.ok(acknowledged.length >= 396);
});

// The write that only the isolated primary received must be discarded when that member follows the new primary.
test('a primary isolated from pool and replicas is replaced without losing an acknowledged write', async context => {
	const members = await startMembers(['a', 'b', 'c']);
	const relays = await Promise.all(members.map(async member => {
		const relay = new FaultInjectingRelay({target: member.address});
		await relay.start();
		return relay;
	}));
	const pool = startTestPool({clock, backendClients: createBackendClients(clock, 'pool-1')});
	context.after(async () => {
		pool.pool.stop();
		for (const relay of relays) {
			relay.close();
		}

		await Promise.all(members.map(async member => member.stop()));
	});
	await pool.announce(members.map(({name}, index) => ({name, address: relays[index].address})));
	await expectSuccess(pool.execute('CREATE TABLE notices (id int PRIMARY KEY, body text)'));
	const oldPrimary = primaryOf({pool, members});
	await expectSuccess(pool.execute('INSERT INTO notices VALUES (1, \'x\')'));
	relays[members.indexOf(oldPrimary)].dropTraffic();
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (2, \'x\')'), {codeName: 'outcomeUnknown'});
	const written = await expectSuccess(pool.execute('INSERT INTO notices VALUES (3, \'x\')'));
	assert.notEqual(written.servedBy, oldPrimary.name);
	await relays[members.indexOf(oldPrimary)].heal();
	await waitUntil(() => oldPrimary.status().logTerm === written.point.term);
	const read = await expectSuccess(pool.execute('SELECT id FROM notices', {access: 'read', neededPoint: written.point}));
	assert.deepEqual(rowsOf(read).map(({id}) => id).toSorted((first, second) => Number(first) - Number(second)), ['1', '3']);
});

// Without the record, a retry after a lost response would apply the write twice.
test('a retry with the same request id returns the recorded response and writes nothing', async context => {
	const {pool} = await startGroup(context);
	const first = await expectSuccess(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'}));
	const second = await expectSuccess(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'}));
	assert.deepEqual(second.bytes, first.bytes);
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (2, \'x\')', {requestId: 'r1'}), {codeName: 'requestIdReused'});
});

// A delayed copy of the request may arrive after the entry has reported it as not run.
test('a request whose id was abandoned is rejected and does not run', async context => {
	const {pool} = await startGroup(context);
	assert.deepEqual(await pool.abandon('r1'), {outcome: 'abandoned'});
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'}), {codeName: 'requestAbandoned'});
	assert.deepEqual(await pool.abandon('r1'), {outcome: 'abandoned'});
	const read = await expectSuccess(pool.execute('SELECT id FROM notices', {access: 'read'}));
	assert.deepEqual(rowsOf(read), []);
});

// Abandoning a completed request would make the entry report a write that took effect as not run.
test('abandoning the id of a completed request returns the recorded response', async context => {
	const {pool} = await startGroup(context);
	const statement = 'INSERT INTO notices VALUES (1, \'x\')';
	const first = await expectSuccess(pool.execute(statement, {requestId: 'r1'}));
	const recorded = await pool.abandon('r1');
	assert.ok(recorded.outcome === 'done');
	assert.deepEqual(recorded.response.bytes, first.bytes);
	assert.equal(recorded.fingerprint, requestFingerprint(serialize.query(statement)));
	const repeated = await expectSuccess(pool.execute(statement, {requestId: 'r1'}));
	assert.deepEqual(repeated.bytes, first.bytes);
});

// The request and the abandonment race; if both succeeded, a write that took effect would be reported as not run.
test('a request id is abandoned or its request takes effect, never both, if the two run concurrently', async context => {
	const {pool} = await startGroup(context, {serviceTime: 2});
	await pool.abandon('r-first');
	for (let id = 0; id < 20; id++) {
		const request = expectSuccess(pool.execute(`INSERT INTO notices VALUES (${id}, 'x')`, {requestId: `r${id}`}));
		const ended = request.then(() => 'done', (error: unknown) => (error as BuckthornhitchError).codeName);
		await clock.sleep(id);
		const {outcome} = await pool.abandon(`r${id}`);
		assert.equal(await ended, outcome === 'done' ? 'done' : 'requestAbandoned');
		const read = await expectSuccess(pool.execute(`SELECT id FROM notices WHERE id = ${id}`, {access: 'read'}));
		assert.equal(rowsOf(read).length, outcome === 'done' ? 1 : 0);
	}
});

// An expired id is rejected because its record may have been removed, so its request may have run. The id of a transaction is rejected because its record contains no response to return.
test('an abandon request is rejected for an expired id, for the id of a transaction and without an id', async context => {
	const {pool} = await startGroup(context);
	await assert.rejects(pool.abandon('00000000-0001-7000-8000-000000000000'), {codeName: 'requestIdExpired'});
	await expectSuccess(pool.execute('BEGIN', {transactionId: 't1', requestId: 'r1'}));
	await expectSuccess(pool.execute('COMMIT', {transactionId: 't1', requestId: 'r1'}));
	await assert.rejects(pool.abandon('r1'), {codeName: 'requestIdReused'});
	await assert.rejects(pool.server.request('abandonRequest', {database: testDatabase, deadline: 1000}), {codeName: 'malformedMessage'});
});

// An id whose record is removed while the id is still accepted could run its request a second time.
test('old request records are removed only if a repeated id would be rejected because of its age', async context => {
	const {pool} = await startGroup(context);
	const requestIdOfAge = (age: number): string => {
		const digits = Math.floor(Date.now() - age).toString(16).padStart(12, '0');
		return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000000`;
	};

	const oneDay = 86_400_000;
	await assert.rejects(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: requestIdOfAge(2 * oneDay)}), {codeName: 'requestIdExpired'});
	await expectSuccess(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: requestIdOfAge(0)}));
	for (const [id, age] of [[requestIdOfAge(2 * oneDay), 2 * oneDay], ['free-text', 2 * oneDay]] as const) {
		await expectSuccess(pool.execute(`INSERT INTO buckthornhitch_requests (request_id, outcome, recorded_at) VALUES ('${id}', 'done', ${Date.now() - age})`));
	}

	await pool.pool.serviceOf(testDatabase).retention.removeExpired();
	const read = await expectSuccess(pool.execute('SELECT request_id FROM buckthornhitch_requests', {access: 'read'}));
	assert.deepEqual(rowsOf(read).map(row => row.request_id?.slice(14)).toSorted((first, second) => String(first).localeCompare(String(second))), ['', '7000-8000-000000000000']);
});

// The response is lost with the primary, so the pool must look the outcome up on the new primary or run the write there, exactly once.
test('a write with a request id takes effect exactly once although the primary is killed', async context => {
	const group = await startGroup(context, {serviceTime: 20});
	await expectSuccess(group.pool.execute('INSERT INTO notices VALUES (0, \'x\')', {requestId: 'r0'}));
	const pending = group.pool.execute('INSERT INTO notices VALUES (1, \'x\')', {requestId: 'r1'});
	await clock.sleep(30);
	await primaryOf(group).stop();
	await expectSuccess(pending);
	const read = await expectSuccess(group.pool.execute('SELECT count(*) FROM notices', {access: 'read'}));
	assert.deepEqual(rowsOf(read), [{count: '2'}]);
});

// The transaction of an entry that has failed would keep its locks, and a later COMMIT must not run on another connection.
test('a transaction keeps its connection and is rolled back when the link to its entry closes', async context => {
	const {pool} = await startGroup(context);
	const begin = await expectSuccess(pool.execute('BEGIN', {transactionId: 't1'}));
	assert.equal(begin.transactionStatus, 'open');
	await expectSuccess(pool.execute('INSERT INTO notices VALUES (1, \'x\')', {transactionId: 't1'}));
	const commit = await expectSuccess(pool.execute('COMMIT', {transactionId: 't1'}));
	assert.equal(commit.transactionStatus, 'idle');
	await expectSuccess(pool.execute('BEGIN', {transactionId: 't2'}));
	await expectSuccess(pool.execute('INSERT INTO notices VALUES (2, \'x\')', {transactionId: 't2'}));
	pool.server.closeLink(1);
	await assert.rejects(pool.execute('COMMIT', {transactionId: 't2'}), {codeName: 'transactionLost'});
	const read = await expectSuccess(pool.execute('SELECT id FROM notices', {access: 'read'}));
	assert.deepEqual(rowsOf(read), [{id: '1'}]);
});

// Writes must wait during a switchover instead of failing on the old primary.
test('no write is rejected during a switchover', async context => {
	const group = await startGroup(context);
	const oldPrimary = primaryOf(group);
	const target = group.members.find(member => member !== oldPrimary)!;
	const writes = Array.from({length: 40}, async (_, id) => expectSuccess(group.pool.execute(`INSERT INTO notices VALUES (${id}, 'x')`)));
	await group.pool.server.request('promote', {database: testDatabase, member: target.name});
	await Promise.all(writes);
	assert.equal(primaryOf(group), target);
});

// Leases that are not released would keep the next pool from serving until they expire.
test('a draining pool lets open transactions finish, rejects new ones and releases its leases', async context => {
	const {pool, members} = await startGroup(context);
	await expectSuccess(pool.execute('BEGIN', {transactionId: 't1'}));
	const drained = pool.pool.drain();
	await assert.rejects(pool.execute('BEGIN', {transactionId: 't2'}), {codeName: 'draining'});
	await expectSuccess(pool.execute('COMMIT', {transactionId: 't1'}));
	await drained;
	assert.deepEqual(members.map(member => member.status().leaseHolder), ['', '', '']);
});
