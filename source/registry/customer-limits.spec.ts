import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Customer} from '../customers/types.js';
import {
	admittedShare, customersFor, highestWindowCount, permittedInWindow, refusedShare, usualRates, windowsAboveLimit,
} from './limit-checks-fixture.js';
import {LimitSimulation} from './limit-fixture.js';

const rates = usualRates();
const customers = customersFor(rates);

// Guards against refusals below the limit, which are lost to the client, and against a start in which every instance refuses until it knows the others.
test('at the usual load, from a start of all instances at once, below 1% of the operations are refused and no window is above the limit', async () => {
	const simulation = new LimitSimulation({customers});
	await simulation.run(12_000, rates);
	assert.deepEqual(windowsAboveLimit(simulation, customers), []);
	assert.ok(refusedShare(simulation, 0) < 0.01, `${refusedShare(simulation, 0)} refused`);
});

for (const index of [0, 3]) {
	// Guards against instances that each admit the whole headroom when the demand of all rises at once, and against a limiter that stays far below the limit.
	test(`customer ${index} at 8 times its usual rate gets at least 85% of what its limit permits, and no window is above it`, async () => {
		const simulation = new LimitSimulation({customers});
		const hot = customers[index];
		await simulation.run(7000, rates);
		simulation.rateFactors.set(hot.name, 8);
		await simulation.run(20_000, rates);
		assert.deepEqual(windowsAboveLimit(simulation, customers), []);
		const share = admittedShare(simulation, hot, 12_000, 27_000);
		assert.ok(share >= 0.85, `${share} of the permitted operations`);
		const refused = refusedShare(simulation, 7000, hot.name);
		assert.ok(refused < 0.01, `${refused} of the other customers refused`);
	});
}

// Guards against a headroom of less than one operation for each instance that is rounded down to nothing at all of them.
test('30 operations in 5 s of a small customer, spread over 142 entry instances, are admitted up to the limit', async () => {
	const small: Customer = {
		name: 'small', keyDigests: [], priority: 1, rateLimit: {ratePerSecond: 1, burst: 1},
	};
	const settings = {window: 5000, overage: 0, slack: 20};
	const simulation = new LimitSimulation({customers: [small], settings});
	await simulation.run(7000);
	for (let index = 0; index < 30; index++) {
		void simulation.send(small.name, (index * 37) % 142);
		await simulation.run(5000 / 30);
	}

	await simulation.run(500);
	const admitted = simulation.operations.filter(({isAdmitted}) => isAdmitted).map(({answeredAt}) => answeredAt);
	assert.equal(permittedInWindow(small, settings), 26);
	// 95% of 26 operations, rounded up.
	assert.equal(highestWindowCount(admitted, 5000), 25);
	assert.deepEqual(simulation.operations.slice(0, 25).filter(({isAdmitted}) => !isAdmitted), [], 'nothing is refused before the limit is reached');
});
