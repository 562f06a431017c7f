import process from 'node:process';
import {
	command, flag, number, option, optional, run, string,
} from 'cmd-ts';
import {formatResult, runScenario} from './scenario.js';
import {scenarios} from './scenarios/all.js';

const reportedProblemLimit = 12;
const reportedErrorLimit = 3;

const runCommand = command({
	name: 'failures',
	description: 'runs failure scenarios on separate processes and checks the history of all callers',
	args: {
		only: option({type: optional(string), long: 'only', description: 'names of the scenarios to run, separated by commas'}),
		keep: flag({long: 'keep', description: 'keep data, logs and history of every run'}),
		seed: option({
			type: number, long: 'seed', description: 'seed of the workload', defaultValue: () => 1,
		}),
	},
	async handler({only, seed, keep}) {
		const names = only?.split(',');
		const chosen = scenarios.filter(({name}) => names?.includes(name) ?? true);
		if (chosen.length === 0) {
			console.error(`The scenarios are ${scenarios.map(({name}) => name).join(', ')}.`);
			process.exit(1);
		}

		let failed = 0;
		for (const scenario of chosen) {
			const result = await runScenario(scenario, seed, keep);
			console.log(formatResult(result));
			for (const problem of result.problems.slice(0, reportedProblemLimit)) {
				console.log(`  ${problem}`);
			}

			// An error of a backend server violates no guarantee, but none is expected either.
			for (const {kind, key, outcome} of result.operations.filter(operation => operation.outcome.kind === 'error').slice(0, reportedErrorLimit)) {
				console.log(`  error of ${kind} ${key}: ${outcome.kind === 'error' ? outcome.detail : ''}`);
			}

			if (keep || result.problems.length > 0) {
				console.log(`  ${result.problems.length} problems; data, logs and history are in ${result.folder}`);
			}

			failed += Number(result.problems.length > 0);
		}

		process.exit(failed === 0 ? 0 : 1);
	},
});

await run(runCommand, process.argv.slice(2));
