import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '../source/clock/system-clock.js';
import {TcpLinkClient} from '../source/links/tcp-link-client.js';
import {encodeGossipRecord} from '../source/membership/datagram-codec.js';
import {recordsNoticeName} from '../source/membership/record-exchange.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {firstPort, ScaleFleet} from './scale-fleet.js';
import {epochTime, type ResourceUsage} from './scale-messages.js';
import {ScaleProcess} from './scale-process.js';
import {createSyntheticRecord} from './scale-records.js';
import {mean, quantile} from './statistics.js';

const fleetSizes = [20, 50, 100, 200];
const recordCounts = [100, 1000, 2000, 4000];
const seed = 1;
const steadyStateSeconds = 15;
const changeCount = 8;
const missedChangeCount = 300;
const isolatedCount = 3;
const killedCount = 3;
const lossSeconds = 60;
const lossRate = 0.05;
const failureDetectionTimeoutSeconds = 20;
const revisionTimeoutMilliseconds = 10_000;

const json = process.argv.includes('--json');

type Measurement = {
	readonly measure: string;
	readonly size: number;
	readonly value: number;
	readonly unit: string;
	readonly method: string;
};

/** Resource usage of the same processes before and after an interval. */
type UsageInterval = {
	readonly before: readonly ResourceUsage[];
	readonly after: readonly ResourceUsage[];
	readonly seconds: number;
};

function printMeasurement(measurement: Measurement): void {
	const {
		measure, size, unit, method,
	} = measurement;
	const value = Number(measurement.value.toPrecision(4));
	process.stdout.write(json
		? `${JSON.stringify({
			measure, size, seed, value, unit, method,
		})}\n`
		: `${measure}, ${size}: ${value} ${unit} (${method})\n`);
}

/** Returns the mean increase per second of a counter. */
function meanRate({before, after, seconds}: UsageInterval, pick: (usage: ResourceUsage) => number): number {
	return mean(after.map((usage, index) => (pick(usage) - pick(before[index])) / seconds));
}

function printRates(measurePrefix: string, size: number, interval: UsageInterval): void {
	const method = `mean of ${interval.after.length} processes over ${interval.seconds} s`;
	const rates: ReadonlyArray<readonly [string, string, number]> = [
		['processor time', '% of a core', meanRate(interval, usage => usage.processorMicroseconds) / 10_000],
		['datagram bytes sent', 'B/s', meanRate(interval, usage => usage.sentBytes)],
		['datagrams sent', '1/s', meanRate(interval, usage => usage.sentDatagrams)],
		['link bytes sent', 'B/s', meanRate(interval, usage => usage.sentLinkBytes)],
	];
	for (const [measure, unit, value] of rates) {
		printMeasurement({
			measure: `${measurePrefix}: ${measure}`, size, value, unit, method,
		});
	}
}

async function measureIdle(): Promise<number> {
	const idle = new ScaleProcess('scale-idle.js', 'idle');
	await idle.next('ready');
	await sleep(1000);
	const before = await idle.usage();
	await sleep(5000);
	const after = await idle.usage();
	await idle.kill();
	printMeasurement({
		measure: 'idle Node.js: resident bytes',
		size: 1,
		value: after.residentBytes / 1_000_000,
		unit: 'MB',
		method: 'one process',
	});
	printMeasurement({
		measure: 'idle Node.js: processor time',
		size: 1,
		value: (after.processorMicroseconds - before.processorMicroseconds) / 5 / 10_000,
		unit: '% of a core',
		method: 'one process over 5 s',
	});
	return after.residentBytes;
}

async function measureSteadyState(fleet: ScaleFleet, size: number, idleBytes: number): Promise<void> {
	await sleep(4000);
	const before = await fleet.usages();
	await sleep(steadyStateSeconds * 1000);
	const after = await fleet.usages();
	printRates('steady', size, {before, after, seconds: steadyStateSeconds});
	printMeasurement({
		measure: 'steady: resident bytes above idle Node.js',
		size,
		value: (quantile(after.map(usage => usage.residentBytes), 0.5) - idleBytes) / 1_000_000,
		unit: 'MB',
		method: `median of ${size} processes`,
	});
}

/** Waits until the processes hold the newest revision; returns the time since the start in milliseconds that each took, or infinity for those that timed out. */
async function revisionTimes(fleet: ScaleFleet, names: ReadonlySet<string>, startedAt: number): Promise<readonly number[]> {
	const times = new Map<string, number>();
	while (times.size < names.size && epochTime() - startedAt < revisionTimeoutMilliseconds) {
		await sleep(50);
		for (const report of fleet.reports) {
			if (report.kind === 'revision' && report.revision === fleet.revision && names.has(report.from)) {
				times.set(report.from, report.time - startedAt);
			}
		}
	}

	return [...names].map(name => times.get(name) ?? Number.POSITIVE_INFINITY);
}

function namesOf(processes: readonly ScaleProcess[]): ReadonlySet<string> {
	return new Set(processes.map(node => node.name));
}

async function measureChanges(fleet: ScaleFleet, size: number): Promise<void> {
	const changeTimes: Array<readonly number[]> = [];
	for (let change = 0; change < changeCount; change++) {
		const startedAt = epochTime();
		fleet.commit(1);
		changeTimes.push(await revisionTimes(fleet, namesOf(fleet.processes), startedAt));
		await sleep(500);
	}

	const method = `${changeCount} changes in ${size} processes`;
	printMeasurement({
		measure: 'change: time until in force, median',
		size,
		value: quantile(changeTimes.flat(), 0.5),
		unit: 'ms',
		method,
	});
	printMeasurement({
		measure: 'change: time until in force, 99th percentile',
		size,
		value: quantile(changeTimes.flat(), 0.99),
		unit: 'ms',
		method,
	});
	printMeasurement({
		measure: 'change: time until in force everywhere, slowest change',
		size,
		value: Math.max(...changeTimes.flat()),
		unit: 'ms',
		method,
	});
}

async function measureMissedChanges(fleet: ScaleFleet, size: number): Promise<void> {
	const isolatedProcesses = fleet.processes.slice(-isolatedCount);
	const connectedProcesses = fleet.processes.slice(0, -isolatedCount);
	for (const node of isolatedProcesses) {
		node.send({kind: 'loss', rate: 1});
	}

	await sleep(200);
	for (let change = 0; change < missedChangeCount / 10; change++) {
		fleet.commit(10);
		await sleep(30);
	}

	const connectedTimes = await revisionTimes(fleet, namesOf(connectedProcesses), epochTime());
	printMeasurement({
		measure: `${missedChangeCount} changes in a second: time from the last until in force everywhere`,
		size,
		value: Math.max(...connectedTimes),
		unit: 'ms',
		method: `${connectedProcesses.length} processes`,
	});
	const startedAt = epochTime();
	for (const node of isolatedProcesses) {
		node.send({kind: 'loss', rate: 0});
	}

	const times = await revisionTimes(fleet, namesOf(isolatedProcesses), startedAt);
	printMeasurement({
		measure: `${missedChangeCount} missed changes: time until in force, slowest`,
		size,
		value: Math.max(...times),
		unit: 'ms',
		method: `${isolatedCount} processes cut off and connected again`,
	});
	await sleep(3000);
}

async function measureLoss(fleet: ScaleFleet, size: number): Promise<void> {
	for (const node of fleet.processes) {
		node.send({kind: 'loss', rate: lossRate});
	}

	const startedAt = epochTime();
	await sleep(lossSeconds * 1000);
	for (const node of fleet.processes) {
		node.send({kind: 'loss', rate: 0});
	}

	const countStateReports = (state: string): number => fleet.reports.filter(report => report.kind === 'state' && report.state === state && report.time >= startedAt).length;
	const method = `${size} processes for ${lossSeconds} s at ${lossRate * 100}% loss, summed over all observers`;
	printMeasurement({
		measure: 'loss: false notices of failure',
		size,
		value: countStateReports('failed'),
		unit: 'notices',
		method,
	});
	printMeasurement({
		measure: 'loss: suspicions, all refuted',
		size,
		value: countStateReports('suspect'),
		unit: 'notices',
		method,
	});
}

async function measureKills(fleet: ScaleFleet, size: number): Promise<void> {
	const killedProcesses = fleet.processes.slice(-killedCount);
	const startedAt = epochTime();
	for (const node of killedProcesses) {
		await fleet.kill(node);
	}

	const names = new Set(killedProcesses.map(node => node.name));
	const detectionTimes = (): readonly number[] => fleet.reports
		.filter(report => report.kind === 'state' && report.state === 'failed' && names.has(report.name))
		.map(report => report.kind === 'state' ? report.time - startedAt : 0)
		.filter(time => time >= 0);
	for (let second = 0; second < failureDetectionTimeoutSeconds && detectionTimes().length < killedCount * fleet.processes.length; second++) {
		await sleep(1000);
	}

	const times = detectionTimes();
	const method = `${killedCount} processes killed, ${fleet.processes.length} observers, ${times.length} notices`;
	printMeasurement({
		measure: 'kill: time until noticed, median',
		size,
		value: quantile(times, 0.5),
		unit: 'ms',
		method,
	});
	printMeasurement({
		measure: 'kill: time until noticed, 99th percentile',
		size,
		value: quantile(times, 0.99),
		unit: 'ms',
		method,
	});
}

async function measureFleet(size: number, idleBytes: number): Promise<void> {
	const fleet = new ScaleFleet(size, seed);
	try {
		const startedAt = epochTime();
		await fleet.start();
		printMeasurement({
			measure: 'start: time until all agree on all records',
			size,
			value: epochTime() - startedAt,
			unit: 'ms',
			method: '10 processes started at a time',
		});
		await measureSteadyState(fleet, size, idleBytes);
		await measureChanges(fleet, size);
		await measureMissedChanges(fleet, size);
		if (size === fleetSizes.at(-1)) {
			await measureLoss(fleet, size);
		}

		await measureKills(fleet, size);
	} finally {
		await fleet.stop();
	}
}

/** Starts a process and sends it a number of synthetic records. */
async function startNodeUnderTest(index: number, count: number, responderAddress: string, largeConfiguration: boolean): Promise<ScaleProcess> {
	const address = `127.0.0.1:${firstPort + index}`;
	const node = new ScaleProcess('scale-node.js', `tested-${index}`);
	const ready = node.next('ready');
	node.send({
		kind: 'start', settings: {
			name: node.name, address, seeds: [], controlAddress: responderAddress, seed: seed + index, largeConfiguration,
		},
	});
	await ready;
	const clock = new SystemClock();
	const linkClient = new TcpLinkClient(clock, new HybridClock(clock));
	linkClient.notify(address, recordsNoticeName, Array.from({length: count}, (_, recordIndex) => encodeGossipRecord(createSyntheticRecord(recordIndex, responderAddress, 1))));
	await sleep(500);
	await linkClient.close();
	return node;
}

/** Measures processes that hold up to 4,000 synthetic records each. A responder answers the pings that they send to the processes in these records. */
async function measureDirectory(idleBytes: number): Promise<void> {
	const responderAddress = `127.0.0.1:${firstPort + 300}`;
	const responder = new ScaleProcess('scale-responder.js', 'responder');
	const nodesUnderTest: ScaleProcess[] = [];
	try {
		const ready = responder.next('ready');
		responder.send({address: responderAddress, tested: recordCounts.map((count, index) => ({address: `127.0.0.1:${firstPort + index}`, count}))});
		await ready;
		for (const [index, count] of recordCounts.entries()) {
			nodesUnderTest.push(await startNodeUnderTest(index, count, responderAddress, index === recordCounts.length - 1));
		}

		await sleep(3000);
		const before = await Promise.all(nodesUnderTest.map(async node => node.usage()));
		await sleep(steadyStateSeconds * 1000);
		const after = await Promise.all(nodesUnderTest.map(async node => node.usage()));
		for (const [index, count] of recordCounts.entries()) {
			printRates('directory', count, {before: [before[index]], after: [after[index]], seconds: steadyStateSeconds});
			const contents = index === recordCounts.length - 1 ? 'records and the configuration of 8,200 databases' : 'records';
			printMeasurement({
				measure: 'directory: resident bytes above idle Node.js',
				size: count,
				value: (after[index].residentBytes - idleBytes) / 1_000_000,
				unit: 'MB',
				method: `one process, ${contents}, ${after[index].liveRecords} live`,
			});
		}
	} finally {
		await Promise.all([responder, ...nodesUnderTest].map(async node => node.kill()));
	}
}

const idleBytes = await measureIdle();
await measureDirectory(idleBytes);
for (const size of fleetSizes) {
	await measureFleet(size, idleBytes);
}
