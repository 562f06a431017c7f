import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	coversLogPosition, freshnessFloor, isWriteConfirmed, mayServeRead, knownAppliedLogPosition,
} from './log-position-rules.js';
import {replicaStatus} from './member-status-fixture.js';

test('a member whose log has diverged into another term does not confirm a write', () => {
	const statuses = [replicaStatus('a', 1, 10), replicaStatus('b', 2, 12), replicaStatus('c', 1, 9)];
	assert.equal(isWriteConfirmed({term: 1, position: 10}, 'a', statuses, 3), false);
	assert.equal(isWriteConfirmed({term: 1, position: 9}, 'a', statuses, 3), true);
});

test('a majority without the primary does not confirm a write', () => {
	const statuses = [replicaStatus('b', 1, 10), replicaStatus('c', 1, 10)];
	assert.equal(isWriteConfirmed({term: 1, position: 10}, 'a', statuses, 3), false);
});

// An isolated primary alone must not create a floor, because it may miss later writes.
test('a floor requires responses of a majority to requests sent at its start or later', () => {
	const observations = [{askedAt: 5, status: replicaStatus('a', 1, 10)}, {askedAt: 3, status: replicaStatus('b', 1, 10)}];
	assert.equal(freshnessFloor(5, observations, 3), undefined);
	assert.deepEqual(freshnessFloor(3, observations, 3), {startedAt: 3, logPosition: {term: 1, position: 10}});
});

// Reads would otherwise wait for a position that no member ever reaches.
test('the unacknowledged tail of a former primary does not raise the floor above the log of the new term', () => {
	const floor = freshnessFloor(0, [{askedAt: 0, status: replicaStatus('a', 1, 50)}, {askedAt: 0, status: replicaStatus('b', 2, 12)}], 3);
	assert.deepEqual(floor?.logPosition, {term: 2, position: 12});
	assert.equal(coversLogPosition({term: 1, position: 50}, {term: 2, position: 12}), false);
});

test('a replica that has received a later term but not applied an earlier write does not serve the session that wrote it', () => {
	const applying = {...replicaStatus('c', 2, 12), appliedPosition: 8};
	assert.equal(mayServeRead(applying, {term: 1, position: 10}), false);
	assert.equal(mayServeRead({...applying, appliedPosition: 10}, {term: 1, position: 10}), true);
	assert.equal(mayServeRead(replicaStatus('c', 2, 12), {term: 1, position: 50}), true);
});

// A session token below the session's own write would let its next read miss that write.
test('the position returned by a read on a replica that is still applying entries is not below the needed one', () => {
	const applying = {...replicaStatus('c', 2, 12), appliedPosition: 8};
	assert.deepEqual(knownAppliedLogPosition(applying, {term: 1, position: 7}), {term: 1, position: 7});
	assert.deepEqual(knownAppliedLogPosition(applying, {term: 2, position: 7}), {term: 2, position: 8});
	assert.deepEqual(knownAppliedLogPosition(replicaStatus('c', 2, 12), {term: 1, position: 7}), {term: 2, position: 12});
});
