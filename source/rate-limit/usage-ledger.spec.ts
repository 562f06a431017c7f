import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {type Customer} from '../customers/types.js';
import {aimedOperations, permittedOperations} from './limit-arithmetic.js';
import {type OperationsRequest, type UsageReport} from './messages.js';
import {SlidingWindow} from './sliding-window.js';
import {UsageLedger} from './usage-ledger.js';

const settings = {window: 5000, overage: 0.1, slack: 20};

/** Permits 131 operations in a window, of which 125 are aimed at. All of them are burst, so that they may be admitted at once. */
const customer: Customer = {
	name: 'acme', keyDigests: [], priority: 1, rateLimit: {ratePerSecond: 0, burst: 101},
};

const aimed = 125;

class SuspendableClock extends ManualClock {
	suspendedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	override lastSuspectedSuspension(): Milliseconds {
		return this.suspendedAt;
	}
}

function createLedger(clock: ManualClock, name: string, others: readonly string[] = []): UsageLedger {
	const ledger = new UsageLedger({
		name, runId: `run-${name}`, clock, settings, firstOpenForward: () => 1,
	});
	ledger.replaceCustomers([customer]);
	ledger.updateInstances(10, others);
	return ledger;
}

function report(number: number, used: number, changes: Partial<UsageReport> = {}): UsageReport {
	return {
		runId: 'entry', number, isComplete: number === 1, counts: [['acme', used, 0]], firstOpenRequest: 1, ...changes,
	};
}

function request(number: number, count: number): OperationsRequest {
	return {
		forwardedBy: undefined, runId: 'entry', number, customer: 'acme', count,
	};
}

function share(from: UsageLedger, to: UsageLedger, toName: string, now: Milliseconds): void {
	const sums = from.sumsFor(toName);
	from.handleShareResponse(sums, to.handleShare(sums), now);
}

test('the aimed number of operations is 95% of the permitted one, and never less by rounding than one permitted operation', () => {
	assert.equal(permittedOperations({ratePerSecond: 20, burst: 1}, {window: 5000, overage: 0, slack: 20}), 121);
	assert.equal(Math.round(permittedOperations({ratePerSecond: 20, burst: 1}, settings) * 10) / 10, 131.1);
	assert.equal(aimedOperations({ratePerSecond: 20, burst: 1}, settings), aimed);
	assert.equal(aimedOperations({ratePerSecond: 0.2, burst: 0}, {window: 5000, overage: 0, slack: 0}), 1);
	assert.equal(aimedOperations({ratePerSecond: 0, burst: 0}, {window: 5000, overage: 0, slack: 0}), 0);
});

test('a sliding window forgets each operation one window after it', () => {
	const window = new SlidingWindow(5000);
	for (let time = 0; time < 1000; time++) {
		window.add(time * 10);
	}

	assert.equal(window.count(9990), 500);
	assert.equal(window.timeUntilFirstExpiry(9990), 10);
	assert.equal(window.count(14_980), 1);
	assert.equal(window.count(14_990), 0);
});

// Guards against operations that count twice after a repeated report, or not at all after a lost one.
test('granted operations count until a report contains them, however often it arrives', () => {
	const clock = new ManualClock();
	const ledger = createLedger(clock, 'a');
	ledger.handleReport(report(1, 0));
	assert.equal(ledger.grant(request(1, 100)).granted, 100);
	ledger.handleReport(report(2, 60));
	assert.equal(ledger.grant(request(2, 100)).granted, 0, '60 reported operations and 100 granted ones that the report may lack');
	ledger.handleReport(report(3, 100, {firstOpenRequest: 2}));
	const {credits} = ledger.handleReport(report(3, 100, {firstOpenRequest: 2}));
	assert.deepEqual(credits, [['acme', 1, 1.25]]);
	assert.equal(ledger.grant(request(3, 100)).granted, aimed - 100 - 1, 'all but the reported operations and the credit');
});

// Guards against a restart that empties the window: the operations of the earlier process still run.
test('the report of a lost process counts for one window and the lifetime of its credits', () => {
	const clock = new ManualClock();
	const ledger = createLedger(clock, 'a');
	ledger.handleReport(report(1, aimed));
	ledger.handleReport(report(1, 0, {runId: 'restarted'}));
	clock.advance(5900);
	ledger.updateInstances(10, []);
	assert.equal(ledger.grant(request(1, 1)).granted, 0);
	clock.advance(200);
	ledger.updateInstances(10, []);
	assert.equal(ledger.grant({...request(2, 200), runId: 'restarted'}).granted, aimed);
	assert.equal(ledger.handleReport(report(2, 5)).wantsCompleteUsage, true, 'the expired report is needed again');
});

test('two control instances that cannot hear each other grant no more than the headroom', () => {
	const clock = new ManualClock();
	const [a, b] = [createLedger(clock, 'a', ['b']), createLedger(clock, 'b', ['a'])];
	share(a, b, 'b', clock.now());
	share(b, a, 'a', clock.now());
	let granted = 0;
	for (let number = 1; number < 50; number++) {
		granted += a.grant(request(number, 50)).granted + b.grant(request(number, 50)).granted;
	}

	assert.ok(granted > aimed / 2 && granted <= aimed, `${granted} of ${aimed}`);
});

test('an entry instance that reports to another control instance no longer counts at the first one', () => {
	const clock = new ManualClock();
	const [a, b] = [createLedger(clock, 'a', ['b']), createLedger(clock, 'b', ['a'])];
	share(a, b, 'b', clock.now());
	share(b, a, 'a', clock.now());
	a.handleReport(report(1, 100));
	b.handleReport(report(2, 100, {isComplete: true}));
	share(b, a, 'a', clock.now());
	assert.deepEqual(a.sumsFor('b').sums, [['acme', 0]]);
	assert.equal(a.handleReport(report(3, 101)).wantsCompleteUsage, true);
});

// Guards against sums that are as old as the suspension: the others have granted operations meanwhile.
test('after a suspected suspension nothing is granted until another control instance was heard', () => {
	const clock = new SuspendableClock();
	const [a, b] = [createLedger(clock, 'a', ['b']), createLedger(clock, 'b', ['a'])];
	assert.equal(a.isReady, false, 'nothing is known after a start');
	share(a, b, 'b', clock.now());
	assert.equal(a.isReady, true);
	clock.advance(10);
	clock.suspendedAt = clock.now();
	assert.equal(a.isReady, false);
	assert.equal(a.grant(request(1, 1)).granted, 0);
	clock.advance(10);
	share(a, b, 'b', clock.now());
	assert.ok(a.grant(request(2, 1)).granted === 1 || a.ownerOf('acme') === 'b');
	clock.suspendedAt = clock.now();
	clock.advance(1000);
	assert.equal(a.isReady, true, 'the others may all be lost');
});

// Guards against a peer that was restarted and answers with sums that lack those of before.
test('a restarted control instance gets complete sums', () => {
	const clock = new ManualClock();
	const a = createLedger(clock, 'a', ['b']);
	a.handleReport(report(1, 100));
	share(a, createLedger(clock, 'b', ['a']), 'b', clock.now());
	const restarted = createLedger(clock, 'b', ['a']);
	share(a, restarted, 'b', clock.now());
	share(a, restarted, 'b', clock.now());
	assert.deepEqual(a.sumsFor('b').sums, [], 'everything is acknowledged');
	assert.equal(restarted.grant(request(1, 200)).granted <= aimed - 100, true);
});

// Guards against a credit of half of the headroom for the first entry instance that reports after a start.
test('nothing is granted before the other instances are known', () => {
	const ledger = new UsageLedger({
		name: 'a', runId: 'run-a', clock: new ManualClock(), settings, firstOpenForward: () => 1,
	});
	ledger.replaceCustomers([customer]);
	assert.deepEqual(ledger.handleReport(report(1, 1)).credits, []);
	assert.deepEqual(ledger.grant(request(1, 1)), {granted: 0, retryAfter: 0, pause: 0});
	ledger.updateInstances(10, []);
	assert.equal(ledger.grant(request(2, 1)).granted, 1);
});
