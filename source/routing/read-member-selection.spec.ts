import assert from 'node:assert/strict';
import {test} from 'node:test';
import {replicaStatus} from '../database-group/member-status-fixture.js';
import {selectReadMember, type ReadCandidate, type ReadRequirements} from './read-member-selection.js';

function candidate(member: string, appliedPosition: number, change: Partial<ReadCandidate> = {}): ReadCandidate {
	const status = {...replicaStatus(member, 2, 20), appliedPosition};
	return {
		status, dataCentre: 'chc-a', isPrimary: member === 'a', freeSlots: 3, slotUtilization: 0, ...change,
	};
}

const requirements: ReadRequirements = {
	neededPoint: {term: 2, position: 10}, localDataCentre: 'chc-a', replicaWaitElapsed: false, slotWaitElapsed: false, failedMembers: new Set(),
};

// The session would not see its own write otherwise.
test('a read is served by a replica that has applied the log position that the session needs', () => {
	const members = [candidate('a', 20), candidate('b', 9), candidate('c', 10)];
	assert.equal(selectReadMember(members, requirements), 'c');
});

test('a read waits for an eligible replica before it goes to the primary', () => {
	const members = [candidate('a', 20), candidate('b', 9)];
	assert.equal(selectReadMember(members, requirements), undefined);
	assert.equal(selectReadMember(members, {...requirements, replicaWaitElapsed: true}), 'a');
});

// Waiting for a replica that does not exist would reject the read.
test('a read goes to the primary at once when there is no replica', () => {
	assert.equal(selectReadMember([candidate('a', 20)], requirements), 'a');
});

// Reads that overflow to the primary would take the capacity that writes need.
test('a read goes to the primary only after it waited for a free slot on the replicas', () => {
	const members = [candidate('a', 20), candidate('b', 10, {freeSlots: 0, slotUtilization: 1})];
	assert.equal(selectReadMember(members, {...requirements, replicaWaitElapsed: true}), undefined);
	assert.equal(selectReadMember(members, {...requirements, slotWaitElapsed: true}), 'a');
});

test('the replica with the lowest slot utilization serves, and on a tie the one in the local data centre', () => {
	const members = [candidate('b', 10, {slotUtilization: 2 / 3}), candidate('c', 10, {slotUtilization: 1 / 3}), candidate('d', 10, {slotUtilization: 1 / 3, dataCentre: 'dun-a'})];
	assert.equal(selectReadMember(members, requirements), 'c');
	assert.equal(selectReadMember(members, {...requirements, localDataCentre: 'dun-a'}), 'd');
});

test('a retry avoids the member on which the read failed unless it is the only one', () => {
	const failedMembers = new Set(['b']);
	assert.equal(selectReadMember([candidate('b', 10), candidate('c', 10, {slotUtilization: 1 / 3})], {...requirements, failedMembers}), 'c');
	assert.equal(selectReadMember([candidate('b', 10)], {...requirements, failedMembers}), 'b');
});

// A former primary may hold many entries that were never acknowledged; a position counts only together with its term.
test('a higher log position of an earlier term does not make a member eligible', () => {
	const stale = candidate('b', 900);
	const old = {...stale, status: {...stale.status, logTerm: 1}};
	assert.equal(selectReadMember([old], {...requirements, replicaWaitElapsed: true}), undefined);
});
