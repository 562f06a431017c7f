import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {SeededRandom} from '../random/random.js';
import {ModelServer} from './model-server-fake.js';
import {retryAfter, type RetryCause} from './retry-after.js';

const usefulTime: Milliseconds = 2500;

function sample(cause: RetryCause, count = 200, useful = usefulTime): readonly Milliseconds[] {
	const random = new SeededRandom(5);
	return Array.from({length: count}, () => retryAfter(cause, useful, random));
}

function assertWithin(times: readonly Milliseconds[], shortest: Milliseconds, longest: Milliseconds): void {
	assert.ok(Math.min(...times) >= shortest && Math.max(...times) <= longest, `${Math.min(...times)} to ${Math.max(...times)} ms`);
}

test('the time follows the cause, with a quarter of jitter', () => {
	assertWithin(sample({kind: 'queue', workAhead: 400}), 300, 500);
	assertWithin(sample({kind: 'customerLimit', remaining: 1000}), 750, 1250);
	assertWithin(sample({kind: 'connectionBackOff', remaining: 150}), 112, 188);
	assertWithin(sample({kind: 'startUp', remaining: 1000}), 750, 1250);
	assertWithin(sample({kind: 'unknown'}), 150, 250);
});

test('during a promotion the time is what is left until its usual end, and grows again when it is overdue', () => {
	assertWithin(sample({kind: 'promotion', missingFor: 0}), 825, 1375);
	assertWithin(sample({kind: 'promotion', missingFor: 700}), 300, 500);
	assertWithin(sample({kind: 'promotion', missingFor: 4000}), 750, 1250);
});

// A client that returns at once finds the same queue; one that returns later than it can use the reply is lost.
test('the time is at least 20 ms and at most the useful time of the client, and is spread at both bounds', () => {
	for (const workAhead of [0, 60_000]) {
		const times = sample({kind: 'queue', workAhead}, 200, 800);
		assertWithin(times, 20, 800);
		assert.ok(new Set(times).size > 5, 'times at a bound are not all the same');
	}
});

/** Sends 300 clients at once to a server that runs 4 requests of 10 ms and queues 32. Each refused client returns after its retry-after time. Returns the largest number of clients that came within 10 ms after the first moment. */
function largestReturn(random: SeededRandom): number {
	const clock = new ManualClock();
	const server = new ModelServer(clock, new SeededRandom(1), {slots: 4, queueLimit: 32, serviceTime: () => 10});
	const arrivals: Milliseconds[] = [];
	const ask = (): void => {
		const workAhead = server.load * 10 / 4;
		arrivals.push(clock.now());
		server.run(outcome => {
			if (outcome === 'busy') {
				clock.schedule(retryAfter({kind: 'queue', workAhead: workAhead * 4}, usefulTime, random), ask);
			}
		});
	};

	for (let count = 0; count < 300; count++) {
		ask();
	}

	clock.advance(20_000);
	const later = arrivals.filter(at => at > 0);
	return Math.max(...later.map(start => later.filter(at => at >= start && at < start + 10).length));
}

// Without jitter, all refused clients return in the same millisecond and most of them are refused again.
test('clients that were refused together do not return together', () => {
	const largest = largestReturn(new SeededRandom(9));
	assert.ok(largest < 100, `${largest} of the 264 refused clients returned within 10 ms`);
});
