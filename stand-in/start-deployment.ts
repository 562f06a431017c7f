import process from 'node:process';
import {
	command, number, oneOf, option, positional, run, string,
} from 'cmd-ts';
import {deployments, type DeploymentName} from './deployments.js';
import {ProcessFleet} from './process-fleet.js';

const sizeOption = (long: string, value: number) => option({
	type: number, long, description: `number of processes, ${value} by default`, defaultValue: () => value,
});

const startCommand = command({
	name: 'start-deployment',
	description: 'starts an example deployment as separate processes on loopback',
	args: {
		deployment: positional({type: oneOf(Object.keys(deployments) as DeploymentName[]), displayName: 'deployment'}),
		folder: option({type: string, long: 'folder', description: 'folder for data and logs'}),
		controls: sizeOption('controls', 3),
		pools: sizeOption('pools', 3),
		entries: sizeOption('entries', 3),
	},
	async handler({deployment, folder, ...sizes}) {
		const {dataCentres, databases, connections} = deployments[deployment];
		const fleet = new ProcessFleet({
			...sizes, configurationFolder: `examples/${deployment}`, folder, dataCentres, databases, memberFlags: ['--connection-limit', String(connections), '--apply-delay', '20'],
		});
		const stop = async (): Promise<void> => {
			await fleet.stop();
			process.exit(0);
		};

		process.once('SIGINT', stop);
		process.once('SIGTERM', stop);
		await fleet.start();
		console.log(`Control instances: ${fleet.controlAddresses.join(',')}`);
		for (const [name, address] of fleet.callerAddresses) {
			console.log(`${name} accepts callers on ${address}`);
		}

		console.log(`Databases: ${databases.join(', ')}. Logs are in ${folder}. Stop with Ctrl-C.`);
	},
});

await run(startCommand, process.argv.slice(2));
