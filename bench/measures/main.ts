import process from 'node:process';
import {
	command, flag, number, option, optional, run, string,
} from 'cmd-ts';
import {costBenchmarks} from './proxy-cost.js';
import {failoverBenchmarks} from './failover-gap.js';
import {meetsTarget, type BenchmarkResult, type Benchmark} from './benchmark-result.js';
import {frozenPrimaryBenchmarks} from './frozen-primary.js';
import {replicaShareBenchmarks} from './replica-share.js';

const benchmarks: readonly Benchmark[] = [...replicaShareBenchmarks, ...failoverBenchmarks, ...frozenPrimaryBenchmarks, ...costBenchmarks];

function formatNumber(value: number | null): string {
	return value === null ? '' : String(Number(value.toPrecision(4)));
}

function formatRow(result: BenchmarkResult): string {
	const {measure, workload, value, unit, baseline, baselineValue, target, direction, runs} = result;
	const targetText = target === null ? '' : `${direction === 'atLeast' ? 'at least' : 'at most'} ${target}`;
	const verdict = {true: 'met', false: 'missed', undefined: ''}[String(meetsTarget(result))];
	const baselineText = baseline === null ? '' : `${baseline}: ${formatNumber(baselineValue)}`;
	return `| ${[measure, workload, `${formatNumber(value)} ${unit}`, targetText, verdict, baselineText, runs].join(' | ')} |`;
}

const benchmarkCommand = command({
	name: 'bench',
	description: 'measures the proxy on stand-in backend servers over loopback',
	args: {
		json: flag({long: 'json', description: 'print one JSON object per line'}),
		quick: flag({long: 'quick', description: 'fewer and shorter runs'}),
		full: flag({long: 'full', description: 'check for false promotions for the full 10 minutes'}),
		timeline: flag({long: 'timeline', description: 'print the event timeline of one fleet of the failover benchmarks'}),
		only: option({type: optional(string), long: 'only', description: `run only benchmarks whose name starts with this: ${benchmarks.map(({name}) => name).join(', ')}`}),
		seed: option({
			type: number, long: 'seed', description: 'seed of the random choices', defaultValue: () => 1, defaultValueIsSerializable: true,
		}),
	},
	async handler({
		json, quick, full, timeline, only, seed,
	}) {
		if (!json) {
			console.log('| measure | workload | value | target | | baseline | runs |\n| --- | --- | --- | --- | --- | --- | --- |');
		}

		for (const signal of ['SIGINT', 'SIGTERM'] as const) {
			process.once(signal, () => {
				process.exit(1);
			});
		}

		const report = (result: BenchmarkResult): void => {
			console.log(json ? JSON.stringify(result) : formatRow(result));
		};

		for (const benchmark of benchmarks.filter(({name}) => name.startsWith(only ?? ''))) {
			await benchmark.run({
				seed, quick, full, timeline, report,
			});
		}

		process.exit(0);
	},
});

await run(benchmarkCommand, process.argv.slice(2));
