import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatRequestTimeline, RequestLineCollector} from './request-timeline.js';

const explained = {
	name: 'entry-1',
	part: 'request',
	request: 'r1',
	kind: 'transaction',
	explained: 'late',
	cause: 'it took 512 ms with a target of 400 ms: 380 ms passed while the request waited for a connection to i-3',
	statements: ['s1', 's2'],
	attempts: [{
		member: 'i-3', gateway: 'entry-9', startedAfter: 4, connectionWait: 380, gatewayWait: 7, memberTime: 100, busyRetries: 2, result: 'done',
	}],
	omitted: {count: 3, connectionWait: 1, memberTime: 1},
	outcome: 'done',
	msg: 'request: late transaction',
	time: '2026-12-05T02:00:00.612Z',
};
const atGateway = {
	name: 'entry-9', part: 'relay', request: 'r1', member: 'i-3', outcome: 'notRun', msg: 'relay: relayed statement notRun: no connection', time: '2026-12-05T02:00:00.300Z',
};

function timeline(id: string, ...lines: readonly unknown[]): readonly string[] {
	const collector = new RequestLineCollector(id);
	for (const line of lines) {
		collector.add(typeof line === 'string' ? line : JSON.stringify(line));
	}

	return formatRequestTimeline(id, collector.result).split('\n');
}

test('the lines of several processes are printed in order of time with process names, attempts and the cause', () => {
	assert.deepEqual(timeline('r1', explained, atGateway), [
		'2026-12-05T02:00:00.300Z  entry-9  relay: relayed statement notRun: no connection (member=i-3, outcome=notRun)',
		`2026-12-05T02:00:00.612Z  entry-1  request: late transaction (cause=${explained.cause}, statements=["s1","s2"], outcome=done)`,
		'    attempt 1: i-3 through entry-9, started after 4 ms, waited for a connection 380 ms, waited at the gateway 7 ms, at the member 100 ms, 2 statements sent again after BUSY, result done',
		'    3 further attempts before the last one are not listed',
		`Cause: the transaction was answered late at entry-1: ${explained.cause}; entry-9 reported as the gateway to i-3: relayed statement notRun: no connection.`,
	]);
});

// Operators have the id of the statement that failed, which need not be that of the BEGIN.
test('a line is found by the id of a statement of its transaction', () => {
	assert.match(timeline('s2', explained).join('\n'), /late transaction/v);
});

test('an id that is only a part of a longer one does not select a line', () => {
	const collector = new RequestLineCollector('r1');
	for (const request of ['r12', 'xr1', 'r1-2', 'other']) {
		collector.add(JSON.stringify({request, msg: `about ${request}`}));
	}

	collector.add(JSON.stringify({msg: 'relay: request r1, answered'}));
	assert.deepEqual(collector.result.lines, [{msg: 'relay: request r1, answered'}]);
});

test('an id with characters that JSON escapes is found', () => {
	const id = String.raw`a"b\c`;
	assert.match(timeline(id, {...explained, request: id}).join('\n'), /^Cause: the transaction/mv);
});

// Logs are cut off when a process is killed, and contain lines of other programs.
test('unreadable lines are skipped and counted, and lines without a time or a name are printed', () => {
	const lines = timeline('r1', 'not JSON r1', '{"request":"r1"', '["r1"]', 'null', '', {request: 'r1', msg: 'undated'}, explained);
	assert.match(lines[0], /^without a time {2}\(unknown process\) {2}undated$/v);
	assert.equal(lines.at(-2), '4 lines could not be read and were skipped.');
	assert.deepEqual(timeline('r2', 'not JSON'), ['1 lines could not be read and were skipped.', 'No line contains the request r2.']);
});

// The line that explains a request may have been dropped by the limit of lines per second.
test('without the line that explains the request, the cause names the last outcome and says that the line is missing', () => {
	const decision = {
		name: 'entry-1', request: 'r1', step: 'refusal', outcome: 'notRun busy full', msg: 'request: refusal', time: '2026-12-05T02:00:00.700Z',
	};
	assert.match(timeline('r1', decision).at(-1)!, /^Cause: not stated by any entry instance .*; the last outcome, at entry-1, is "refusal notRun busy full"\.$/v);
	assert.equal(timeline('r1', {request: 'r1'}).at(-1), 'Cause: not known, since no line states an outcome.');
});
