import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {SeededRandom} from '../random/random.js';
import {ModelServer, warmingServiceTime} from './model-server-fake.js';
import {probeShare, RecoveryPace, warmFirstShare} from './recovery-pace.js';
import {ReplyTimes} from './reply-times.js';

const usualServiceTime: Milliseconds = 20;
const latencyTarget: Milliseconds = 400;
const instanceCount = 4;
const serverIds = ['a', 'b', 'c'];

type ReadOutcome = {
	readonly server: string;
	readonly askedAt: Milliseconds;
	readonly elapsed: Milliseconds;
	readonly isAnswered: boolean;
};

/** Reads of several instances from three servers that answer 200 reads a second each when they are warm. Each instance paces recovering servers by itself. */
class ServiceLoad {
	readonly clock = new ManualClock();
	readonly outcomes: ReadOutcome[] = [];
	readonly #random = new SeededRandom(7);
	readonly #servers = new Map<string, ModelServer>();
	readonly #instances = Array.from({length: instanceCount}, () => ({replyTimes: new ReplyTimes(), paces: new Map<string, RecoveryPace>()}));

	constructor() {
		for (const id of serverIds) {
			this.#setServiceTime(id, () => usualServiceTime);
		}
	}

	/** Starts a server again. All instances pace it from now on. */
	restart(id: string, serviceTime: (now: Milliseconds) => Milliseconds, announcedColdTime?: Milliseconds): void {
		this.#setServiceTime(id, serviceTime);
		for (const {replyTimes, paces} of this.#instances) {
			replyTimes.forget(id);
			paces.set(id, new RecoveryPace(this.clock.now(), 'started', announcedColdTime));
		}
	}

	/** Starts a server again that is slower by the factor and warms up within the time. */
	restartCold(id: string, coldFactor: number, coldTime: Milliseconds): void {
		this.restart(id, warmingServiceTime(usualServiceTime, coldFactor, this.clock.now(), coldTime));
	}

	/** Sends reads at a constant rate, to the servers in equal shares except as the paces say. */
	send(perSecond: number, duration: Milliseconds): void {
		for (let count = 0; count < perSecond * duration / 1000; count++) {
			this.#read();
			this.clock.advance(1000 / perSecond);
		}
	}

	/** Returns the largest share that an instance gives a server; 1 when all have ended its recovery. */
	shareOf(id: string): number {
		return Math.max(...this.#instances.map(({paces}) => paces.get(id)?.shareAt(this.clock.now()) ?? 1));
	}

	/** Returns whether all instances have ended the recovery of a server. */
	hasRecovered(id: string): boolean {
		return this.#instances.every(({paces}) => paces.get(id)?.isCompleteAt(this.clock.now()) ?? true);
	}

	/** Returns the share of the reads sent since `time` that were not answered within the latency target. */
	lateShare(time: Milliseconds): number {
		const outcomes = this.outcomes.filter(({askedAt}) => askedAt >= time);
		return outcomes.filter(({elapsed, isAnswered}) => !isAnswered || elapsed > latencyTarget).length / outcomes.length;
	}

	/** Returns the share of the reads sent since `time` that a server received. */
	receivedShare(id: string, time: Milliseconds): number {
		const outcomes = this.outcomes.filter(({askedAt}) => askedAt >= time);
		return outcomes.filter(({server}) => server === id).length / outcomes.length;
	}

	#setServiceTime(id: string, serviceTime: (now: Milliseconds) => Milliseconds): void {
		this.#servers.set(id, new ModelServer(this.clock, this.#random, {slots: 4, queueLimit: 32, serviceTime}));
	}

	#read(): void {
		const {paces, replyTimes} = this.#instances[this.#random.integerBelow(instanceCount)];
		const askedAt = this.clock.now();
		const [usual, ...others] = this.#random.sample(serverIds, serverIds.length);
		const isRecovering = (id: string): boolean => paces.has(id) && !paces.get(id)!.isCompleteAt(askedAt);
		const isHeldBack = isRecovering(usual) && this.#random.fraction() >= paces.get(usual)!.shareAt(askedAt);
		const server = (isHeldBack ? others.find(id => !isRecovering(id)) : undefined) ?? usual;
		const pace = paces.get(server);
		pace?.recordSent(askedAt);
		this.#servers.get(server)!.run(outcome => {
			const now = this.clock.now();
			this.outcomes.push({
				server, askedAt, elapsed: now - askedAt, isAnswered: outcome === 'done',
			});
			if (outcome === 'done') {
				const peers = serverIds.filter(id => id !== server);
				replyTimes.record(server, now - askedAt, now);
				pace?.recordReply(askedAt, now, {peerMedian: replyTimes.medianOf(peers, now), latencyTarget});
			} else {
				pace?.recordFailure(askedAt, now);
			}
		});
	}
}

// Without a pace, the server gets three times what it can answer, and a quarter of the reads are late.
test('a cold server is not flooded and has its full share soon after it is warm', () => {
	const load = new ServiceLoad();
	load.send(240, 1000);
	load.restartCold('c', 8, 4000);
	load.send(240, 4000);
	assert.ok(load.lateShare(1000) < 0.01, `${load.lateShare(1000)} of the reads were late`);
	load.send(240, 1500);
	assert.equal(load.shareOf('c'), 1);
	assert.ok(load.hasRecovered('c'));
	load.send(240, 1000);
	assert.ok(load.receivedShare('c', 6500) > 0.28, 'it takes its part of the load');
});

// Guards against a pause of a fixed length, which leaves a warm server idle.
test('a warm server has its full share within a second', () => {
	const load = new ServiceLoad();
	load.send(240, 1000);
	load.restart('c', () => usualServiceTime);
	load.send(240, 1000);
	assert.equal(load.shareOf('c'), 1);
});

// A server may announce a cold time although it is warm, and its answers show so.
test('a server that falsely reports being cold is not left idle', () => {
	const load = new ServiceLoad();
	load.send(240, 1000);
	load.restart('c', () => usualServiceTime, 30_000);
	load.send(240, 1000);
	assert.equal(load.shareOf('c'), 1);
});

test('the announced cold time only decides the first share', () => {
	assert.equal(new RecoveryPace(0, 'started').shareAt(0), probeShare);
	assert.equal(new RecoveryPace(0, 'started', 5000).shareAt(0), probeShare);
	assert.equal(new RecoveryPace(0, 'started', 0).shareAt(0), warmFirstShare);
	assert.equal(new RecoveryPace(0, 'promoted').shareAt(0), warmFirstShare);
	assert.equal(new RecoveryPace(0, 'resumed', 0).shareAt(0), probeShare);
});

// A server that reports being warm but is cold must not keep the larger first share.
test('a cold server that reports being warm is slowed down by its answers', () => {
	const load = new ServiceLoad();
	load.send(240, 1000);
	load.restart('c', () => usualServiceTime * 8, 0);
	load.send(240, 2000);
	// It can answer 25 of the 240 reads a second.
	assert.ok(load.receivedShare('c', 2000) < 25 / 240, `it receives ${load.receivedShare('c', 2000)} of the reads`);
	assert.ok(load.lateShare(1000) < 0.01);
});

// Guards against both faults: reads that wait behind a slow server, and a server that is never used again.
test('a server that never warms up gets what it can answer', () => {
	const load = new ServiceLoad();
	load.send(240, 1000);
	load.restart('c', () => usualServiceTime * 5);
	load.send(240, 15_000);
	assert.ok(load.lateShare(1000) < 0.01, `${load.lateShare(1000)} of the reads were late`);
	assert.ok(load.receivedShare('c', 9000) > 0.04, `it receives ${load.receivedShare('c', 9000)} of the reads`);
});

// One cold server at a time: the two others carry its reads, and the first is back before the next one starts.
test('three servers that are restarted in turn delay no reads', () => {
	const load = new ServiceLoad();
	load.send(240, 1000);
	for (const id of serverIds) {
		load.restartCold(id, 6, 2000);
		load.send(240, 3500);
		assert.ok(load.hasRecovered(id), `${id} has recovered`);
	}

	assert.ok(load.lateShare(1000) < 0.01, `${load.lateShare(1000)} of the reads were late`);
});

// With no other server to take them, reads must not be held back for want of a faster peer.
test('servers that are restarted all at once share the reads and recover together', () => {
	const load = new ServiceLoad();
	load.send(90, 1000);
	for (const id of serverIds) {
		load.restartCold(id, 6, 2000);
	}

	load.send(90, 4000);
	assert.ok(serverIds.every(id => load.hasRecovered(id)));
	assert.ok(serverIds.every(id => load.receivedShare(id, 1000) > 0.25));
});

test('without traffic the share rises by one probe every 200 ms', () => {
	const pace = new RecoveryPace(0, 'started');
	assert.equal(pace.shareAt(199), probeShare);
	assert.equal(pace.shareAt(600), 4 * probeShare);
	assert.equal(pace.isCompleteAt(3000), false);
	assert.equal(pace.isCompleteAt(3200), true);
});

// A read that is still running shows that the server is slow, not that it is idle.
test('the share does not rise while a read is unanswered', () => {
	const pace = new RecoveryPace(0, 'started');
	pace.recordSent(0);
	assert.equal(pace.shareAt(5000), probeShare);
	pace.recordWithdrawn(5000);
	assert.equal(pace.shareAt(5200), 2 * probeShare);
});

// Many reads of one moment that fail together are one piece of information.
test('failures of reads that were sent before the last change do not lower the share again', () => {
	const pace = new RecoveryPace(0, 'promoted');
	for (let count = 0; count < 4; count++) {
		pace.recordSent(0);
	}

	for (let count = 0; count < 4; count++) {
		pace.recordFailure(0, 50);
	}

	assert.equal(pace.shareAt(50), warmFirstShare / 2);
});
