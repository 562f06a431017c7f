import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {type Milliseconds} from '../../source/clock/clock.js';
import {LoadModel, type RuleSet} from './load-model.js';
import {requestClasses, scenarios, type Scenario} from './scenarios.js';

const duration: Milliseconds = 25_000;
const seeds = [1, 2, 3];
const ruleSets: readonly RuleSet[] = ['before', 'after'];

function percent(count: number, total: number): string {
	return `${(100 * count / total).toFixed(1)}%`;
}

function printScenario(scenario: Scenario, ruleSet: RuleSet): void {
	const models = seeds.map(seed => {
		const model = new LoadModel(scenario, ruleSet, seed);
		model.run(duration);
		return model;
	});
	const results = models.flatMap(model => model.results);
	const servers = models.flatMap(({members}) => [...members.values()]);
	const arrivals = servers.reduce((sum, server) => sum + server.arrivals, 0);
	const refusals = servers.reduce((sum, server) => sum + server.refusals, 0);
	for (const requestClass of requestClasses) {
		const own = results.filter(result => result.requestClass === requestClass);
		const histogram: Histogram = build();
		for (const {elapsed} of own.filter(({end}) => end === 'answered')) {
			histogram.recordValue(Math.max(1, Math.round(elapsed)));
		}

		const prompt = own.filter(({end, elapsed}) => end === 'answered' && elapsed <= requestClass.latencyTarget).length;
		const answered = own.filter(({end}) => end === 'answered').length;
		const cells = [
			scenario.name,
			ruleSet,
			requestClass.priority,
			own.length,
			percent(prompt, own.length),
			percent(answered - prompt, own.length),
			percent(own.filter(({end}) => end === 'refused').length, own.length),
			percent(own.filter(({end}) => end === 'lost').length, own.length),
			histogram.getValueAtPercentile(50),
			histogram.getValueAtPercentile(99),
			percent(refusals, arrivals),
		];
		process.stdout.write(`| ${cells.join(' | ')} |\n`);
	}
}

process.stdout.write(`Load model of one service of deployment A with three members, ${duration / 1000} s, seeds ${seeds.join(', ')}.\n\n`);
process.stdout.write('| load | rules | priority | requests | in target | late | refused, not run | lost | median ms | 99% ms | refused by members |\n');
process.stdout.write('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n');
for (const scenario of scenarios) {
	for (const ruleSet of ruleSets) {
		printScenario(scenario, ruleSet);
	}
}
