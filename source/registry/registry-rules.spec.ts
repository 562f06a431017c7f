import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {chooseCandidate, isPrimaryLost} from '../promotion/promotion-decision.js';
import {selectInitialVoters} from './bootstrap-rules.js';
import {encodeReachability, ReachabilityReports} from './reachability-reports.js';
import {type ControlRecord} from './messages.js';

function control(name: string, changes: Partial<ControlRecord> = {}): ControlRecord {
	return {
		name, diskId: `disk-${name}`, address: `${name}:1`, controlAddress: `${name}:2`, dataCentre: 'here', region: 'region', group: null, mayBootstrap: true, ...changes,
	};
}

const controls = ['a', 'b', 'c', 'd', 'e'].map(name => control(name));

// Guards against two instances that set different voter lists, and against a list without a majority after the tolerated disk losses.
test('only the first seed sets the initial voter list, and only with enough instances that have no voter list yet', () => {
	const input = {
		self: controls[1], live: controls, seeds: ['c:1', 'b:1', 'd:1'], toleratedDiskLosses: 2,
	};
	assert.deepEqual(selectInitialVoters(input)?.map(record => record.name), ['b', 'a', 'c', 'd', 'e']);
	assert.equal(selectInitialVoters({...input, self: controls[2]}), undefined, 'another seed sets the list');
	assert.equal(selectInitialVoters({...input, live: controls.slice(0, 4)}), undefined, 'too few instances');
	assert.equal(selectInitialVoters({...input, self: {...controls[1], mayBootstrap: false}}), undefined, 'an instance whose disk was lost');
	assert.equal(selectInitialVoters({...input, self: {...controls[1], group: 'group'}}), undefined, 'a voter list exists already');
});

test('a backend server counts as reached after a recent answer, and as failed once attempts have failed for the requested time', () => {
	const clock = new ManualClock();
	const reports = new ReachabilityReports(clock);
	reports.receive('first', 'entry', encodeReachability([{id: 'a', answeredAgo: 100, failingFor: 0}, {id: 'b', answeredAgo: null, failingFor: 0}]));
	reports.receive('second', 'entry', encodeReachability([{id: 'a', answeredAgo: 900, failingFor: 700}]));
	assert.deepEqual(reports.count('a', 600), {reached: 1, failed: 1});
	assert.deepEqual(reports.count('a', 800), {reached: 1, failed: 0});
	assert.deepEqual(reports.count('b', 600), {reached: 0, failed: 0});
	clock.advance(2000);
	assert.deepEqual(reports.count('a', 600), {reached: 0, failed: 0}, 'expired reports must not count');
});

// Guards against the replacement of a primary that only the leader and one entry cannot reach.
test('the leader counts the reports of entries that watch other control instances', () => {
	const clock = new ManualClock();
	const reached = encodeReachability([{id: 'a', answeredAgo: 100, failingFor: 0}]);
	const observer = new ReachabilityReports(clock);
	for (const name of ['first', 'second', 'third']) {
		observer.receive(name, 'entry', reached);
	}

	observer.receive('fourth', 'entry', encodeReachability([{id: 'a', answeredAgo: 900, failingFor: 700}]));
	const leader = new ReachabilityReports(clock);
	leader.receiveFromControl('observer', {own: reached, entries: observer.summary(600)});
	assert.deepEqual(leader.count('a', 600), {reached: 4, failed: 1}, 'all reports of the entries must count');
	clock.advance(2000);
	assert.deepEqual(leader.count('a', 600), {reached: 0, failed: 0});
});

// Guards against a second primary: a primary that some instance reaches may still acknowledge writes.
test('a primary counts as lost only when some instance fails to reach it and none reaches it', () => {
	assert.equal(isPrimaryLost({reached: 10, failed: 1}), false);
	assert.equal(isPrimaryLost({reached: 0, failed: 0}), false);
	assert.equal(isPrimaryLost({reached: 15, failed: 5}), false);
	assert.equal(isPrimaryLost({reached: 1, failed: 20}), false);
	assert.equal(isPrimaryLost({reached: 0, failed: 1}), true);
});

test('the replica with the highest received log position is promoted, unless it is leaving or cannot be reached', () => {
	const contact = {reached: 5, failed: 0};
	const candidates = [
		{
			id: 'a', received: {term: 1, position: 9}, isLeaving: false, contact,
		},
		{
			id: 'b', received: {term: 2, position: 3}, isLeaving: false, contact,
		},
		{
			id: 'c', received: {term: 2, position: 5}, isLeaving: true, contact,
		},
		{
			id: 'd', received: {term: 2, position: 6}, isLeaving: false, contact: {reached: 0, failed: 5},
		},
	];
	assert.equal(chooseCandidate({candidates, missing: ['e']}, 0)?.id, 'b');
	assert.equal(chooseCandidate({candidates: [], missing: []}, 0), undefined);
});

// A replica that is leaving was left out before the logs were compared, and another one that lacked acknowledged commits was promoted.
test('with synchronous replicas, only the highest log of all replicas but one less than their number is promoted', () => {
	const contact = {reached: 5, failed: 0};
	const behind = {
		id: 'a', received: {term: 1, position: 9}, isLeaving: false, contact,
	};
	const leaving = {
		id: 'b', received: {term: 2, position: 5}, isLeaving: true, contact,
	};
	const unreached = {
		id: 'c', received: {term: 2, position: 5}, isLeaving: false, contact: {reached: 0, failed: 5},
	};
	const staying = {
		id: 'd', received: {term: 2, position: 5}, isLeaving: false, contact,
	};
	assert.equal(chooseCandidate({candidates: [behind, leaving], missing: []}, 1)?.id, 'b');
	assert.equal(chooseCandidate({candidates: [behind, unreached], missing: []}, 1)?.id, 'c');
	assert.equal(chooseCandidate({candidates: [behind, unreached, leaving, staying], missing: []}, 1)?.id, 'd');
	assert.equal(chooseCandidate({candidates: [behind, staying], missing: ['e']}, 1), undefined, 'the missing replica may hold more');
	assert.equal(chooseCandidate({candidates: [behind, staying], missing: ['e']}, 2)?.id, 'd', 'each commit is on two replicas');
	assert.equal(chooseCandidate({candidates: [behind, staying], missing: ['e', 'f']}, 2), undefined);
	assert.equal(chooseCandidate({candidates: [], missing: []}, 1), undefined);
});
