import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {digestKey} from '../customers/key-digest.js';
import {type SessionStatement, type StatementReply} from '../statement/types.js';
import {MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {SessionFixture} from './session-fixture.js';

const begin: SessionStatement = {kind: 'begin', id: 'b', isReadOnly: false};
const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};
const commit: SessionStatement = {kind: 'commit', id: 'c'};
const rollback: SessionStatement = {kind: 'rollback', id: 'k'};
const set: SessionStatement = {
	kind: 'set', id: 's', name: 'zone', value: 'north',
};

/** Keys of the two customers before the change that a test makes. */
const keys = {first: ['k1'], second: ['k2']};
/** Changes after which the key `k1` identifies no customer, or another one. */
const revoked = {first: [], second: ['k2']};
const moved = {first: [], second: ['k2', 'k1']};

function summary(reply: StatementReply): readonly [string, string] {
	return [reply.outcome === 'refused' ? reply.reason : reply.outcome, reply.transaction];
}

/** Returns a function that lists the customers for whom connections were acquired for sessions. */
function recordAcquired(context: TestContext): () => readonly unknown[] {
	const acquired: unknown[] = [];
	for (const name of ['acquire', 'acquireForCaller'] as const) {
		const original = MemberPool.prototype[name] as (...values: readonly unknown[]) => Promise<PooledConnection>;
		context.mock.method(MemberPool.prototype, name, async function (this: MemberPool, ...values: readonly unknown[]) {
			if (values.length > 3) {
				acquired.push(values[3]);
			}

			return original.call(this, ...values);
		});
	}

	return () => acquired;
}

function createFixture(consistency: 'primary' | 'readYourWrites' = 'readYourWrites'): SessionFixture {
	const fixture = new SessionFixture(consistency);
	fixture.configureCustomers(keys);
	return fixture;
}

test('connections are acquired under the name of the customer that holds the key', async context => {
	const fixture = createFixture();
	const acquired = recordAcquired(context);
	const session = await fixture.open('k1');
	for (const statement of [write, begin, write, commit]) {
		await fixture.run(session, statement);
	}

	await fixture.run(await fixture.open('k2'), read);
	assert.deepEqual(acquired(), ['first', 'first', 'second']);
});

test('without customers, and on a public route with an unknown key, connections are acquired for no customer', async context => {
	const fixture = new SessionFixture();
	const acquired = recordAcquired(context);
	await fixture.run(await fixture.open('x'), write);
	fixture.configureCustomers(keys, {isPublic: true});
	await fixture.run(await fixture.open('x'), write);
	await fixture.run(await fixture.open('k1'), write);
	assert.deepEqual(acquired(), [undefined, undefined, 'first']);
});

test('an unknown key opens no session on a route that needs one, and an unknown database is reported first', async () => {
	const fixture = createFixture();
	assert.equal(await fixture.proxy.open({database: 'db', keyDigest: digestKey('x')}), 'notAuthorized');
	assert.equal(await fixture.proxy.open({database: 'other', keyDigest: digestKey('x')}), 'unknownDatabase');
});

test('a session opened before customers were configured is identified by its key from then on', async context => {
	const fixture = new SessionFixture();
	const acquired = recordAcquired(context);
	const [known, unknown] = [await fixture.open('k1'), await fixture.open('x')];
	fixture.configureCustomers(keys);
	assert.deepEqual(summary(await fixture.run(known, write)), ['done', 'idle']);
	assert.deepEqual(acquired(), ['first']);
	assert.deepEqual(summary(await fixture.run(unknown, write)), ['notAuthorized', 'idle']);
	fixture.configureCustomers({...keys, third: ['x']});
	assert.deepEqual(summary(await fixture.run(unknown, write)), ['done', 'idle'], 'the key was added');
});

test('every statement of a session with a revoked key is refused, and none is sent', async () => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	await fixture.run(session, write);
	fixture.configureCustomers(revoked);
	const count = fixture.members.flatMap(member => member.received).length;
	for (const statement of [write, read, begin, set, commit, rollback]) {
		assert.deepEqual(summary(await fixture.run(session, statement)), ['notAuthorized', 'idle'], statement.kind);
	}

	assert.equal(fixture.members.flatMap(member => member.received).length, count);
});

test('a database whose route was removed is reported as unknown, whatever the key', async () => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	fixture.configureCustomers(revoked, {database: 'other'});
	assert.deepEqual(summary(await fixture.run(session, write)), ['unknownDatabase', 'idle']);
});

test('a transaction is rolled back at once when its key is revoked, and its next statement is refused', async () => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.configureCustomers(revoked);
	await fixture.advance(5);
	assert.equal(fixture.primary.receivedKinds.at(-1), 'rollback');
	assert.deepEqual(summary(await fixture.run(session, write)), ['notAuthorized', 'failed']);
	assert.deepEqual(summary(await fixture.run(session, rollback)), ['notAuthorized', 'idle']);
	assert.equal(session.isInTransaction, false);
	assert.equal(fixture.received('write').length, 1);
});

// A commit under the new customer would keep what was written under the old one.
test('a transaction is rolled back at once when its key is moved, and its next statement is refused as aborted', async context => {
	for (const statement of [write, read, set, commit]) {
		const fixture = createFixture();
		const session = await fixture.open('k1');
		await fixture.run(session, begin);
		await fixture.run(session, write);
		fixture.configureCustomers(moved);
		await fixture.advance(5);
		assert.equal(fixture.primary.receivedKinds.at(-1), 'rollback');
		assert.deepEqual(summary(await fixture.run(session, statement)), ['aborted', statement.kind === 'commit' ? 'idle' : 'failed'], statement.kind);
		if (statement.kind !== 'commit') {
			assert.deepEqual(summary(await fixture.run(session, rollback)), ['done', 'idle']);
		}

		const acquired = recordAcquired(context);
		await fixture.run(session, write);
		assert.deepEqual(acquired(), ['second']);
		context.mock.restoreAll();
	}
});

test('a transaction begun without a customer is aborted when customers are configured, and one of an unchanged key continues', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open('k1');
	await fixture.run(session, begin);
	fixture.configureCustomers(keys);
	assert.deepEqual(summary(await fixture.run(session, write)), ['aborted', 'failed']);
	await fixture.run(session, rollback);
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.configureCustomers({...keys, first: ['k1', 'k3']});
	assert.deepEqual(summary(await fixture.run(session, commit)), ['done', 'idle']);
});

test('a write and a commit that were sent before the key was revoked keep their outcome', async () => {
	for (const statements of [[write], [begin, write, commit]]) {
		const fixture = createFixture();
		const session = await fixture.open('k1');
		for (const statement of statements.slice(0, -1)) {
			await fixture.run(session, statement);
		}

		fixture.primary.holdsReplies = true;
		const reply = session.execute(statements.at(-1)!);
		await fixture.advance(20);
		fixture.configureCustomers(revoked);
		await fixture.advance(20);
		fixture.primary.releaseReplies();
		await fixture.advance(20);
		assert.deepEqual(summary(await reply), ['done', 'idle']);
		assert.deepEqual(summary(await fixture.run(session, write)), ['notAuthorized', 'idle']);
	}
});

// The commit provably did not run: reporting its outcome as unknown would make the caller look for it.
test('a commit that waits to be retried when the key is revoked or moved is not sent again, and its outcome is known', async () => {
	for (const [change, expected] of [[revoked, 'notAuthorized'], [moved, 'aborted']] as const) {
		const fixture = createFixture();
		const session = await fixture.open('k1');
		await fixture.run(session, begin);
		await fixture.run(session, write);
		fixture.primary.refusals.push('busy');
		const reply = session.execute(commit);
		await fixture.advance(5);
		fixture.configureCustomers(change);
		await fixture.advance(100);
		assert.deepEqual(summary(await reply), [expected, 'idle']);
		assert.equal(fixture.received('commit').length, 1);
	}
});

/** Starts a statement that waits for the only connection to the primary, which a write of another session holds. */
async function waitForConnection(fixture: SessionFixture, statement: SessionStatement, key = 'k1'): Promise<{readonly reply: Promise<StatementReply>; readonly released: () => Promise<void>}> {
	fixture.maximumConnections = 1;
	const holder = await fixture.open('k2');
	await fixture.run(holder, write);
	fixture.primary.holdsReplies = true;
	const held = holder.execute(write);
	await fixture.advance(20);
	const session = await fixture.open(key);
	await session.execute(set);
	if (statement.kind === 'commit') {
		await session.execute(begin);
	}

	const reply = session.execute(statement);
	await fixture.advance(20);
	return {
		reply,
		async released() {
			fixture.primary.releaseReplies();
			await fixture.advance(100);
			await held;
		},
	};
}

test('a statement that waits for a connection when its key is revoked is refused and not sent', async () => {
	for (const statement of [write, read]) {
		const fixture = createFixture('primary');
		const {reply, released} = await waitForConnection(fixture, {...statement, id: 'waiting'});
		fixture.configureCustomers(revoked);
		await released();
		assert.deepEqual(summary(await reply), ['notAuthorized', 'idle']);
		assert.ok(!fixture.members.some(member => member.received.some(({statement: sent}) => 'id' in sent && sent.id === 'waiting')), statement.kind);
		assert.equal(fixture.received('set').length, 0, 'nor are the variables of the session set');
	}
});

test('a statement whose key is revoked after its connection was prepared is not sent', async context => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	await fixture.run(session, write);
	context.mock.method(MemberPool.prototype, 'isAnswerableBefore', () => {
		fixture.configureCustomers(revoked);
		return true;
	});
	assert.deepEqual(summary(await fixture.run(session, write)), ['notAuthorized', 'idle']);
	assert.equal(fixture.received('write').length, 1);
});

// The connection was opened under the name of the first customer.
test('a statement that waits for a connection when its key is moved runs once, on a connection of the new customer', async context => {
	const fixture = createFixture();
	const acquired = recordAcquired(context);
	const {reply, released} = await waitForConnection(fixture, {...write, id: 'waiting'});
	fixture.configureCustomers(moved);
	await released();
	assert.deepEqual(summary(await reply), ['done', 'idle']);
	assert.deepEqual(acquired(), ['second', 'second', 'first', 'second']);
	assert.deepEqual(fixture.askedCustomers, ['second', 'second', 'first', 'second'], 'the operation counts for the customer for whom it runs');
	assert.equal(fixture.primary.received.filter(({statement}) => 'id' in statement && statement.id === 'waiting').length, 1);
});

test('a statement of a public route that waits for a connection when its key becomes known runs under the name of its customer', async context => {
	const fixture = new SessionFixture();
	fixture.configureCustomers(keys, {isPublic: true});
	const acquired = recordAcquired(context);
	const {reply, released} = await waitForConnection(fixture, write, 'x');
	fixture.configureCustomers({...keys, third: ['x']}, {isPublic: true});
	await released();
	assert.deepEqual(summary(await reply), ['done', 'idle']);
	assert.deepEqual(acquired().slice(2), [undefined, 'third']);
});

test('a transaction that waits for a connection when its key is revoked or moved is not opened', async () => {
	for (const [change, expected] of [[revoked, 'notAuthorized'], [moved, 'aborted']] as const) {
		const fixture = createFixture();
		const {reply, released} = await waitForConnection(fixture, commit);
		const count = fixture.received('begin').length;
		fixture.configureCustomers(change);
		await released();
		assert.deepEqual(summary(await reply), [expected, 'idle']);
		assert.equal(fixture.received('begin').length, count);
		assert.equal(fixture.received('commit').length, 0);
	}
});

// Part of the transaction might otherwise have run for the customer that held the key in between.
test('a transaction whose key is moved and moved back is aborted', async () => {
	const fixture = createFixture();
	const {reply, released} = await waitForConnection(fixture, commit);
	const count = fixture.received('begin').length;
	fixture.configureCustomers(moved);
	fixture.configureCustomers(keys);
	await released();
	assert.deepEqual(summary(await reply), ['aborted', 'idle']);
	assert.equal(fixture.received('begin').length, count);
});

test('a read that is running when the key is revoked is answered with its outcome, although its hedge is refused', async () => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	for (const member of fixture.members) {
		member.holdsReplies = true;
	}

	const reply = session.execute(read);
	await fixture.advance(50);
	fixture.configureCustomers(revoked);
	await fixture.advance(300);
	assert.equal(fixture.received('read').length, 1);
	assert.ok(fixture.log.decisions.some(({step}) => step === 'authorization'), 'the hedge was refused');
	for (const member of fixture.members) {
		member.releaseReplies();
	}

	await fixture.advance(20);
	assert.deepEqual(summary(await reply), ['done', 'idle']);
});

test('an operation is admitted once: a statement outside a transaction with its retries, or a whole transaction', async () => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	fixture.primary.refusals.push('busy', 'busy');
	await fixture.run(session, write);
	assert.deepEqual(fixture.askedCustomers, ['first']);
	for (const statement of [begin, write, read, set, commit]) {
		await fixture.run(session, statement);
	}

	assert.deepEqual(fixture.askedCustomers, ['first', 'first']);
	fixture.configureCustomers(undefined);
	await fixture.run(session, write);
	assert.equal(fixture.askedCustomers.length, 2, 'there is no limit without customers');
});

test('an operation that is not admitted is refused as not run, with the time to retry', async () => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	for (const statement of [write, read, begin]) {
		fixture.admissions.push({admitted: false, retryAfter: 321.5});
		const reply = await fixture.run(session, statement);
		assert.deepEqual(summary(reply), ['busy', 'idle']);
		const time = Number(/^not run, come back in (\d+) ms: /v.exec(reply.outcome === 'refused' ? reply.detail : '')?.[1]);
		// The time of the limiter, with the jitter that keeps callers from returning together.
		assert.ok(time >= (321.5 * 0.75) - 1 && time <= (321.5 * 1.25) + 1, String(time));
	}

	assert.equal(session.isInTransaction, false);
	assert.equal(fixture.members.flatMap(member => member.received).length, 0);
});

// A rejection inside a hedged read would end the process.
test('an operation for which the limiter fails is refused as not run', async () => {
	const fixture = createFixture();
	const session = await fixture.open('k1');
	fixture.admissions.push(Promise.reject(new Error('no limiter')));
	assert.deepEqual(summary(await fixture.run(session, read)), ['busy', 'idle']);
});

test('an operation whose key is moved or revoked before the limiter answers runs for the new customer, or not at all', async context => {
	for (const statement of [write, begin]) {
		for (const [change, expected, names] of [[moved, 'done', ['first', 'second']], [revoked, 'notAuthorized', ['first']]] as const) {
			const fixture = createFixture();
			const acquired = recordAcquired(context);
			fixture.admissions.push(fixture.clock.sleep(20).then(() => ({admitted: true})));
			const session = await fixture.open('k1');
			const reply = session.execute(statement);
			await fixture.advance(5);
			fixture.configureCustomers(change);
			await fixture.advance(50);
			assert.equal(summary(await reply)[0], expected);
			assert.deepEqual(fixture.askedCustomers, names);
			await fixture.run(session, write);
			assert.ok(!acquired().includes('first'));
			context.mock.restoreAll();
		}
	}
});

// Each routing table is compared with every open session.
test('a closed session is not kept', async () => {
	const fixture = createFixture();
	const sessions = [await fixture.open('k1'), await fixture.open('k2')];
	assert.equal(fixture.proxy.sessionCount, 2);
	for (const session of sessions) {
		session.close();
		session.close();
	}

	assert.equal(fixture.proxy.sessionCount, 0);
});
