import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {type DeploymentConfiguration} from '../../source/configuration/types.js';
import {timelineText} from '../../source/timeline/timeline-text.js';
import {DeploymentFleet} from './deployment-fleet.js';
import {createBenchmarkResult, type BenchmarkOptions, type Benchmark} from './benchmark-result.js';
import {longestGap} from './longest-gap.js';
import {sleep} from './sleep.js';
import {percentile} from './percentile.js';

/** Event that interrupts writes: the primary is killed or cut off, or another member is promoted as planned. */
type Fault = 'killed' | 'cut off' | 'planned';

const targetGapByFault: Readonly<Record<Fault, Milliseconds>> = {killed: 500, 'cut off': 1500, planned: 100};

const writerCount = 8;

/** Pause of a writer after each write. */
const thinkTime: Milliseconds = 2;

/** Minimum time of writing before and after each fault. */
const steadyTime: Milliseconds = 600;

/** Writes have recovered once the number of writes accepted during the last window exceeds the number of writers. */
const recoveryWindow: Milliseconds = 250;

/** Fleets that run at the same time; each is idle most of the time. */
const maximumParallelFleets = 4;

/** Longest wait for writes to recover after a fault. */
const recoveryTimeout: Milliseconds = 12_000;

type ConfigurationOverride = (deployment: DeploymentConfiguration) => DeploymentConfiguration;

/** Baseline: a failure is detected after three missed heartbeats of one second, and the timeout for a status request on a fresh connection covers little more than the connection setup. */
function fixedTimeoutConfiguration(deployment: DeploymentConfiguration): DeploymentConfiguration {
	return {
		...deployment, timeouts: {
			...deployment.timeouts, heartbeat: 1000, silence: 3000, freshConnection: 200, lease: 4000,
		},
	};
}

/** Writes from several callers until it is stopped and records when writes were accepted. After a failed write, `onError` may return another connection for the writer. */
export class WriteLoad {
	readonly acceptedAt: number[] = [];
	failedCount = 0;
	#running = true;
	readonly #writerLoops: Array<Promise<void>> = [];

	constructor(private readonly insertStatement: string, private readonly onError: (writer: number) => Promise<pg.Client | undefined> = async () => undefined) {}

	start(clients: readonly pg.Client[], firstId: number): void {
		for (const [index, client] of clients.entries()) {
			this.#writerLoops.push(this.#write(client, index, firstId, clients.length));
		}
	}

	async stop(): Promise<void> {
		this.#running = false;
		await Promise.all(this.#writerLoops);
	}

	async #write(client: pg.Client, writer: number, firstId: number, idStep: number): Promise<void> {
		let connection = client;
		for (let id = firstId + writer; this.#running; id += idStep) {
			try {
				await connection.query(this.insertStatement, [id, 'entry']);
				this.acceptedAt.push(performance.now());
			} catch {
				this.failedCount++;
				connection = await this.onError(writer) ?? connection;
			}

			await sleep(thinkTime);
		}
	}
}

/** Resolves once writes have recovered, or after the timeout. */
export async function waitForRecovery(load: WriteLoad, faultAt: number): Promise<void> {
	const hasRecovered = (now: number): boolean => now > faultAt + steadyTime && load.acceptedAt.filter(time => time > now - recoveryWindow).length > writerCount;
	while (performance.now() < faultAt + recoveryTimeout && !hasRecovered(performance.now())) {
		await sleep(20);
	}
}

/** Injects the fault and returns a function that ends it. */
async function injectFault(fault: Fault, {fleet}: DeploymentFleet): Promise<() => Promise<void>> {
	const primary = fleet.primary()!;
	if (fault === 'killed') {
		// The relay must refuse connections as well, because connections to a killed process are refused at once.
		primary.relay.refuseConnections();
		await primary.member.stop();
		return async () => {
			await primary.member.start();
			await primary.relay.heal();
		};
	}

	if (fault === 'cut off') {
		primary.relay.dropTraffic();
		return async () => primary.relay.heal();
	}

	const service = fleet.pools[0].process.serviceOf(fleet.options.database);
	const target = fleet.members.find(({member}) => member !== primary.member)!;
	await service.promote(target.member.name);
	return async () => undefined;
}

async function measureFleetGaps(fault: Fault, runs: number, options: Pick<BenchmarkOptions, 'seed' | 'timeline'>, configure?: ConfigurationOverride): Promise<readonly number[]> {
	const deploymentFleet = new DeploymentFleet('tengiz', {
		seed: options.seed, pools: 1, entries: 1, configure,
	});
	const gaps: number[] = [];
	await deploymentFleet.start();
	try {
		const clients = await Promise.all(Array.from({length: writerCount}, async () => deploymentFleet.connect(0)));
		await clients[0].query('CREATE TABLE wreck (id int PRIMARY KEY, name text)');
		for (let runIndex = 0; runIndex < runs; runIndex++) {
			await deploymentFleet.waitUntilHealthy();
			const load = new WriteLoad('INSERT INTO wreck (id, name) VALUES ($1, $2)');
			load.start(clients, runIndex * 1_000_000);
			// Varies the phase of the heartbeat at which the fault occurs.
			await sleep(steadyTime + ((runIndex * 37) % 200));
			const faultAt = performance.now();
			const healFault = await injectFault(fault, deploymentFleet);
			await waitForRecovery(load, faultAt);
			gaps.push(longestGap(load.acceptedAt, faultAt, performance.now()));
			await load.stop();
			await healFault();
		}

		if (options.timeline) {
			process.stderr.write(timelineText(deploymentFleet.fleet.events()));
		}
	} finally {
		await deploymentFleet.stop();
	}

	return gaps;
}

async function measureGaps(fault: Fault, runs: number, options: BenchmarkOptions, configure?: ConfigurationOverride): Promise<readonly number[]> {
	const fleetCount = Math.min(maximumParallelFleets, runs);
	const gapsByFleet = await Promise.all(Array.from({length: fleetCount}, async (_, index) => {
		const fleetOptions = {seed: options.seed + index, timeline: options.timeline && index === 0};
		return measureFleetGaps(fault, Math.ceil(runs / fleetCount), fleetOptions, configure);
	}));
	return gapsByFleet.flat();
}

async function measureFailover(fault: Fault, options: BenchmarkOptions): Promise<void> {
	const {seed, quick, report} = options;
	const gaps = await measureGaps(fault, quick ? 4 : 20, options);
	const baseline = fault === 'planned' ? undefined : await measureGaps(fault, 4, {...options, timeline: false}, fixedTimeoutConfiguration);
	for (const [name, fraction] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
		report(createBenchmarkResult(seed, {
			measure: `failover gap, ${name}`,
			workload: `tengiz, primary ${fault}`,
			value: percentile(gaps, fraction),
			unit: 'ms',
			baseline: baseline ? '3 missed beats of 1 s' : null,
			baselineValue: baseline ? percentile(baseline, fraction) : null,
			target: fraction === 0.99 ? targetGapByFault[fault] : null,
			runs: gaps.length,
		}));
	}
}

const retransmissionProbability = 0.05;
const pauseDuration: Milliseconds = 300;
const pausePeriod: Milliseconds = 5000;

/** Returns the latency of a message; 5% of the messages are delayed by another 200 to 300 ms, as by a TCP retransmission. */
function delayWithRetransmissions(baseLatency: Milliseconds, random: () => number): Milliseconds {
	return baseLatency + (random() < retransmissionProbability ? 200 + (random() * 100) : 0);
}

async function measureFalsePromotions({
	seed, quick, full, timeline, report,
}: BenchmarkOptions): Promise<void> {
	const duration: Milliseconds = full ? 600_000 : (quick ? 10_000 : 40_000);
	const deploymentFleet = new DeploymentFleet('tengiz', {seed, pools: 2, entries: 1});
	await deploymentFleet.start();
	try {
		const {fleet} = deploymentFleet;
		const clients = await Promise.all(Array.from({length: 2}, async () => deploymentFleet.connect(0)));
		await clients[0].query('CREATE TABLE wreck (id int PRIMARY KEY, name text)');
		await deploymentFleet.waitUntilHealthy();
		const countPromotions = (): number => fleet.events().filter(({kind}) => kind === 'member promoted').length;
		const promotionsAtStart = countPromotions();
		const {random} = fleet.pools[0].services;
		for (const {relay} of fleet.members) {
			const baseLatency = relay.latency;
			relay.nextDelay = () => delayWithRetransmissions(baseLatency, () => random.fraction());
		}

		const load = new WriteLoad('INSERT INTO wreck (id, name) VALUES ($1, $2)');
		load.start(clients, 0);
		const deadline = performance.now() + duration;
		for (let index = 0; performance.now() < deadline; index++) {
			const {relay} = fleet.members[index % fleet.members.length];
			const {nextDelay} = relay;
			await sleep(pausePeriod - pauseDuration);
			// As for a paused process, everything is delivered when the pause ends.
			const resumeAt = performance.now() + pauseDuration;
			relay.nextDelay = () => Math.max(0, resumeAt - performance.now()) + 1;
			await sleep(pauseDuration);
			relay.nextDelay = nextDelay;
		}

		await load.stop();
		if (timeline) {
			process.stderr.write(timelineText(fleet.events()));
		}

		report(createBenchmarkResult(seed, {
			measure: 'false promotions',
			workload: `tengiz, ${duration / 1000} s, 5% of messages delayed by 200 to 300 ms, a pause of 300 ms every 5 s`,
			value: countPromotions() - promotionsAtStart,
			unit: 'promotions',
			target: 0,
			runs: 1,
		}));
	} finally {
		await deploymentFleet.stop();
	}
}

/** Gaps in accepted writes by kind of fault, and promotions without a fault. */
export const failoverBenchmarks: readonly Benchmark[] = [
	{name: 'failover-killed', run: async options => measureFailover('killed', options)},
	{name: 'failover-cut-off', run: async options => measureFailover('cut off', options)},
	{name: 'failover-planned', run: async options => measureFailover('planned', options)},
	{name: 'false-promotion', run: measureFalsePromotions},
];
