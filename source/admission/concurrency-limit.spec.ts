import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {SeededRandom} from '../random/random.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {ModelServer} from './model-server-fake.js';

const connectionsPerInstance = 12;
const localQueueLength = 8;

/** Several instances that send statements to one member with 4 slots and a queue of 32. What an instance may not send yet waits in its own short queue, or is refused there. */
class MemberLoad {
	readonly clock = new ManualClock();
	readonly replyTimes: Milliseconds[] = [];
	readonly member: ModelServer;
	readonly #random = new SeededRandom(17);
	readonly #instances: ReadonlyArray<{readonly limit: ConcurrencyLimit; inFlight: number; waiting: number}>;

	constructor(instanceCount: number, serviceTime: (now: Milliseconds) => Milliseconds, floor = 1) {
		this.member = new ModelServer(this.clock, this.#random, {slots: 4, queueLimit: 32, serviceTime});
		this.#instances = Array.from({length: instanceCount}, () => ({limit: new ConcurrencyLimit(() => connectionsPerInstance, () => floor), inFlight: 0, waiting: 0}));
	}

	/** Sends statements at random times at a rate. */
	run(perSecond: number, duration: Milliseconds): void {
		const end = this.clock.now() + duration;
		while (this.clock.now() < end) {
			if (this.#random.fraction() < perSecond / 1000) {
				const instance = this.#instances[this.#random.integerBelow(this.#instances.length)];
				instance.waiting = Math.min(localQueueLength, instance.waiting + 1);
				this.#dispatch(instance);
			}

			this.clock.advance(1);
		}
	}

	#dispatch(instance: {readonly limit: ConcurrencyLimit; inFlight: number; waiting: number}): void {
		while (instance.waiting > 0 && instance.inFlight < instance.limit.limit) {
			instance.waiting--;
			instance.inFlight++;
			const sentAt = this.clock.now();
			const {inFlight} = instance;
			this.member.run(outcome => {
				const now = this.clock.now();
				instance.inFlight--;
				if (outcome === 'busy') {
					instance.limit.recordRefusal(sentAt, now);
					return;
				}

				instance.limit.recordReply(sentAt, inFlight, now);
				this.replyTimes.push(now - sentAt);
				this.#dispatch(instance);
			});
		}
	}
}

// Without a limit, five instances keep up to 60 statements at a member that takes 36, and a third of them is refused.
test('at one and a half times the capacity the member refuses less than 2% and stays busy', () => {
	const load = new MemberLoad(5, () => 20);
	load.run(300, 20_000);
	assert.ok(load.member.refusals / load.member.arrivals < 0.02, `${load.member.refusals} of ${load.member.arrivals} were refused`);
	assert.ok(load.replyTimes.length > 0.93 * 200 * 20, `${load.replyTimes.length} of 4,000 were answered`);
	const late = load.replyTimes.slice(1000).filter(time => time > 100).length;
	assert.ok(late < load.replyTimes.length * 0.05, `${late} waited in the member for more than four times their service time`);
});

test('the limit follows a member that becomes slower, and returns when it is as fast as before', () => {
	const load = new MemberLoad(5, now => now >= 5000 && now < 15_000 ? 80 : 20);
	load.run(150, 5000);
	load.run(150, 10_000);
	const refusalsBefore = load.member.refusals;
	load.run(150, 10_000);
	assert.ok(refusalsBefore / load.member.arrivals < 0.02, `${refusalsBefore} refused`);
	assert.ok(load.replyTimes.slice(-500).every(time => time < 100));
});

// A limit that falls to nothing would keep a member idle, and one above the connections would promise what the pool cannot give.
test('the limit lies between 1 and the number of connections', () => {
	const limit = new ConcurrencyLimit(() => 6);
	for (let time = 0; time < 5000; time += 10) {
		limit.recordReply(time, 6, time + 5);
	}

	assert.equal(limit.limit, 6);
	for (let time = 6000; time < 16_000; time += 100) {
		limit.recordRefusal(time, time);
	}

	assert.equal(limit.limit, 1);
});

test('the limit does not rise while it is not used', () => {
	const limit = new ConcurrencyLimit(() => 50);
	for (let time = 0; time < 20_000; time += 10) {
		limit.recordReply(time, 2, time + 5);
	}

	assert.ok(limit.limit <= 6, String(limit.limit));
});

// One of several gateways may have all the load; with a limit of 1 it would keep one slot of four busy. Statements differ in their work, so that the shortest reply makes the others look as if they had waited.
test('an instance that alone has load keeps all slots of the member busy, although replies take different times', () => {
	const random = new SeededRandom(3);
	const load = new MemberLoad(1, () => -Math.log(1 - random.fraction()) * 20, 4);
	load.run(300, 10_000);
	assert.equal(load.member.refusals, 0);
	assert.ok(load.replyTimes.length > 0.85 * 200 * 10, `${load.replyTimes.length} of 2,000 were answered`);
});

// A floor must not keep up the statements that the member refuses.
test('long reply times lower the limit to the floor, and refusals below it', () => {
	const limit = new ConcurrencyLimit(() => 12, () => 4);
	for (let time = 0; time < 3000; time += 10) {
		limit.recordReply(time, 12, time + 5);
	}

	assert.equal(limit.limit, 12);
	for (let time = 3000; time < 6000; time += 10) {
		limit.recordReply(time, 12, time + 100);
	}

	assert.equal(limit.limit, 4);
	for (let time = 6200; time < 7200; time += 100) {
		limit.recordRefusal(time, time);
	}

	assert.equal(limit.limit, 1);
});
