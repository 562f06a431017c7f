import assert from 'node:assert/strict';
import {test} from 'node:test';
import {figure, meetsTarget} from './figure.js';
import {longestGap} from './gap.js';
import {percentile, shareOf} from './percentile.js';

test('a percentile is a measured value at its rank, so that one slow run of a hundred does not count as the 99th', () => {
	const values = Array.from({length: 100}, (_, index) => 100 - index);
	assert.equal(percentile(values, 0.5), 50);
	assert.equal(percentile(values, 0.99), 99);
	assert.equal(percentile(values, 1), 100);
	assert.equal(percentile([7], 0.99), 7);
	assert.ok(Number.isNaN(percentile([], 0.5)));
	assert.ok(Number.isNaN(shareOf(0, 0)));
});

test('a gap counts from the last accepted write before the fault and not from the fault', () => {
	assert.equal(longestGap([10, 20, 530, 540], 25, 550), 510);
	assert.equal(longestGap([540, 20, 10, 530], 25, 550), 510);
});

test('a write answered just after the fault does not hide the gap that follows', () => {
	assert.equal(longestGap([10, 20, 30, 530], 25, 540), 500);
});

test('a pause before the fault is not a failover gap', () => {
	assert.equal(longestGap([0, 900, 910, 920], 905, 925), 10);
});

test('a gap that has not ended is not taken for a short one', () => {
	assert.equal(longestGap([0, 10, 25], 20, 12_000), 11_975);
	assert.equal(longestGap([], 20, 12_000), 0);
});

test('a target is met in its own direction only', () => {
	const base = {
		measure: 'm', workload: 'w', unit: 'ms', runs: 1,
	};
	assert.equal(meetsTarget(figure(1, {...base, value: 5, target: 4})), false);
	assert.equal(meetsTarget(figure(1, {
		...base, value: 5, target: 4, direction: 'atLeast',
	})), true);
	assert.equal(meetsTarget(figure(1, {...base, value: 5})), undefined);
});
