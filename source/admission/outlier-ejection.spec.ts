import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {SeededRandom} from '../random/random.js';
import {OutlierEjection} from './outlier-ejection.js';

/** Requests of one instance to the members of a service, in equal shares to those that are not ejected. */
class FailureLoad {
	readonly clock = new ManualClock();
	readonly ejection = new OutlierEjection();
	readonly failures: Milliseconds[] = [];
	readonly ejections: Array<{readonly id: string; readonly at: Milliseconds; readonly duration: Milliseconds}> = [];
	/** Largest number of members that were ejected at the same time. */
	largestEjectedCount = 0;
	readonly #random = new SeededRandom(11);

	constructor(readonly members: readonly string[], private readonly failureShareOf: (id: string, now: Milliseconds) => number) {}

	/** Sends requests at a constant rate. */
	send(perSecond: number, duration: Milliseconds): void {
		for (let count = 0; count < perSecond * duration / 1000; count++) {
			this.#request();
			this.clock.advance(1000 / perSecond);
		}
	}

	#request(): void {
		const now = this.clock.now();
		this.ejection.endEjections(now);
		const usable = this.members.filter(id => !this.ejection.isEjected(id));
		const id = usable[this.#random.integerBelow(usable.length)];
		const isFailure = this.#random.fraction() < this.failureShareOf(id, now);
		this.ejection.record(id, isFailure, now);
		if (!isFailure) {
			return;
		}

		this.failures.push(now);
		const duration = this.ejection.tryEject(id, this.members, now);
		if (duration !== undefined) {
			this.ejections.push({id, at: now, duration});
			this.largestEjectedCount = Math.max(this.largestEjectedCount, this.ejection.ejectedCount);
		}
	}
}

// A member that fails part of its requests still answers the others, so that it is never taken for unreachable.
test('a member that fails part of its requests is ejected from reads, and fewer requests fail', () => {
	const load = new FailureLoad(['a', 'b', 'c'], id => id === 'c' ? 0.4 : 0.01);
	load.send(30, 30_000);
	assert.ok(load.ejections.every(({id}) => id === 'c'));
	// Without an ejection 123 of the 900 requests are expected to fail.
	assert.ok(load.failures.length < 50, `${load.failures.length} requests failed`);
});

test('ejections become longer while the member goes on failing, up to 15 s', () => {
	const load = new FailureLoad(['a', 'b', 'c'], id => id === 'c' ? 1 : 0);
	load.send(60, 60_000);
	assert.deepEqual(load.ejections.slice(0, 6).map(({duration}) => duration), [1000, 2000, 4000, 8000, 15_000, 15_000]);
});

test('a member that has stopped failing returns after its ejection, and the next ejection is short again after 30 s', () => {
	const load = new FailureLoad(['a', 'b', 'c'], (id, now) => id === 'c' && (now < 8000 || now > 60_000) ? 1 : 0);
	load.send(60, 70_000);
	const early = load.ejections.filter(({at}) => at < 20_000);
	assert.ok(early.length >= 2);
	assert.equal(load.ejections.find(({at}) => at > 60_000)?.duration, 1000);
	assert.ok(load.failures.every(at => at < 8000 + 1000 || at > 60_000));
});

// Members that fail one after the other must not all be ejected, since the rest could not take their load.
test('at most a third of the members are ejected at the same time', () => {
	const members = ['a', 'b', 'c', 'd', 'e', 'f'];
	const failingAfter: Readonly<Record<string, Milliseconds>> = {a: 0, b: 3000, c: 5000};
	const load = new FailureLoad(members, (id, now) => now >= (failingAfter[id] ?? Number.POSITIVE_INFINITY) ? 0.9 : 0);
	load.send(120, 60_000);
	assert.equal(load.largestEjectedCount, 2);
});

test('no member of a service with fewer than three members is ejected', () => {
	const load = new FailureLoad(['a', 'b'], id => id === 'a' ? 1 : 0);
	load.send(60, 10_000);
	assert.equal(load.ejections.length, 0);
});

// A statement that fails everywhere, or a fault of the network around this instance, is not the fault of a member.
test('failures that the peers share eject no member', () => {
	for (const share of [0.1, 0.2, 0.4]) {
		const load = new FailureLoad(['a', 'b', 'c'], () => share);
		load.send(60, 30_000);
		assert.ok(load.ejections.length <= 1, `${load.ejections.length} ejections while ${share} of the requests fail`);
	}
});

// Two failures of an instance with few callers are chance.
test('a member with fewer than ten recent requests is not ejected', () => {
	const ejection = new OutlierEjection();
	for (const id of ['a', 'b', 'c']) {
		for (let count = 0; count < 9; count++) {
			ejection.record(id, id === 'c', count);
		}
	}

	assert.equal(ejection.tryEject('c', ['a', 'b', 'c'], 10), undefined);
	ejection.record('c', true, 40_000);
	assert.equal(ejection.tryEject('c', ['a', 'b', 'c'], 40_000), undefined, 'the earlier requests are too old');
});
