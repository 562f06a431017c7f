import assert from 'node:assert/strict';
import {test} from 'node:test';
import {describeTimeout} from './describe-timeout.js';

// Timeouts are computed from deadlines, which may have passed, or may be infinite.
test('a timeout that is not a positive number of milliseconds is described in words', () => {
	const numbers = [12.4, 0.4, 0, -1, Number.POSITIVE_INFINITY, Number.NaN];
	assert.deepEqual(numbers.map(timeout => describeTimeout(timeout)), [
		'within 12 ms',
		'before the deadline, which had passed',
		'before the deadline, which had passed',
		'before the deadline, which had passed',
		'without a time limit',
		'without a time limit',
	]);
});
