#!/usr/bin/env node
import process from 'node:process';
import {command, run} from 'cmd-ts';
import {EntryProcess} from '../entry/entry-process.js';
import {entryOptions} from '../settings/entry-settings.js';
import {FleetView} from './fleet-view.js';
import {runProcess} from './run-process.js';

const entryCommand = command({
	name: 'buckthornhitch-entry',
	description: 'accepts callers and forwards their requests',
	args: entryOptions,
	async handler(settings) {
		await runProcess(settings, async runtime => {
			const fleet = new FleetView(runtime, 'entry', settings.controls);
			const entry = new EntryProcess({
				services: runtime, directory: fleet.directory, configuration: fleet.configuration, settings,
			});
			await fleet.start();
			await entry.start();
			runtime.onShutdown(async () => entry.drain());
			runtime.onShutdown(async () => {
				await entry.stop();
				fleet.stop();
			});
		});
	},
});

await run(entryCommand, process.argv.slice(2));
