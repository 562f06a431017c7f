import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	command, flag, option, run,
} from 'cmd-ts';
import pg from 'pg';
import {parseAddress} from '../source/links/address.js';
import {addressType} from '../source/settings/common-settings.js';
import {timelineText} from '../source/timeline/timeline-text.js';
import {defaultFleetOptions, LocalFleet} from './local-fleet.js';

const writesBeforeFailure = 50;
const readsPerWrite = 4;
const writesAfterFailure = 20;

async function connect(fleet: LocalFleet, entry: number): Promise<pg.Client> {
	const client = new pg.Client({
		...parseAddress(fleet.entries[entry].address), user: 'demonstration', database: fleet.options.database,
	});
	await client.connect();
	return client;
}

async function runWorkload(client: pg.Client): Promise<void> {
	await client.query('CREATE TABLE IF NOT EXISTS notice (id int PRIMARY KEY, street text)');
	for (let id = 1; id <= writesBeforeFailure; id++) {
		await client.query('INSERT INTO notice (id, street) VALUES ($1, $2)', [id, `street ${id}`]);
		for (let read = 0; read < readsPerWrite; read++) {
			const {rows} = await client.query<{street: string}>('SELECT street FROM notice WHERE id = $1', [id]);
			if (rows.length !== 1) {
				throw new Error(`the session did not read its own write ${id}`);
			}
		}
	}
}

async function measureWriteOutage(fleet: LocalFleet, client: pg.Client): Promise<number> {
	const primary = fleet.primary()!;
	primary.relay.dropTraffic();
	const start = performance.now();
	let outageDuration = 0;
	for (let id = 1; id <= writesAfterFailure; id++) {
		const key = writesBeforeFailure + id;
		try {
			await client.query('INSERT INTO notice (id, street) VALUES ($1, $2)', [key, `street ${key}`]);
			outageDuration ||= performance.now() - start;
		} catch (error) {
			console.log(`A write failed: ${(error as Error).message}`);
		}
	}

	await primary.relay.heal();
	return outageDuration;
}

async function replicaReadShare(fleet: LocalFleet): Promise<number> {
	let totalReads = 0;
	let replicaReads = 0;
	for (const {services} of fleet.pools) {
		const metric = await services.registry.getSingleMetric('buckthornhitch_pool_reads_total')?.get();
		for (const {labels, value} of metric?.values ?? []) {
			totalReads += value;
			replicaReads += labels.role === 'replica' ? value : 0;
		}
	}

	return replicaReads / totalReads;
}

async function demonstrate(fleet: LocalFleet): Promise<void> {
	await fleet.start();
	console.log(`A group of three members and ${fleet.pools.length} pools and ${fleet.entries.length} entries run in this process.`);
	const writer = await connect(fleet, 0);
	await runWorkload(writer);
	const share = await replicaReadShare(fleet);
	console.log(`${writesBeforeFailure} writes were acknowledged and each was read back ${readsPerWrite} times; ${(share * 100).toFixed(1)}% of the reads were served by replicas.`);
	const outageDuration = await measureWriteOutage(fleet, writer);
	console.log(`The primary was cut off; writes were accepted again after ${Math.round(outageDuration)} ms.`);
	const reader = await connect(fleet, 1);
	const {rows} = await reader.query<{count: string}>('SELECT count(*) FROM notice');
	console.log(`Another entry shows ${rows[0]?.count} rows.`);
	await writer.end();
	await reader.end();
	console.log('\nTime line:');
	process.stdout.write(timelineText(fleet.events()));
}

const demonstration = command({
	name: 'demonstration',
	description: 'runs entries, pools and a group of stand-in backend servers in one process',
	args: {
		stay: flag({long: 'stay', description: 'keep listening for PostgreSQL clients until interrupted'}),
		callerAddress: option({
			type: addressType, long: 'caller-address', description: 'address of the first entry', defaultValue: () => '127.0.0.1:0', defaultValueIsSerializable: true,
		}),
	},
	async handler({stay, callerAddress}) {
		const fleet = new LocalFleet({...defaultFleetOptions, callerAddress});
		await demonstrate(fleet);
		if (stay) {
			console.log(`Connect with a PostgreSQL client to ${fleet.entries[0].address}, database ${fleet.options.database}. Stop with Ctrl-C.`);
			return;
		}

		await fleet.stop();
	},
});

await run(demonstration, process.argv.slice(2));
