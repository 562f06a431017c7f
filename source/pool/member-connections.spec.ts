import assert from 'node:assert/strict';
import {test} from 'node:test';
import {serialize} from 'pg-protocol';
import {ManualClock} from '../clock/manual-clock.js';
import {FakeGroup} from '../database-group/group-fake.js';
import {SeededRandom} from '../random/random.js';
import {FakeBackendConnector} from './backend-connector-fake.js';
import {MemberConnections} from './member-connections.js';

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
