import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import {BoundedLogOutput} from '../observability/bounded-log-output.js';
import {createLogger, silentLogger} from '../observability/logger.js';
import {ManualClock} from '../clock/manual-clock.js';
import {StructuredRequestLog} from './structured-request-log.js';

test('decisions are counted, and those other than plain successes are logged with request, member and log position', async () => {
	const lines: string[] = [];
	const registry = new Registry();
	const log = new StructuredRequestLog(createLogger('one', 'request', 'info', {
		write(line) {
			lines.push(line);
		},
	}), registry, new ManualClock());
	const decision = {
		request: 'r1', session: 's', database: 'db', step: 'read', routingVersion: 7, member: 'i-1', point: '2.5', elapsed: 12,
	};
	log.record({...decision, outcome: 'done'});
	log.record({...decision, outcome: 'notRun i-1'});
	log.record({...decision, outcome: 'notRun i-2'});
	assert.equal(lines.length, 2);
	const line = JSON.parse(lines[0]) as Readonly<Record<string, unknown>>;
	assert.deepEqual([line.request, line.member, line.point, line.routingVersion, line.msg], ['r1', 'i-1', '2.5', 7, 'request: read notRun i-1']);
	const text = await registry.metrics();
	assert.match(text, /buckthornhitch_request_decisions_total\{step="read",outcome="notRun"\} 2/v);
	assert.match(text, /buckthornhitch_request_seconds_count\{step="read"\} 3/v);
});

// 81 late requests in one day of deployment B left no line that states why.
test('a request that is explained is logged as one JSON object and counted', async () => {
	const lines: string[] = [];
	const registry = new Registry();
	const log = new StructuredRequestLog(createLogger('one', 'request', 'info', {
		write(line) {
			lines.push(line);
		},
	}), registry, new ManualClock());
	const attempts = [{
		member: 'i-1', gateway: 'entry-9', startedAfter: 0, connectionWait: 1, memberTime: 500, result: 'done',
	}];
	log.explain({
		request: 'r1',
		session: 's',
		database: 'db',
		route: 'ledger',
		customer: 'shop',
		kind: 'statement',
		explained: 'late',
		cause: 'it took 501 ms',
		outcome: 'done',
		elapsed: 501,
		target: 400,
		callerTime: 0,
		admissionTime: 0,
		statements: [],
		attempts,
	});
	assert.equal(lines.length, 1);
	const line = JSON.parse(lines[0]) as Readonly<Record<string, unknown>>;
	assert.deepEqual([line.request, line.route, line.customer, line.outcome, line.elapsed, line.target, line.msg], ['r1', 'ledger', 'shop', 'done', 501, 400, 'request: late statement']);
	assert.deepEqual([line.attempts, line.cause], [attempts, 'it took 501 ms']);
	assert.match(await registry.metrics(), /buckthornhitch_explained_requests_total\{explained="late"\} 1/v);
});

// The number of customers is not bounded by the time series that a metrics server can hold.
test('admitted and limited operations are counted by customer, for at most 10 customers and all others together', async () => {
	const registry = new Registry();
	const log = new StructuredRequestLog(silentLogger, registry, new ManualClock());
	for (let index = 0; index < 40; index++) {
		for (let count = 0; count <= index; count++) {
			log.record({
				request: 'r', session: 's', database: 'db', step: 'admission', outcome: count % 2 === 0 ? 'done' : 'limited', customer: `customer-${index}`,
			});
		}
	}

	const text = await registry.metrics();
	const customers = new Set([...text.matchAll(/customer_operations_total\{customer="(?<name>[^"]+)"/gv)].map(match => match.groups!.name));
	assert.equal(customers.size, 11);
	assert.ok(customers.has('customer-39') && customers.has('(others)') && !customers.has('customer-0'));
	assert.match(text, /customer="customer-39",outcome="limited"\} \d+/v);
});

test('log lines above the rate limit, or while the output is congested, are dropped and counted', () => {
	const clock = new ManualClock();
	const output = {
		lines: [] as string[],
		writableLength: 0,
		write(line: string) {
			output.lines.push(line);
			return true;
		},
	};
	const bounded = new BoundedLogOutput(output, clock);
	for (let count = 0; count < 500; count++) {
		bounded.write('line\n');
	}

	assert.equal(output.lines.length, 200);
	clock.advance(1000);
	bounded.write('line\n');
	assert.match(output.lines[200], /"dropped":300/v);
	output.writableLength = 1024 * 1024;
	bounded.write('lost\n');
	assert.ok(!output.lines.includes('lost\n'));
});

// In the seconds after a loss of power of all instances, each failed request left several lines of up to 8,000 characters.
test('lines about requests beyond 40 a second are omitted, and their number is reported', () => {
	const lines: string[] = [];
	const clock = new ManualClock();
	const log = new StructuredRequestLog(createLogger('one', 'request', 'info', {
		write(line) {
			lines.push(line);
		},
	}), new Registry(), clock);
	const decision = {
		request: 'r1', session: 's', database: 'db', step: 'read', outcome: 'notRun i-1',
	};
	for (let index = 0; index < 100; index++) {
		log.record(decision);
	}

	assert.equal(lines.length, 40);
	clock.advance(1000);
	log.record(decision);
	assert.equal(lines.length, 42);
	const report = JSON.parse(lines[40]) as Readonly<Record<string, unknown>>;
	assert.equal(report.omitted, 60);
});
