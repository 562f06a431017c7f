import assert from 'node:assert/strict';
import {test} from 'node:test';
import {initialLogPosition} from '../database-group/log-position-rules.js';
import {type SessionStatement} from '../statement/types.js';
import {type FakeMemberServer} from './member-server-fake.js';
import {SessionFixture} from './session-fixture.js';

const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};

/** Promotes a member whose log ends in an earlier term, and rolls the other logs back to its end. */
function promote(fixture: SessionFixture, promoted: FakeMemberServer, term: number): void {
	for (const member of fixture.members) {
		member.role = member === promoted ? 'primary' : 'replica';
		member.point = promoted.point;
		member.knownTerm = term;
	}
}

/** Lets the entry learn that `b` led term 2, in which `c` received nothing, and then promotes `c`. */
async function failOverTwice(fixture: SessionFixture): Promise<void> {
	const [first, second, third] = fixture.members;
	await fixture.run(await fixture.open(), write);
	first.role = 'replica';
	second.role = 'primary';
	second.point = {term: 2, position: 3};
	await fixture.run(await fixture.open(), write);
	third.point = {term: 1, position: 1};
	promote(fixture, third, 3);
}

// The entries took the term of its last log entry for the term in which a primary leads, and never accepted this one: no request of the database was answered any more.
test('a primary is accepted although its log ends in an earlier term than that of its predecessor', async () => {
	const fixture = new SessionFixture();
	await failOverTwice(fixture);
	const session = await fixture.open();
	const readReply = await fixture.run(session, read);
	assert.equal(readReply.outcome, 'done');
	const writeReply = await fixture.run(session, write);
	assert.equal(writeReply.outcome === 'done' && writeReply.signature, 'signed c');
	const ownRead = await fixture.run(session, read);
	assert.equal(ownRead.outcome === 'done' && ownRead.signature, 'signed c');
});

test('a session whose commit was rolled back reads from a primary whose log ends before it', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	fixture.members[0].role = 'replica';
	fixture.members[1].role = 'primary';
	fixture.members[1].point = {term: 2, position: 3};
	await fixture.run(session, write);
	promote(fixture, fixture.members[2], 3);
	const reply = await fixture.run(session, read);
	assert.equal(reply.outcome, 'done');
});

// A former primary that has not learned of its successor still accepts writes, which the successor lacks.
test('a member that leads an earlier term than the known primary is not accepted', async () => {
	const fixture = new SessionFixture();
	await failOverTwice(fixture);
	const session = await fixture.open();
	await fixture.run(session, read);
	const former = fixture.members[0];
	const current = fixture.members[2];
	former.role = 'primary';
	former.knownTerm = 1;
	current.isUnresponsive = true;
	for (const connection of current.connections) {
		connection.close();
	}

	const received = former.received.length;
	const reply = await fixture.run(session, write);
	assert.equal(reply.outcome, 'refused');
	assert.ok(!former.receivedKinds.slice(received).includes('write'));
});

// Without a deadline, each request that was given up went on searching.
test('a request ends at its deadline although a member answers as the primary of an earlier term again and again', async () => {
	const fixture = new SessionFixture();
	await failOverTwice(fixture);
	const current = fixture.members[2];
	current.knownTerm = 1;
	const session = await fixture.open();
	const reply = await fixture.run(session, write);
	assert.equal(reply.outcome === 'refused' && reply.reason, 'busy');
	await fixture.advance(1000);
	const probes = current.receivedKinds.length;
	await fixture.advance(1000);
	assert.equal(current.receivedKinds.length, probes, 'the search goes on after the request has ended');
});

// Replies carry no id. With the reply to the BEGIN lost, that to the ROLLBACK was taken for it, and a replica for the primary.
test('the reply to a rollback does not prove that the member is the primary', async () => {
	const fixture = new SessionFixture('primary');
	const session = await fixture.open();
	await fixture.run(session, write);
	const [former, current, late] = fixture.members;
	late.lostReplies.add('begin');
	former.role = 'replica';
	current.role = 'primary';
	current.point = former.point;
	await fixture.advance(10);
	await fixture.run(session, read);
	const reads = fixture.members.flatMap(({received}) => received).flatMap(({statement}) => statement.kind === 'read' ? [statement] : []);
	assert.ok(reads.length > 0);
	assert.deepEqual(reads.filter(({after}) => after?.position !== current.point.position), []);
});

// Terms are compared by the last log entry, which neither the former primary nor its successor has.
test('a promoted member is accepted although its log and that of its predecessor are empty', async () => {
	const fixture = new SessionFixture();
	for (const member of fixture.members) {
		member.point = initialLogPosition;
		member.knownTerm = 1;
	}

	const session = await fixture.open();
	await fixture.run(session, read);
	promote(fixture, fixture.members[1], 2);
	for (const statement of [read, write, read]) {
		const reply = await fixture.run(session, statement);
		assert.equal(reply.outcome === 'done' && statement.kind === 'write' ? reply.signature : reply.outcome, statement.kind === 'write' ? 'signed b' : 'done');
	}
});

// Writes went on to the crashed primary until its announcement expired, 10 s after the promotion of its successor, unless a read or a transaction had found the successor before.
test('a write finds the successor of a primary that refuses connections', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	const [crashed, successor] = fixture.members;
	crashed.isUnresponsive = true;
	for (const connection of crashed.connections) {
		connection.close();
	}

	successor.role = 'primary';
	const reply = await fixture.run(session, write);
	assert.equal(reply.outcome === 'done' && reply.signature, 'signed b');
});
