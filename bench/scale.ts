import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '../source/clock/system-clock.js';
import {TcpLinkClient} from '../source/links/tcp-link-client.js';
import {encodeGossipRecord} from '../source/membership/datagram-codec.js';
import {recordsNoticeName} from '../source/membership/record-exchange.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {firstPort, ScaleGroup} from './scale-group.js';
import {machineTime, type Usage} from './scale-messages.js';
import {ScaleProcess} from './scale-process.js';
import {syntheticEntry} from './scale-records.js';
import {mean, quantile} from './statistics.js';

const sizes = [20, 50, 100, 200];
const directorySizes = [100, 1000, 2000, 4000];
const seed = 1;
const steadySeconds = 15;
const changes = 8;
const missedChanges = 300;
const cutOffCount = 3;
const killedCount = 3;
const lossSeconds = 60;
const loss = 0.05;
const noticeLimitSeconds = 20;
const longestWaitMilliseconds = 10_000;

const json = process.argv.includes('--json');

type Figure = {
	readonly measure: string;
	readonly size: number;
	readonly value: number;
	readonly unit: string;
	readonly method: string;
};

type Interval = {
	readonly before: readonly Usage[];
	readonly after: readonly Usage[];
	readonly seconds: number;
};

function print(figure: Figure): void {
	const {
		measure, size, unit, method,
	} = figure;
	const value = Number(figure.value.toPrecision(4));
	process.stdout.write(json
		? `${JSON.stringify({
			measure, size, seed, value, unit, method,
		})}\n`
		: `${measure}, ${size}: ${value} ${unit} (${method})\n`);
}

function meanRate({before, after, seconds}: Interval, pick: (usage: Usage) => number): number {
	return mean(after.map((usage, index) => (pick(usage) - pick(before[index])) / seconds));
}

function printRates(kind: string, size: number, interval: Interval): void {
	const method = `mean of ${interval.after.length} processes over ${interval.seconds} s`;
	const rates: ReadonlyArray<readonly [string, string, number]> = [
		['processor time', '% of a core', meanRate(interval, usage => usage.processorMicroseconds) / 10_000],
		['datagram bytes sent', 'B/s', meanRate(interval, usage => usage.sentBytes)],
		['datagrams sent', '1/s', meanRate(interval, usage => usage.sentDatagrams)],
		['link bytes sent', 'B/s', meanRate(interval, usage => usage.linkBytes)],
	];
	for (const [measure, unit, value] of rates) {
		print({
			measure: `${kind}: ${measure}`, size, value, unit, method,
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
	print({
		measure: 'idle Node.js: resident bytes',
		size: 1,
		value: after.residentBytes / 1_000_000,
		unit: 'MB',
		method: 'one process',
	});
	print({
		measure: 'idle Node.js: processor time',
		size: 1,
		value: (after.processorMicroseconds - before.processorMicroseconds) / 5 / 10_000,
		unit: '% of a core',
		method: 'one process over 5 s',
	});
	return after.residentBytes;
}

async function measureSteady(group: ScaleGroup, size: number, idleBytes: number): Promise<void> {
	await sleep(4000);
	const before = await group.usages();
	await sleep(steadySeconds * 1000);
	const after = await group.usages();
	printRates('steady', size, {before, after, seconds: steadySeconds});
	print({
		measure: 'steady: resident bytes above idle Node.js',
		size,
		value: (quantile(after.map(usage => usage.residentBytes), 0.5) - idleBytes) / 1_000_000,
		unit: 'MB',
		method: `median of ${size} processes`,
	});
}

/** Waits until the processes hold the newest revision and returns the milliseconds that each took since the start; infinite for those that did not get there in time. */
async function timesToRevision(group: ScaleGroup, names: ReadonlySet<string>, start: number): Promise<readonly number[]> {
	const reached = new Map<string, number>();
	while (reached.size < names.size && machineTime() - start < longestWaitMilliseconds) {
		await sleep(50);
		for (const report of group.reports) {
			if (report.kind === 'revision' && report.revision === group.revision && names.has(report.from)) {
				reached.set(report.from, report.time - start);
			}
		}
	}

	return [...names].map(name => reached.get(name) ?? Number.POSITIVE_INFINITY);
}

function namesOf(processes: readonly ScaleProcess[]): ReadonlySet<string> {
	return new Set(processes.map(node => node.name));
}

async function measureChanges(group: ScaleGroup, size: number): Promise<void> {
	const changesTimes: Array<readonly number[]> = [];
	for (let change = 0; change < changes; change++) {
		const start = machineTime();
		group.commit(1);
		changesTimes.push(await timesToRevision(group, namesOf(group.processes), start));
		await sleep(500);
	}

	const method = `${changes} changes in ${size} processes`;
	print({
		measure: 'change: time until in force, median',
		size,
		value: quantile(changesTimes.flat(), 0.5),
		unit: 'ms',
		method,
	});
	print({
		measure: 'change: time until in force, 99th percentile',
		size,
		value: quantile(changesTimes.flat(), 0.99),
		unit: 'ms',
		method,
	});
	print({
		measure: 'change: time until in force everywhere, slowest change',
		size,
		value: Math.max(...changesTimes.flat()),
		unit: 'ms',
		method,
	});
}

async function measureMissedChanges(group: ScaleGroup, size: number): Promise<void> {
	const cutOff = group.processes.slice(-cutOffCount);
	const others = group.processes.slice(0, -cutOffCount);
	for (const node of cutOff) {
		node.send({kind: 'loss', share: 1});
	}

	await sleep(200);
	for (let change = 0; change < missedChanges / 10; change++) {
		group.commit(10);
		await sleep(30);
	}

	const othersTimes = await timesToRevision(group, namesOf(others), machineTime());
	print({
		measure: `${missedChanges} changes in a second: time from the last until in force everywhere`,
		size,
		value: Math.max(...othersTimes),
		unit: 'ms',
		method: `${others.length} processes`,
	});
	const start = machineTime();
	for (const node of cutOff) {
		node.send({kind: 'loss', share: 0});
	}

	const times = await timesToRevision(group, namesOf(cutOff), start);
	print({
		measure: `${missedChanges} missed changes: time until in force, slowest`,
		size,
		value: Math.max(...times),
		unit: 'ms',
		method: `${cutOffCount} processes cut off and connected again`,
	});
	await sleep(3000);
}

async function measureLoss(group: ScaleGroup, size: number): Promise<void> {
	for (const node of group.processes) {
		node.send({kind: 'loss', share: loss});
	}

	const start = machineTime();
	await sleep(lossSeconds * 1000);
	for (const node of group.processes) {
		node.send({kind: 'loss', share: 0});
	}

	const notices = (state: string): number => group.reports.filter(report => report.kind === 'state' && report.state === state && report.time >= start).length;
	const method = `${size} processes for ${lossSeconds} s at ${loss * 100}% loss, summed over all observers`;
	print({
		measure: 'loss: false notices of failure',
		size,
		value: notices('failed'),
		unit: 'notices',
		method,
	});
	print({
		measure: 'loss: suspicions, all refuted',
		size,
		value: notices('suspect'),
		unit: 'notices',
		method,
	});
}

async function measureKills(group: ScaleGroup, size: number): Promise<void> {
	const killed = group.processes.slice(-killedCount);
	const start = machineTime();
	for (const node of killed) {
		await group.kill(node);
	}

	const names = new Set(killed.map(node => node.name));
	const noticed = (): readonly number[] => group.reports
		.filter(report => report.kind === 'state' && report.state === 'failed' && names.has(report.name))
		.map(report => report.kind === 'state' ? report.time - start : 0)
		.filter(time => time >= 0);
	for (let second = 0; second < noticeLimitSeconds && noticed().length < killedCount * group.processes.length; second++) {
		await sleep(1000);
	}

	const times = noticed();
	const method = `${killedCount} processes killed, ${group.processes.length} observers, ${times.length} notices`;
	print({
		measure: 'kill: time until noticed, median',
		size,
		value: quantile(times, 0.5),
		unit: 'ms',
		method,
	});
	print({
		measure: 'kill: time until noticed, 99th percentile',
		size,
		value: quantile(times, 0.99),
		unit: 'ms',
		method,
	});
}

async function measureGroup(size: number, idleBytes: number): Promise<void> {
	const group = new ScaleGroup(size, seed);
	try {
		const start = machineTime();
		await group.start();
		print({
			measure: 'start: time until all agree on all records',
			size,
			value: machineTime() - start,
			unit: 'ms',
			method: '10 processes started at a time',
		});
		await measureSteady(group, size, idleBytes);
		await measureChanges(group, size);
		await measureMissedChanges(group, size);
		if (size === sizes.at(-1)) {
			await measureLoss(group, size);
		}

		await measureKills(group, size);
	} finally {
		await group.stop();
	}
}

async function startTested(index: number, count: number, responder: string, largeConfiguration: boolean): Promise<ScaleProcess> {
	const address = `127.0.0.1:${firstPort + index}`;
	const node = new ScaleProcess('scale-node.js', `tested-${index}`);
	const ready = node.next('ready');
	node.send({
		kind: 'start', settings: {
			name: node.name, address, seeds: [], origin: responder, seed: seed + index, largeConfiguration,
		},
	});
	await ready;
	const clock = new SystemClock();
	const linkClient = new TcpLinkClient(clock, new HybridClock(clock));
	linkClient.notify(address, recordsNoticeName, Array.from({length: count}, (_, entry) => encodeGossipRecord(syntheticEntry(entry, responder, 1))));
	await sleep(500);
	await linkClient.close();
	return node;
}

async function measureDirectory(idleBytes: number): Promise<void> {
	const responderAddress = `127.0.0.1:${firstPort + 300}`;
	const responder = new ScaleProcess('scale-responder.js', 'responder');
	const tested: ScaleProcess[] = [];
	try {
		const ready = responder.next('ready');
		responder.send({address: responderAddress, tested: directorySizes.map((count, index) => ({address: `127.0.0.1:${firstPort + index}`, count}))});
		await ready;
		for (const [index, count] of directorySizes.entries()) {
			tested.push(await startTested(index, count, responderAddress, index === directorySizes.length - 1));
		}

		await sleep(3000);
		const before = await Promise.all(tested.map(async node => node.usage()));
		await sleep(steadySeconds * 1000);
		const after = await Promise.all(tested.map(async node => node.usage()));
		for (const [index, count] of directorySizes.entries()) {
			printRates('directory', count, {before: [before[index]], after: [after[index]], seconds: steadySeconds});
			const contents = index === directorySizes.length - 1 ? 'records and the configuration of 8,200 databases' : 'records';
			print({
				measure: 'directory: resident bytes above idle Node.js',
				size: count,
				value: (after[index].residentBytes - idleBytes) / 1_000_000,
				unit: 'MB',
				method: `one process, ${contents}, ${after[index].liveRecords} live`,
			});
		}
	} finally {
		await Promise.all([responder, ...tested].map(async node => node.kill()));
	}
}

const idleBytes = await measureIdle();
await measureDirectory(idleBytes);
for (const size of sizes) {
	await measureGroup(size, idleBytes);
}
