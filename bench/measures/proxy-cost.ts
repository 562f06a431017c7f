import {performance} from 'node:perf_hooks';
import type pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {type Address} from '../../source/links/address.js';
import {createBenchmarkResult, type BenchmarkOptions, type Benchmark} from './benchmark-result.js';
import {openIdleCallers} from './idle-callers.js';
import {sleep} from './sleep.js';
import {percentile} from './percentile.js';
import {
	connect, primaryName, processorSeconds, residentBytes, startFleet, type StartedFleet,
} from './started-fleet.js';

const statement = 'SELECT name FROM bench WHERE id = 1';
const warmUpQueries = 500;

/** Concurrent callers in the throughput test; each has one statement in flight. */
const callerCount = 64;

/** More slots and connections than callers, so that neither limits the throughput. */
const memberFlags = ['--slots', '100', '--connection-limit', '200', '--connect-delay', '0'];

async function queryTimes(client: pg.Client, count: number): Promise<readonly number[]> {
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

async function measureLatency(started: StartedFleet, {seed, quick, report}: BenchmarkOptions): Promise<void> {
	const directClient = await connect(await replicaAddress(started), started.database);
	const proxiedClient = await connect(callerAddress(started), started.database, '5s');
	await queryTimes(directClient, warmUpQueries);
	await queryTimes(proxiedClient, warmUpQueries);
	const directTimes: number[] = [];
	const proxiedTimes: number[] = [];
	// Alternating rounds spread the load of other programs evenly over both connections.
	const rounds = quick ? 5 : 20;
	for (let round = 0; round < rounds; round++) {
		directTimes.push(...await queryTimes(directClient, 100));
		proxiedTimes.push(...await queryTimes(proxiedClient, 100));
	}

	const commonFields = {workload: 'one caller, reads with a stated age, separate processes', unit: 'ms', baseline: 'direct connection'};
	for (const [name, fraction] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
		const directValue = percentile(directTimes, fraction);
		const proxiedValue = percentile(proxiedTimes, fraction);
		report(createBenchmarkResult(seed, {
			...commonFields, measure: `statement time, ${name}`, value: proxiedValue, baselineValue: directValue, runs: proxiedTimes.length,
		}));
		report(createBenchmarkResult(seed, {
			...commonFields, measure: `added statement time, ${name}`, value: proxiedValue - directValue, baselineValue: 0, target: fraction === 0.5 ? 1 : null, runs: proxiedTimes.length,
		}));
	}
}

/** Returns the number of statements per second. */
async function measureStatementRate(clients: readonly pg.Client[], duration: Milliseconds): Promise<number> {
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

async function measureThroughput(started: StartedFleet, {seed, quick, report}: BenchmarkOptions): Promise<void> {
	const duration = quick ? 3000 : 8000;
	const replica = await replicaAddress(started);
	const entryProcessId = started.fleet.processes.get('entry-1')!.child.pid!;
	const poolProcessId = started.fleet.processes.get('pool-1')!.child.pid!;
	const proxiedClients = await Promise.all(Array.from({length: callerCount}, async () => connect(callerAddress(started), started.database, '5s')));
	await measureStatementRate(proxiedClients, 1500);
	const processorSecondsBefore = [processorSeconds(entryProcessId), processorSeconds(poolProcessId)];
	const startedAt = performance.now();
	const proxiedRate = await measureStatementRate(proxiedClients, duration);
	const seconds = (performance.now() - startedAt) / 1000;
	const [entryProcessorSeconds, poolProcessorSeconds] = [processorSeconds(entryProcessId) - processorSecondsBefore[0], processorSeconds(poolProcessId) - processorSecondsBefore[1]];
	await Promise.all(proxiedClients.map(async client => client.end()));
	const directClients = await Promise.all(Array.from({length: callerCount}, async () => connect(replica, started.database)));
	await measureStatementRate(directClients, 1500);
	const directRate = await measureStatementRate(directClients, duration);
	await Promise.all(directClients.map(async client => client.end()));
	const commonFields = {workload: `${callerCount} callers, one entry, one pool, separate processes`, runs: Math.round(proxiedRate * seconds)};
	report(createBenchmarkResult(seed, {
		...commonFields, measure: 'statements a second', value: proxiedRate, unit: 'a second', baseline: 'direct connections', baselineValue: directRate, target: 5000, direction: 'atLeast',
	}));
	for (const [name, usedProcessorSeconds] of [['entry', entryProcessorSeconds], ['pool', poolProcessorSeconds]] as const) {
		report(createBenchmarkResult(seed, {
			...commonFields, measure: `processor share of the ${name}`, value: usedProcessorSeconds / seconds * 100, unit: '% of a core',
		}));
		report(createBenchmarkResult(seed, {
			...commonFields, measure: `processor time of the ${name} for a statement`, value: usedProcessorSeconds / (proxiedRate * seconds) * 1e6, unit: 'µs',
		}));
	}
}

async function measureIdleCallers(started: StartedFleet, {seed, quick, report}: BenchmarkOptions): Promise<void> {
	const count = quick ? 2000 : 10_000;
	const entryProcessId = started.fleet.processes.get('entry-1')!.child.pid!;
	const bytesBefore = residentBytes(entryProcessId);
	const closeCallers = await openIdleCallers(callerAddress(started), started.database, count);
	await sleep(2000);
	const bytesAfter = residentBytes(entryProcessId);
	closeCallers();
	report(createBenchmarkResult(seed, {
		measure: 'memory of an idle caller', workload: `${count} callers on one entry, resident memory`, value: (bytesAfter - bytesBefore) / count / 1024, unit: 'KB', target: 25, runs: count,
	}));
}

function callerAddress({fleet}: StartedFleet): Address {
	return [...fleet.callerAddresses.values()][0];
}

async function measureCost(options: BenchmarkOptions): Promise<void> {
	const started = await startFleet('waitaha', {pools: 1, entries: 1}, memberFlags);
	try {
		const client = await connect(callerAddress(started), started.database);
		await client.query('INSERT INTO bench (id, name) VALUES ($1, $2)', [1, 'entry']);
		await client.end();
		// A read with a maximum age must cover the freshness floor, a log position that the pool recorded within that age. The wait lets the pool record one.
		// It also lets the row reach the replicas.
		await sleep(1000);
		await measureIdleCallers(started, options);
		await measureLatency(started, options);
		await measureThroughput(started, options);
	} finally {
		await started.stop();
	}
}

/** Latency, throughput, processor time and memory that the proxy adds. */
export const costBenchmarks: readonly Benchmark[] = [{name: 'cost', run: measureCost}];
