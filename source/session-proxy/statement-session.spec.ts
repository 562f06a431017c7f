import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SessionStatement, type StatementReply} from '../statement/types.js';
import {SessionFixture} from './session-fixture.js';

const begin: SessionStatement = {kind: 'begin', id: 'b', isReadOnly: false};
const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};
const commit: SessionStatement = {kind: 'commit', id: 'c'};

function reasonOf(reply: StatementReply): string {
	return reply.outcome === 'refused' ? reply.reason : reply.outcome;
}

test('a write goes to the primary and its signature comes back', async () => {
	const fixture = new SessionFixture();
	const reply = await fixture.run(await fixture.open(), write);
	assert.deepEqual(reply.outcome === 'done' && reply.signature, 'signed a');
});

test('a write without an answer is not sent again, and its outcome is said to be unknown', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	fixture.primary.holdsReplies = true;
	const reply = await fixture.run(session, write);
	assert.equal(reasonOf(reply), 'outcomeUnknown');
	assert.equal(fixture.received('write').length, 1);
});

test('a write that a busy primary refused is sent again within its time', async () => {
	const fixture = new SessionFixture();
	fixture.primary.refusals.push('busy', 'busy');
	const reply = await fixture.run(await fixture.open(), write);
	assert.equal(reply.outcome, 'done');
	assert.equal(fixture.received('write').length, 3);
});

test('a write finds the member that leads after a promotion', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	fixture.primary.role = 'replica';
	fixture.members[1].role = 'primary';
	fixture.members[1].point = {term: 2, position: 2};
	const reply = await fixture.run(session, write);
	assert.deepEqual(reply.outcome === 'done' && reply.signature, 'signed b');
});

test('without a primary a write is refused as not run within its limit, with the time to come back', async () => {
	const fixture = new SessionFixture();
	fixture.primary.role = 'replica';
	const reply = await fixture.run(await fixture.open(), write);
	assert.equal(reasonOf(reply), 'busy');
	assert.match(reply.outcome === 'refused' ? reply.detail : '', /come back in \d+ ms/v);
	assert.equal(fixture.received('write').length, 0);
});

test('a session reads its own write although the replicas are behind', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	const reply = await fixture.run(session, read);
	assert.deepEqual(reply.outcome === 'done' && reply.signature, 'signed a');
	for (const {statement} of fixture.members.flatMap(member => member.received)) {
		assert.ok(statement.kind !== 'read' || statement.after?.position === 2);
	}
});

test('a read on a route to the primary asks for the point of the primary after it arrived', async () => {
	const fixture = new SessionFixture('primary');
	const session = await fixture.open();
	await fixture.run(session, read);
	await fixture.pass(10);
	fixture.primary.point = {term: 1, position: 9};
	await fixture.run(session, read);
	const reads = fixture.members.flatMap(member => member.received).flatMap(({statement}) => statement.kind === 'read' ? [statement.after?.position] : []);
	assert.equal(reads.at(-1), 9);
});

test('nothing is sent behind a statement of a transaction that was not answered in time', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.primary.holdsReplies = true;
	const reply = await fixture.run(session, read);
	assert.equal(reasonOf(reply), 'aborted');
	assert.equal(fixture.primary.receivedKinds.at(-1), 'read', 'the rollback waits for the answer');
	assert.ok(fixture.primary.links.every(link => !link.isClosed), 'a closed connection would let the statement run outside its transaction');
	fixture.primary.release();
	await fixture.pass(10);
	assert.equal(fixture.primary.receivedKinds.at(-1), 'rollback');
});

test('a statement that was refused as busy is not repeated after its caller has left', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.primary.refusals.push('busy');
	const answer = session.execute(read);
	await fixture.pass(5);
	session.close();
	await fixture.pass(100);
	await answer;
	assert.ok(fixture.received('read').every(({transaction}) => transaction === 'open'), 'it would run outside the transaction');
});

test('a commit without an answer is unknown after a write, and aborted otherwise', async () => {
	for (const [statement, expected] of [[write, 'outcomeUnknown'], [read, 'aborted']] as const) {
		const fixture = new SessionFixture();
		const session = await fixture.open();
		await fixture.run(session, begin);
		await fixture.run(session, statement);
		fixture.primary.holdsReplies = true;
		assert.equal(reasonOf(await fixture.run(session, commit)), expected);
	}
});

test('a transaction without statements for longer than allowed is rolled back, and its next statement is told so', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	await fixture.pass(3100);
	assert.equal(fixture.primary.receivedKinds.at(-1), 'rollback');
	const reply = await fixture.run(session, read);
	assert.equal(reasonOf(reply), 'aborted');
	assert.equal(reply.transaction, 'failed');
});

test('a read without an answer is sent to another member as well', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, read);
	const first = fixture.members.find(member => member.receivedKinds.includes('read'))!;
	first.holdsReplies = true;
	const reply = await fixture.run(session, read, 400);
	assert.equal(reply.outcome, 'done');
});

test('a connection that served another session is reset before it serves one with other values', async () => {
	const fixture = new SessionFixture('primary');
	const first = await fixture.open();
	await fixture.run(first, {
		kind: 'set', id: 's', name: 'zone', value: 'north',
	});
	await fixture.run(first, write);
	const second = await fixture.open();
	await fixture.run(second, write);
	assert.deepEqual(fixture.primary.receivedKinds.filter(kind => kind === 'set' || kind === 'reset' || kind === 'write'), ['set', 'write', 'reset', 'write']);
});

test('a prepared statement runs under the name that its shape has on the connection', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, {
		kind: 'prepare', id: 'p', name: 's1', shape: {access: 'write', shape: 'q2'},
	});
	await fixture.run(session, {
		kind: 'execute', id: 'e', name: 's1', parameters: '1 x',
	});
	const executed = fixture.primary.received.at(-1)?.statement;
	assert.deepEqual(executed?.kind === 'execute' && [executed.name, executed.parameters, executed.id], ['w_q2', '1 x', 'e']);
	const reply = await fixture.run(session, {
		kind: 'execute', id: 'e', name: 's2', parameters: '',
	});
	assert.equal(reasonOf(reply), 'unknownStatement');
});

test('a refusal for too many connections is no sign that the member is lost', async () => {
	const fixture = new SessionFixture();
	fixture.primary.refusesConnections = true;
	await fixture.run(await fixture.open(), write);
	assert.equal(fixture.proxy.contacts().find(contact => contact.id === 'a')?.failingFor, 0);
});

test('a member that does not answer is reported until it answers again', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	fixture.proxy.start();
	await fixture.run(session, write);
	fixture.primary.isUnresponsive = true;
	await fixture.run(session, write);
	await fixture.pass(100);
	assert.ok((fixture.proxy.contacts().find(contact => contact.id === 'a')?.failingFor ?? 0) > 0);
	fixture.primary.isUnresponsive = false;
	await fixture.pass(1500);
	assert.equal(fixture.proxy.contacts().find(contact => contact.id === 'a')?.failingFor, 0);
	fixture.proxy.stop();
});

test('a read that was answered elsewhere is not sent to another member later, when the session may hold other values', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	await fixture.pass(2000);
	const gates: Array<() => void> = [];
	for (const member of fixture.members) {
		member.point = fixture.primary.point;
		member.holdsReplies = true;
	}

	const reply = session.execute(read);
	await fixture.pass(50);
	const first = fixture.members.find(({receivedKinds}) => receivedKinds.includes('read'))!;
	const others = fixture.members.filter(member => member !== first);
	for (const member of others) {
		member.holdsReplies = false;
		member.connectGate = new Promise(resolve => {
			gates.push(resolve);
		});
		for (const link of member.links) {
			link.close();
		}
	}

	await fixture.pass(300);
	first.release();
	await fixture.pass(20);
	const answer = await reply;
	assert.equal(answer.outcome, 'done');
	await fixture.run(session, {
		kind: 'set', id: 's', name: 'zone', value: 'north',
	});
	for (const open of gates) {
		open();
	}

	await fixture.pass(200);
	assert.deepEqual(fixture.received('read').map(({member}) => member), [first.server.id]);
});
