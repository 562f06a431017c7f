import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SessionStatement, type StatementReply} from '../statement/types.js';
import {type ExplainedRequest} from './explained-request.js';
import {SessionFixture} from './session-fixture.js';
import {type StatementSession} from './statement-session.js';

const begin: SessionStatement = {kind: 'begin', id: 'b', isReadOnly: false};
const read: SessionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};
const commit: SessionStatement = {kind: 'commit', id: 'c'};
const rollback: SessionStatement = {kind: 'rollback', id: 'k'};

/** Returns the only line that was logged. */
function onlyLine({log}: SessionFixture): ExplainedRequest {
	assert.equal(log.explained.length, 1, JSON.stringify(log.explained));
	return log.explained[0];
}

/** Runs a statement whose replies the primary holds for the duration in milliseconds. */
async function runHeld(fixture: SessionFixture, session: StatementSession, statement: SessionStatement, duration: number): Promise<StatementReply> {
	fixture.primary.holdsReplies = true;
	const replies = fixture.run(session, statement);
	fixture.clock.schedule(duration, () => {
		fixture.primary.releaseReplies();
	});
	return replies;
}

// The lines of normal requests would displace those that explain a failure.
test('statements and transactions that are answered in time by their first attempt are not explained', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	for (const statement of [write, read, begin, write, read, commit, begin, rollback, begin]) {
		await fixture.run(session, statement);
	}

	session.close();
	assert.deepEqual(fixture.log.explained, []);
});

test('a late statement is explained by one line with its route, its target and the time at the member', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, write);
	await runHeld(fixture, session, {...write, id: 'late'}, 500);
	const line = onlyLine(fixture);
	assert.deepEqual([line.request, line.kind, line.explained, line.outcome, line.route, line.target], ['late', 'statement', 'late', 'done', 'route', 400]);
	const [{member, connectionWait, memberTime, result}] = line.attempts;
	assert.deepEqual([line.attempts.length, member, connectionWait, memberTime, result], [1, 'a', 0, 500, 'done']);
	assert.match(line.cause, /waited for the answer of a$/v);
});

// The time at the member and the wait for a connection have different remedies.
test('the wait for a connection is stated apart from the time at the member', async () => {
	const fixture = new SessionFixture();
	fixture.maximumConnections = 1;
	const [holder, session] = [await fixture.open(), await fixture.open()];
	await fixture.run(holder, begin);
	await fixture.run(holder, write);
	fixture.clock.schedule(450, () => {
		void holder.execute(commit);
	});
	await fixture.run(session, {...write, id: 'waiting'});
	const line = fixture.log.explained.find(({request}) => request === 'waiting');
	assert.equal(line?.explained, 'late');
	assert.ok(line.attempts[0].connectionWait >= 445, JSON.stringify(line));
	assert.match(line.cause, /waited for a connection to a$/v);
});

test('a refused statement is explained with its attempts, of which at most 8 are listed', async () => {
	const fixture = new SessionFixture();
	fixture.primary.refusals.push(...Array.from({length: 100}, () => 'busy' as const));
	const reply = await fixture.run(await fixture.open(), write);
	assert.equal(reply.outcome, 'refused');
	const line = onlyLine(fixture);
	assert.deepEqual([line.explained, line.refusal], ['refused', 'busy']);
	assert.equal(line.attempts.length, 8);
	assert.ok(line.omitted && line.omitted.count > 20);
	assert.match(line.cause, /attempts were made: the first on a ended with "notRun busy/v);
});

test('a statement that needed a second attempt is explained although it was in time', async () => {
	const fixture = new SessionFixture();
	fixture.primary.refusals.push('busy');
	await fixture.run(await fixture.open(), write);
	const line = onlyLine(fixture);
	assert.equal(line.explained, 'repeated');
	assert.deepEqual(line.attempts.map(({member, result}) => [member, result.split(' ').slice(0, 2).join(' ')]), [['a', 'notRun busy'], ['a', 'done']]);
});

test('a write without an answer is explained as of unknown outcome', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	fixture.primary.holdsReplies = true;
	await fixture.run(session, write);
	const line = onlyLine(fixture);
	assert.equal(line.refusal, 'outcomeUnknown');
	assert.match(line.cause, /unknown whether the statement ran, since a gave no answer/v);
});

test('without a primary, the cause says so', async () => {
	const fixture = new SessionFixture('primary');
	fixture.primary.role = 'replica';
	await fixture.run(await fixture.open(), read);
	assert.match(onlyLine(fixture).cause, /without an attempt: no primary confirmed its log position in time$/v);
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	assert.match(fixture.log.explained.at(-1)!.cause, /without an attempt: .*noPrimary|without an attempt: .*no primary/v);
});

// A line for each statement of a transaction would not show which of them took the time, and the target covers all of them.
test('a transaction is explained by one line at its end, with the ids of its statements and without the time of its caller at the member', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	await fixture.advance(1000);
	assert.deepEqual(fixture.log.explained, []);
	await fixture.run(session, commit);
	const line = onlyLine(fixture);
	assert.deepEqual([line.request, line.kind, line.explained, line.outcome], ['b', 'transaction', 'late', 'done']);
	assert.deepEqual(line.statements, ['w', 'c']);
	assert.ok(line.callerTime >= 1000 && line.attempts[0].memberTime! <= 10, JSON.stringify(line));
	assert.match(line.cause, /the caller left the transaction idle$/v);
	assert.equal(line.attempts[0].result, 'done');
});

test('a statement that is sent again within a transaction because the member was busy is counted', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.primary.refusals.push('busy', 'busy');
	await fixture.run(session, read);
	await fixture.run(session, commit);
	const line = onlyLine(fixture);
	assert.equal(line.attempts.length, 1);
	assert.equal(line.attempts[0].busyRetries, 2);
});

test('a transaction that fails is explained when its statement is refused, and not again when its caller rolls it back', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.primary.holdsReplies = true;
	await fixture.run(session, read);
	await fixture.run(session, rollback);
	const line = onlyLine(fixture);
	assert.deepEqual([line.request, line.refusal, line.statements], ['b', 'aborted', ['w', 'r']]);
	assert.match(line.cause, /^the attempt on a ended with "refused aborted .*no answer within/v);
});

test('a transaction that is aborted while it is idle is explained at that time', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	await fixture.advance(3100);
	const line = onlyLine(fixture);
	assert.deepEqual([line.refusal, line.outcome], ['aborted', 'aborted after 3000 ms without a statement']);
	assert.match(line.cause, /the caller left the transaction idle/v);
});

// The line would state that nothing was kept, while the caller is told that the commit succeeded.
test('a commit that was sent before its transaction was aborted is explained with its true outcome', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.clock.schedule(100, () => {
		session.abort();
	});
	const reply = await runHeld(fixture, session, commit, 500);
	assert.equal(reply.outcome, 'done');
	assert.equal(onlyLine(fixture).outcome, 'done');
});

test('an operation beyond the limit of its customer is explained with the name of the customer', async () => {
	const fixture = new SessionFixture();
	fixture.configureCustomers({shop: ['secret-key']});
	fixture.admissions.push({admitted: false, retryAfter: 700});
	await fixture.run(await fixture.open('secret-key'), write);
	const line = onlyLine(fixture);
	assert.deepEqual([line.customer, line.refusal, line.attempts], ['shop', 'busy', []]);
	assert.match(line.cause, /the limit of the customer is reached/v);
	assert.doesNotMatch(JSON.stringify(line), /secret-key/v);
});

test('a statement of a caller whose key was taken away is explained without the key', async () => {
	const fixture = new SessionFixture();
	fixture.configureCustomers({shop: ['secret-key']});
	const session = await fixture.open('secret-key');
	await fixture.run(session, begin);
	await fixture.run(session, write);
	fixture.configureCustomers({shop: ['other-key']});
	await fixture.run(session, {...write, id: 'after'});
	assert.deepEqual(fixture.log.explained.map(({request, refusal}) => [request, refusal]), [['b', 'aborted'], ['after', 'notAuthorized']]);
	assert.match(fixture.log.explained[0].outcome, /^aborted since the key was revoked or moved$/v);
	assert.match(fixture.log.explained[1].cause, /taken away/v);
	assert.doesNotMatch(JSON.stringify(fixture.log.explained), /secret-key|other-key/v);
});

// A line of the callers' protocol may have 1 MB, and 200 lines a second are logged.
test('the line of a request is bounded where its caller sends long ids and names', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	const long = 'x'.repeat(100_000);
	await fixture.run(session, {...begin, id: long});
	for (let count = 0; count < 30; count++) {
		await fixture.run(session, {...write, id: `${count}${long}`});
	}

	await fixture.run(session, {
		kind: 'execute', id: long, name: long, parameters: '',
	});
	await fixture.advance(1000);
	await fixture.run(session, {...commit, id: long});
	fixture.primary.refusals.push(...Array.from({length: 100}, () => 'busy' as const));
	await fixture.run(session, {...write, id: long});
	const sizes = fixture.log.explained.map(line => JSON.stringify(line).length);
	assert.equal(sizes.length, 3);
	assert.ok(Math.max(...sizes) < 8000, `${sizes.join(', ')} characters`);
});

test('a refusal that leaves a transaction open is explained on its own', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, begin);
	await fixture.run(session, {
		kind: 'execute', id: 'x', name: 'unknown', parameters: '',
	});
	await fixture.run(session, write);
	fixture.primary.refusals.push(...Array.from({length: 100}, () => 'busy' as const));
	await fixture.run(session, read);
	assert.deepEqual(fixture.log.explained.map(({request, kind, refusal, transaction}) => [request, kind, refusal, transaction]), [
		['x', 'statement', 'unknownStatement', 'b'], ['r', 'statement', 'busy', 'b'],
	]);
	assert.match(fixture.log.explained[1].cause, /^it was refused after 7\d\d ms in a transaction that stayed open: refused busy/v);
	fixture.primary.refusals.length = 0;
	await fixture.run(session, commit);
	assert.deepEqual([fixture.log.explained[2].request, fixture.log.explained[2].explained], ['b', 'late']);
});
