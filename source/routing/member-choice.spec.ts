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

const question: ReadRequirements = {
	neededPoint: {term: 2, position: 10}, localDataCentre: 'chc-a', replicaWaitElapsed: false, slotWaitElapsed: false, failedMembers: new Set(),
};

test('a replica that has not applied the session\'s own write does not serve it', () => {
	const members = [candidate('a', 20), candidate('b', 9), candidate('c', 10)];
	assert.equal(selectReadMember(members, question), 'c');
});

test('a read waits for a replica before it goes to the primary', () => {
	const members = [candidate('a', 20), candidate('b', 9)];
	assert.equal(selectReadMember(members, question), undefined);
	assert.equal(selectReadMember(members, {...question, replicaWaitElapsed: true}), 'a');
});

test('a read goes to the primary at once when no replica is left, so that it is not rejected', () => {
	assert.equal(selectReadMember([candidate('a', 20)], question), 'a');
});

test('reads do not move to the primary merely because the replicas are busy', () => {
	const members = [candidate('a', 20), candidate('b', 10, {freeSlots: 0, slotUtilization: 1})];
	assert.equal(selectReadMember(members, {...question, replicaWaitElapsed: true}), undefined);
	assert.equal(selectReadMember(members, {...question, slotWaitElapsed: true}), 'a');
});

test('the least used replica serves, and the own data centre on a tie', () => {
	const members = [candidate('b', 10, {slotUtilization: 2 / 3}), candidate('c', 10, {slotUtilization: 1 / 3}), candidate('d', 10, {slotUtilization: 1 / 3, dataCentre: 'dun-a'})];
	assert.equal(selectReadMember(members, question), 'c');
	assert.equal(selectReadMember(members, {...question, localDataCentre: 'dun-a'}), 'd');
});

test('a retry avoids the member that failed unless it is the only one', () => {
	const failedMembers = new Set(['b']);
	assert.equal(selectReadMember([candidate('b', 10), candidate('c', 10, {slotUtilization: 1 / 3})], {...question, failedMembers}), 'c');
	assert.equal(selectReadMember([candidate('b', 10)], {...question, failedMembers}), 'b');
});

test('a long unacknowledged tail of an earlier term does not make a member eligible', () => {
	const stale = candidate('b', 900);
	const old = {...stale, status: {...stale.status, logTerm: 1}};
	assert.equal(selectReadMember([old], {...question, replicaWaitElapsed: true}), undefined);
});
