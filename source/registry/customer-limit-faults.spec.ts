import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	admittedShare, customersFor, refusedShare, usualRates, windowsAboveLimit,
} from './limit-checks-fixture.js';
import {LimitSimulation} from './limit-fixture.js';

const rates = usualRates();
const customers = customersFor(rates);
const [hot] = customers;

async function runUsualThenHot(): Promise<LimitSimulation> {
	const simulation = new LimitSimulation({customers});
	simulation.rateFactors.set(hot.name, 8);
	await simulation.run(7000, rates);
	return simulation;
}

// Guards against reports that are dropped with the instance that sent them, although its operations are still in the window.
test('when half of the entry instances are killed and restarted, no window is above the limit and other customers are served', async () => {
	const simulation = await runUsualThenHot();
	simulation.restartEntries(Array.from({length: 71}, (_, index) => index * 2), 1500);
	await simulation.run(10_000, rates);
	assert.deepEqual(windowsAboveLimit(simulation, customers), []);
	const refused = refusedShare(simulation, 7000, hot.name);
	assert.ok(refused < 0.01, `${refused} of the other customers refused`);
});

// Guards against entry instances that neither serve nor limit while their control instance is silent, and against its stale sums when it is resumed.
test('when a control instance is frozen for 7 s, no window is above the limit and below 1% of the operations of other customers are refused', async () => {
	const simulation = await runUsualThenHot();
	const {clock} = simulation.controls[1].instance;
	clock.isFrozen = true;
	await simulation.run(7000, rates);
	clock.resume();
	await simulation.run(7000, rates);
	assert.deepEqual(windowsAboveLimit(simulation, customers), []);
	const refused = refusedShare(simulation, 7000, hot.name);
	assert.ok(refused < 0.01, `${refused} of the other customers refused`);
});

// Guards against two halves that each grant the whole limit, and against a lasting loss of one half's part.
test('when the control instances are partitioned 2 to 3, no window is above the limit, and the halves together use it', async () => {
	const simulation = await runUsualThenHot();
	const half = (name: string): number => name.startsWith('control') ? Number(Number(name.split('-')[1]) < 2) : Number.NaN;
	simulation.network.isCut = (from, to) => Math.abs(half(from) - half(to)) === 1;
	await simulation.run(11_000, rates);
	simulation.network.isCut = () => false;
	await simulation.run(7000, rates);
	assert.deepEqual(windowsAboveLimit(simulation, customers), []);
	const share = admittedShare(simulation, hot, 8000, 18_000);
	assert.ok(share >= 0.75, `${share} of the permitted operations during the partition`);
	const refused = refusedShare(simulation, 7000, hot.name);
	assert.ok(refused < 0.01, `${refused} of the other customers refused`);
});

// Guards against usage that counts at every control instance which an entry instance has watched, while it finds none with a leader and tries one after the other.
test('when a region is cut off with two control instances, which know no leader, no window is above the limit and other customers are served on both sides', async () => {
	const simulation = await runUsualThenHot();
	const isInRegion = (name: string): boolean => Number(name.split('-')[1]) % 6 < 2;
	simulation.network.isCut = (from, to) => isInRegion(from) !== isInRegion(to);
	simulation.network.knowsNoLeader = isInRegion;
	await simulation.run(11_000, rates);
	simulation.network.isCut = () => false;
	simulation.network.knowsNoLeader = () => false;
	await simulation.run(7000, rates);
	assert.deepEqual(windowsAboveLimit(simulation, customers), []);
	const refused = refusedShare(simulation, 7000, hot.name);
	assert.ok(refused < 0.01, `${refused} of the other customers refused`);
});
