import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {type LogFields, silentLogger} from '../observability/logger.js';
import {PreparationLog} from './preparation-log.js';

const preparation = {
	member: 'a', connection: 2, gateway: 'entry-2', name: 's1', definition: {access: 'read', shape: 'q7 READ muthfnwx'},
} as const;

/** Preparation log whose lines are kept. */
function createLog(clock = new ManualClock()): {readonly log: PreparationLog; readonly lines: LogFields[]} {
	const lines: LogFields[] = [];
	const log = new PreparationLog(clock, {
		...silentLogger,
		info(_text, fields = {}) {
			lines.push(fields);
		},
	});
	return {log, lines};
}

// Without the name and the path, a statement that a member ran under another name cannot be traced to the definition of its caller.
test('a line says under which name and on which path a definition was prepared', () => {
	const {log, lines} = createLog();
	log.record(preparation);
	assert.deepEqual(lines, [{
		member: 'a', connection: 2, gateway: 'entry-2', statementName: 's1', access: 'read', definition: 'q7 READ muthfnwx', definitionLength: 16, definitionDigest: lines[0].definitionDigest,
	}]);
	assert.match(String(lines[0].definitionDigest), /^[\da-f]{12}$/v);
});

test('long names and definitions are cut, and told apart by their digest', () => {
	const {log, lines} = createLog();
	for (const end of ['x', 'y']) {
		log.record({...preparation, name: 'n'.repeat(1000), definition: {access: 'write', shape: 'd'.repeat(1000) + end}});
	}

	assert.equal(String(lines[0].statementName).length, 64);
	assert.equal(lines[0].definition, lines[1].definition);
	assert.notEqual(lines[0].definitionDigest, lines[1].definitionDigest);
});

test('a caller with ever new definitions gets at most ten lines a second, and each is counted', () => {
	const clock = new ManualClock();
	const {log, lines} = createLog(clock);
	for (let second = 0; second < 2; second++) {
		for (let count = 0; count < 50; count++) {
			log.record(preparation);
		}

		clock.advance(1000);
	}

	assert.equal(lines.length, 20);
	assert.equal(log.preparedCount, 100);
});
