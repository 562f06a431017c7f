import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type PreparedStatementDefinition, type SessionStatement, type StatementReply} from '../statement/types.js';
import {type RelayStatementResponse} from './messages.js';
import {NearMemberFixture} from './near-member-fixture.js';

const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};
const lookup: PreparedStatementDefinition = {access: 'read', shape: 'READ ?'};

const signatureOrReason = (reply: StatementReply): string => reply.outcome === 'done' ? reply.signature : reply.reason;

/** Returns a fixture whose entry knows the primary and has used its relays or connections. */
async function warmFixture(name?: 'gateway-1' | 'requester') {
	const fixture = new NearMemberFixture(name);
	const session = await fixture.sessions.open();
	await fixture.sessions.run(session, write);
	// A new primary gets only a share of its reads for a time.
	await fixture.sessions.advance(6000);
	await fixture.sessions.run(session, write);
	// The position that the write confirmed would otherwise be new enough for a read at the same time.
	await fixture.sessions.advance(50);
	for (const {received} of fixture.sessions.members) {
		received.splice(0);
	}

	return {
		fixture, sessions: fixture.sessions, session, since: fixture.links.requests.length,
	};
}

test('a gateway executes a read of its own caller in a write transaction at the primary, without a position', async () => {
	const {fixture, sessions, session, since} = await warmFixture('gateway-1');
	const reply = await sessions.run(session, read);
	assert.deepEqual([signatureOrReason(reply), reply.transaction], ['signed a', 'idle']);
	await sessions.advance(5);
	assert.deepEqual(fixture.primary.receivedKinds, ['begin', 'read', 'rollback']);
	assert.deepEqual(fixture.receivedReads.map(({member, transaction, statement}) => [member, transaction, 'after' in statement && statement.after]), [['a', 'open', undefined]]);
	assert.deepEqual(fixture.relayedSince(since), []);
});

// The confirmation of the position by BEGIN and ROLLBACK took a round trip of its own.
test('a read through a gateway takes a single message', async () => {
	const {fixture, sessions, session, since} = await warmFixture();
	const reply = await sessions.run(session, read);
	assert.deepEqual([signatureOrReason(reply), reply.transaction], ['signed a', 'idle']);
	await sessions.advance(5);
	assert.deepEqual(fixture.links.requests.slice(since).map(({name}) => name), ['relayStatement']);
	assert.equal(fixture.relayedSince(since)[0].isPrimaryRead, true);
	assert.deepEqual(fixture.primary.receivedKinds, ['begin', 'read', 'rollback']);
	assert.equal(fixture.receivedReads[0].transaction, 'open');
});

test('a read on a relay that is not confirmed yet waits for the answer of the gateway', async () => {
	const fixture = new NearMemberFixture();
	const session = await fixture.sessions.open();
	await fixture.sessions.run(session, write);
	await fixture.sessions.advance(6000);
	for (const relayServer of fixture.relayServers.values()) {
		relayServer.stop();
	}

	// The first attempt finds that the gateway has lost the relay.
	await fixture.sessions.run(session, read);
	const since = fixture.links.requests.length;
	const reply = await fixture.sessions.run(session, read);
	assert.equal(signatureOrReason(reply), 'signed a');
	assert.ok(fixture.relayedSince(since).some(({isPrimaryRead}) => isPrimaryRead));
	assert.ok(fixture.receivedReads.every(({transaction, statement}) => transaction === 'open' || ('after' in statement && statement.after)));
});

test('a prepared read runs in a transaction of its own after it was prepared', async () => {
	for (const name of ['gateway-1', 'requester'] as const) {
		const {fixture, sessions, session} = await warmFixture(name);
		await sessions.run(session, {
			kind: 'prepare', id: 'p', name: 'lookup', shape: lookup,
		});
		const reply = await sessions.run(session, {
			kind: 'execute', id: 'e', name: 'lookup', parameters: '1',
		});
		assert.equal(signatureOrReason(reply), 'signed a');
		await sessions.advance(5);
		assert.deepEqual(fixture.primary.receivedKinds, ['prepare', 'begin', 'execute', 'rollback']);
	}
});

// A connection that returned to the pool before the rollback would run the next session's statement inside the transaction.
test('the caller is answered before the rollback, and the connection is not used again until the rollback is answered', async () => {
	const {fixture, sessions, session} = await warmFixture('gateway-1');
	fixture.primary.heldKinds = new Set(['rollback']);
	fixture.primary.holdsReplies = true;
	assert.equal(signatureOrReason(await sessions.run(session, read)), 'signed a');
	const other = await sessions.open();
	assert.equal(signatureOrReason(await sessions.run(other, write)), 'signed a');
	const [{connectionNumber}] = fixture.receivedReads;
	const written = fixture.primary.received.find(({statement}) => statement.kind === 'write');
	assert.notEqual(written?.connectionNumber, connectionNumber);
	assert.equal(written?.transaction, 'idle');
	fixture.primary.releaseReplies();
	await sessions.advance(5);
	assert.ok(fixture.primary.connections.every(({isClosed}) => !isClosed), 'the connection is kept');
});

// A read that followed a refused BEGIN would run on a replica outside a transaction.
test('when the member refuses BEGIN, the read does not reach it, and is executed at a position that the new primary has confirmed', async () => {
	for (const name of ['gateway-1', 'requester'] as const) {
		const {fixture, sessions, session} = await warmFixture(name);
		fixture.promote(sessions.members[1]);
		const reply = await sessions.run(session, read);
		assert.equal(signatureOrReason(reply), 'signed b');
		assert.deepEqual(fixture.receivedReads.map(({member, statement}) => [member, 'after' in statement && statement.after?.term]), [['b', 2]]);
		// One BEGIN for the read and one in the search for the new primary; the old one is not asked to confirm its position.
		assert.deepEqual(fixture.primary.receivedKinds.filter(kind => kind !== 'rollback'), ['begin', 'begin']);
		assert.ok(sessions.log.decisions.some(({step, outcome}) => step === 'primary read' && outcome.startsWith('notRun readOnly')));
	}
});

test('when the primary changes between BEGIN and the read, the read is executed at a position that the new primary has confirmed', async () => {
	for (const name of ['gateway-1', 'requester'] as const) {
		const {fixture, sessions, session} = await warmFixture(name);
		fixture.primary.holdsReplies = true;
		const replies: StatementReply[] = [];
		void session.execute(read).then(reply => replies.push(reply));
		await sessions.advance(10);
		assert.deepEqual(fixture.primary.receivedKinds, ['begin', 'read']);
		fixture.promote(sessions.members[1]);
		fixture.primary.releaseReplies();
		await sessions.advance(50);
		assert.deepEqual(replies.map(reply => signatureOrReason(reply)), ['signed b']);
		assert.deepEqual(fixture.receivedReads.map(({member, statement}) => [member, 'after' in statement && statement.after?.term]), [['a', undefined], ['b', 2]]);
		await sessions.advance(5);
		const kinds = fixture.primary.received.filter(({connectionNumber}) => connectionNumber === fixture.receivedReads[0].connectionNumber).map(({statement}) => statement.kind);
		assert.deepEqual(kinds.slice(0, 3), ['begin', 'read', 'rollback']);
	}
});

// A member runs statements that wait for a slot after later ones that need none; a rollback sent early would let the read run outside its transaction.
test('a read that is not answered is not rolled back before its answer, and another member serves the caller meanwhile', async () => {
	for (const name of ['gateway-1', 'requester'] as const) {
		const {fixture, sessions, session} = await warmFixture(name);
		for (const member of sessions.members) {
			member.point = fixture.primary.point;
		}

		fixture.primary.holdsReplies = true;
		const reply = await sessions.run(session, read, 250);
		assert.match(signatureOrReason(reply), /^signed [bc]$/v);
		assert.deepEqual(fixture.receivedReads.map(({member}) => member === 'a'), [true, false], 'the primary does not get the read twice');
		const [{connectionNumber}] = fixture.receivedReads;
		const kindsOnConnection = (): readonly string[] => fixture.primary.received.filter(received => received.connectionNumber === connectionNumber).map(({statement}) => statement.kind);
		await sessions.advance(1500);
		assert.deepEqual(kindsOnConnection(), ['begin', 'read']);
		fixture.primary.releaseReplies();
		await sessions.advance(5);
		assert.deepEqual(kindsOnConnection(), ['begin', 'read', 'rollback']);
	}
});

// A caller that is told "not run" may rely on it.
test('a read that no member answers has an unknown outcome', async () => {
	for (const name of ['gateway-1', 'requester'] as const) {
		const {sessions, session} = await warmFixture(name);
		for (const member of sessions.members) {
			member.holdsReplies = true;
		}

		assert.equal(signatureOrReason(await sessions.run(session, read)), 'outcomeUnknown');
	}
});

test('a read that the primary did not answer has an unknown outcome also when no primary confirms a position afterwards', async () => {
	for (const name of ['gateway-1', 'requester'] as const) {
		const {fixture, sessions, session} = await warmFixture(name);
		fixture.primary.holdsReplies = true;
		const replies: StatementReply[] = [];
		void session.execute(read).then(reply => replies.push(reply));
		await sessions.advance(10);
		fixture.primary.role = 'replica';
		await sessions.advance(1200);
		assert.deepEqual(replies.map(reply => signatureOrReason(reply)), ['outcomeUnknown']);
	}
});

test('a read that the gateway did not answer has an unknown outcome also when no member can be reached afterwards', async () => {
	const {fixture, sessions, session} = await warmFixture();
	fixture.links.silentAddresses.add('gateway-1:1').add('gateway-2:1');
	// The entry would connect directly as a reserve gateway.
	for (const member of sessions.members) {
		member.refusesConnections = true;
	}

	assert.equal(signatureOrReason(await sessions.run(session, read)), 'outcomeUnknown');
});

test('when the relay is lost after BEGIN, the read is never sent on its connection, and another gateway serves it', async () => {
	const {fixture, sessions, session, since} = await warmFixture();
	fixture.primary.heldKinds = new Set(['begin']);
	fixture.primary.holdsReplies = true;
	const replies: StatementReply[] = [];
	void session.execute(read).then(reply => replies.push(reply));
	await sessions.advance(10);
	assert.deepEqual(fixture.primary.receivedKinds, ['begin']);
	const {address} = fixture.links.requests.slice(since).find(({name}) => name === 'relayStatement')!;
	fixture.links.dropLink(address);
	fixture.primary.releaseReplies();
	await sessions.advance(100);
	assert.deepEqual(replies.map(reply => signatureOrReason(reply)), ['signed a']);
	const [{connectionNumber}] = fixture.primary.received;
	const onLostRelay = fixture.primary.received.filter(received => received.connectionNumber === connectionNumber);
	assert.deepEqual(onLostRelay.map(({statement}) => statement.kind), ['begin', 'rollback']);
	assert.ok(fixture.receivedReads.every(({transaction, statement}) => transaction === 'open' || ('after' in statement && statement.after)));
});

// A gateway of an earlier build ignores the field and would execute the read as a plain one, on a log that may be stale.
test('through a gateway of an earlier build, the position of the primary is confirmed before the read', async () => {
	const fixture = new NearMemberFixture();
	fixture.earlierBuilds.add('gateway-1').add('gateway-2');
	const session = await fixture.sessions.open();
	await fixture.sessions.run(session, write);
	await fixture.sessions.advance(6000);
	for (let index = 0; index < 3; index++) {
		assert.equal(signatureOrReason(await fixture.sessions.run(session, read)), 'signed a');
	}

	assert.equal(fixture.relayedSince(0).some(({isPrimaryRead}) => isPrimaryRead), false);
	assert.equal(fixture.receivedReads.length, 3);
	assert.ok(fixture.receivedReads.every(({statement}) => 'after' in statement && statement.after));
});

test('a read that the primary refuses as busy is served by a replica that is fresh enough', async () => {
	for (const name of ['gateway-1', 'requester'] as const) {
		const {fixture, sessions, session} = await warmFixture(name);
		for (const member of sessions.members) {
			member.point = fixture.primary.point;
		}

		fixture.primary.refusals.push('busy', 'busy');
		assert.match(signatureOrReason(await sessions.run(session, read)), /^signed [bc]$/v);
		await sessions.advance(5);
		assert.equal(fixture.primary.received.filter(({statement}) => statement.kind === 'begin').length, fixture.primary.received.filter(({statement}) => statement.kind === 'rollback').length);
	}
});

// A primary that is overloaded recovers only when reads that replicas can serve stay away.
test('a replica known to be fresh enough serves a read that the primary refused as busy, before the primary is asked again', async () => {
	const {fixture, sessions, session} = await warmFixture();
	const [, replica] = sessions.members;
	replica.point = fixture.primary.point;
	const pool = sessions.proxy.poolOf('ledger', 'b')!;
	pool.logPosition = replica.point;
	pool.logPositionAt = fixture.clock.now();
	fixture.primary.refusals.push('busy');
	assert.equal(signatureOrReason(await sessions.run(session, read)), 'signed b');
	assert.deepEqual(fixture.receivedReads.map(({member}) => member), ['a', 'b']);
});

test('a read whose connection cannot be opened is executed at a position that the primary confirms', async () => {
	const {fixture, sessions, session} = await warmFixture('gateway-1');
	for (const connection of fixture.primary.connections) {
		connection.close();
	}

	fixture.primary.refusesConnections = true;
	fixture.promote(sessions.members[1]);
	assert.equal(signatureOrReason(await sessions.run(session, read)), 'signed b');
});

test('the position in the reply counts as confirmed by the primary, so that a later read within the staleness needs no confirmation', async () => {
	const {fixture, sessions, session} = await warmFixture();
	fixture.primary.point = {term: 1, position: 9};
	await sessions.advance(2000);
	await sessions.run(session, read);
	sessions.configureCustomers(undefined, {consistency: 'readYourWrites', maximumStaleness: 1500});
	await sessions.advance(100);
	const since = fixture.links.requests.length;
	await sessions.run(session, read);
	const last = fixture.receivedReads.at(-1)!.statement;
	assert.deepEqual('after' in last && last.after, {term: 1, position: 9});
	assert.equal(fixture.relayedSince(since).some(({statement}) => statement.kind === 'begin'), false);
});

// After a fail-over that a new primary has confirmed, a late answer of the old one may lack commits.
test('an answer from the log of an earlier term than a confirmed position does not count', async () => {
	const {fixture, sessions, session} = await warmFixture('gateway-1');
	fixture.primary.holdsReplies = true;
	const replies: StatementReply[] = [];
	void session.execute(read).then(reply => replies.push(reply));
	await sessions.advance(10);
	const [, promoted] = sessions.members;
	promoted.role = 'primary';
	promoted.point = {term: 2, position: 5};
	sessions.proxy.applyPrimaryReports([{
		service: 'ledger', primary: 'b', point: promoted.point, age: 0,
	}], fixture.clock.now());
	fixture.primary.releaseReplies();
	await sessions.advance(50);
	assert.deepEqual(replies.map(reply => signatureOrReason(reply)), ['signed b']);
});

// The read would run for a customer whom the key no longer identifies.
test('a read is not sent once the key was revoked while BEGIN was on its way', async () => {
	const {fixture, sessions} = await warmFixture('gateway-1');
	sessions.configureCustomers({shop: ['key']});
	const session = await sessions.open('key');
	fixture.primary.heldKinds = new Set(['begin']);
	fixture.primary.holdsReplies = true;
	const replies: StatementReply[] = [];
	void session.execute(read).then(reply => replies.push(reply));
	await sessions.advance(20);
	sessions.configureCustomers({shop: ['other']});
	fixture.primary.releaseReplies();
	await sessions.advance(50);
	assert.deepEqual(replies.map(reply => signatureOrReason(reply)), ['notAuthorized']);
	assert.deepEqual(fixture.receivedReads, []);
	assert.equal(fixture.primary.receivedKinds.at(-1), 'rollback');
});

test('a gateway executes neither a write as a primary read nor a statement of a transaction that is not open', async () => {
	const fixture = new NearMemberFixture();
	assert.deepEqual(await fixture.links.request('gateway-1:1', 'openRelay', {relay: 900, service: 'ledger', member: 'a'}, 300), {supportsPrimaryReads: true, usesSentNames: true});
	const send = async (sequence: number, request: object): Promise<string> => {
		const body = {
			relay: 900, sequence, timeout: 500, ...request,
		};
		const response = await fixture.links.request('gateway-1:1', 'relayStatement', body, 500) as RelayStatementResponse;
		return response.kind;
	};

	const prepare = {kind: 'prepare', name: 'write:WRITE ?', shape: {access: 'write', shape: 'WRITE ?'}};
	const execute = {
		kind: 'execute', id: 'e', name: 'write:WRITE ?', parameters: '1',
	};
	assert.equal(await send(0, {statement: prepare}), 'answered');
	assert.equal(await send(1, {statement: write, isPrimaryRead: true}), 'notRun');
	assert.equal(await send(2, {statement: execute, isPrimaryRead: true}), 'notRun');
	assert.equal(await send(3, {statement: write, isInTransaction: true}), 'notRun');
	assert.equal(await send(4, {statement: read, isInTransaction: true}), 'notRun');
	assert.deepEqual(fixture.primary.receivedKinds, []);
});
