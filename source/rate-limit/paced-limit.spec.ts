import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PacedLimit} from './paced-limit.js';

const window = 5000;
const step = 50;

/** Plays a demand in operations per second against the limit, with a window that is exact. Returns the admitted operations of each second. */
function play(demand: (second: number) => number, seconds: number, limit: {readonly maximum: number; readonly atRate: number}): readonly number[] {
	const steps: number[] = [];
	const pace = new PacedLimit(0, 0, window);
	for (let at = 0; at < seconds * 1000; at += step) {
		const used = steps.slice(-window / step).reduce((sum, count) => sum + count, 0);
		const allowed = pace.update(used, limit, at);
		steps.push(Math.max(0, Math.min(demand(Math.floor(at / 1000)) * step / 1000, allowed - used)));
	}

	return Array.from({length: seconds}, (_, second) => steps.slice(second * 1000 / step, (second + 1) * 1000 / step).reduce((sum, count) => sum + count, 0));
}

// A customer at 5.5 times its usual rate had 0.9 s of service, and then none for 4 s.
test('a customer far above its rate gets its burst at once, and is served in each of the next seconds', () => {
	const limit = {maximum: 1800, atRate: 900};
	const admitted = play(second => second < 5 ? 112 : 620, 10, limit);
	assert.ok(admitted[5] >= 600, `${admitted.join(' ')}`);
	for (const second of [6, 7, 8, 9]) {
		assert.ok(admitted[second] >= 100 && admitted[second] <= 620, `${admitted[second]} operations in second ${second}`);
	}

	assert.ok(admitted[7] >= 180, `${admitted[7]} operations in second 7`);
});

// A bound below the limit would refuse a customer within its limit.
test('a customer at its rate is never refused, also from its first second on and after a pause', () => {
	const limit = {maximum: 1100, atRate: 900};
	const admitted = play(second => second >= 6 && second < 9 ? 0 : 180, 20, limit);
	for (const [second, count] of admitted.entries()) {
		assert.ok(second >= 6 && second < 9 ? count === 0 : count >= 179, `${count} operations in second ${second}`);
	}
});

// The maximum is 95% of what is permitted, so that without a burst it is below the operations at the rate.
test('a customer without a burst is admitted as well', () => {
	const admitted = play(() => 18, 10, {maximum: 95, atRate: 100});
	for (const [second, count] of admitted.entries()) {
		assert.ok(count >= 17.9, `${count} operations in second ${second}`);
	}
});

// The permitted sum of a window holds whatever the pace allows.
test('no window exceeds the maximum', () => {
	const limit = {maximum: 1100, atRate: 900};
	const admitted = play(second => second % 7 < 2 ? 3000 : 0, 40, limit);
	for (let second = 0; second + 5 <= admitted.length; second++) {
		assert.ok(admitted.slice(second, second + 5).reduce((sum, count) => sum + count, 0) <= limit.maximum + 1);
	}
});
