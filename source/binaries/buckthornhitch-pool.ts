#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {command, run} from 'cmd-ts';
import {type Milliseconds} from '../clock/clock.js';
import {createBackendClients, PoolProcess} from '../pool/pool-process.js';
import {poolOptions} from '../settings/pool-settings.js';
import {FleetView} from './fleet-view.js';
import {runProcess} from './run-process.js';

/** Time for which a drained pool still answers entries that have not yet learned that it is draining. A request that is in progress on a link when the link closes would end with an unknown outcome. */
const lingerTimeAfterDrain: Milliseconds = 1000;

const poolCommand = command({
	name: 'buckthornhitch-pool',
	description: 'holds the connections to backend servers',
	args: poolOptions,
	async handler({controls, backendUser, backendPasswordFile, ...settings}) {
		await runProcess(settings, async runtime => {
			const password = backendPasswordFile === undefined ? null : await readFile(backendPasswordFile, 'utf8');
			const fleet = new FleetView(runtime, 'pool', controls);
			const backendClients = createBackendClients(runtime.clock, settings.name, {user: backendUser, password: password?.trim() ?? null});
			const pool = new PoolProcess(runtime, fleet.directory, fleet.configuration, backendClients);
			await fleet.start();
			pool.start();
			runtime.onShutdown(async () => pool.drain());
			runtime.onShutdown(async () => runtime.clock.sleep(lingerTimeAfterDrain));
			runtime.onShutdown(() => {
				pool.stop();
				fleet.stop();
			});
		});
	},
});

await run(poolCommand, process.argv.slice(2));
