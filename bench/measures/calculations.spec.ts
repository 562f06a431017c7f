import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBenchmarkResult, meetsTarget} from './benchmark-result.js';
import {longestGap} from './longest-gap.js';
import {percentile, ratioOf} from './percentile.js';

// A rank that is one too high would make the slowest of 100 runs the 99th percentile.
test('a percentile is the measured value at its nearest rank', () => {
	const values = Array.from({length: 100}, (_, index) => 100 - index);
	assert.equal(percentile(values, 0.5), 50);
	assert.equal(percentile(values, 0.99), 99);
	assert.equal(percentile(values, 1), 100);
	assert.equal(percentile([7], 0.99), 7);
	assert.ok(Number.isNaN(percentile([], 0.5)));
	assert.ok(Number.isNaN(ratioOf(0, 0)));
});

test('a gap starts at the last accepted write before the fault, not at the fault', () => {
	assert.equal(longestGap([10, 20, 530, 540], 25, 550), 510);
	assert.equal(longestGap([540, 20, 10, 530], 25, 550), 510);
});

// A write in flight at the time of the fault may still be acknowledged.
test('a write accepted just after the fault does not hide the gap that follows it', () => {
	assert.equal(longestGap([10, 20, 30, 530], 25, 540), 500);
});

test('a gap that ends before the fault does not count', () => {
	assert.equal(longestGap([0, 900, 910, 920], 905, 925), 10);
});

// Without the end of the observation, a failover that never completes would have the shortest gap.
test('a gap that has not ended counts up to the end of the observation', () => {
	assert.equal(longestGap([0, 10, 25], 20, 12_000), 11_975);
	assert.equal(longestGap([], 20, 12_000), 0);
});

test('a target is an upper bound or a lower bound as its direction says', () => {
	const base = {
		measure: 'm', workload: 'w', unit: 'ms', runs: 1,
	};
	assert.equal(meetsTarget(createBenchmarkResult(1, {...base, value: 5, target: 4})), false);
	assert.equal(meetsTarget(createBenchmarkResult(1, {
		...base, value: 5, target: 4, direction: 'atLeast',
	})), true);
	assert.equal(meetsTarget(createBenchmarkResult(1, {...base, value: 5})), undefined);
});
