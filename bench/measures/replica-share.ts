import {type Milliseconds} from '../../source/clock/clock.js';
import {type DeploymentConfiguration} from '../../source/configuration/types.js';
import {DeploymentFleet} from './deployment-fleet.js';
import {createBenchmarkResult, type BenchmarkOptions, type Benchmark} from './benchmark-result.js';
import {NoticeLoad, type PhaseResult, type ReadStrategy} from './notice-load.js';
import {percentile, ratioOf} from './percentile.js';

/** Replication delays of one workload. */
type DelayScenario = {
	readonly id: string;
	readonly name: string;
	/** Apply delay of all members. */
	readonly applyDelay: Milliseconds;
	/** Number of replicas that receive and apply the log 2 s late. */
	readonly delayedReplicaCount: number;
};

/** Configuration and read strategy of a run: those of the proxy by default, or those of a baseline. */
type Variant = {
	readonly name: string;
	readonly strategy: ReadStrategy;
	readonly configure?: (deployment: DeploymentConfiguration) => DeploymentConfiguration;
};

const delayedReplicaDelay: Milliseconds = 2000;

/** Lookups per second in the calm phase. */
const baseLookupRate = 20;

/** Ratio of the highest lookup rate in the downpour phase to the rate in the calm phase. */
const downpourRateFactor = 10;

/** Writes per lookup: 95% of the statements are lookups. */
const writesPerLookup = 5 / 95;

/** Writes per second that give enough samples for a 99th percentile. */
const highWriteRate = 10;

const delayScenarios: readonly DelayScenario[] = [
	{
		id: '20ms', name: 'apply delay 20 ms', applyDelay: 20, delayedReplicaCount: 0,
	},
	{
		id: '200ms', name: 'apply delay 200 ms', applyDelay: 200, delayedReplicaCount: 0,
	},
	{
		id: '2s', name: 'apply delay 2 s', applyDelay: 2000, delayedReplicaCount: 0,
	},
	{
		id: 'one-late', name: 'both delays 2 s for one replica', applyDelay: 20, delayedReplicaCount: 1,
	},
	{
		id: 'both-late', name: 'both delays 2 s for both replicas', applyDelay: 20, delayedReplicaCount: 2,
	},
];

const defaultVariant: Variant = {name: 'product', strategy: 'position'};

const variants: readonly Variant[] = [
	{name: 'primary alone', strategy: 'primary'},
	{name: 'fixed wait of 100 ms after a write', strategy: 'fixedWait'},
	{
		name: 'without waiting for a replica', strategy: 'position', configure: deployment => ({...deployment, limits: {...deployment.limits, replicaWait: 0}}),
	},
	{name: 'without stated ages', strategy: 'noMaximumAge'},
];

/** Results of the calm phase and of the downpour phase, in which the lookup rate rises. */
type RunResult = {
	readonly calm: PhaseResult;
	readonly downpour: PhaseResult;
	/** Share of the lookups that replicas served. */
	readonly lookupShare: number;
	/** Share of the reads of own writes that replicas served. */
	readonly ownReadShare: number;
};

type RunParameters = {
	readonly scenario: DelayScenario;
	readonly variant: Variant;
	readonly writeRate: number;
};

async function runVariant({scenario, variant, writeRate}: RunParameters, {seed, quick}: BenchmarkOptions): Promise<RunResult> {
	const deploymentFleet = new DeploymentFleet('waitaha', {
		seed, pools: 1, entries: 2, applyDelay: scenario.applyDelay, configure: variant.configure,
	});
	await deploymentFleet.start();
	try {
		const load = new NoticeLoad(deploymentFleet, variant.strategy, seed);
		await load.prepare();
		await deploymentFleet.waitUntilHealthy();
		await deploymentFleet.waitUntilApplied();
		const replicas = deploymentFleet.fleet.members.filter(({member}) => member.status().role === 'replica');
		for (const {member} of replicas.slice(0, scenario.delayedReplicaCount)) {
			member.receiveDelay = delayedReplicaDelay;
			member.applyDelay = delayedReplicaDelay;
		}

		const before = {lookups: await deploymentFleet.readCounts(true), own: await deploymentFleet.readCounts(false)};
		const calm = await load.run({duration: quick ? 4000 : 6000, lookupRate: () => baseLookupRate, writeRate});
		const rampDuration = quick ? 4000 : 10_000;
		const downpour = await load.run({
			duration: rampDuration + (quick ? 1000 : 3000),
			lookupRate: time => baseLookupRate * (1 + ((downpourRateFactor - 1) * Math.min(1, time / rampDuration))),
			writeRate,
		});
		const after = {lookups: await deploymentFleet.readCounts(true), own: await deploymentFleet.readCounts(false)};
		const replicaShare = (readKind: 'lookups' | 'own'): number => {
			const replica = after[readKind].replica - before[readKind].replica;
			// The pool does not count locking reads, which this variant uses, as reads.
			return variant.strategy === 'primary' ? 0 : ratioOf(replica, replica + after[readKind].primary - before[readKind].primary);
		};

		return {
			// The pool counts reads with a maximum age (lookups) and reads without one (own reads) separately. In baselines where both or neither have one, all reads are in one count, so both shares cover all reads.
			calm, downpour, lookupShare: replicaShare(variant.strategy === 'noMaximumAge' ? 'own' : 'lookups'), ownReadShare: replicaShare(variant.strategy === 'fixedWait' ? 'lookups' : 'own'),
		};
	} finally {
		await deploymentFleet.stop();
	}
}

function reportRun(name: string, scenario: DelayScenario, {calm, downpour, lookupShare, ownReadShare}: RunResult, {seed, report}: BenchmarkOptions): void {
	const lookupTimes = [...calm.lookupTimes, ...downpour.lookupTimes];
	const ownReadTimes = [...calm.ownReadTimes, ...downpour.ownReadTimes];
	const failedLookupCount = calm.lookupsFailed + downpour.lookupsFailed;
	const workload = `waitaha, ${scenario.name}${name === defaultVariant.name ? '' : `; ${name}`}`;
	const isDefaultVariant = name === defaultVariant.name;
	const commonFields = {workload, baseline: 'primary alone', baselineValue: 0};
	report(createBenchmarkResult(seed, {
		...commonFields, measure: 'lookups on replicas', value: lookupShare * 100, unit: '%', target: isDefaultVariant ? 99 : null, direction: 'atLeast', runs: lookupTimes.length,
	}));
	report(createBenchmarkResult(seed, {
		...commonFields, measure: 'own reads on replicas', value: ownReadShare * 100, unit: '%',
		target: isDefaultVariant && scenario.applyDelay === 20 && scenario.delayedReplicaCount === 0 ? 95 : null, direction: 'atLeast', runs: ownReadTimes.length,
	}));
	report(createBenchmarkResult(seed, {
		measure: 'lookups refused', workload, value: failedLookupCount, unit: 'lookups', target: isDefaultVariant ? 0 : null, runs: lookupTimes.length + failedLookupCount,
	}));
	report(createBenchmarkResult(seed, {
		measure: 'own reads that miss the write', workload, value: calm.ownReadsStale + downpour.ownReadsStale, unit: 'reads', target: isDefaultVariant ? 0 : null, runs: ownReadTimes.length,
	}));
	report(createBenchmarkResult(seed, {
		measure: 'lookup time, median', workload, value: percentile(lookupTimes, 0.5), unit: 'ms', runs: lookupTimes.length,
	}));
	report(createBenchmarkResult(seed, {
		measure: 'lookup time in the downpour, 99th percentile', workload, value: percentile(downpour.lookupTimes, 0.99), unit: 'ms', runs: downpour.lookupTimes.length,
	}));
	report(createBenchmarkResult(seed, {
		measure: 'own read time, median', workload, value: percentile(ownReadTimes, 0.5), unit: 'ms', runs: ownReadTimes.length,
	}));
}

async function measureReplicaShare(scenario: DelayScenario, options: BenchmarkOptions): Promise<void> {
	reportRun(defaultVariant.name, scenario, await runVariant({scenario, variant: defaultVariant, writeRate: baseLookupRate * writesPerLookup}, options), options);
}

async function measureVariants(options: BenchmarkOptions): Promise<void> {
	const [scenario] = delayScenarios;
	for (const variant of options.quick ? variants.slice(0, 1) : variants) {
		const parameters = {scenario, variant, writeRate: baseLookupRate * writesPerLookup};
		reportRun(variant.name, scenario, await runVariant(parameters, options), options);
	}
}

async function measureWrites(options: BenchmarkOptions): Promise<void> {
	const {seed, report} = options;
	const result = await runVariant({scenario: delayScenarios[0], variant: defaultVariant, writeRate: highWriteRate}, options);
	const primaryOnlyResult = options.quick ? undefined : await runVariant({scenario: delayScenarios[0], variant: variants[0], writeRate: highWriteRate}, options);
	const commonFields = {workload: `waitaha, ${highWriteRate} writes a second`, baseline: primaryOnlyResult ? 'primary alone' : null};
	for (const phase of ['calm', 'downpour'] as const) {
		for (const [name, fraction] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
			report(createBenchmarkResult(seed, {
				...commonFields,
				measure: `notice write, ${phase}, ${name}`,
				value: percentile(result[phase].writeTimes, fraction),
				unit: 'ms',
				baselineValue: primaryOnlyResult ? percentile(primaryOnlyResult[phase].writeTimes, fraction) : null,
				runs: result[phase].writeTimes.length,
			}));
		}
	}

	const writeTimeRatio = ({calm, downpour}: RunResult): number => percentile(downpour.writeTimes, 0.99) / percentile(calm.writeTimes, 0.99);
	report(createBenchmarkResult(seed, {
		...commonFields, measure: 'notice write, downpour over calm, 99th percentile', value: writeTimeRatio(result), unit: 'times',
		baselineValue: primaryOnlyResult ? writeTimeRatio(primaryOnlyResult) : null, target: 1.5, runs: result.downpour.writeTimes.length,
	}));
	const failedWrites = ({calm, downpour}: RunResult): number => calm.writesFailed + downpour.writesFailed;
	report(createBenchmarkResult(seed, {
		...commonFields,
		measure: 'notice writes that failed',
		value: failedWrites(result),
		unit: 'writes',
		baselineValue: primaryOnlyResult ? failedWrites(primaryOnlyResult) : null,
		target: 0,
		runs: result.calm.writeTimes.length + result.downpour.writeTimes.length,
	}));
}

/** Shares of reads that replicas serve, by replication delay and by variant, and times of notice writes. */
export const replicaShareBenchmarks: readonly Benchmark[] = [
	...delayScenarios.map(scenario => ({name: `share-${scenario.id}`, run: async (options: BenchmarkOptions) => measureReplicaShare(scenario, options)})),
	{name: 'baseline-share', run: measureVariants},
	{name: 'notice-writes', run: measureWrites},
];
