import {performance} from 'node:perf_hooks';
import {waitForGap, WriteLoad} from './failover-gap.js';
import {figure, type BenchOptions, type Measure} from './figure.js';
import {longestGap} from './gap.js';
import {pause} from './pause.js';
import {percentile} from './percentile.js';
import {connect, primaryName, startProcesses} from './process-load.js';

const writers = 8;
const target = 1500;

async function measureFrozen({seed, quick, report}: BenchOptions): Promise<void> {
	const started = await startProcesses('tengiz', {pools: 2, entries: 1}, []);
	const gaps: number[] = [];
	try {
		const address = [...started.fleet.callerAddresses.values()][0];
		const clients = await Promise.all(Array.from({length: writers}, async () => connect(address, started.database)));
		for (let run = 0; run < (quick ? 3 : 20); run++) {
			const load = new WriteLoad('INSERT INTO bench (id, name) VALUES ($1, $2)');
			load.start(clients, run * 1_000_000);
			await pause(600 + ((run * 37) % 200));
			const primary = await primaryName(started);
			if (primary === undefined) {
				throw new Error('no member acts as primary');
			}

			const faultAt = performance.now();
			await started.fleet.sendSignal(primary, 'SIGSTOP');
			await waitForGap(load, faultAt);
			gaps.push(longestGap(load.acceptedAt, faultAt, performance.now()));
			await load.stop();
			await started.fleet.sendSignal(primary, 'SIGCONT');
			// The member must follow the new primary before the next one may fail.
			await pause(1500);
		}
	} finally {
		await started.stop();
	}

	for (const [name, share] of [['median', 0.5], ['99th percentile', 0.99]] as const) {
		report(figure(seed, {
			measure: `failover gap, ${name}`,
			workload: 'tengiz without distances, separate processes, primary stopped by SIGSTOP',
			value: percentile(gaps, share),
			unit: 'ms',
			target: share === 0.99 ? target : null,
			runs: gaps.length,
		}));
	}
}

export const frozenMeasures: readonly Measure[] = [{name: 'failover-frozen', run: measureFrozen}];
