import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {type Milliseconds} from '../clock/clock.js';
import {Freshness} from './freshness-tracker.js';

class SuspendedClock extends ManualClock {
	suspended = Number.NEGATIVE_INFINITY;

	override lastSuspectedSuspension(): Milliseconds {
		return this.suspended;
	}
}

test('the oldest floor that is new enough is taken, so that replicas reach it first', () => {
	const freshness = new Freshness(new ManualClock());
	for (const [position, startedAt] of [[1, 0], [2, 200], [3, 400], [4, 600]]) {
		freshness.add({member: 'a', point: {term: 1, position}, startedAt});
	}

	assert.deepEqual(freshness.pointSince(150, undefined), {term: 1, position: 2});
	assert.deepEqual(freshness.pointSince(600, undefined), {term: 1, position: 4});
	assert.equal(freshness.pointSince(601, undefined), undefined);
});

test('the own last commit is never left out', () => {
	const freshness = new Freshness(new ManualClock());
	freshness.add({member: 'a', point: {term: 1, position: 5}, startedAt: 100});
	assert.deepEqual(freshness.pointSince(0, {member: 'a', point: {term: 1, position: 7}, acknowledgedAt: 120}), {term: 1, position: 7});
	assert.deepEqual(freshness.pointSince(0, {member: 'a', point: {term: 1, position: 3}, acknowledgedAt: 20}), {term: 1, position: 5});
});

test('floors of an earlier term are void after a promotion, which may have discarded what they name', () => {
	const freshness = new Freshness(new ManualClock());
	freshness.add({member: 'a', point: {term: 1, position: 50}, startedAt: 100});
	freshness.add({member: 'b', point: {term: 2, position: 40}, startedAt: 200});
	assert.deepEqual(freshness.pointSince(0, undefined), {term: 2, position: 40});
	freshness.add({member: 'a', point: {term: 1, position: 60}, startedAt: 300});
	assert.deepEqual(freshness.pointSince(150, undefined), {term: 2, position: 40});
});

test('a commit of an earlier term needs a floor that was asked for after it', () => {
	const freshness = new Freshness(new ManualClock());
	const own = {member: 'a', point: {term: 1, position: 50}, acknowledgedAt: 250};
	freshness.add({member: 'b', point: {term: 2, position: 40}, startedAt: 200});
	assert.equal(freshness.pointSince(0, own), undefined);
	freshness.add({member: 'b', point: {term: 2, position: 41}, startedAt: 300});
	assert.deepEqual(freshness.pointSince(0, own), {term: 2, position: 41});
});

test('a commit of an earlier term does not lower the point that the stated age asks for', () => {
	const freshness = new Freshness(new ManualClock());
	const own = {member: 'a', point: {term: 1, position: 50}, acknowledgedAt: 250};
	for (const [position, startedAt] of [[41, 300], [60, 600], [80, 900]]) {
		freshness.add({member: 'b', point: {term: 2, position}, startedAt});
	}

	assert.deepEqual(freshness.pointSince(500, own), {term: 2, position: 60});
});

test('a new primary whose log still ends in the earlier term makes the floors of the old one void', () => {
	const freshness = new Freshness(new ManualClock());
	freshness.add({member: 'a', point: {term: 1, position: 50}, startedAt: 100});
	freshness.add({member: 'b', point: {term: 1, position: 40}, startedAt: 200});
	assert.deepEqual(freshness.pointSince(0, undefined), {term: 1, position: 40}, 'no member holds what was rolled back');
	assert.equal(freshness.pointSince(0, {member: 'a', point: {term: 1, position: 50}, acknowledgedAt: 250}), undefined);
	assert.deepEqual(freshness.pointSince(0, {member: 'a', point: {term: 1, position: 50}, acknowledgedAt: 150}), {term: 1, position: 40});
	freshness.add({member: 'a', point: {term: 1, position: 50}, startedAt: 150});
	assert.deepEqual(freshness.pointSince(0, undefined), {term: 1, position: 40}, 'a late answer of the old primary');
});

test('floors from before a suspension of the instance are not used, since their age is unknown', () => {
	const clock = new SuspendedClock();
	const freshness = new Freshness(clock);
	freshness.add({member: 'a', point: {term: 1, position: 5}, startedAt: 100});
	clock.suspended = 150;
	assert.equal(freshness.pointSince(0, undefined), undefined);
	freshness.add({member: 'a', point: {term: 1, position: 6}, startedAt: 200});
	assert.deepEqual(freshness.pointSince(0, undefined), {term: 1, position: 6});
});
