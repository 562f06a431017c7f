import {type Milliseconds} from '../../source/clock/clock.js';
import {type DeploymentConfiguration} from '../../source/configuration/types.js';
import {DeploymentFleet} from './deployment-fleet.js';
import {figure, type BenchOptions, type Measure} from './figure.js';
import {NoticeLoad, type PhaseResult, type ReadStyle} from './notice-load.js';
import {percentile, shareOf} from './percentile.js';

/** Delays of the replicas of one workload. */
type Delays = {
	readonly id: string;
	readonly name: string;
	/** Apply delay of all members. */
	readonly apply: Milliseconds;
	/** Replicas whose receipt and application are delayed by 2 s. */
	readonly lateReplicas: number;
};

/** A way to serve reads that is compared with the product. */
type Variant = {
	readonly name: string;
	readonly style: ReadStyle;
	readonly configure?: (deployment: DeploymentConfiguration) => DeploymentConfiguration;
};

const lateDelay: Milliseconds = 2000;
const lookupRate = 20;
const growth = 10;

/** Writes for each lookup: 95% of the statements are lookups. */
const writesPerLookup = 5 / 95;

/** Rate of writes that gives enough of them for a 99th percentile. */
const manyWrites = 10;

const delays: readonly Delays[] = [
	{
		id: '20ms', name: 'apply delay 20 ms', apply: 20, lateReplicas: 0,
	},
	{
		id: '200ms', name: 'apply delay 200 ms', apply: 200, lateReplicas: 0,
	},
	{
		id: '2s', name: 'apply delay 2 s', apply: 2000, lateReplicas: 0,
	},
	{
		id: 'one-late', name: 'both delays 2 s for one replica', apply: 20, lateReplicas: 1,
	},
	{
		id: 'both-late', name: 'both delays 2 s for both replicas', apply: 20, lateReplicas: 2,
	},
];

const product: Variant = {name: 'product', style: 'position'};

const variants: readonly Variant[] = [
	{name: 'primary alone', style: 'primary'},
	{name: 'fixed wait of 100 ms after a write', style: 'fixedWait'},
	{
		name: 'without waiting for a replica', style: 'position', configure: deployment => ({...deployment, limits: {...deployment.limits, replicaWait: 0}}),
	},
	{name: 'without stated ages', style: 'noStatedAge'},
];

type DayResult = {
	readonly calm: PhaseResult;
	readonly downpour: PhaseResult;
	readonly lookupShare: number;
	readonly ownReadShare: number;
};

type Day = {
	readonly delay: Delays;
	readonly variant: Variant;
	readonly writeRate: number;
};

async function runDay({delay, variant, writeRate}: Day, {seed, quick}: BenchOptions): Promise<DayResult> {
	const deployment = new DeploymentFleet('waitaha', {
		seed, pools: 1, entries: 2, applyDelay: delay.apply, configure: variant.configure,
	});
	await deployment.start();
	try {
		const load = new NoticeLoad(deployment, variant.style, seed);
		await load.prepare();
		await deployment.waitUntilHealthy();
		await deployment.waitUntilApplied();
		const replicas = deployment.fleet.members.filter(({member}) => member.status().role === 'replica');
		for (const {member} of replicas.slice(0, delay.lateReplicas)) {
			member.receiveDelay = lateDelay;
			member.applyDelay = lateDelay;
		}

		const before = {lookups: await deployment.readCounts(true), own: await deployment.readCounts(false)};
		const calm = await load.run({duration: quick ? 4000 : 6000, lookupRate: () => lookupRate, writeRate});
		const rise = quick ? 4000 : 10_000;
		const downpour = await load.run({
			duration: rise + (quick ? 1000 : 3000),
			lookupRate: time => lookupRate * (1 + ((growth - 1) * Math.min(1, time / rise))),
			writeRate,
		});
		const after = {lookups: await deployment.readCounts(true), own: await deployment.readCounts(false)};
		const share = (kind: 'lookups' | 'own'): number => {
			const replica = after[kind].replica - before[kind].replica;
			// Reads that the caller sends to the primary as locking reads are not counted as reads by the pool.
			return variant.style === 'primary' ? 0 : shareOf(replica, replica + after[kind].primary - before[kind].primary);
		};

		return {
			// The pool tells lookups from own reads by the stated age, so baselines in which both or neither state one show the share of all reads.
			calm, downpour, lookupShare: share(variant.style === 'noStatedAge' ? 'own' : 'lookups'), ownReadShare: share(variant.style === 'fixedWait' ? 'lookups' : 'own'),
		};
	} finally {
		await deployment.stop();
	}
}

function reportDay(name: string, delay: Delays, {calm, downpour, lookupShare, ownReadShare}: DayResult, {seed, report}: BenchOptions): void {
	const lookups = [...calm.lookupTimes, ...downpour.lookupTimes];
	const own = [...calm.ownReadTimes, ...downpour.ownReadTimes];
	const refused = calm.lookupsRefused + downpour.lookupsRefused;
	const workload = `waitaha, ${delay.name}${name === product.name ? '' : `; ${name}`}`;
	const isProduct = name === product.name;
	const base = {workload, baseline: 'primary alone', baselineValue: 0};
	report(figure(seed, {
		...base, measure: 'lookups on replicas', value: lookupShare * 100, unit: '%', target: isProduct ? 99 : null, direction: 'atLeast', runs: lookups.length,
	}));
	report(figure(seed, {
		...base, measure: 'own reads on replicas', value: ownReadShare * 100, unit: '%',
		target: isProduct && delay.apply === 20 && delay.lateReplicas === 0 ? 95 : null, direction: 'atLeast', runs: own.length,
	}));
	report(figure(seed, {
		measure: 'lookups refused', workload, value: refused, unit: 'lookups', target: isProduct ? 0 : null, runs: lookups.length + refused,
	}));
	report(figure(seed, {
		measure: 'own reads that miss the write', workload, value: calm.ownReadsStale + downpour.ownReadsStale, unit: 'reads', target: isProduct ? 0 : null, runs: own.length,
	}));
	report(figure(seed, {
		measure: 'lookup time, median', workload, value: percentile(lookups, 0.5), unit: 'ms', runs: lookups.length,
	}));
	report(figure(seed, {
		measure: 'lookup time in the downpour, 99th percentile', workload, value: percentile(downpour.lookupTimes, 0.99), unit: 'ms', runs: downpour.lookupTimes.length,
	}));
	report(figure(seed, {
		measure: 'own read time, median', workload, value: percentile(own, 0.5), unit: 'ms', runs: own.length,
	}));
}

async function measureShares(delay: Delays, options: BenchOptions): Promise<void> {
	reportDay(product.name, delay, await runDay({delay, variant: product, writeRate: lookupRate * writesPerLookup}, options), options);
}

async function measureVariants(options: BenchOptions): Promise<void> {
	const [delay] = delays;
	for (const variant of options.quick ? variants.slice(0, 1) : variants) {
		const day = {delay, variant, writeRate: lookupRate * writesPerLookup};
		reportDay(variant.name, delay, await runDay(day, options), options);
	}
}

async function measureWrites(options: BenchOptions): Promise<void> {
	const {seed, report} = options;
	const measured = await runDay({delay: delays[0], variant: product, writeRate: manyWrites}, options);
	const compared = options.quick ? undefined : await runDay({delay: delays[0], variant: variants[0], writeRate: manyWrites}, options);
	const base = {workload: `waitaha, ${manyWrites} writes a second`, baseline: compared ? 'primary alone' : null};
	for (const phase of ['calm', 'downpour'] as const) {
		for (const [name, share] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
			report(figure(seed, {
				...base,
				measure: `notice write, ${phase}, ${name}`,
				value: percentile(measured[phase].writeTimes, share),
				unit: 'ms',
				baselineValue: compared ? percentile(compared[phase].writeTimes, share) : null,
				runs: measured[phase].writeTimes.length,
			}));
		}
	}

	const ratio = ({calm, downpour}: DayResult): number => percentile(downpour.writeTimes, 0.99) / percentile(calm.writeTimes, 0.99);
	report(figure(seed, {
		...base, measure: 'notice write, downpour over calm, 99th percentile', value: ratio(measured), unit: 'times',
		baselineValue: compared ? ratio(compared) : null, target: 1.5, runs: measured.downpour.writeTimes.length,
	}));
	const failed = ({calm, downpour}: DayResult): number => calm.writesFailed + downpour.writesFailed;
	report(figure(seed, {
		...base,
		measure: 'notice writes that failed',
		value: failed(measured),
		unit: 'writes',
		baselineValue: compared ? failed(compared) : null,
		target: 0,
		runs: measured.calm.writeTimes.length + measured.downpour.writeTimes.length,
	}));
}

export const shareMeasures: readonly Measure[] = [
	...delays.map(delay => ({name: `share-${delay.id}`, run: async (options: BenchOptions) => measureShares(delay, options)})),
	{name: 'baseline-share', run: measureVariants},
	{name: 'notice-writes', run: measureWrites},
];
