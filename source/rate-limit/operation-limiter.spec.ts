import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {type Customer} from '../customers/types.js';
import {silentLogger} from '../observability/logger.js';
import {type OperationsRequest, type OperationsResponse} from './messages.js';
import {OperationLimiter} from './operation-limiter.js';
import {RecordingLimitObserver} from './recording-limit-observer.js';

const limited: Customer = {
	name: 'acme', keyDigests: [], priority: 1, rateLimit: {ratePerSecond: 20, burst: 0},
};

class LimiterFixture {
	readonly clock = new ManualClock();
	readonly requests: OperationsRequest[] = [];
	readonly metrics = new Registry();
	readonly lines: string[] = [];
	readonly limiter: OperationLimiter;
	respond: (request: OperationsRequest) => OperationsResponse | Error;

	constructor() {
		this.respond = ({count}) => ({granted: count, retryAfter: 0, pause: 0});
		this.limiter = new OperationLimiter({
			name: 'entry',
			runId: 'run',
			clock: this.clock,
			settings: {window: 5000, overage: 0, slack: 0},
			observer: new RecordingLimitObserver(this.clock, {...silentLogger, info: text => this.lines.push(text)}, this.metrics),
			requestOperations: async request => {
				this.requests.push(request);
				await this.clock.sleep(10);
				const response = this.respond(request);
				if (response instanceof Error) {
					throw response;
				}

				return response;
			},
		});
	}

	/** Sends operations at once and resolves with the number admitted and refused after the time. */
	async send(customer: Customer, count: number, time: Milliseconds): Promise<{readonly admitted: number; readonly refused: number}> {
		const results: boolean[] = [];
		for (let index = 0; index < count; index++) {
			void this.limiter.admitOperation(customer).then(({admitted}) => results.push(admitted));
		}

		await this.clock.advanceInSteps(time, 5);
		return {admitted: results.filter(Boolean).length, refused: results.filter(isAdmitted => !isAdmitted).length};
	}

	/** Reports to a control instance, which answers with a credit at once. */
	report(credit: number): readonly unknown[] {
		const sent = this.limiter.createReport('control')!;
		this.limiter.handleResponse(sent, {credits: [['acme', credit, 2]], wantsCompleteUsage: false}, 10);
		return sent.report.counts;
	}
}

test('without customers with a limit nothing is reported or asked and everything is admitted', async () => {
	const fixture = new LimiterFixture();
	const unlimited = {...limited, rateLimit: undefined};
	fixture.limiter.replaceCustomers([unlimited]);
	assert.deepEqual(await fixture.send(unlimited, 50, 5), {admitted: 50, refused: 0});
	assert.equal(fixture.limiter.createReport('control'), undefined);
	assert.deepEqual(fixture.requests, []);
});

test('operations are admitted by the credit first, and the others share one request at a time', async () => {
	const fixture = new LimiterFixture();
	fixture.limiter.replaceCustomers([limited]);
	await fixture.send(limited, 1, 20);
	fixture.report(3);
	assert.deepEqual(await fixture.send(limited, 8, 5), {admitted: 3, refused: 0});
	await fixture.clock.advanceInSteps(40, 5);
	assert.deepEqual(fixture.requests.map(({count, number}) => [number, count]), [[1, 1], [2, 1], [3, 4]]);
	assert.deepEqual(fixture.report(3), [['acme', 9, 0]]);
});

// Guards against a credit that is used twice, before and after the answer to a report that was under way.
test('a credit replaces the rest of the earlier one, less what was used since the report', async () => {
	const fixture = new LimiterFixture();
	fixture.limiter.replaceCustomers([limited]);
	await fixture.send(limited, 1, 20);
	fixture.report(3);
	const sent = fixture.limiter.createReport('control')!;
	await fixture.send(limited, 2, 5);
	fixture.limiter.handleResponse(sent, {credits: [['acme', 3, 2]], wantsCompleteUsage: false}, 10);
	assert.deepEqual(fixture.report(0), [['acme', 3, 1]]);
});

test('a report contains what changed, and everything for another control instance', async () => {
	const fixture = new LimiterFixture();
	fixture.limiter.replaceCustomers([limited]);
	await fixture.send(limited, 2, 20);
	fixture.report(0);
	assert.deepEqual(fixture.report(0), []);
	const {report} = fixture.limiter.createReport('other')!;
	assert.equal(report.isComplete, true);
	assert.deepEqual(report.counts, [['acme', 2, 0]]);
	fixture.clock.advance(5000);
	assert.deepEqual(fixture.report(0), [['acme', 0, 0]]);
});

test('refused operations are answered with the time of the control instance, which is not asked again during the pause', async () => {
	const fixture = new LimiterFixture();
	fixture.limiter.replaceCustomers([limited]);
	fixture.respond = () => ({granted: 0, retryAfter: 300, pause: 100});
	const admission = fixture.limiter.admitOperation(limited);
	await fixture.clock.advanceInSteps(10, 5);
	assert.deepEqual(await admission, {admitted: false, retryAfter: 300});
	assert.deepEqual(await fixture.limiter.admitOperation(limited), {admitted: false, retryAfter: 300});
	await fixture.clock.advanceInSteps(100, 5);
	assert.equal(fixture.requests.length, 1);
	await fixture.send(limited, 1, 20);
	assert.equal(fixture.requests.length, 2);
});

// Guards against operations that wait for a lost control instance until their deadline, and against a burst while nobody counts.
test('without a control instance an instance admits as many operations in a window as in the last reported one', async () => {
	const fixture = new LimiterFixture();
	fixture.limiter.replaceCustomers([limited]);
	await fixture.send(limited, 8, 20);
	fixture.report(0);
	fixture.respond = () => new Error('lost');
	await fixture.clock.advanceInSteps(5000, 50);
	assert.deepEqual(await fixture.send(limited, 30, 1200), {admitted: 10, refused: 20}, '8 operations, times 1.25');
	assert.deepEqual(await fixture.send(limited, 5, 5), {admitted: 0, refused: 5});
	fixture.respond = ({count}) => ({granted: count, retryAfter: 0, pause: 0});
	fixture.report(0);
	assert.deepEqual(await fixture.send(limited, 5, 50), {admitted: 5, refused: 0});
});

test('operations wait while the control instance is not ready', async () => {
	const fixture = new LimiterFixture();
	fixture.limiter.replaceCustomers([limited]);
	fixture.respond = () => ({granted: 0, retryAfter: 0, pause: 0});
	assert.deepEqual(await fixture.send(limited, 5, 200), {admitted: 0, refused: 0});
	fixture.respond = ({count}) => ({granted: count, retryAfter: 0, pause: 0});
	assert.deepEqual(await fixture.send(limited, 1, 100), {admitted: 1, refused: 0});
	assert.deepEqual(fixture.report(0), [['acme', 6, 0]]);
});

// Guards against metric labels and log lines whose number grows with the customers.
test('refusals are counted for at most 10 customers and one label for the others, and logged when they begin and cease', async () => {
	const fixture = new LimiterFixture();
	const customers = Array.from({length: 30}, (_, index) => ({...limited, name: `customer-${index}`}));
	fixture.limiter.replaceCustomers(customers);
	fixture.respond = () => ({granted: 0, retryAfter: 300, pause: 100});
	for (const customer of customers) {
		await fixture.send(customer, 3, 30);
	}

	const text = await fixture.metrics.metrics();
	assert.equal(text.match(/refused_total\{/gv)?.length, 11);
	assert.match(text, /refused_total\{customer="other"\} 60/v);
	assert.equal(fixture.lines.length, 10);
	await fixture.clock.advanceInSteps(6000, 100);
	assert.equal(fixture.lines.length, 20);
	assert.equal(fixture.lines.at(-1), 'operations of customer customer-9 are no longer refused; 3 were refused by its rate limit');
});
