#!/usr/bin/env node
import process from 'node:process';
import {command, run} from 'cmd-ts';
import {FileStorage} from '../control-log/file-storage.js';
import {ControlProcess} from '../control/control-process.js';
import {FileValidator} from '../control/file-validator.js';
import {RevisionPublisher} from '../control/revision-publisher.js';
import {controlOptions} from '../settings/control-settings.js';
import {FleetView} from './fleet-view.js';
import {runProcess} from './run-process.js';

/** Publishes a committed revision: this process fetches it at once and then announces it to the other processes by gossip. */
class FleetRevisionPublisher extends RevisionPublisher {
	constructor(private readonly fleet: FleetView) {
		super();
	}

	override publish(): void {
		this.fleet.refresh();
	}
}

const controlCommand = command({
	name: 'buckthornhitch-control',
	description: 'replicates the accepted configuration with the other control instances',
	args: controlOptions,
	async handler({controls, dataFolder, ...settings}) {
		await runProcess(settings, async runtime => {
			const fleet = new FleetView(runtime, 'control', controls);
			const control = new ControlProcess(runtime, {
				storage: new FileStorage(dataFolder, runtime.logger('control')),
				validator: new FileValidator(),
				publisher: new FleetRevisionPublisher(fleet),
				addressOf: name => fleet.directory.livePeer(name)?.linkAddress,
			});
			await control.open();
			await fleet.start();
			runtime.onShutdown(async () => {
				await control.stop();
				fleet.stop();
			});
		});
	},
});

await run(controlCommand, process.argv.slice(2));
