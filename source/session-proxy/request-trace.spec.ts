import assert from 'node:assert/strict';
import {test} from 'node:test';
import {maximumListedAttempts, maximumListedStatements, RequestTrace} from './request-trace.js';

/** Trace whose time is set by the test. */
function createTrace(): {readonly trace: RequestTrace; readonly advance: (duration: number) => void} {
	let now = 1000;
	return {
		trace: new RequestTrace(() => now),
		advance(duration) {
			now += duration;
		},
	};
}

// A request that is refused at once by a member is attempted up to 50 times before its deadline.
test('at most 8 attempts are listed, the last one among them, and the times of the others are added up', () => {
	const {trace, advance} = createTrace();
	for (let count = 1; count <= 30; count++) {
		const attempt = trace.startAttempt(`i-${count}`);
		advance(2);
		attempt.recordConnection({gateway: undefined, gatewayWait: 0});
		advance(3);
		attempt.end(`result ${count}`);
	}

	const {attempts, omitted, elapsed} = trace.finish('open');
	assert.equal(attempts.length, maximumListedAttempts);
	assert.deepEqual(attempts.map(({member}) => member), ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-30']);
	assert.deepEqual(omitted, {count: 22, connectionWait: 44, memberTime: 66});
	assert.equal(elapsed, 150);
	assert.deepEqual(attempts[1], {
		member: 'i-2', startedAfter: 5, connectionWait: 2, memberTime: 3, result: 'result 2',
	});
});

// Otherwise the member would be blamed for a caller that leaves its transaction idle.
test('the time in which a transaction waits for its caller is no part of its attempts', () => {
	const {trace, advance} = createTrace();
	trace.startCallerTime();
	advance(100);
	trace.endCallerTime();
	const attempt = trace.startAttempt('i-1');
	advance(5);
	attempt.recordConnection({gateway: 'entry-9', gatewayWait: 0});
	advance(20);
	trace.startCallerTime();
	assert.equal(trace.isWaitingForCaller, true);
	advance(3000);
	const {attempts, callerTime, elapsed} = trace.finish('aborted');
	assert.deepEqual(attempts, [{
		member: 'i-1', gateway: 'entry-9', startedAfter: 0, connectionWait: 5, memberTime: 20, result: 'aborted',
	}]);
	assert.deepEqual([callerTime, elapsed], [3100, 3125]);
});

// The connection has relayed statements of earlier requests, whose wait is no part of this one.
test('the wait at the gateway since the attempt got its connection is stated apart from the time at the member', () => {
	const {trace, advance} = createTrace();
	const connection = {gateway: 'entry-9', gatewayWait: 1000};
	const attempt = trace.startAttempt('i-1');
	attempt.recordConnection(connection);
	advance(50);
	connection.gatewayWait += 30;
	attempt.end('done');
	connection.gatewayWait += 500;
	const {attempts: [{gatewayWait, memberTime}]} = trace.finish('open');
	assert.deepEqual([gatewayWait, memberTime], [30, 20]);
});

test('an attempt without a connection has waited until its end, and keeps its first result', () => {
	const {trace, advance} = createTrace();
	const attempt = trace.startAttempt('i-1');
	advance(30);
	attempt.end('notRun busy');
	advance(30);
	attempt.end('late');
	const {attempts} = trace.finish('open');
	assert.deepEqual(attempts, [{
		member: 'i-1', startedAfter: 0, connectionWait: 30, result: 'notRun busy',
	}]);
});

// Callers choose the ids, and a line of their protocol may have 1 MB.
test('the ids of statements and the results of attempts are bounded in number and length', () => {
	const {trace} = createTrace();
	for (let count = 0; count < 100; count++) {
		trace.recordStatement(`${count}-${'x'.repeat(100_000)}`);
	}

	trace.startAttempt('i-1').end('y'.repeat(100_000));
	const times = trace.finish('open');
	assert.equal(times.statements.length, maximumListedStatements);
	assert.match(times.statements.at(-1)!, /^99-/v);
	assert.ok(JSON.stringify(times).length < 5000);
});
