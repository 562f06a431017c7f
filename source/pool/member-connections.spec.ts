import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {serialize} from 'pg-protocol';
import {ManualClock} from '../clock/manual-clock.js';
import {FakeGroup} from '../database-group/group-fake.js';
import {SeededRandom} from '../random/random.js';
import {FakeBackendConnector} from './backend-connector-fake.js';
import {MemberConnections} from './member-connections.js';
import {maximumStatementBytesOnConnection, maximumStatementsOnConnection} from './prepared-statement-limit.js';

function createConnections(limit = 2) {
	const clock = new ManualClock();
	const connector = new FakeBackendConnector(clock, new FakeGroup(clock));
	const discarded: string[] = [];
	const connections = new MemberConnections({
		address: 'a',
		database: 'd',
		applicationName: 'n',
		connector,
		clock,
		random: new SeededRandom(1),
		maximumConnections: () => limit,
		connectTimeout: () => 400,
		verifyTimeout: () => 600,
		onDiscarded(reason) {
			discarded.push(reason);
		},
		onConnectFailed: () => undefined,
	});
	return {
		clock, connector, connections, discarded,
	};
}

const statement = serialize.query('SELECT 1');

/** Prepares a statement under the name as a request outside a transaction does. */
async function prepareOnce(connections: MemberConnections, name: string, text = 'SELECT 1'): Promise<void> {
	const connection = await connections.acquire(1000);
	await connection.exchange(Buffer.concat([serialize.close({type: 'S', name}), serialize.parse({name, text}), serialize.sync()]), 1, 300);
	connections.release(connection);
}

// A late response of the unfinished exchange would be taken for the response to the next statement.
test('a connection with an unfinished or overdue exchange is closed and never used again', async () => {
	const {clock, connector, connections} = createConnections();
	const first = await connections.acquire(1000);
	connector.responseFault = 'withheld';
	const exchange = assert.rejects(first.exchange(statement, 1, 300), {codeName: 'memberUnreachable'});
	await clock.advanceInSteps(300, 100);
	await exchange;
	connections.release(first);
	assert.equal(first.isClosed, true);
	assert.notEqual(await connections.acquire(1000), first);
});

// The statements of the next request would run inside the transaction that was left open.
test('a connection that is released with an open transaction is closed and never used again', async () => {
	const {connections} = createConnections();
	const first = await connections.acquire(1000);
	await first.exchange(serialize.query('BEGIN'), 1, 300);
	connections.release(first);
	assert.equal(first.isClosed, true);
	assert.notEqual(await connections.acquire(1000), first);
});

// Without the round trip, the statement would fail only after its timeout.
test('a connection that stopped responding while idle is detected by a round trip before it carries a statement', async () => {
	const {clock, connector, connections, discarded} = createConnections();
	const first = await connections.acquire(1000);
	connections.release(first);
	clock.advance(6000);
	connector.responseFault = 'withheld';
	const acquired = connections.acquire(20_000);
	await clock.advanceInSteps(600, 100);
	connector.responseFault = 'none';
	assert.notEqual(await acquired, first);
	assert.equal(discarded.length, 1);
});

test('no more connections are opened than the limit of the member allows', async () => {
	const {clock, connector, connections} = createConnections(2);
	const first = await connections.acquire(1000);
	await connections.acquire(1000);
	const third = connections.acquire(1000);
	const fourth = assert.rejects(connections.acquire(500), {codeName: 'deadlinePassed'});
	connections.release(first);
	assert.equal(await third, first);
	await clock.advanceInSteps(500, 100);
	await fourth;
	assert.equal(connector.connections.length, 2);
});

// The cause that made one connection stop responding may affect the others too; their statements would otherwise wait for the statement timeout.
test('after one connection stops responding, busy connections that do not finish their exchange in time are closed', async () => {
	const {clock, connector, connections} = createConnections();
	const stuck = await connections.acquire(1000);
	connector.responseFault = 'withheld';
	const exchange = assert.rejects(stuck.exchange(statement, 1, 60_000), {codeName: 'memberUnreachable'});
	clock.advance(1);
	connections.revalidate();
	await clock.advanceInSteps(600, 100);
	await exchange;
	assert.equal(stuck.isClosed, true);
});

// Names of statements of ever new sessions stayed in the memory of the backend server for as long as the connection was open.
test('the named statements that requests leave on a connection are bounded, and it stays open', async () => {
	const {connector, connections, discarded} = createConnections(1);
	let most = 0;
	for (let index = 0; index < 3.5 * maximumStatementsOnConnection; index++) {
		await prepareOnce(connections, `s${index}`);
		most = Math.max(most, connector.connections[0].preparedNames.size);
	}

	assert.ok(most <= maximumStatementsOnConnection + 1, `${most} statements`);
	assert.equal(connector.countExecuted('DEALLOCATE ALL'), 3);
	assert.equal(connector.connections.length, 1);
	assert.deepEqual(discarded, []);
});

test('the total length of the named statements on a connection is bounded', async () => {
	const {connector, connections} = createConnections(1);
	const text = `SELECT '${'x'.repeat(maximumStatementBytesOnConnection / 4)}'`;
	for (let index = 0; index < 20; index++) {
		await prepareOnce(connections, `s${index}`, text);
		assert.ok(connector.connections[0].preparedNames.size <= 4);
	}

	assert.equal(connector.connections.length, 1);
});

test('the unnamed statement is not removed', async () => {
	const {connector, connections} = createConnections(1);
	for (let index = 0; index < 1.5 * maximumStatementsOnConnection; index++) {
		await prepareOnce(connections, '');
	}

	assert.equal(connector.countExecuted('DEALLOCATE ALL'), 0);
});

test('statements stay usable until the transaction that prepared them has ended', async () => {
	const {connector, connections} = createConnections(1);
	const connection = await connections.acquire(1000);
	await connection.exchange(serialize.query('BEGIN'), 1, 300);
	for (let index = 0; index <= maximumStatementsOnConnection; index++) {
		await connection.exchange(Buffer.concat([serialize.parse({name: `s${index}`, text: 'SELECT 1'}), serialize.sync()]), 1, 300);
	}

	assert.equal(connector.connections[0].preparedNames.size, maximumStatementsOnConnection + 1);
	await connection.exchange(serialize.query('COMMIT'), 1, 300);
	connections.release(connection);
	assert.equal(await connections.acquire(1000), connection);
	assert.equal(connector.connections[0].preparedNames.size, 0);
});

test('a request that waits for a connection gets it only after the removal of its statements', async () => {
	const {clock, connector, connections} = createConnections(1);
	const connection = await connections.acquire(1000);
	for (let index = 0; index <= maximumStatementsOnConnection; index++) {
		await connection.exchange(Buffer.concat([serialize.parse({name: `s${index}`, text: 'SELECT 1'}), serialize.sync()]), 1, 300);
	}

	const waiting = connections.acquire(1000);
	connector.responseFault = 'withheld';
	connections.release(connection);
	await clock.advanceInSteps(500, 100);
	assert.equal(connection.isClosed, false);
	await clock.advanceInSteps(100, 100);
	assert.equal(connection.isClosed, true, 'a connection that does not answer is closed');
	connector.responseFault = 'none';
	const next = await waiting;
	assert.notEqual(next, connection);
	assert.equal(connections.openCount, 1);
});

test('a connection whose statements are not removed is closed', async () => {
	for (const fault of ['lost', 'refused'] as const) {
		const {clock, connector, connections, discarded} = createConnections(1);
		for (let index = 0; index < maximumStatementsOnConnection; index++) {
			await prepareOnce(connections, `s${index}`);
		}

		connector.refusedStatement = fault === 'refused' ? 'DEALLOCATE ALL' : undefined;
		const connection = await connections.acquire(1000);
		await connection.exchange(Buffer.concat([serialize.parse({name: 'last', text: 'SELECT 1'}), serialize.sync()]), 1, 300);
		connector.responseFault = fault === 'lost' ? 'lost' : 'none';
		connections.release(connection);
		await clock.advanceInSteps(10, 1);
		connector.responseFault = 'none';
		assert.equal(connection.isClosed, true, fault);
		assert.equal(discarded.length, 1, fault);
		assert.equal(connections.openCount, 0, fault);
		assert.notEqual(await connections.acquire(1000), connection);
	}
});
