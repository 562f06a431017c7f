import {
	mkdtempSync, readdirSync, readFileSync, rmSync, statSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {encode} from 'cbor-x';
import {
	array, command, flag, multioption, number, run,
} from 'cmd-ts';
import {FileStorage} from '../source/control-log/file-storage.js';
import {ControlClient} from '../source/control/control-client.js';
import {ControlProcess} from '../source/control/control-process.js';
import {FileValidator} from '../source/control/file-validator.js';
import {RevisionPublisher} from '../source/control/revision-publisher.js';
import {type ConfigurationFiles} from '../source/configuration/types.js';
import {silentLogger} from '../source/observability/logger.js';
import {uniqueId} from '../source/random/random.js';
import {LocalServices} from '../stand-in/local-services.js';

const missedChangeCount = 300;

/** Publisher that does nothing. */
class NullRevisionPublisher extends RevisionPublisher {
	override publish(): void {
		// This benchmark has no other process to notify.
	}
}

/** A running control process with one voter. */
type StartedControl = {
	readonly control: ControlProcess;
	readonly client: ControlClient;
	readonly stop: () => Promise<void>;
	/** Time to read the data folder at the start, in milliseconds. */
	readonly openTime: number;
};

async function startControl(folder: string): Promise<StartedControl> {
	const services = new LocalServices('control-1', 'place', 1, undefined);
	const address = await services.listen();
	const control = new ControlProcess({
		settings: {name: 'control-1', linkAddress: address},
		clock: services.clock,
		random: services.random,
		registry: services.registry,
		timeline: services.timeline,
		linkServer: services.linkServer,
		linkClient: services.linkClient,
		logger: () => silentLogger,
	}, {storage: new FileStorage(folder, silentLogger), validator: new FileValidator(), publisher: new NullRevisionPublisher()});
	const startedAt = performance.now();
	await control.open();
	const openTime = performance.now() - startedAt;
	return {
		control,
		openTime,
		client: new ControlClient(services.linkClient, services.clock, [address]),
		async stop() {
			await control.stop();
			await services.close();
		},
	};
}

function configurationFiles(change: number): ConfigurationFiles {
	const base = readFileSync('examples/waitaha/base.yaml', 'utf8');
	return {base: `${base}limits:\n  queueLength: ${1000 + change}\n`};
}

function folderSize(folder: string): number {
	return readdirSync(folder, {recursive: true}).reduce((bytes, name) => bytes + statSync(join(folder, String(name))).size, 0);
}

/** Applies a number of changes to a control log with one voter and reports sizes and times. */
async function measureGrowth(changeCount: number, report: (measure: string, value: number, unit: string) => void): Promise<void> {
	const folder = mkdtempSync(join(tmpdir(), 'control-history-'));
	const control = await startControl(folder);
	await control.client.bootstrap();
	const startedAt = performance.now();
	for (let change = 0; change < changeCount; change++) {
		await control.client.apply({
			changeId: uniqueId(), expectedRevision: change, files: configurationFiles(change), operator: 'bench',
		});
	}

	report('time of a change, one voter, mean', (performance.now() - startedAt) / changeCount, 'ms');
	const snapshot = await control.client.configurationSince({revision: -1});
	const response = await control.client.configurationSince({revision: Math.max(1, changeCount - missedChangeCount)});
	report('snapshot', encode(snapshot).length, 'byte');
	report(`answer after ${missedChangeCount} missed changes (${response.kind})`, encode(response).length, 'byte');
	await control.stop();
	report('data folder', folderSize(folder), 'byte');
	const restartedControl = await startControl(folder);
	report('reading the data folder at a restart', restartedControl.openTime, 'ms');
	await restartedControl.stop();
	rmSync(folder, {recursive: true, force: true});
}

const program = command({
	name: 'control-history',
	description: 'measures how the control log grows with the number of changes',
	args: {
		json: flag({long: 'json', description: 'print one JSON object per line'}),
		sizes: multioption({
			type: array(number), long: 'size', description: 'number of changes; can be repeated', defaultValue: () => [100, 1000, 5000],
		}),
	},
	async handler({json, sizes}) {
		for (const size of sizes) {
			await measureGrowth(size, (name, value, unit) => {
				console.log(json
					? JSON.stringify({
						measure: name, size, value, unit,
					})
					: `${name}, ${size} changes: ${value.toPrecision(4)} ${unit}`);
			});
		}

		process.exit(0);
	},
});

await run(program, process.argv.slice(2));
