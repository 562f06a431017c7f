import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	admittedShare, customersFor, usualRates, windowsAboveLimit,
} from './limit-checks-fixture.js';
import {LimitSimulation} from './limit-fixture.js';

const rates = usualRates();
const customers = customersFor(rates);

// Guards against windows above the limit when nothing is known of any instance yet.
test('when all instances start at once under 8 times the usual load, no window is above the limit', async () => {
	const simulation = new LimitSimulation({customers});
	for (const {name} of customers) {
		simulation.rateFactors.set(name, 8);
	}

	await simulation.run(8000, rates);
	assert.deepEqual(windowsAboveLimit(simulation, customers), []);
});

// Guards against credits and counts that outlive the limit under which they were given.
test('a limit cut to a tenth is binding one window after all instances have it', async () => {
	const largest = customers.slice(0, 12);
	const largestRates = new Map([...rates].slice(0, 12));
	const simulation = new LimitSimulation({customers: largest});
	await simulation.run(6000, largestRates);
	const lowered = largest.map(customer => ({...customer, rateLimit: {ratePerSecond: customer.rateLimit!.ratePerSecond / 10, burst: customer.rateLimit!.burst / 10}}));
	simulation.replaceCustomers(lowered, 2000);
	await simulation.run(42_000, largestRates);
	assert.deepEqual(windowsAboveLimit(simulation, largest), []);
	assert.deepEqual(windowsAboveLimit(simulation, lowered, 6000 + 2000 + 5000), []);
	// Refused operations are admitted together when the operations that fill the window leave it, so the phase of these bursts decides over the operations of one window.
	const share = admittedShare(simulation, lowered[0], 13_000, 48_000) * 35_000 / 30_000;
	assert.ok(share >= 0.85, `${share} of the permitted operations`);
});
