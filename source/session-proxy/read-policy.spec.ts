import assert from 'node:assert/strict';
import {test} from 'node:test';
import {orderMembersForRead, type MemberCandidate, type ReadRequirement} from './read-policy.js';

const required = {term: 1, position: 5};

function candidate(id: string, changes: Partial<MemberCandidate> = {}): MemberCandidate {
	return {
		id,
		isPrimary: false,
		isInSameDataCentre: true,
		isFailing: false,
		isAvoided: false,
		load: 0,
		expectedReplyTime: 5,
		logPosition: undefined,
		logPositionAge: 0,
		recoveryShare: 1,
		isEjected: false,
		...changes,
	};
}

function order(candidates: readonly MemberCandidate[], changes: Partial<ReadRequirement> = {}): string {
	return orderMembersForRead(candidates, {required, consistency: 'readYourWrites', ...changes}).map(({id}) => id).join('');
}

// Guards against a flooded server: right after its start it has no reply time and no load, and would be the first for every read.
test('a recovering member precedes the others only for its share of the reads', () => {
	const candidates = [candidate('a', {recoveryShare: 0.25, expectedReplyTime: 0}), candidate('b'), candidate('c', {isInSameDataCentre: false})];
	assert.equal(order(candidates, {draw: 0.24}), 'abc');
	assert.equal(order(candidates, {draw: 0.25}), 'bca');
});

// A recovering member can serve the read, although slowly; the others cannot.
test('a recovering member precedes members that are failing, avoided or behind', () => {
	const behind = {logPosition: {term: 1, position: 4}};
	assert.equal(order([candidate('a', {isFailing: true}), candidate('b', {isAvoided: true}), candidate('c', behind), candidate('d', {recoveryShare: 0.1})], {draw: 0.9}), 'dbca');
});

test('members that all recover keep their order', () => {
	const changes = {recoveryShare: 0.1};
	assert.equal(order([candidate('a', {...changes, load: 3}), candidate('b', changes), candidate('c', {...changes, load: 1})], {draw: 0.9}), 'bca');
});

// A replica of unknown freshness would refuse the read, which costs a round trip.
test('on a route with primary consistency only replicas that are known to be fresh enough precede a recovering primary', () => {
	const primary = candidate('a', {isPrimary: true, recoveryShare: 0.25});
	const fresh = candidate('c', {logPosition: required});
	assert.equal(order([candidate('b'), primary, fresh], {consistency: 'primary', draw: 0.9}), 'cab');
	assert.equal(order([candidate('b'), primary, fresh], {consistency: 'primary', draw: 0.1}), 'abc');
	assert.equal(order([candidate('b'), primary], {consistency: 'primary', draw: 0.9}), 'ab');
});

// A primary that refused the read as busy recovers only when reads that replicas can serve stay away.
test('replicas that are known to be fresh enough precede a primary at which the read was tried', () => {
	const primary = candidate('a', {isPrimary: true});
	const fresh = candidate('c', {logPosition: required});
	assert.equal(order([candidate('b'), primary, fresh], {consistency: 'primary', wasTriedAtPrimary: true}), 'cab');
});

// Guards the order of deployments in which no member recovers.
test('without a recovering member the draw has no effect', () => {
	const candidates = [candidate('a', {isPrimary: true}), candidate('b', {load: 2}), candidate('c', {logPosition: required})];
	for (const consistency of ['primary', 'boundedStaleness', 'readYourWrites'] as const) {
		assert.equal(order(candidates, {consistency, draw: 0.99}), order(candidates, {consistency}));
	}

	assert.equal(order(candidates, {consistency: 'primary', draw: 0.99}), 'acb');
	assert.equal(order(candidates, {draw: 0.99}), 'cab');
});

// Guards against both faults: reads that fail although another member would serve them, and reads that are refused because the only fresh member is ejected.
test('an ejected member follows those that can serve the read and precedes those that cannot', () => {
	const behind = {logPosition: {term: 1, position: 4}};
	const ejected = candidate('a', {isEjected: true, expectedReplyTime: 0});
	assert.equal(order([ejected, candidate('b', {isInSameDataCentre: false}), candidate('c', {recoveryShare: 0.1})], {draw: 0.9}), 'bca');
	assert.equal(order([candidate('b', behind), candidate('c', {isFailing: true}), ejected]), 'abc');
});
