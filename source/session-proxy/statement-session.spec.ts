import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sessionVariableLimit} from '../statement/statement-limits.js';
import {type SessionStatement, type StatementReply} from '../statement/types.js';
import {SessionFixture} from './session-fixture.js';
import {type StatementSession} from './statement-session.js';

const begin: SessionStatement = {kind: 'begin', id: 'b', isReadOnly: false};
const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};
const commit: SessionStatement = {kind: 'commit', id: 'c'};

function reasonOrOutcome(reply: StatementReply): string {
	return reply.outcome === 'refused' ? reply.reason : reply.outcome;
}

test('a write is sent to the primary, and the reply carries its signature', async () => {
	const fixture = new SessionFixture();
	const reply = await fixture.run(await fixture.open(), write);
	assert.deepEqual(reply.outcome === 'done' && reply.signature, 'signed a');
});

test('a write without a reply is not retried, and its outcome is reported as unknown', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	fixture.primary.holdsReplies = true;
	const reply = await fixture.run(session, write);
	assert.equal(reasonOrOutcome(reply), 'outcomeUnknown');
	assert.equal(fixture.received('write').length, 1);
});

test('a write that is refused as busy is retried before its deadline', async () => {
	const fixture = new SessionFixture();
	fixture.primary.refusals.push('busy', 'busy');
	const reply = await fixture.run(await fixture.open(), write);
	assert.equal(reply.outcome, 'done');
	assert.equal(fixture.received('write').length, 3);
});

test('a write is sent to the new primary after a promotion', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	fixture.primary.role = 'replica';
	fixture.members[1].role = 'primary';
	fixture.members[1].point = {term: 2, position: 2};
	const reply = await fixture.run(session, write);
	assert.deepEqual(reply.outcome === 'done' && reply.signature, 'signed b');
});

test('without a primary, a write is refused before its deadline as not run, with the time to retry', async () => {
	const fixture = new SessionFixture();
	fixture.primary.role = 'replica';
	const reply = await fixture.run(await fixture.open(), write);
	assert.equal(reasonOrOutcome(reply), 'busy');
	assert.match(reply.outcome === 'refused' ? reply.detail : '', /come back in \d+ ms/v);
	assert.equal(fixture.received('write').length, 0);
});

test('a session reads its own write while the replicas lag behind', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	const reply = await fixture.run(session, read);
	assert.deepEqual(reply.outcome === 'done' && reply.signature, 'signed a');
	for (const {statement} of fixture.members.flatMap(member => member.received)) {
		assert.ok(statement.kind !== 'read' || statement.after?.position === 2);
	}
});

test('a read on a route with primary consistency requires the log position that the primary has after the read arrived', async () => {
	const fixture = new SessionFixture('primary');
	const session = await fixture.open();
	await fixture.run(session, read);
	await fixture.advance(10);
	fixture.primary.point = {term: 1, position: 9};
	await fixture.run(session, read);
	const reads = fixture.members.flatMap(member => member.received).flatMap(({statement}) => statement.kind === 'read' ? [statement.after?.position] : []);
	assert.equal(reads.at(-1), 9);
});

// Closing the connection would let a queued statement run outside its transaction, and so would a rollback sent before it ran.
test('nothing is sent after a statement of a transaction that was not answered in time', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.primary.holdsReplies = true;
	const reply = await fixture.run(session, read);
	assert.equal(reasonOrOutcome(reply), 'aborted');
	assert.equal(fixture.primary.receivedKinds.at(-1), 'read', 'the rollback waits for the reply');
	assert.ok(fixture.primary.connections.every(connection => !connection.isClosed), 'a closed connection would let the statement run outside its transaction');
	fixture.primary.releaseReplies();
	await fixture.advance(10);
	assert.equal(fixture.primary.receivedKinds.at(-1), 'rollback');
});

test('a statement that was refused as busy is not retried after the session was closed', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.primary.refusals.push('busy');
	const answer = session.execute(read);
	await fixture.advance(5);
	session.close();
	await fixture.advance(100);
	await answer;
	assert.ok(fixture.received('read').every(({transaction}) => transaction === 'open'), 'it would run outside the transaction');
});

test('a commit without a reply has an unknown outcome after a write, and counts as aborted otherwise', async () => {
	for (const [statement, expected] of [[write, 'outcomeUnknown'], [read, 'aborted']] as const) {
		const fixture = new SessionFixture();
		const session = await fixture.open();
		await fixture.run(session, begin);
		await fixture.run(session, statement);
		fixture.primary.holdsReplies = true;
		assert.equal(reasonOrOutcome(await fixture.run(session, commit)), expected);
	}
});

test('a transaction that exceeds the idle limit is rolled back, and its next statement is refused as aborted', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	await fixture.advance(3100);
	assert.equal(fixture.primary.receivedKinds.at(-1), 'rollback');
	const reply = await fixture.run(session, read);
	assert.equal(reasonOrOutcome(reply), 'aborted');
	assert.equal(reply.transaction, 'failed');
});

test('a read without a reply is also sent to another member', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, read);
	const first = fixture.members.find(member => member.receivedKinds.includes('read'))!;
	first.holdsReplies = true;
	const reply = await fixture.run(session, read, 400);
	assert.equal(reply.outcome, 'done');
});

test('a pooled connection is reset before it is used for a session with other variables', async () => {
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

// Each statement closed a connection for every attempt until its deadline.
for (const [reason, expected, maximumOpened] of [['malformed', 'malformed', 0], ['failed', 'aborted', 3]] as const) {
	test(`a session whose variables members refuse as ${reason} gets its answer at once and costs few connections`, async () => {
		for (const statement of [read, write]) {
			const fixture = new SessionFixture();
			const session = await fixture.open();
			await fixture.run(session, read);
			await fixture.run(session, write);
			const countConnections = (): number => fixture.members.flatMap(({connections}) => connections).length;
			for (const member of fixture.members) {
				member.setupRefusal = reason;
			}

			await fixture.run(session, {
				kind: 'set', id: 's', name: 'x', value: '',
			});
			const openedBefore = countConnections();
			assert.equal(reasonOrOutcome(await fixture.run(session, statement, 100)), expected);
			await fixture.run(session, {kind: 'begin', id: 'b', isReadOnly: false});
			assert.equal(reasonOrOutcome(await fixture.run(session, statement, 100)), expected);
			await fixture.run(session, {kind: 'rollback', id: 'r'});
			// The connections to members that have none are not counted.
			const opened = countConnections() - Math.max(openedBefore, fixture.members.length);
			assert.ok(opened <= 2 * maximumOpened, `${opened} connections were opened`);
			assert.equal(fixture.received('write').length, 1);
		}
	});
}

/** Values of the session variable, and whether the name was known, with which the primary ran each write if each refused SET, PREPARE and RESET has run. */
function listWriteSettings({primary}: SessionFixture): readonly string[] {
	const values = new Map<number, string>();
	const names = new Map<number, Set<string>>();
	return primary.received.flatMap(({connectionNumber, statement}) => {
		const known = names.get(connectionNumber) ?? new Set();
		names.set(connectionNumber, known);
		if (statement.kind === 'set') {
			values.set(connectionNumber, statement.value);
		}

		if (statement.kind === 'prepare') {
			known.add(statement.name);
		}

		if (statement.kind === 'reset') {
			values.delete(connectionNumber);
			known.clear();
		}

		const value = String(values.get(connectionNumber));
		return statement.kind === 'write' ? [value] : (statement.kind === 'execute' ? [known.has(statement.name) ? value : 'unknown name'] : []);
	});
}

// A refusal as failed or timed out does not say that the variable was not set.
for (const reason of ['failed', 'timeout'] as const) {
	for (const isInTransaction of [false, true]) {
		test(`a SET refused as ${reason}${isInTransaction ? ' in a transaction' : ''} leaves no value for another session`, async () => {
			const fixture = new SessionFixture();
			const set = async (session: StatementSession, value: string): Promise<StatementReply> => fixture.run(session, {
				kind: 'set', id: 's', name: 'x', value,
			});
			const first = await fixture.open();
			await set(first, '1');
			await fixture.run(first, write);
			const second = await fixture.open();
			if (isInTransaction) {
				await set(second, '1');
				await fixture.run(second, {kind: 'begin', id: 'b', isReadOnly: false});
				await fixture.run(second, write);
			}

			fixture.primary.setupRefusal = reason;
			await set(second, '2');
			assert.equal(reasonOrOutcome(await fixture.run(second, write)), 'aborted');
			fixture.primary.setupRefusal = undefined;
			await fixture.run(first, write);
			assert.deepEqual(new Set(listWriteSettings(fixture)), new Set(['1']));
		});
	}
}

test('a RESET refused as failed leaves neither a name nor a value behind', async () => {
	const fixture = new SessionFixture();
	const first = await fixture.open();
	const execute = async (): Promise<StatementReply> => fixture.run(first, {
		kind: 'execute', id: 'e', name: 'mine', parameters: '1 x',
	});
	await fixture.run(first, {
		kind: 'set', id: 's', name: 'x', value: '1',
	});
	await fixture.run(first, {
		kind: 'prepare', id: 'p', name: 'mine', shape: {access: 'write', shape: 'q2'},
	});
	await execute();
	fixture.primary.refusedKinds.add('reset');
	await fixture.run(await fixture.open(), write);
	fixture.primary.refusedKinds.clear();
	await execute();
	assert.deepEqual(listWriteSettings(fixture), ['1', 'undefined', '1']);
});

test('a read that may have run is not answered by a later refusal of the session\'s variables', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, read);
	await fixture.run(session, {
		kind: 'set', id: 's', name: 'x', value: '1',
	});
	const [first, second, third] = fixture.members;
	second.refusals.push(...Array.from({length: 50}, () => 'timeout' as const));
	first.setupRefusal = 'malformed';
	third.setupRefusal = 'malformed';
	const reply = await fixture.run(session, read);
	assert.equal(fixture.received('read').length > 1, true);
	assert.equal(reasonOrOutcome(reply), 'timeout');
});

test('a statement whose name a member does not know is prepared anew', async () => {
	const fixture = new SessionFixture('primary');
	const session = await fixture.open();
	await fixture.run(session, {
		kind: 'prepare', id: 'p', name: 'mine', shape: {access: 'write', shape: 'q2'},
	});
	const execute = async (): Promise<StatementReply> => fixture.run(session, {
		kind: 'execute', id: 'e', name: 'mine', parameters: '1 x',
	});
	await execute();
	fixture.primary.refusals.push('unknownStatement');
	assert.equal(reasonOrOutcome(await execute()), 'done');
	assert.equal(fixture.received('prepare').length, 2);
});

// All variables of a session are set anew on each connection that it uses.
test('a session with too many or too long variables gets a refusal and keeps those that it has', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	const set = async (name: string, value: string): Promise<string> => reasonOrOutcome(await fixture.run(session, {
		kind: 'set', id: 's', name, value,
	}));
	for (let index = 0; index < sessionVariableLimit.count; index++) {
		assert.equal(await set(`name${index}`, 'x'), 'done');
	}

	assert.equal(await set('other', 'x'), 'tooLarge');
	assert.equal(await set('name0', 'x'.repeat(sessionVariableLimit.length)), 'tooLarge');
	assert.equal(await set('name0', 'y'), 'done');
	await fixture.run(session, write);
	const values = fixture.primary.received.flatMap(({statement}) => statement.kind === 'set' ? [`${statement.name}=${statement.value}`] : []);
	assert.equal(values.length, sessionVariableLimit.count);
	assert.ok(values.includes('name0=y'));
});

test('a prepared statement is executed under its name on the pooled connection', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, {
		kind: 'prepare', id: 'p', name: 'mine', shape: {access: 'write', shape: 'q2'},
	});
	await fixture.run(session, {
		kind: 'execute', id: 'e', name: 'mine', parameters: '1 x',
	});
	const [prepared, executed] = fixture.primary.received.slice(-2).map(({statement}) => statement);
	assert.deepEqual(prepared, {kind: 'prepare', name: 's1', shape: {access: 'write', shape: 'q2'}});
	assert.deepEqual(executed?.kind === 'execute' && [executed.name, executed.parameters, executed.id], ['s1', '1 x', 'e']);
	const reply = await fixture.run(session, {
		kind: 'execute', id: 'e', name: 's2', parameters: '',
	});
	assert.equal(reasonOrOutcome(reply), 'unknownStatement');
});

test('a member that refuses a connection because of its limit is not reported as failing', async () => {
	const fixture = new SessionFixture();
	fixture.primary.refusesConnections = true;
	await fixture.run(await fixture.open(), write);
	assert.equal(fixture.proxy.memberReachability().find(reachability => reachability.id === 'a')?.failingFor, 0);
});

test('a member that does not answer is reported as failing until it answers again', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	fixture.proxy.start();
	await fixture.run(session, write);
	fixture.primary.isUnresponsive = true;
	await fixture.run(session, write);
	await fixture.advance(100);
	assert.ok((fixture.proxy.memberReachability().find(reachability => reachability.id === 'a')?.failingFor ?? 0) > 0);
	fixture.primary.isUnresponsive = false;
	await fixture.advance(1500);
	assert.equal(fixture.proxy.memberReachability().find(reachability => reachability.id === 'a')?.failingFor, 0);
	fixture.proxy.stop();
});

// The session may have changed its variables after the first reply, and a read sent later would run with the new values.
test('a hedged read that was answered by one member is not sent to another one later', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	await fixture.advance(2000);
	const connectReleases: Array<() => void> = [];
	for (const member of fixture.members) {
		member.point = fixture.primary.point;
		member.holdsReplies = true;
	}

	const reply = session.execute(read);
	await fixture.advance(50);
	const first = fixture.members.find(({receivedKinds}) => receivedKinds.includes('read'))!;
	const others = fixture.members.filter(member => member !== first);
	for (const member of others) {
		member.holdsReplies = false;
		member.connectBarrier = new Promise(resolve => {
			connectReleases.push(resolve);
		});
		for (const connection of member.connections) {
			connection.close();
		}
	}

	await fixture.advance(300);
	first.releaseReplies();
	await fixture.advance(20);
	const answer = await reply;
	assert.equal(answer.outcome, 'done');
	await fixture.run(session, {
		kind: 'set', id: 's', name: 'zone', value: 'north',
	});
	for (const releaseConnect of connectReleases) {
		releaseConnect();
	}

	await fixture.advance(200);
	assert.deepEqual(fixture.received('read').map(({member}) => member), [first.server.id]);
});

// The members may still run the read, so "not run" would be false.
test('a read that was sent and not answered is reported with an unknown outcome', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	for (const member of fixture.members) {
		member.point = fixture.primary.point;
		member.holdsReplies = true;
	}

	const reply = await fixture.run(session, read);
	assert.ok(fixture.received('read').length > 0);
	assert.equal(reasonOrOutcome(reply), 'outcomeUnknown');
	assert.equal(reply.transaction, 'idle');
});

// A later refusal says nothing about the attempt before it.
test('a read keeps an unknown outcome when every other member refuses it later', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	for (const member of fixture.members) {
		member.point = fixture.primary.point;
		member.holdsReplies = true;
	}

	const reply = session.execute(read);
	await fixture.advance(20);
	const first = fixture.members.find(({receivedKinds}) => receivedKinds.includes('read'))!;
	for (const member of fixture.members.filter(other => other !== first)) {
		member.holdsReplies = false;
		member.refusals.push(...Array.from({length: 200}, () => 'busy' as const));
	}

	await fixture.advance(1000);
	assert.equal(reasonOrOutcome(await reply), 'outcomeUnknown');
});

// The failure is what is known of the read; a refusal of another member does not undo it.
test('a read that one member ran and failed is answered with that failure when the other members refuse it', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	for (const member of fixture.members) {
		member.point = fixture.primary.point;
		member.refusals.push(...Array.from({length: 200}, () => 'busy' as const));
	}

	fixture.members[1].refusals[0] = 'timeout';
	const reply = await fixture.run(session, read);
	assert.equal(reasonOrOutcome(reply), 'timeout');
});

test('a read that every member refused is answered as not run', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	for (const member of fixture.members) {
		member.point = fixture.primary.point;
		member.refusals.push(...Array.from({length: 200}, () => 'busy' as const));
	}

	const reply = await fixture.run(session, read);
	assert.match(reply.outcome === 'refused' ? reply.detail : '', /^not run, come back in \d+ ms: /v);
});

function retryAfterOf(reply: StatementReply): number {
	return Number(/come back in (?<time>\d+) ms/v.exec(reply.outcome === 'refused' ? reply.detail : '')?.groups?.time);
}

// A time that is the same for all causes brings clients back in the middle of a promotion, all at once.
test('the time to retry follows the cause and differs between callers', async () => {
	const times: number[] = [];
	for (let caller = 0; caller < 8; caller++) {
		const fixture = new SessionFixture();
		fixture.primary.role = 'replica';
		times.push(retryAfterOf(await fixture.run(await fixture.open(), write)));
	}

	// The primary has been missing for about 720 ms of the 1,100 ms that a promotion takes.
	assert.ok(times.every(time => time >= 250 && time <= 500), times.join(' '));
	assert.ok(new Set(times).size > 1);
});
