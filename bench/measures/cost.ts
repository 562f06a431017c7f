import {performance} from 'node:perf_hooks';
import type pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {type Address} from '../../source/links/address.js';
import {figure, type BenchOptions, type Measure} from './figure.js';
import {openIdleCallers} from './idle-callers.js';
import {pause} from './pause.js';
import {percentile} from './percentile.js';
import {
	connect, primaryName, processorSeconds, residentBytes, startProcesses, type StartedFleet,
} from './process-load.js';

const statement = 'SELECT name FROM bench WHERE id = 1';
const warmUp = 500;

/** Callers that send at the same time in the test of throughput; every one waits for its answer. */
const parallelCallers = 64;

/** More slots than callers, so that neither limits the throughput of the entry. */
const memberFlags = ['--slots', '100', '--connection-limit', '200', '--connect-delay', '0'];

async function timesOf(client: pg.Client, count: number): Promise<readonly number[]> {
	const times: number[] = [];
	for (let index = 0; index < count; index++) {
		const startedAt = performance.now();
		await client.query(statement);
		times.push(performance.now() - startedAt);
	}

	return times;
}

async function replicaAddress(started: StartedFleet): Promise<Address> {
	const primary = await primaryName(started);
	return [...started.fleet.memberAddresses].find(([name]) => name !== primary)![1];
}

async function measureLatency(started: StartedFleet, {seed, quick, report}: BenchOptions): Promise<void> {
	const direct = await connect(await replicaAddress(started), started.database);
	const through = await connect(callerAddress(started), started.database, '5s');
	await timesOf(direct, warmUp);
	await timesOf(through, warmUp);
	const directTimes: number[] = [];
	const throughTimes: number[] = [];
	// Turns even out the load of other programs on the machine.
	const turns = quick ? 5 : 20;
	for (let turn = 0; turn < turns; turn++) {
		directTimes.push(...await timesOf(direct, 100));
		throughTimes.push(...await timesOf(through, 100));
	}

	const base = {workload: 'one caller, reads with a stated age, separate processes', unit: 'ms', baseline: 'direct connection'};
	for (const [name, share] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
		const directValue = percentile(directTimes, share);
		const throughValue = percentile(throughTimes, share);
		report(figure(seed, {
			...base, measure: `statement time, ${name}`, value: throughValue, baselineValue: directValue, runs: throughTimes.length,
		}));
		report(figure(seed, {
			...base, measure: `added statement time, ${name}`, value: throughValue - directValue, baselineValue: 0, target: share === 0.5 ? 1 : null, runs: throughTimes.length,
		}));
	}
}

async function throughput(clients: readonly pg.Client[], duration: Milliseconds): Promise<number> {
	const startedAt = performance.now();
	let count = 0;
	await Promise.all(clients.map(async client => {
		while (performance.now() < startedAt + duration) {
			await client.query(statement);
			count++;
		}
	}));
	return count * 1000 / (performance.now() - startedAt);
}

async function measureThroughput(started: StartedFleet, {seed, quick, report}: BenchOptions): Promise<void> {
	const duration = quick ? 3000 : 8000;
	const replica = await replicaAddress(started);
	const entryId = started.fleet.processes.get('entry-1')!.child.pid!;
	const poolId = started.fleet.processes.get('pool-1')!.child.pid!;
	const through = await Promise.all(Array.from({length: parallelCallers}, async () => connect(callerAddress(started), started.database, '5s')));
	await throughput(through, 1500);
	const before = [processorSeconds(entryId), processorSeconds(poolId)];
	const startedAt = performance.now();
	const rate = await throughput(through, duration);
	const seconds = (performance.now() - startedAt) / 1000;
	const [entryUse, poolUse] = [processorSeconds(entryId) - before[0], processorSeconds(poolId) - before[1]];
	await Promise.all(through.map(async client => client.end()));
	const direct = await Promise.all(Array.from({length: parallelCallers}, async () => connect(replica, started.database)));
	await throughput(direct, 1500);
	const directRate = await throughput(direct, duration);
	await Promise.all(direct.map(async client => client.end()));
	const base = {workload: `${parallelCallers} callers, one entry, one pool, separate processes`, runs: Math.round(rate * seconds)};
	report(figure(seed, {
		...base, measure: 'statements a second', value: rate, unit: 'a second', baseline: 'direct connections', baselineValue: directRate, target: 5000, direction: 'atLeast',
	}));
	for (const [name, use] of [['entry', entryUse], ['pool', poolUse]] as const) {
		report(figure(seed, {
			...base, measure: `processor share of the ${name}`, value: use / seconds * 100, unit: '% of a core',
		}));
		report(figure(seed, {
			...base, measure: `processor time of the ${name} for a statement`, value: use / (rate * seconds) * 1e6, unit: 'µs',
		}));
	}
}

async function measureIdleCallers(started: StartedFleet, {seed, quick, report}: BenchOptions): Promise<void> {
	const count = quick ? 2000 : 10_000;
	const entryId = started.fleet.processes.get('entry-1')!.child.pid!;
	const before = residentBytes(entryId);
	const close = await openIdleCallers(callerAddress(started), started.database, count);
	await pause(2000);
	const after = residentBytes(entryId);
	close();
	report(figure(seed, {
		measure: 'memory of an idle caller', workload: `${count} callers on one entry, resident memory`, value: (after - before) / count / 1024, unit: 'KB', target: 25, runs: count,
	}));
}

function callerAddress({fleet}: StartedFleet): Address {
	return [...fleet.callerAddresses.values()][0];
}

async function measureCost(options: BenchOptions): Promise<void> {
	const started = await startProcesses('waitaha', {pools: 1, entries: 1}, memberFlags);
	try {
		const client = await connect(callerAddress(started), started.database);
		await client.query('INSERT INTO bench (id, name) VALUES ($1, $2)', [1, 'entry']);
		await client.end();
		// A stated age needs floors of that age, and the row must have reached the replicas.
		await pause(1000);
		await measureIdleCallers(started, options);
		await measureLatency(started, options);
		await measureThroughput(started, options);
	} finally {
		await started.stop();
	}
}

export const costMeasures: readonly Measure[] = [{name: 'cost', run: measureCost}];
