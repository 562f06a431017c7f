import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ConnectionStatement, type StatementReply, type TransactionState} from '../statement/types.js';
import {MemberPool} from './member-pool.js';
import {readInWriteTransaction, relayedReplyOf, type PrimaryReadOutcome} from './primary-read.js';
import {refusal} from './replies.js';
import {ScriptedConnection, ScriptedConnector} from './scripted-connection-fake.js';
import {testAnnouncement} from './session-fixture.js';

const read: ConnectionStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const done = (transaction: TransactionState): StatementReply => ({
	outcome: 'done', rows: [], signature: 'signed', transaction, point: {term: 1, position: 4},
});

async function outcomeOf(...script: Array<StatementReply | BuckthornhitchError>): Promise<{readonly outcome: PrimaryReadOutcome; readonly kinds: readonly string[]}> {
	const clock = new ManualClock();
	const memberConnection = new ScriptedConnection(script);
	const pool = new MemberPool({...testAnnouncement('a'), isGone: false}, {
		connector: new ScriptedConnector(memberConnection), clock, logger: silentLogger, maximumConnections: () => 1,
	});
	const connection = await pool.acquire(100, 1);
	const outcome = await readInWriteTransaction({
		clock, pool, connection, statement: read, deadline: clock.now() + 500, isWanted: () => true,
	});
	return {outcome, kinds: memberConnection.kinds};
}

// A reply from outside the transaction may come from a replica whose log is stale.
test('a reply counts only if it shows that the transaction is still open', async () => {
	const answered = await outcomeOf(done('open'), done('open'));
	assert.equal(answered.outcome.kind, 'answered');
	assert.equal(relayedReplyOf(answered.outcome)?.transaction, 'idle');
	for (const reply of [done('idle'), done('failed'), refusal('aborted', '', 'idle'), refusal('failed', '', 'idle')]) {
		const {outcome} = await outcomeOf(done('open'), reply);
		assert.equal(outcome.kind, 'unknown');
		assert.equal(relayedReplyOf(outcome), undefined);
	}

	const failed = await outcomeOf(done('open'), refusal('failed', '', 'failed'));
	assert.equal(failed.outcome.kind, 'answered');
});

test('the read is not sent unless BEGIN was answered and has opened a transaction', async () => {
	const unanswered = new BuckthornhitchError('linkOutcomeUnknown', 'the connection ended');
	for (const reply of [refusal('readOnly', '', 'idle'), refusal('failed', '', 'idle'), done('idle'), unanswered]) {
		const {outcome, kinds} = await outcomeOf(reply);
		assert.equal(outcome.kind, 'notRun');
		assert.deepEqual(kinds, ['begin']);
	}
});

// A reason that does not prove that the read has not run would be passed to the caller as the answer to the read.
test('a gateway answers a refused BEGIN with a reason that proves that the read has not run', async () => {
	const {outcome: readOnly} = await outcomeOf(refusal('readOnly', '', 'idle'));
	const {outcome: failed} = await outcomeOf(refusal('failed', '', 'idle'));
	assert.deepEqual([readOnly, failed].map(outcome => {
		const reply = relayedReplyOf(outcome);
		return reply?.outcome === 'refused' && reply.reason;
	}), ['readOnly', 'busy']);
});

test('a read that was refused has not run only if its reason proves it, and one without an answer may have run', async () => {
	const refused = await outcomeOf(done('open'), refusal('busy', '', 'open'));
	assert.equal(refused.outcome.kind, 'notRun');
	const unanswered = await outcomeOf(done('open'), new BuckthornhitchError('linkOutcomeUnknown', 'the connection ended'));
	assert.equal(unanswered.outcome.kind, 'unknown');
	const unsent = await outcomeOf(done('open'), new BuckthornhitchError('linkNotSent', 'the connection ended'));
	assert.equal(unsent.outcome.kind, 'notRun');
});
