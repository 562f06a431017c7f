import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from './system-clock.js';

const day = 24 * 3_600_000;

// Timers take a delay above 2,147,483,647 ms as 1 ms: with a time limit of 30 days, each statement timed out at once.
test('an action is not run before its delay has passed, however long that is', async () => {
	const clock = new SystemClock();
	const ran: number[] = [];
	const delays = [30 * day, (2 ** 31) - 1, 2 ** 31, 1e300, Number.POSITIVE_INFINITY];
	const cancels = delays.map(delay => clock.schedule(delay, () => {
		ran.push(delay);
	}));
	await clock.sleep(50);
	for (const cancel of cancels) {
		cancel();
	}

	assert.deepEqual(ran, []);
});

// A delay beyond the longest one of a timer is waited for in parts; the last part must run the action, and a cancel must end each part.
test('an action with a delay longer than that of a timer runs once when it has passed, and not after a cancel', context => {
	context.mock.timers.enable({apis: ['setTimeout']});
	let now = 0;
	class SteppedClock extends SystemClock {
		override now(): number {
			return now;
		}
	}

	const clock = new SteppedClock();
	const ran: string[] = [];
	clock.schedule(60 * day, () => {
		ran.push('kept');
	});
	const cancel = clock.schedule(60 * day, () => {
		ran.push('cancelled');
	});
	for (let passed = 0; passed < 59; passed++) {
		now += day;
		context.mock.timers.tick(day);
	}

	assert.deepEqual(ran, []);
	cancel();
	for (let passed = 0; passed < 4; passed++) {
		now += day;
		context.mock.timers.tick(day);
	}

	assert.deepEqual(ran, ['kept']);
});
