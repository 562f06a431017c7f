import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SessionStatement, type StatementReply} from '../statement/types.js';
import {type StatementSession} from '../session-proxy/statement-session.js';
import {type RelayStatementRequest, type RelayStatementResponse} from './messages.js';
import {NearMemberFixture} from './near-member-fixture.js';

const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};
const commit: SessionStatement = {kind: 'commit', id: 'c'};

const signatureOrReason = (reply: StatementReply): string => reply.outcome === 'done' ? reply.signature : reply.reason;

/** Sessions at an entry that knows the primary and has used its relays, with a transaction begun in one of them. */
class TransactionFixture extends NearMemberFixture {
	session!: StatementSession;
	readonly replies: StatementReply[] = [];
	#since = 0;

	/** Statements relayed since the transaction was begun. */
	get relayed(): readonly RelayStatementRequest[] {
		return this.relayedSince(this.#since);
	}

	/** Kinds of the statements that a member received on the connection of its first one. */
	kindsOnFirstConnection(member = this.primary): readonly string[] {
		return member.received.filter(({connectionNumber}) => connectionNumber === member.received[0].connectionNumber).map(({statement}) => statement.kind);
	}

	async begin(isReadOnly = false): Promise<void> {
		const {sessions} = this;
		this.session = await sessions.open();
		await sessions.run(this.session, {...write, id: 'warm'});
		await sessions.advance(50);
		this.#since = this.links.requests.length;
		for (const {received} of sessions.members) {
			received.splice(0);
		}

		await sessions.run(this.session, {kind: 'begin', id: 'b', isReadOnly});
	}

	/** Sends a statement without waiting for its reply. */
	async send(statement: SessionStatement): Promise<void> {
		void this.session.execute(statement).then(reply => this.replies.push(reply));
		await this.sessions.advance(10);
	}

	/** Outcomes of the statements that `send` has sent. */
	get outcomes(): readonly string[] {
		return this.replies.map(reply => signatureOrReason(reply));
	}
}

async function begunTransaction(isReadOnly = false): Promise<TransactionFixture> {
	const fixture = new TransactionFixture();
	await fixture.begin(isReadOnly);
	return fixture;
}

// The begin took a round trip between regions of its own.
test('begin and the first statement are sent together, and the gateway sends the statement once the begin was answered', async () => {
	const fixture = await begunTransaction();
	fixture.primary.heldKinds = new Set(['begin']);
	fixture.primary.holdsReplies = true;
	await fixture.send(write);
	assert.deepEqual(fixture.relayed.map(({statement, isInTransaction}) => [statement.kind, isInTransaction]), [['begin', undefined], ['write', true]]);
	assert.deepEqual(fixture.primary.receivedKinds, ['begin']);
	fixture.primary.releaseReplies();
	await fixture.sessions.advance(10);
	assert.deepEqual(fixture.replies.map(reply => [signatureOrReason(reply), reply.transaction]), [['signed a', 'open']]);
	await fixture.send(read);
	await fixture.send(commit);
	assert.deepEqual(fixture.outcomes, ['signed a', 'signed a', 'signed a']);
	assert.deepEqual(fixture.primary.received.map(({statement, transaction}) => [statement.kind, transaction]), [['begin', 'idle'], ['write', 'open'], ['read', 'open'], ['commit', 'open']]);
	assert.deepEqual(fixture.relayed.slice(1).map(({isInTransaction}) => isInTransaction), [true, true, true]);
	assert.equal(new Set(fixture.primary.received.map(({connectionNumber}) => connectionNumber)).size, 1);
});

test('a read-only transaction is begun together with its first statement', async () => {
	const fixture = await begunTransaction(true);
	await fixture.send(read);
	assert.equal(fixture.replies[0].transaction, 'open');
	assert.deepEqual(fixture.relayed.slice(-2).map(({statement, isInTransaction}) => [statement.kind, isInTransaction]), [['begin', undefined], ['read', true]]);
});

// Outside a transaction the statement would be committed at once.
test('a first statement that follows a refused begin never reaches the member, and the transaction is opened on the new primary', async () => {
	const fixture = await begunTransaction();
	const [old, promoted] = fixture.sessions.members;
	fixture.promote(promoted);
	await fixture.send(write);
	await fixture.sessions.advance(50);
	assert.deepEqual(fixture.outcomes, ['signed b']);
	assert.deepEqual(old.receivedKinds.filter(kind => kind === 'write'), []);
	assert.equal(fixture.relayed.filter(({statement}) => statement.kind === 'write').length, 2);
	await fixture.send(commit);
	const changes = promoted.received.filter(({statement}) => statement.kind === 'write' || statement.kind === 'commit');
	assert.deepEqual(changes.map(({statement, transaction}) => [statement.kind, transaction]), [['write', 'open'], ['commit', 'open']]);
});

test('a relay on which the begin was refused is used again', async () => {
	const fixture = await begunTransaction();
	fixture.primary.refusedKinds.add('begin');
	await fixture.send(write);
	fixture.primary.refusedKinds.clear();
	await fixture.sessions.advance(100);
	assert.deepEqual(fixture.outcomes, ['signed a']);
	assert.equal(new Set(fixture.relayed.map(({relay}) => relay)).size, 1);
	assert.deepEqual(fixture.primary.received.map(({statement}) => statement.kind).filter(kind => kind === 'write'), ['write']);
});

// A write that is sent again after an unknown outcome may run twice.
test('a first write whose begin was not answered is not sent again, and the transaction is aborted', async () => {
	const fixture = await begunTransaction();
	fixture.links.silentAddresses.add('gateway-1:1').add('gateway-2:1');
	await fixture.send(write);
	await fixture.sessions.advance(1000);
	assert.deepEqual(fixture.outcomes, ['aborted']);
	assert.equal(fixture.relayed.filter(({statement}) => statement.kind === 'write').length, 1);
});

test('a first read whose begin was not answered is executed in a transaction through another gateway', async () => {
	const fixture = await begunTransaction();
	const [{address}] = fixture.links.requests.filter(({name}) => name === 'relayStatement').slice(-1);
	fixture.links.silentAddresses.add(address);
	await fixture.send(read);
	await fixture.sessions.advance(500);
	assert.deepEqual(fixture.outcomes, ['signed a']);
	assert.equal(fixture.receivedReads.length, 1);
	assert.equal(fixture.receivedReads[0].transaction, 'open');
});

// "not run" would be false if the read did run in the lost transaction.
test('a first read whose begin was not answered by any gateway is refused as aborted', async () => {
	const fixture = await begunTransaction();
	fixture.links.silentAddresses.add('gateway-1:1').add('gateway-2:1');
	for (const member of fixture.sessions.members) {
		member.refusesConnections = true;
	}

	await fixture.send(read);
	await fixture.sessions.advance(1500);
	assert.deepEqual(fixture.outcomes, ['aborted']);
});

test('when the relay is lost after the begin, the first statement is not sent to the member', async () => {
	const fixture = await begunTransaction();
	fixture.primary.heldKinds = new Set(['begin']);
	fixture.primary.holdsReplies = true;
	await fixture.send(write);
	const {address} = fixture.links.requests.at(-1)!;
	fixture.links.dropLink(address);
	const lostConnection = fixture.primary.received[0].connectionNumber;
	fixture.primary.releaseReplies();
	await fixture.sessions.advance(50);
	assert.deepEqual(fixture.primary.received.filter(({connectionNumber}) => connectionNumber === lostConnection).map(({statement}) => statement.kind), ['begin', 'rollback']);
	assert.ok(fixture.primary.received.every(({statement, transaction}) => statement.kind !== 'write' || transaction === 'open'));
	assert.ok(fixture.primary.received.filter(({statement}) => statement.kind === 'write').length <= 1);
});

test('with a gateway of an earlier build, the begin is answered before the first statement is sent', async () => {
	const fixture = new TransactionFixture();
	fixture.earlierBuilds.add('gateway-1').add('gateway-2');
	await fixture.begin();
	fixture.primary.heldKinds = new Set(['begin']);
	fixture.primary.holdsReplies = true;
	await fixture.send(write);
	assert.deepEqual(fixture.relayed.map(({statement}) => statement.kind), ['begin']);
	fixture.primary.releaseReplies();
	await fixture.sessions.advance(10);
	await fixture.send(commit);
	assert.deepEqual(fixture.outcomes, ['signed a', 'signed a']);
	assert.equal(fixture.relayed.some(({isInTransaction}) => isInTransaction), false);
});

// A begin or a statement that outlived its caller would leave a transaction open, and the next session would run inside it.
test('a transaction whose caller leaves while its begin is on its way is rolled back after the first statement was answered', async () => {
	const fixture = await begunTransaction();
	fixture.primary.heldKinds = new Set(['begin', 'write']);
	fixture.primary.holdsReplies = true;
	await fixture.send(write);
	fixture.session.close();
	fixture.primary.releaseReplies();
	await fixture.sessions.advance(50);
	assert.deepEqual(fixture.kindsOnFirstConnection(), ['begin', 'write', 'rollback']);
	const other = await fixture.sessions.open();
	assert.equal(signatureOrReason(await fixture.sessions.run(other, write)), 'signed a');
	assert.equal(fixture.primary.received.findLast(({statement}) => statement.kind === 'write')?.transaction, 'idle');
});

test('a first statement that the member refuses as busy is sent again in the same transaction', async () => {
	const fixture = await begunTransaction();
	fixture.primary.refusals.push('busy');
	await fixture.send(write);
	await fixture.sessions.advance(50);
	assert.deepEqual(fixture.outcomes, ['signed a']);
	assert.deepEqual(fixture.primary.receivedKinds, ['begin', 'write', 'write']);
	assert.ok(fixture.relayed.slice(1).every(({isInTransaction}) => isInTransaction));
});

// A caller that sends the next statement of a lost transaction must not have it run on its own.
test('a later statement of a transaction that the gateway has lost is not run', async () => {
	const fixture = await begunTransaction();
	await fixture.send(write);
	for (const connection of fixture.primary.connections) {
		connection.close();
	}

	await fixture.send({...write, id: 'second'});
	await fixture.send({...write, id: 'third'});
	await fixture.send(commit);
	assert.equal(fixture.outcomes[0], 'signed a');
	assert.equal(fixture.replies[1].transaction, 'failed');
	assert.deepEqual(fixture.outcomes.slice(2), ['malformed', 'aborted']);
	assert.deepEqual(fixture.primary.received.flatMap(({statement}) => 'id' in statement ? [statement.id] : []), ['w']);
});

test('a draining gateway lets a transaction go on whose begin still waits for a connection', async () => {
	const fixture = await begunTransaction();
	const pool = fixture.gatewayPools.get('gateway-1 a')!;
	const held = await Promise.all(Array.from({length: 4}, async () => pool.acquire(500, 1)));
	await fixture.links.request('gateway-1:1', 'openRelay', {relay: 900, service: 'ledger', member: 'a'}, 300);
	const send = async (sequence: number, request: object): Promise<unknown> => fixture.links.request('gateway-1:1', 'relayStatement', {
		relay: 900, sequence, timeout: 500, ...request,
	}, 500);
	const begun = send(0, {statement: {kind: 'begin', isReadOnly: false}});
	fixture.relayServers.get('gateway-1')!.drain();
	const written = send(1, {statement: write, isInTransaction: true});
	await fixture.sessions.advance(10);
	assert.deepEqual(fixture.primary.receivedKinds, []);
	pool.release(held[0]);
	const responses = await Promise.all([begun, written]);
	assert.deepEqual(responses.map(response => (response as RelayStatementResponse).kind), ['answered', 'answered']);
	assert.deepEqual(fixture.primary.received.map(({statement, transaction}) => [statement.kind, transaction]), [['begin', 'idle'], ['write', 'open']]);
});
