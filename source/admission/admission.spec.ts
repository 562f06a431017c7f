import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {AdmissionQueue} from './admission-queue.js';
import {SlidingWindowRetryBudget} from './sliding-window-retry-budget.js';
import {reservedWriteSlots, SlotTable} from './slot-table.js';

// The caller is told that the request was not run and may retry it, so if the queue attempted it later, it could run twice.
test('a full queue rejects a request and never attempts it afterwards', async () => {
	const clock = new ManualClock();
	const queue = new AdmissionQueue<string>(clock, () => 1);
	let hasCapacity = false;
	const attempted: string[] = [];
	const enter = async (name: string) => queue.enter({
		attempt() {
			attempted.push(name);
			return hasCapacity ? name : undefined;
		},
		deadlineAt: 1000,
	});
	const first = enter('first');
	await assert.rejects(enter('second'), {codeName: 'queueFull'});
	hasCapacity = true;
	queue.dispatch();
	assert.equal(await first, 'first');
	assert.ok(!attempted.includes('second'));
});

// The caller is told that the request was not run, so it must not be admitted later.
test('a request whose deadline passed is rejected and never admitted later', async () => {
	const clock = new ManualClock();
	const queue = new AdmissionQueue<boolean>(clock, () => 10);
	let hasCapacity = false;
	const waiting = queue.enter({attempt: () => hasCapacity || undefined, deadlineAt: 100});
	clock.advance(100);
	hasCapacity = true;
	queue.dispatch();
	await assert.rejects(waiting, {codeName: 'deadlinePassed'});
	assert.equal(queue.length, 0);
	await assert.rejects(queue.enter({attempt: () => true, deadlineAt: 100}), {codeName: 'deadlinePassed'});
});

// A request within an open transaction holds resources that others wait for, so it goes first.
test('requests are admitted in order of arrival, except urgent ones', async () => {
	const clock = new ManualClock();
	const queue = new AdmissionQueue<number>(clock, () => 10);
	let free = 0;
	const order: string[] = [];
	const enter = async (name: string, urgent: boolean): Promise<void> => {
		await queue.enter({attempt: () => free > 0 ? free-- : undefined, deadlineAt: 1000, urgent});
		order.push(name);
	};

	const all = [enter('first', false), enter('second', false), enter('urgent', true)];
	for (let turn = 0; turn < 3; turn++) {
		free = 1;
		queue.dispatch();
		await Promise.resolve();
	}

	await Promise.all(all);
	assert.deepEqual(order, ['urgent', 'first', 'second']);
});

test('reads never take the slots of the primary that are reserved for writes', () => {
	const slots = new SlotTable();
	slots.resize('a', 3);
	while (slots.freeSlots('a', 'read', true) > 0) {
		slots.take('a', 'read');
	}

	assert.equal(slots.freeSlots('a', 'write', true), 1);
	assert.deepEqual([1, 2, 3, 6, 9].map(count => reservedWriteSlots(count)), [0, 1, 1, 2, 3]);
});

// Counting a second release would let the member execute more statements than it has slots.
test('a slot that is released twice is counted once', () => {
	const slots = new SlotTable();
	slots.resize('a', 3);
	const release = slots.take('a', 'write');
	slots.take('a', 'write');
	release();
	release();
	assert.equal(slots.freeSlots('a', 'write', true), 2);
});

// Unlimited retries would amplify an overload.
test('retries are limited to a tenth of the requests of the last second, but at least ten', () => {
	const clock = new ManualClock();
	const budget = new SlidingWindowRetryBudget(clock);
	const countAllowedRetries = (): number => {
		let count = 0;
		while (budget.tryRetry()) {
			count++;
		}

		return count;
	};

	assert.equal(countAllowedRetries(), 10);
	clock.advance(1000);
	for (let request = 0; request < 500; request++) {
		budget.countRequest();
	}

	assert.equal(countAllowedRetries(), 50);
	clock.advance(500);
	assert.equal(countAllowedRetries(), 0);
	clock.advance(600);
	assert.equal(countAllowedRetries(), 10);
});
