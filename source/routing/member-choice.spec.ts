import assert from 'node:assert/strict';
import {test} from 'node:test';
import {replicaStatus} from '../database-group/member-status-fixture.js';
import {chooseReadMember, type ReadCandidate, type ReadQuestion} from './member-choice.js';

function candidate(member: string, appliedPosition: number, change: Partial<ReadCandidate> = {}): ReadCandidate {
	const status = {...replicaStatus(member, 2, 20), appliedPosition};
	return {
		status, dataCentre: 'chc-a', isPrimary: member === 'a', freeSlots: 3, slotUse: 0, ...change,
	};
}

const question: ReadQuestion = {
	neededPoint: {term: 2, position: 10}, localDataCentre: 'chc-a', waitedForReplica: false, waitedForSlot: false, failedMembers: new Set(),
};

test('a replica that has not applied the session\'s own write does not serve it', () => {
	const members = [candidate('a', 20), candidate('b', 9), candidate('c', 10)];
	assert.equal(chooseReadMember(members, question), 'c');
});

test('a read waits for a replica before it goes to the primary', () => {
	const members = [candidate('a', 20), candidate('b', 9)];
	assert.equal(chooseReadMember(members, question), undefined);
	assert.equal(chooseReadMember(members, {...question, waitedForReplica: true}), 'a');
});

test('a read goes to the primary at once when no replica is left, so that it is not rejected', () => {
	assert.equal(chooseReadMember([candidate('a', 20)], question), 'a');
});

test('reads do not move to the primary merely because the replicas are busy', () => {
	const members = [candidate('a', 20), candidate('b', 10, {freeSlots: 0, slotUse: 1})];
	assert.equal(chooseReadMember(members, {...question, waitedForReplica: true}), undefined);
	assert.equal(chooseReadMember(members, {...question, waitedForSlot: true}), 'a');
});

test('the least used replica serves, and the own data centre on a tie', () => {
	const members = [candidate('b', 10, {slotUse: 2 / 3}), candidate('c', 10, {slotUse: 1 / 3}), candidate('d', 10, {slotUse: 1 / 3, dataCentre: 'dun-a'})];
	assert.equal(chooseReadMember(members, question), 'c');
	assert.equal(chooseReadMember(members, {...question, localDataCentre: 'dun-a'}), 'd');
});

test('a retry avoids the member that failed unless it is the only one', () => {
	const failedMembers = new Set(['b']);
	assert.equal(chooseReadMember([candidate('b', 10), candidate('c', 10, {slotUse: 1 / 3})], {...question, failedMembers}), 'c');
	assert.equal(chooseReadMember([candidate('b', 10)], {...question, failedMembers}), 'b');
});

test('a long unacknowledged tail of an earlier term does not make a member eligible', () => {
	const stale = candidate('b', 900);
	const old = {...stale, status: {...stale.status, logTerm: 1}};
	assert.equal(chooseReadMember([old], {...question, waitedForReplica: true}), undefined);
});
