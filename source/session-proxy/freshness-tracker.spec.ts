import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {type Milliseconds} from '../clock/clock.js';
import {initialLogPosition} from '../database-group/log-position-rules.js';
import {positionAfterCommit, type StatementReply} from '../statement/types.js';
import {FreshnessTracker} from './freshness-tracker.js';

class SuspendedClock extends ManualClock {
	suspendedAt = Number.NEGATIVE_INFINITY;

	override lastSuspectedSuspension(): Milliseconds {
		return this.suspendedAt;
	}
}

test('the required position is that of the oldest floor that is recent enough', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	for (const [position, startedAt] of [[1, 0], [2, 200], [3, 400], [4, 600]]) {
		freshness.add({member: 'a', logPosition: {term: 1, position}, startedAt});
	}

	assert.deepEqual(freshness.requiredPosition(150, undefined), {term: 1, position: 2});
	assert.deepEqual(freshness.requiredPosition(600, undefined), {term: 1, position: 4});
	assert.equal(freshness.requiredPosition(601, undefined), undefined);
});

test('the required position includes the last commit of the session', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	freshness.add({member: 'a', logPosition: {term: 1, position: 5}, startedAt: 100});
	assert.deepEqual(freshness.requiredPosition(0, {member: 'a', logPosition: {term: 1, position: 7}, acknowledgedAt: 120}), {term: 1, position: 7});
	assert.deepEqual(freshness.requiredPosition(0, {member: 'a', logPosition: {term: 1, position: 3}, acknowledgedAt: 20}), {term: 1, position: 5});
});

// A promotion may have discarded the log entries up to the floors of the earlier term.
test('a floor with a later term invalidates the floors of earlier terms', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	freshness.add({member: 'a', logPosition: {term: 1, position: 50}, startedAt: 100});
	freshness.add({member: 'b', logPosition: {term: 2, position: 40}, startedAt: 200});
	assert.deepEqual(freshness.requiredPosition(0, undefined), {term: 2, position: 40});
	freshness.add({member: 'a', logPosition: {term: 1, position: 60}, startedAt: 300});
	assert.deepEqual(freshness.requiredPosition(150, undefined), {term: 2, position: 40});
});

// Before such a floor is known, nothing shows whether the commit survived the promotion.
test('a commit of an earlier term requires a floor that was requested after the commit', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	const lastCommit = {member: 'a', logPosition: {term: 1, position: 50}, acknowledgedAt: 250};
	freshness.add({member: 'b', logPosition: {term: 2, position: 40}, startedAt: 200});
	assert.equal(freshness.requiredPosition(0, lastCommit), undefined);
	freshness.add({member: 'b', logPosition: {term: 2, position: 41}, startedAt: 300});
	assert.deepEqual(freshness.requiredPosition(0, lastCommit), {term: 2, position: 41});
});

test('a commit of an earlier term does not lower the position that the maximum staleness requires', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	const lastCommit = {member: 'a', logPosition: {term: 1, position: 50}, acknowledgedAt: 250};
	for (const [position, startedAt] of [[41, 300], [60, 600], [80, 900]]) {
		freshness.add({member: 'b', logPosition: {term: 2, position}, startedAt});
	}

	assert.deepEqual(freshness.requiredPosition(500, lastCommit), {term: 2, position: 60});
});

// The log of a new primary ends in the earlier term until its first commit, so the term alone does not show the promotion.
test('a later floor from another member invalidates the floors of the old primary, also in the same term', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	freshness.add({member: 'a', logPosition: {term: 1, position: 50}, startedAt: 100});
	freshness.add({member: 'b', logPosition: {term: 1, position: 40}, startedAt: 200});
	assert.deepEqual(freshness.requiredPosition(0, undefined), {term: 1, position: 40}, 'position 50 was rolled back and no member reaches it');
	assert.equal(freshness.requiredPosition(0, {member: 'a', logPosition: {term: 1, position: 50}, acknowledgedAt: 250}), undefined);
	assert.deepEqual(freshness.requiredPosition(0, {member: 'a', logPosition: {term: 1, position: 50}, acknowledgedAt: 150}), {term: 1, position: 40});
	freshness.add({member: 'a', logPosition: {term: 1, position: 50}, startedAt: 150});
	assert.deepEqual(freshness.requiredPosition(0, undefined), {term: 1, position: 40}, 'a late reply of the old primary is ignored');
});

// After two failovers, the successor may lack the log entries of a whole term. Reads would require a position of that term, which no member reaches before the next commit.
test('a floor of a later term replaces the earlier ones although its log ends in an earlier term', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	freshness.add({member: 'b', logPosition: {term: 2, position: 50}, startedAt: 100});
	freshness.add({
		member: 'c', logPosition: {term: 1, position: 40}, startedAt: 200, primaryTerm: 3,
	});
	assert.deepEqual(freshness.requiredPosition(0, undefined), {term: 1, position: 40});
	assert.deepEqual(freshness.requiredPosition(0, {member: 'b', logPosition: {term: 2, position: 50}, acknowledgedAt: 150}), {term: 1, position: 40});
	freshness.add({member: 'b', logPosition: {term: 2, position: 51}, startedAt: 300});
	assert.deepEqual(freshness.requiredPosition(0, undefined), {term: 1, position: 40}, 'a primary of an earlier term is superseded');
});

// The positions that a promotion rolled back are reached by no member until the primary has committed as much again.
test('a lower position of the same primary replaces higher ones, also that of the last commit of the session', () => {
	const freshness = new FreshnessTracker(new ManualClock());
	freshness.add({member: 'a', logPosition: {term: 2, position: 50}, startedAt: 100});
	freshness.add({member: 'a', logPosition: {term: 2, position: 40}, startedAt: 300});
	assert.deepEqual(freshness.requiredPosition(0, undefined), {term: 2, position: 40});
	assert.deepEqual(freshness.requiredPosition(0, {member: 'a', logPosition: {term: 2, position: 51}, acknowledgedAt: 150}), {term: 2, position: 40});
	assert.deepEqual(freshness.requiredPosition(0, {member: 'a', logPosition: {term: 2, position: 45}, acknowledgedAt: 310}), {term: 2, position: 45});
});

// The clock stands still during a suspension, so the ages of older floors are not known.
test('floors from before a suspension of the instance are not used', () => {
	const clock = new SuspendedClock();
	const freshness = new FreshnessTracker(clock);
	freshness.add({member: 'a', logPosition: {term: 1, position: 5}, startedAt: 100});
	clock.suspendedAt = 150;
	assert.equal(freshness.requiredPosition(0, undefined), undefined);
	freshness.add({member: 'a', logPosition: {term: 1, position: 6}, startedAt: 200});
	assert.deepEqual(freshness.requiredPosition(0, undefined), {term: 1, position: 6});
});

// Without a position, the commit was forgotten, and the next read of the session could run on a replica that lacks it.
test('after a commit whose position is not known, a floor that was requested since then is needed', () => {
	const clock = new ManualClock();
	const freshness = new FreshnessTracker(clock);
	freshness.add({member: 'a', logPosition: initialLogPosition, startedAt: 100});
	const reply: StatementReply = {
		outcome: 'done', rows: [], signature: 'signed a', transaction: 'idle', point: initialLogPosition,
	};
	const lastCommit = {member: 'a', logPosition: positionAfterCommit(reply), acknowledgedAt: 120};
	assert.equal(freshness.requiredPosition(0, lastCommit), undefined);
	freshness.add({member: 'a', logPosition: {term: 1, position: 1}, startedAt: 200});
	assert.deepEqual(freshness.requiredPosition(0, lastCommit), {term: 1, position: 1});
	assert.equal(positionAfterCommit({...reply, point: {term: 1, position: 1}})?.position, 1);
});
