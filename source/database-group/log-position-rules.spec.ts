import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	coversLogPosition, freshnessFloor, isWriteConfirmed, mayServeRead, knownAppliedLogPosition,
} from './log-position-rules.js';
import {replicaStatus} from './member-status-fixture.js';

test('a write is not confirmed by a member whose log diverged into another term', () => {
	const statuses = [replicaStatus('a', 1, 10), replicaStatus('b', 2, 12), replicaStatus('c', 1, 9)];
	assert.equal(isWriteConfirmed({term: 1, position: 10}, 'a', statuses, 3), false);
	assert.equal(isWriteConfirmed({term: 1, position: 9}, 'a', statuses, 3), true);
});

test('a write is not confirmed by a majority that lacks the primary', () => {
	const statuses = [replicaStatus('b', 1, 10), replicaStatus('c', 1, 10)];
	assert.equal(isWriteConfirmed({term: 1, position: 10}, 'a', statuses, 3), false);
});

test('a floor needs a majority asked after its start, so that an isolated primary alone makes none', () => {
	const observations = [{askedAt: 5, status: replicaStatus('a', 1, 10)}, {askedAt: 3, status: replicaStatus('b', 1, 10)}];
	assert.equal(freshnessFloor(5, observations, 3), undefined);
	assert.deepEqual(freshnessFloor(3, observations, 3), {startedAt: 3, point: {term: 1, position: 10}});
});

test('the unacknowledged tail of an old primary does not make a floor that the new log cannot reach', () => {
	const floor = freshnessFloor(0, [{askedAt: 0, status: replicaStatus('a', 1, 50)}, {askedAt: 0, status: replicaStatus('b', 2, 12)}], 3);
	assert.deepEqual(floor?.point, {term: 2, position: 12});
	assert.equal(coversLogPosition({term: 1, position: 50}, {term: 2, position: 12}), false);
});

test('a replica that has received a later term but not yet applied an earlier write does not serve the session that wrote it', () => {
	const applying = {...replicaStatus('c', 2, 12), appliedPosition: 8};
	assert.equal(mayServeRead(applying, {term: 1, position: 10}), false);
	assert.equal(mayServeRead({...applying, appliedPosition: 10}, {term: 1, position: 10}), true);
	assert.equal(mayServeRead(replicaStatus('c', 2, 12), {term: 1, position: 50}), true);
});

test('a read on a replica that still applies entries does not give a session a token without its own write', () => {
	const applying = {...replicaStatus('c', 2, 12), appliedPosition: 8};
	assert.deepEqual(knownAppliedLogPosition(applying, {term: 1, position: 7}), {term: 1, position: 7});
	assert.deepEqual(knownAppliedLogPosition(applying, {term: 2, position: 7}), {term: 2, position: 8});
	assert.deepEqual(knownAppliedLogPosition(replicaStatus('c', 2, 12), {term: 1, position: 7}), {term: 2, position: 12});
});
