import process from 'node:process';
import {
	command, flag, number, option, optional, run, string,
} from 'cmd-ts';
import {costMeasures} from './cost.js';
import {failoverMeasures} from './failover-gap.js';
import {meetsTarget, type Figure, type Measure} from './figure.js';
import {frozenMeasures} from './frozen-process.js';
import {shareMeasures} from './replica-share.js';

const measures: readonly Measure[] = [...shareMeasures, ...failoverMeasures, ...frozenMeasures, ...costMeasures];

function rounded(value: number | null): string {
	return value === null ? '' : String(Number(value.toPrecision(4)));
}

function row(figure: Figure): string {
	const {measure, workload, value, unit, baseline, baselineValue, target, direction, runs} = figure;
	const bound = target === null ? '' : `${direction === 'atLeast' ? 'at least' : 'at most'} ${target}`;
	const verdict = {true: 'met', false: 'missed', undefined: ''}[String(meetsTarget(figure))];
	const compared = baseline === null ? '' : `${baseline}: ${rounded(baselineValue)}`;
	return `| ${[measure, workload, `${rounded(value)} ${unit}`, bound, verdict, compared, runs].join(' | ')} |`;
}

const bench = command({
	name: 'bench',
	description: 'measures the product on stand-in backend servers over loopback',
	args: {
		json: flag({long: 'json', description: 'print one JSON object a line'}),
		quick: flag({long: 'quick', description: 'fewer and shorter runs'}),
		full: flag({long: 'full', description: 'check for false promotions for the full 10 minutes'}),
		timeline: flag({long: 'timeline', description: 'print the time line of one fleet of the failover measures'}),
		only: option({type: optional(string), long: 'only', description: `run only measures whose name begins with this: ${measures.map(({name}) => name).join(', ')}`}),
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

		const report = (figure: Figure): void => {
			console.log(json ? JSON.stringify(figure) : row(figure));
		};

		for (const measure of measures.filter(({name}) => name.startsWith(only ?? ''))) {
			await measure.run({
				seed, quick, full, timeline, report,
			});
		}

		process.exit(0);
	},
});

await run(bench, process.argv.slice(2));
