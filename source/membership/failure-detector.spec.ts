import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {SeededRandom} from '../random/random.js';
import {FailureDetector} from './failure-detector.js';
import {PausableClock} from './in-memory-network.js';
import {MemberTable} from './member-table.js';
import {probePeriod, type GossipRecord} from './membership-rules.js';

const peer: GossipRecord = {
	name: 'a',
	role: 'pool',
	instance: 'i',
	dataCentre: 'd',
	region: 'r',
	linkAddress: 'l:1',
	gossipAddress: 'g:1',
	incarnation: 1,
	health: 'alive',
	draining: false,
	state: 'alive',
	configurationRevision: 0,
};

function suspicionsAfterPause(pause: number, answerDelay: number): number {
	const inner = new ManualClock();
	const clock = new PausableClock(inner);
	const table = new MemberTable(new SeededRandom(1), 'own');
	table.put(peer, 0);
	let suspicions = 0;
	const detector = new FailureDetector({
		clock,
		table,
		probe(_, sequence) {
			inner.schedule(answerDelay, () => {
				clock.receive(() => {
					detector.acknowledge(sequence);
				});
			});
		},
		probeThrough() {
			throw new Error('there is no other peer');
		},
		onSuspicion() {
			suspicions++;
		},
		onFailure() {
			suspicions++;
		},
		onPause() {
			// Nothing to report.
		},
	});
	detector.start(0);
	inner.advance(1);
	clock.pause(pause);
	inner.advance(pause + probePeriod);
	return suspicions;
}

test('a process does not suspect a peer whose answer waits unread after a pause of its own', () => {
	assert.deepEqual([300, 1300, 1900, 5000].map(pause => suspicionsAfterPause(pause, 5)), [0, 0, 0, 0]);
});

test('a peer that does not answer at all is not excused by pauses of the process that probes it', () => {
	assert.equal(suspicionsAfterPause(1300, 60_000), 1);
});
