import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
	command, flag, number, option, run,
} from 'cmd-ts';
import {SystemClock} from '../source/clock/system-clock.js';
import {ControlClient} from '../source/control/control-client.js';
import {TcpLinkClient} from '../source/links/tcp-link-client.js';
import {type ProcessRecord} from '../source/membership/process-record.js';
import {uniqueId} from '../source/random/random.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {type TimelineEvent} from '../source/timeline/timeline.js';
import {deployments} from '../stand-in/deployments.js';
import {ProcessFleet} from '../stand-in/process-fleet.js';

const requestTimeoutMilliseconds = 5000;
const pollIntervalMilliseconds = 100;
const waitTimeoutMilliseconds = 60_000;
const clock = new SystemClock();
const linkClient = new TcpLinkClient(clock, new HybridClock(clock));

/** Waits until each process has accepted the revision; returns the Unix times of acceptance in milliseconds. */
async function acceptanceTimes(records: readonly ProcessRecord[], revision: number, since: number): Promise<readonly number[]> {
	const deadline = clock.now() + waitTimeoutMilliseconds;
	for (;;) {
		const times = await Promise.all(records.map(async record => acceptanceTime(record, revision, since)));
		const acceptedAt = times.filter(time => time !== undefined);
		if (acceptedAt.length === records.length) {
			return acceptedAt;
		}

		if (clock.now() > deadline) {
			throw new Error(`revision ${revision} was accepted by only ${acceptedAt.length} of ${records.length} processes`);
		}

		await clock.sleep(pollIntervalMilliseconds);
	}
}

async function acceptanceTime(record: ProcessRecord, revision: number, since: number): Promise<number | undefined> {
	try {
		const events = await linkClient.request(record.linkAddress, 'timeline', null, requestTimeoutMilliseconds) as readonly TimelineEvent[];
		return events.find(event => event.part === 'configuration' && event.kind === 'accepted' && Number(event.subject) >= revision && event.time.milliseconds >= since)?.time.milliseconds;
	} catch {
		return undefined;
	}
}

/** Waits until control has records of `count` live processes; returns those of the pools and entries. */
async function waitForProcessRecords(fleet: ProcessFleet, count: number): Promise<readonly ProcessRecord[]> {
	const deadline = clock.now() + waitTimeoutMilliseconds;
	let records: readonly ProcessRecord[] = [];
	while (clock.now() < deadline) {
		records = await linkClient.request(fleet.controlAddresses[0], 'instances', null, requestTimeoutMilliseconds).catch(() => []) as readonly ProcessRecord[];
		if (records.filter(record => record.state === 'alive').length >= count) {
			return records.filter(record => record.role !== 'control');
		}

		await clock.sleep(pollIntervalMilliseconds);
	}

	throw new Error(`control has records of only ${records.length} of ${count} processes`);
}

/** Applies a change and returns, for each process, the time from the request to control until the process accepted it, in milliseconds. */
async function measureChange(fleet: ProcessFleet, records: readonly ProcessRecord[], queueLength: number): Promise<readonly number[]> {
	const client = new ControlClient(linkClient, clock, fleet.controlAddresses);
	const accepted = await client.configurationSince({revision: -1});
	if (accepted.kind !== 'snapshot') {
		throw new Error('control answered with deltas instead of a snapshot');
	}

	const {files, revision: expectedRevision} = accepted.configuration;
	const [base] = files.base.split('limits:\n');
	const startedAt = clock.wallTime();
	const {revision} = await client.apply({
		changeId: uniqueId(), expectedRevision, files: {...files, base: `${base}limits:\n  queueLength: ${queueLength}\n`}, operator: 'bench',
	});
	const times = await acceptanceTimes(records, revision, startedAt);
	return times.map(time => time - startedAt);
}

const program = command({
	name: 'apply-fleet',
	description: 'measures the time from the request to control until every pool and entry has accepted a change',
	args: {
		json: flag({long: 'json', description: 'print one JSON object per line'}),
		instances: option({
			type: number, long: 'instances', description: 'entry instances, each with a pool and an entry', defaultValue: () => 20,
		}),
		changes: option({
			type: number, long: 'changes', description: 'number of changes', defaultValue: () => 10,
		}),
	},
	async handler({json, instances, changes}) {
		const folder = mkdtempSync(join(tmpdir(), 'apply-fleet-'));
		const fleet = new ProcessFleet({
			configurationFolder: 'examples/waitaha', folder, dataCentres: deployments.waitaha.dataCentres, controls: 3, pools: instances, entries: instances, databases: [], memberFlags: [],
		});
		const report = (measure: string, value: number): void => {
			console.log(json
				? JSON.stringify({
					measure, size: instances, value, unit: 'ms', runs: changes,
				})
				: `${measure}, ${instances} instances: ${Math.round(value)} ms`);
		};

		try {
			await fleet.start();
			const processCount = (2 * instances) + 3;
			const records = await waitForProcessRecords(fleet, processCount);
			const slowestDelays: number[] = [];
			const allDelays: number[] = [];
			for (let change = 1; change <= changes; change++) {
				const delays = await measureChange(fleet, records, 1000 + change);
				allDelays.push(...delays);
				slowestDelays.push(Math.max(...delays));
			}

			const sortedDelays = allDelays.toSorted((first, second) => first - second);
			report('change in force, median', sortedDelays[Math.floor(sortedDelays.length / 2)]);
			report('change in force, 99th percentile', sortedDelays[Math.floor(sortedDelays.length * 0.99)]);
			report('change in force everywhere, slowest change', Math.max(...slowestDelays));
			const restartedAt = clock.wallTime();
			for (const {name} of records) {
				await fleet.sendSignal(name, 'SIGKILL');
				fleet.restart(name);
			}

			const revision = Number(/revision (?<revision>\d+), confirmed/v.exec(await fleet.runOperatorCommand(['status']))?.groups?.revision);
			await acceptanceTimes(records, revision, restartedAt);
			console.log(`After the restart of all ${records.length} processes revision ${revision} is in force in each.`);
		} finally {
			await fleet.stop();
			await linkClient.close();
			rmSync(folder, {recursive: true, force: true});
		}

		process.exit(0);
	},
});

await run(program, process.argv.slice(2));
