import process from 'node:process';
import {
	command, flag, number, option, optional, run, string,
} from 'cmd-ts';
import {resultLine, runScenario} from './scenario.js';
import {scenarios} from './scenarios/all.js';

const longestReport = 12;

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
			console.log(resultLine(result));
			for (const fault of result.faults.slice(0, longestReport)) {
				console.log(`  ${fault}`);
			}

			if (keep || result.faults.length > 0) {
				console.log(`  ${result.faults.length} faults; data, logs and history are in ${result.folder}`);
			}

			failed += Number(result.faults.length > 0);
		}

		process.exit(failed === 0 ? 0 : 1);
	},
});

await run(runCommand, process.argv.slice(2));
