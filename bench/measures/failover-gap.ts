import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {type DeploymentConfiguration} from '../../source/configuration/types.js';
import {timelineText} from '../../source/timeline/timeline-text.js';
import {DeploymentFleet} from './deployment-fleet.js';
import {figure, type BenchOptions, type Measure} from './figure.js';
import {longestGap} from './gap.js';
import {pause} from './pause.js';
import {percentile} from './percentile.js';

/** Ways in which writes are interrupted. */
type Fault = 'killed' | 'cut off' | 'planned';

const targets: Readonly<Record<Fault, Milliseconds>> = {killed: 500, 'cut off': 1500, planned: 100};

const writers = 8;

/** Pause of a writer between its writes. */
const thinkTime: Milliseconds = 2;

/** Time of undisturbed writing before and after each fault. */
const steadyTime: Milliseconds = 600;

/** Writes are accepted as before when each writer had one accepted on average within this time. */
const recentTime: Milliseconds = 250;

/** Fleets that are measured at the same time; each is idle most of the time. */
const parallelFleets = 4;

/** Longest time for which a gap is awaited. */
const longestWait: Milliseconds = 12_000;

type Configure = (deployment: DeploymentConfiguration) => DeploymentConfiguration;

/** Settings that detect failures by three missed beats of one second and a fresh connection that gets just the time to be set up. */
function fixedTimeout(deployment: DeploymentConfiguration): DeploymentConfiguration {
	return {
		...deployment, timeouts: {
			...deployment.timeouts, heartbeat: 1000, silence: 3000, freshConnection: 200, lease: 4000,
		},
	};
}

/** Writes from several callers until it is stopped and notes when writes were accepted. */
export class WriteLoad {
	readonly acceptedAt: number[] = [];
	failed = 0;
	#running = true;
	readonly #loops: Array<Promise<void>> = [];

	constructor(private readonly insert: string, private readonly onError: (writer: number) => Promise<pg.Client | undefined> = async () => undefined) {}

	start(clients: readonly pg.Client[], firstId: number): void {
		for (const [index, client] of clients.entries()) {
			this.#loops.push(this.#write(client, index, firstId, clients.length));
		}
	}

	async stop(): Promise<void> {
		this.#running = false;
		await Promise.all(this.#loops);
	}

	async #write(client: pg.Client, writer: number, firstId: number, step: number): Promise<void> {
		let present = client;
		for (let id = firstId + writer; this.#running; id += step) {
			try {
				await present.query(this.insert, [id, 'entry']);
				this.acceptedAt.push(performance.now());
			} catch {
				this.failed++;
				present = await this.onError(writer) ?? present;
			}

			await pause(thinkTime);
		}
	}
}

/** Resolves once writes are accepted again as before, or after the longest wait. */
export async function waitForGap(load: WriteLoad, faultAt: number): Promise<void> {
	const hasRecovered = (now: number): boolean => now > faultAt + steadyTime && load.acceptedAt.filter(time => time > now - recentTime).length > writers;
	while (performance.now() < faultAt + longestWait && !hasRecovered(performance.now())) {
		await pause(20);
	}
}

async function applyFault(fault: Fault, {fleet}: DeploymentFleet): Promise<() => Promise<void>> {
	const primary = fleet.primary()!;
	if (fault === 'killed') {
		// The relay must refuse as well, since a connection to a dead process is refused at once.
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

async function gapsOfFleet(fault: Fault, runs: number, options: Pick<BenchOptions, 'seed' | 'timeline'>, configure?: Configure): Promise<readonly number[]> {
	const deployment = new DeploymentFleet('tengiz', {
		seed: options.seed, pools: 1, entries: 1, configure,
	});
	const gaps: number[] = [];
	await deployment.start();
	try {
		const clients = await Promise.all(Array.from({length: writers}, async () => deployment.connect(0)));
		await clients[0].query('CREATE TABLE wreck (id int PRIMARY KEY, name text)');
		for (let run = 0; run < runs; run++) {
			await deployment.waitUntilHealthy();
			const load = new WriteLoad('INSERT INTO wreck (id, name) VALUES ($1, $2)');
			load.start(clients, run * 1_000_000);
			// The fault meets the heartbeat at a different phase in each run.
			await pause(steadyTime + ((run * 37) % 200));
			const faultAt = performance.now();
			const undo = await applyFault(fault, deployment);
			await waitForGap(load, faultAt);
			gaps.push(longestGap(load.acceptedAt, faultAt, performance.now()));
			await load.stop();
			await undo();
		}

		if (options.timeline) {
			process.stderr.write(timelineText(deployment.fleet.events()));
		}
	} finally {
		await deployment.stop();
	}

	return gaps;
}

async function gapsOf(fault: Fault, runs: number, options: BenchOptions, configure?: Configure): Promise<readonly number[]> {
	const fleets = Math.min(parallelFleets, runs);
	const all = await Promise.all(Array.from({length: fleets}, async (_, index) => {
		const ownOptions = {seed: options.seed + index, timeline: options.timeline && index === 0};
		return gapsOfFleet(fault, Math.ceil(runs / fleets), ownOptions, configure);
	}));
	return all.flat();
}

async function runFault(fault: Fault, options: BenchOptions): Promise<void> {
	const {seed, quick, report} = options;
	const gaps = await gapsOf(fault, quick ? 4 : 20, options);
	const baseline = fault === 'planned' ? undefined : await gapsOf(fault, 4, {...options, timeline: false}, fixedTimeout);
	for (const [name, share] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
		report(figure(seed, {
			measure: `failover gap, ${name}`,
			workload: `tengiz, primary ${fault}`,
			value: percentile(gaps, share),
			unit: 'ms',
			baseline: baseline ? '3 missed beats of 1 s' : null,
			baselineValue: baseline ? percentile(baseline, share) : null,
			target: share === 0.99 ? targets[fault] : null,
			runs: gaps.length,
		}));
	}
}

const lossShare = 0.05;
const pauseLength: Milliseconds = 300;
const pausePeriod: Milliseconds = 5000;

/** Returns a latency that adds a retransmission of 200 to 300 ms to 5% of the messages. */
function lossyDelay(base: Milliseconds, random: () => number): Milliseconds {
	return base + (random() < lossShare ? 200 + (random() * 100) : 0);
}

async function countFalsePromotions({
	seed, quick, full, timeline, report,
}: BenchOptions): Promise<void> {
	const duration: Milliseconds = full ? 600_000 : (quick ? 10_000 : 40_000);
	const deployment = new DeploymentFleet('tengiz', {seed, pools: 2, entries: 1});
	await deployment.start();
	try {
		const {fleet} = deployment;
		const clients = await Promise.all(Array.from({length: 2}, async () => deployment.connect(0)));
		await clients[0].query('CREATE TABLE wreck (id int PRIMARY KEY, name text)');
		await deployment.waitUntilHealthy();
		const countPromotions = (): number => fleet.events().filter(({kind}) => kind === 'member promoted').length;
		const promotionsAtStart = countPromotions();
		const {random} = fleet.pools[0].services;
		for (const {relay} of fleet.members) {
			const base = relay.latency;
			relay.nextDelay = () => lossyDelay(base, () => random.fraction());
		}

		const load = new WriteLoad('INSERT INTO wreck (id, name) VALUES ($1, $2)');
		load.start(clients, 0);
		const end = performance.now() + duration;
		for (let index = 0; performance.now() < end; index++) {
			const {relay} = fleet.members[index % fleet.members.length];
			const {nextDelay} = relay;
			await pause(pausePeriod - pauseLength);
			// A paused process handles nothing until the pause ends.
			const resumeAt = performance.now() + pauseLength;
			relay.nextDelay = () => Math.max(0, resumeAt - performance.now()) + 1;
			await pause(pauseLength);
			relay.nextDelay = nextDelay;
		}

		await load.stop();
		if (timeline) {
			process.stderr.write(timelineText(fleet.events()));
		}

		report(figure(seed, {
			measure: 'false promotions',
			workload: `tengiz, ${duration / 1000} s, 5% of messages delayed by 200 to 300 ms, a pause of 300 ms every 5 s`,
			value: countPromotions() - promotionsAtStart,
			unit: 'promotions',
			target: 0,
			runs: 1,
		}));
	} finally {
		await deployment.stop();
	}
}

export const failoverMeasures: readonly Measure[] = [
	{name: 'failover-killed', run: async options => runFault('killed', options)},
	{name: 'failover-cut-off', run: async options => runFault('cut off', options)},
	{name: 'failover-planned', run: async options => runFault('planned', options)},
	{name: 'false-promotion', run: countFalsePromotions},
];
