import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SessionStatement} from '../statement/types.js';
import {SessionFixture} from './session-fixture.js';

const begin: SessionStatement = {kind: 'begin', id: 'b', isReadOnly: false};
const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};

/** 30 days. */
const longLimit = 30 * 24 * 3_600_000;

function longFixture(): SessionFixture {
	const fixture = new SessionFixture('readYourWrites');
	fixture.configureCustomers(undefined, {statementTimeout: longLimit, latencyTarget: longLimit, maximumStaleness: longLimit});
	return fixture;
}

/** Counts what is done for a statement after its caller has left, in the given time. */
async function workAfterLeaving(fixture: SessionFixture, statement: SessionStatement, duration = 8000): Promise<number> {
	const session = await fixture.open();
	if (statement.kind === 'write') {
		await fixture.run(session, begin);
	}

	void session.execute(statement);
	await fixture.advance(500);
	session.close();
	await fixture.advance(duration);
	const before = fixture.members.reduce((sum, {received}) => sum + received.length, 0);
	await fixture.advance(2000);
	return fixture.members.reduce((sum, {received}) => sum + received.length, 0) - before;
}

test('statements are executed on a route whose time limits are 30 days', async () => {
	const fixture = longFixture();
	const session = await fixture.open();
	for (const statement of [read, write, begin, read, write, {kind: 'commit', id: 'c'} as const]) {
		const reply = await fixture.run(session, statement);
		assert.equal(reply.outcome, 'done');
	}
});

// The search for a primary went on until the time limit, also for callers that had left.
for (const statement of [read, write]) {
	test(`a ${statement.kind} for which no member is found ends once its caller has left`, async () => {
		const fixture = longFixture();
		fixture.primary.role = 'replica';
		const remaining = await workAfterLeaving(fixture, statement);
		assert.equal(remaining, 0);
	});
}

test('a write outside a transaction for which no primary is found is not executed after its caller has left', async () => {
	const fixture = longFixture();
	fixture.primary.role = 'replica';
	const session = await fixture.open();
	void session.execute(write);
	await fixture.advance(500);
	session.close();
	await fixture.advance(100);
	fixture.primary.role = 'primary';
	await fixture.advance(1000);
	assert.deepEqual(fixture.received('write'), []);
});

// Requests of callers that had left filled the queue for a connection until their time limit.
test('a statement that waits for a connection leaves the queue once its caller has left', async () => {
	const fixture = longFixture();
	fixture.maximumConnections = 1;
	const holder = await fixture.open();
	await fixture.run(holder, begin);
	await fixture.run(holder, write);
	const waiting = await fixture.open();
	void waiting.execute(write);
	await fixture.advance(100);
	const pool = fixture.proxy.poolOf('ledger', 'a')!;
	assert.equal(pool.load, 2);
	waiting.close();
	await fixture.advance(100);
	assert.equal(pool.load, 1);
});

// A connection that a member never answers on was kept for 30 days.
test('a connection without a reply is closed some seconds after its caller has left', async () => {
	const fixture = longFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	fixture.primary.holdsReplies = true;
	void session.execute(write);
	await fixture.advance(100);
	session.close();
	await fixture.advance(1000);
	const open = fixture.primary.connections.filter(({isClosed}) => !isClosed).length;
	await fixture.advance(7000);
	assert.ok(fixture.primary.connections.filter(({isClosed}) => !isClosed).length < open);
});
