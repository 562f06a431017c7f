import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {test, type TestContext} from 'node:test';
import type pg from 'pg';
import {ManualClock} from '../source/clock/manual-clock.js';
import {formatCallerMark} from './caller-mark.js';
import {
	connectClient, promoteFirst, startMembers, waitUntil,
} from './group-fixture.js';
import {type StandInMember, type StandInMemberOptions} from './member.js';

const timeout = 20_000;

async function startPrimary(context: TestContext, options: Partial<StandInMemberOptions> = {}): Promise<StandInMember> {
	const members = await startMembers(['a'], options);
	context.after(async () => members[0].stop());
	promoteFirst(1, members);
	return members[0];
}

async function selectRows(client: pg.Client, text: string, values: readonly unknown[] = []): Promise<unknown[][]> {
	const result = await client.query<unknown[]>({text, values: [...values], rowMode: 'array'});
	return result.rows;
}

test('a pg client gets correct rows and types from simple, parameterised and prepared statements', {timeout}, async context => {
	const {address} = await startPrimary(context);
	const client = await connectClient(address);
	await client.query('CREATE TABLE IF NOT EXISTS notices (id int PRIMARY KEY, raised bigint, place text DEFAULT \'unknown\')');
	await client.query('INSERT INTO notices VALUES (1, 10, \'Hokitika\'), (2, NULL, \'it\'\'s\')');
	await client.query('INSERT INTO notices (id, place) VALUES ($1, $2) ON CONFLICT DO NOTHING', [1, 'other']);
	await client.query('UPDATE notices SET raised = raised + $1 WHERE id = $2', [5, 1]);
	assert.deepEqual(await selectRows(client, 'SELECT * FROM notices WHERE id = $1 AND place = $2', [1, 'Hokitika']), [[1, '15', 'Hokitika']]);
	assert.deepEqual(await selectRows(client, 'SELECT place AS name, raised FROM notices ORDER BY id DESC LIMIT 1'), [['it\'s', null]]);
	assert.deepEqual(await selectRows(client, 'SELECT count(*) FROM notices'), [['2']]);
	for (const id of [1, 2]) {
		const prepared = await client.query<{id: number}>({name: 'by-id', text: 'SELECT id FROM notices WHERE id = $1', values: [id]});
		assert.deepEqual(prepared.rows, [{id}]);
	}

	await client.query('/*buckthornhitch request_id=x*/ INSERT INTO notices (id) VALUES (3)');
	assert.deepEqual(await selectRows(client, 'SELECT place FROM notices WHERE id = 3'), [['unknown']]);
	const {rowCount} = await client.query('DELETE FROM notices WHERE id = 1');
	assert.equal(rowCount, 1);
	assert.deepEqual(await selectRows(client, 'SHOW buckthornhitch.token'), [['off']]);
});

test('DEALLOCATE removes one prepared statement or all of them', {timeout}, async context => {
	const {address} = await startPrimary(context);
	const client = await connectClient(address);
	const prepare = async (name: string): Promise<unknown> => client.query({name, text: 'SELECT 1', values: []});
	await prepare('first');
	await prepare('second');
	await client.query('DEALLOCATE first');
	await assert.rejects(client.query('DEALLOCATE first'), {code: '26000'});
	const {command} = await client.query('DEALLOCATE ALL');
	assert.equal(command, 'DEALLOCATE');
	await assert.rejects(client.query('DEALLOCATE second'), {code: '26000'});
});

test('an error has the SQLSTATE of PostgreSQL and does not affect statements after its transaction', {timeout}, async context => {
	const {address} = await startPrimary(context);
	const client = await connectClient(address);
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await assert.rejects(client.query('INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)'), {code: '23505'});
	assert.deepEqual(await selectRows(client, 'SELECT * FROM t'), []);
	await assert.rejects(client.query('SELECT * FROM missing WHERE id = $1', [1]), {code: '42P01'});
	await assert.rejects(client.query('SELEC 1'), {code: '42601'});
	await assert.rejects(client.query('SELECT * FROM group_promote(9)'), {code: '55000'});
	await client.query('BEGIN READ ONLY');
	await assert.rejects(client.query('INSERT INTO t VALUES ($1)', [1]), {code: '25006'});
	await assert.rejects(client.query('SELECT 1'), {code: '25P02'});
	const {command} = await client.query('COMMIT');
	assert.equal(command, 'ROLLBACK');
	assert.deepEqual(await selectRows(client, 'SELECT 1'), [[1]]);
});

test('the writes of a transaction become visible to others at its commit, and a row that it has written or locked cannot be changed by others', {timeout}, async context => {
	const {address} = await startPrimary(context);
	const [first, second] = [await connectClient(address), await connectClient(address)];
	await first.query('CREATE TABLE t (id int PRIMARY KEY, n int)');
	await first.query('INSERT INTO t VALUES (1, 0)');
	await first.query('BEGIN');
	await first.query('UPDATE t SET n = n + 1 WHERE id = 1');
	assert.deepEqual(await selectRows(first, 'SELECT n FROM t'), [[1]]);
	assert.deepEqual(await selectRows(second, 'SELECT n FROM t'), [[0]]);
	await assert.rejects(second.query('UPDATE t SET n = 7 WHERE id = 1'), {code: '40001'});
	await first.query('COMMIT');
	assert.deepEqual(await selectRows(second, 'SELECT n FROM t'), [[1]]);
	await second.query('BEGIN');
	await second.query('SELECT * FROM t WHERE id = 1 FOR UPDATE');
	await assert.rejects(first.query('DELETE FROM t'), {code: '40001'});
	await second.query('ROLLBACK');
	const {rowCount} = await first.query('DELETE FROM t');
	assert.equal(rowCount, 1);
});

test('the limits of concurrent statements and of connections are enforced', {timeout}, async context => {
	const member = await startPrimary(context, {slots: 2, connectionLimit: 4, serviceTime: 1});
	const clients = await Promise.all([1, 2, 3, 4].map(async () => connectClient(member.address)));
	await assert.rejects(connectClient(member.address), {code: '53300'});
	await Promise.all(clients.flatMap(client => [client.query('SELECT 1'), client.query('SELECT pg_sleep(0.01)')]));
	await clients[0].query('SELECT * FROM group_status()');
	assert.deepEqual([member.maximumSlotsInUse, member.maximumConnections, member.statementsReceived], [2, 4, 8]);
});

// A pool that has lost its lease must not write any more, even with a statement that the member was already executing.
test('when another pool takes over the lease, the connections of the previous holder are closed and its statement in progress has no effect', {timeout}, async context => {
	const clock = new ManualClock();
	const member = await startPrimary(context, {clock});
	const [previousHolder, newHolder] = [await connectClient(member.address, 'p1'), await connectClient(member.address, 'p2')];
	await previousHolder.query('CREATE TABLE t (id int PRIMARY KEY)');
	await previousHolder.query('SELECT * FROM group_lease(\'p1\', 1000)');
	clock.advance(999);
	await assert.rejects(newHolder.query('SELECT * FROM group_lease(\'p2\', 1000)'), {code: '55000'});
	clock.advance(1);
	member.serviceTime = 50;
	const rejectedInsert = assert.rejects(previousHolder.query('INSERT INTO t VALUES (1)'));
	await waitUntil(() => member.statementsReceived === 2);
	const {rows: [status]} = await newHolder.query<Record<string, unknown>>('SELECT * FROM group_lease(\'p2\', 1000)');
	assert.equal(status.lease_holder, 'p2');
	assert.equal(status.connections, '1');
	await rejectedInsert;
	clock.advance(50);
	member.serviceTime = 0;
	await assert.rejects(previousHolder.query('SELECT 1'));
	assert.equal(member.status().receivedPosition, 2);
	// The insert succeeds, since the terminated transaction has released its row lock.
	await newHolder.query('INSERT INTO t VALUES (1)');
});

test('a leaving member announces that it is leaving', {timeout}, async context => {
	const requests: string[] = [];
	const entry = createServer(async (request, response) => {
		const chunks = await request.toArray();
		requests.push(`${request.method} ${request.url} ${chunks.join('')}`);
		response.end('{}');
	});
	await new Promise<void>(resolve => {
		entry.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => entry.close());
	const bound = entry.address();
	const entries = [`127.0.0.1:${typeof bound === 'object' ? bound?.port : ''}`];
	const member = await startPrimary(context, {announcement: {entries, database: 'notices', dataCentre: 'chc-a'}});
	await waitUntil(() => requests.length > 0);
	await member.leave();
	const expectedRequest = (leaving: boolean): string => `PUT /backend-servers/notices/a ${JSON.stringify({address: member.address, dataCentre: 'chc-a', leaving})}`;
	assert.equal(requests[0], expectedRequest(false));
	assert.equal(requests.at(-1), expectedRequest(true));
});

// Guards against a proxy that shares a connection with an open transaction: without the count, the statements of both callers succeed.
test('a marked statement inside the transaction of another caller is executed and counted', {timeout}, async context => {
	const member = await startPrimary(context);
	const client = await connectClient(member.address);
	const mark = formatCallerMark;
	await client.query('CREATE TABLE t (id text)');
	await client.query(`SELECT * FROM t ${mark('s1')}`);
	await client.query(`SELECT * FROM t ${mark('s2')}`);
	await client.query('BEGIN');
	await client.query(`INSERT INTO t VALUES ($1) ${mark('s1.t1')}`, ['a']);
	assert.equal(member.misplacedStatementCount, 0);
	await client.query(`INSERT INTO t VALUES ($1) ${mark('s2')}`, ['b']);
	await client.query(`SELECT * FROM t ${mark('s1.t2')}`);
	assert.equal(member.misplacedStatementCount, 2);
	await client.query(`COMMIT ${mark('s1.t1')}`);
	assert.deepEqual(await selectRows(client, 'SELECT count(*) FROM t'), [['2']]);
	await client.query('BEGIN');
	await client.query(`SELECT * FROM t ${mark('s2.t3')}`);
	await client.query('COMMIT');
	assert.equal(member.misplacedStatementCount, 2);
});
