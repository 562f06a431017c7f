import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {SeededRandom} from '../random/random.js';
import {FailureDetector} from './failure-detector.js';
import {PausableClock} from './in-memory-network.js';
import {MembershipTable} from './membership-table.js';
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

/** Returns the number of suspicions and failures that the detector reports after a pause. */
function countReportsAfterPause(pause: number, answerDelay: number): number {
	const inner = new ManualClock();
	const clock = new PausableClock(inner);
	const table = new MembershipTable(new SeededRandom(1), 'own');
	table.set(peer, 0);
	let reports = 0;
	const detector = new FailureDetector({
		clock,
		table,
		probe(_, sequence) {
			inner.schedule(answerDelay, () => {
				clock.deliver(() => {
					detector.acknowledge(sequence);
				});
			});
		},
		probeIndirectly() {
			throw new Error('no other peer is available');
		},
		onSuspicion() {
			reports++;
		},
		onFailure() {
			reports++;
		},
		onPause() {
			// Pauses are not checked here.
		},
	});
	detector.start(0);
	inner.advance(1);
	clock.pause(pause);
	inner.advance(pause + probePeriod);
	return reports;
}

// Guards against suspecting a peer whose answer arrived during a pause of the probing process and is still unread.
test('no suspicion is raised when the answer arrived while the probing process was paused', () => {
	assert.deepEqual([300, 1300, 1900, 5000].map(pause => countReportsAfterPause(pause, 5)), [0, 0, 0, 0]);
});

test('a peer that never answers is suspected even when the probing process was paused', () => {
	assert.equal(countReportsAfterPause(1300, 60_000), 1);
});
