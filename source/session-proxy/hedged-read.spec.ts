import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SlidingWindowRetryBudget} from '../admission/sliding-window-retry-budget.js';
import {ManualClock} from '../clock/manual-clock.js';
import {HedgedRead} from './hedged-read.js';
import {type StatementAttempt} from './statement-attempt.js';

const members = ['a', 'b', 'c'].map(id => ({id, expectedReplyTime: 10}));

// While every member was slow after a loss of power, each read was sent to all three of them, which kept them slow.
test('hedges stay within their budget, so that slow replies of all members do not multiply the load', async () => {
	const clock = new ManualClock();
	const answered: string[] = [];
	const budget = new SlidingWindowRetryBudget(clock, {share: 0.3, minimum: 3});
	const reads = Array.from({length: 100}, async (_, index) => {
		await clock.sleep(index * 50);
		budget.countRequest();
		return new HedgedRead(clock, members, async ({id}) => {
			answered.push(id);
			await clock.sleep(900);
			return {
				kind: 'answered', reply: {
					outcome: 'done', rows: [], signature: id, transaction: 'idle', point: undefined,
				},
			} satisfies StatementAttempt;
		}, () => budget.tryRetry()).run();
	});
	await clock.advanceInSteps(8000, 10);
	await Promise.all(reads);
	assert.ok(answered.length <= 140, `${answered.length} attempts for 100 reads`);
	assert.ok(answered.length >= 115, `${answered.length} attempts for 100 reads`);
});

// The budget limits reads that may still be answered, not those that a member refused.
test('a read that a member refuses is sent to the next one without the budget', async () => {
	const attempted: string[] = [];
	const read = new HedgedRead(new ManualClock(), members, async ({id}) => {
		attempted.push(id);
		return {kind: 'notRun', reason: 'busy', detail: 'overloaded'} satisfies StatementAttempt;
	}, () => false);
	const attempt = await read.run();
	assert.equal(attempt.kind, 'notRun');
	assert.deepEqual(attempted, ['a', 'b', 'c']);
});
