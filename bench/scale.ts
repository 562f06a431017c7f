import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '../source/clock/system-clock.js';
import {TcpLinkClient} from '../source/links/tcp-link-client.js';
import {encodeEntry} from '../source/membership/datagram-codec.js';
import {entriesName} from '../source/membership/record-exchange.js';
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

function print(measure: string, size: number, value: number, unit: string, method: string): void {
	const rounded = Number(value.toPrecision(4));
	process.stdout.write(json
		? `${JSON.stringify({
			measure, size, seed, value: rounded, unit, method,
		})}\n`
		: `${measure}, ${size}: ${rounded} ${unit} (${method})\n`);
}

function rates(before: readonly Usage[], after: readonly Usage[], seconds: number, pick: (usage: Usage) => number): readonly number[] {
	return after.map((usage, index) => (pick(usage) - pick(before[index])) / seconds);
}

function printRates(kind: string, size: number, before: readonly Usage[], after: readonly Usage[], seconds: number): void {
	const method = `mean of ${after.length} processes over ${seconds} s`;
	print(`${kind}: processor time`, size, mean(rates(before, after, seconds, usage => usage.processorMicroseconds)) / 10_000, '% of a core', method);
	print(`${kind}: datagram bytes sent`, size, mean(rates(before, after, seconds, usage => usage.sentBytes)), 'B/s', method);
	print(`${kind}: datagrams sent`, size, mean(rates(before, after, seconds, usage => usage.sentDatagrams)), '1/s', method);
	print(`${kind}: link bytes sent`, size, mean(rates(before, after, seconds, usage => usage.linkBytes)), 'B/s', method);
}

async function measureIdle(): Promise<number> {
	const idle = new ScaleProcess('scale-idle.js', 'idle');
	await idle.next('ready');
	await sleep(1000);
	const before = await idle.usage();
	await sleep(5000);
	const after = await idle.usage();
	await idle.kill();
	print('idle Node.js: resident bytes', 1, after.residentBytes / 1_000_000, 'MB', 'one process');
	print('idle Node.js: processor time', 1, (after.processorMicroseconds - before.processorMicroseconds) / 5 / 10_000, '% of a core', 'one process over 5 s');
	return after.residentBytes;
}

async function measureSteady(group: ScaleGroup, size: number, idleBytes: number): Promise<void> {
	await sleep(4000);
	const before = await group.usages();
	await sleep(steadySeconds * 1000);
	const after = await group.usages();
	printRates('steady', size, before, after, steadySeconds);
	print('steady: resident bytes above idle Node.js', size, (quantile(after.map(usage => usage.residentBytes), 0.5) - idleBytes) / 1_000_000, 'MB', `median of ${size} processes`);
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
	print('change: time until in force, median', size, quantile(changesTimes.flat(), 0.5), 'ms', method);
	print('change: time until in force, 99th percentile', size, quantile(changesTimes.flat(), 0.99), 'ms', method);
	print('change: time until in force everywhere, slowest change', size, Math.max(...changesTimes.flat()), 'ms', method);
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
	print(`${missedChanges} changes in a second: time from the last until in force everywhere`, size, Math.max(...othersTimes), 'ms', `${others.length} processes`);
	const start = machineTime();
	for (const node of cutOff) {
		node.send({kind: 'loss', share: 0});
	}

	const times = await timesToRevision(group, namesOf(cutOff), start);
	print(`${missedChanges} missed changes: time until in force, slowest`, size, Math.max(...times), 'ms', `${cutOffCount} processes cut off and connected again`);
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
	print('loss: false notices of failure', size, notices('failed'), 'notices', method);
	print('loss: suspicions, all refuted', size, notices('suspect'), 'notices', method);
}

async function measureKills(group: ScaleGroup, size: number): Promise<void> {
	const killed = group.processes.slice(-killedCount);
	const start = machineTime();
	for (const node of killed) {
		await group.kill(node);
	}

	const names = new Set(killed.map(node => node.name));
	const noticed = (): readonly number[] => group.reports.filter(report => report.kind === 'state' && report.state === 'failed' && names.has(report.name) && report.time >= start).map(report => report.kind === 'state' ? report.time - start : 0);
	for (let second = 0; second < noticeLimitSeconds && noticed().length < killedCount * group.processes.length; second++) {
		await sleep(1000);
	}

	const times = noticed();
	const method = `${killedCount} processes killed, ${group.processes.length} observers, ${times.length} notices`;
	print('kill: time until noticed, median', size, quantile(times, 0.5), 'ms', method);
	print('kill: time until noticed, 99th percentile', size, quantile(times, 0.99), 'ms', method);
}

async function measureGroup(size: number, idleBytes: number): Promise<void> {
	const group = new ScaleGroup(size, seed);
	try {
		const start = machineTime();
		await group.start();
		print('start: time until all agree on all records', size, machineTime() - start, 'ms', '10 processes started at a time');
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
	linkClient.notify(address, entriesName, Array.from({length: count}, (_, entry) => encodeEntry(syntheticEntry(entry, responder, 1))));
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
			printRates('directory', count, [before[index]], [after[index]], steadySeconds);
			const contents = index === directorySizes.length - 1 ? 'records and the configuration of 8,200 databases' : 'records';
			print('directory: resident bytes above idle Node.js', count, (after[index].residentBytes - idleBytes) / 1_000_000, 'MB', `one process, ${contents}, ${after[index].liveRecords} live`);
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
