import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberPool} from '../session-proxy/member-pool.js';
import {refusal} from '../session-proxy/replies.js';
import {ScriptedConnection, ScriptedConnector} from '../session-proxy/scripted-connection-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {NearMemberFixture} from './near-member-fixture.js';
import {RelaySession} from './relay-session.js';

const begin: MemberStatement = {kind: 'begin', isReadOnly: false};
const write: MemberStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};

// Without a begin that was accepted, the statement would run outside a transaction, or in the remains of an earlier one.
test('a statement of a transaction is not sent to the member unless its begin was accepted', async () => {
	const unanswered = new BuckthornhitchError('linkOutcomeUnknown', 'the connection ended');
	const idle: StatementReply = {
		outcome: 'done', rows: [], signature: '', transaction: 'idle', point: undefined,
	};
	for (const reply of [refusal('readOnly', '', 'idle'), refusal('failed', '', 'failed'), refusal('failed', '', 'open'), idle, unanswered]) {
		const clock = new ManualClock();
		const memberConnection = new ScriptedConnection([reply]);
		const pool = new MemberPool({...testAnnouncement('a'), isGone: false}, {
			connector: new ScriptedConnector(memberConnection), clock, logger: silentLogger, maximumConnections: () => 1,
		});
		const session = new RelaySession('a', clock, () => pool, undefined);
		const begun = session.execute({
			relay: 1, sequence: 0, statement: begin, timeout: 500,
		});
		const written = await session.execute({
			relay: 1, sequence: 1, statement: write, timeout: 500, isInTransaction: true,
		});
		await begun;
		assert.equal(written.kind, 'notRun');
		assert.equal(memberConnection.kinds.includes('write'), false);
	}
});

// The caller was told that the statement had failed, which says that it may have run.
for (const [reason, expected] of [['failed', 'aborted'], ['timeout', 'aborted'], ['malformed', 'malformed']] as const) {
	for (const isInTransaction of [false, true]) {
		test(`variables that a member refuses as ${reason} at a gateway end ${isInTransaction ? 'a transaction' : 'a statement'} as ${expected} at once`, async () => {
			const {sessions} = new NearMemberFixture();
			const session = await sessions.open();
			const write = {kind: 'write', id: 'w', text: 'WRITE item x'} as const;
			await sessions.run(session, write);
			for (const member of sessions.members) {
				member.setupRefusal = reason;
			}

			if (isInTransaction) {
				await sessions.run(session, {kind: 'begin', id: 'b', isReadOnly: false});
			}

			await sessions.run(session, {
				kind: 'set', id: 's', name: 'x', value: '1',
			});
			const reply = await sessions.run(session, write, 100);
			assert.equal(reply.outcome === 'refused' && reply.reason, expected);
			assert.equal(sessions.received('write').length, 1);
			assert.ok(sessions.received('set').length <= 2);
		});
	}
}

// The entry sets the variable that grew before the one that shrank, so that both values were long for a moment.
test('variables of a session that change places are accepted by a relay', async () => {
	const {sessions} = new NearMemberFixture();
	const session = await sessions.open();
	const set = async (name: string, length: number): Promise<StatementReply> => sessions.run(session, {
		kind: 'set', id: 's', name, value: 'x'.repeat(length),
	});
	const write = {kind: 'write', id: 'w', text: 'WRITE item x'} as const;
	await set('a', 1);
	await set('b', 600_000);
	await sessions.run(session, {kind: 'begin', id: 'b', isReadOnly: false});
	await sessions.run(session, write);
	await set('b', 1);
	await set('a', 600_000);
	const reply = await sessions.run(session, write);
	assert.deepEqual([reply.outcome, reply.transaction], ['done', 'open']);
});
