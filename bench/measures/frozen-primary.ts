import {performance} from 'node:perf_hooks';
import {waitForRecovery, WriteLoad} from './failover-gap.js';
import {createBenchmarkResult, type BenchmarkOptions, type Benchmark} from './benchmark-result.js';
import {longestGap} from './longest-gap.js';
import {sleep} from './sleep.js';
import {percentile} from './percentile.js';
import {connect, primaryName, startFleet} from './started-fleet.js';

const writerCount = 8;
const targetGapMilliseconds = 1500;

async function measureFrozenPrimary({seed, quick, report}: BenchmarkOptions): Promise<void> {
	const started = await startFleet('tengiz', {pools: 2, entries: 1}, []);
	const gaps: number[] = [];
	try {
		const address = [...started.fleet.callerAddresses.values()][0];
		const clients = await Promise.all(Array.from({length: writerCount}, async () => connect(address, started.database)));
		for (let runIndex = 0; runIndex < (quick ? 3 : 20); runIndex++) {
			const load = new WriteLoad('INSERT INTO bench (id, name) VALUES ($1, $2)');
			load.start(clients, runIndex * 1_000_000);
			await sleep(600 + ((runIndex * 37) % 200));
			const primary = await primaryName(started);
			if (primary === undefined) {
				throw new Error('no member accepts writes as primary');
			}

			const faultAt = performance.now();
			await started.fleet.sendSignal(primary, 'SIGSTOP');
			await waitForRecovery(load, faultAt);
			gaps.push(longestGap(load.acceptedAt, faultAt, performance.now()));
			await load.stop();
			await started.fleet.sendSignal(primary, 'SIGCONT');
			// The resumed member must follow the new primary before the next run freezes the new primary.
			await sleep(1500);
		}
	} finally {
		await started.stop();
	}

	for (const [name, fraction] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
		report(createBenchmarkResult(seed, {
			measure: `failover gap, ${name}`,
			workload: 'tengiz without distances, separate processes, primary stopped by SIGSTOP',
			value: percentile(gaps, fraction),
			unit: 'ms',
			target: fraction === 0.99 ? targetGapMilliseconds : null,
			runs: gaps.length,
		}));
	}
}

/** Gap in accepted writes when the process of the primary freezes. */
export const frozenPrimaryBenchmarks: readonly Benchmark[] = [{name: 'failover-frozen', run: measureFrozenPrimary}];
