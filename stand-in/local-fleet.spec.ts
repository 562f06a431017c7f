import assert from 'node:assert/strict';
import {test} from 'node:test';
import pg from 'pg';
import {parseAddress} from '../source/links/address.js';
import {defaultFleetOptions, LocalFleet} from './local-fleet.js';

async function connect(fleet: LocalFleet, entry: number): Promise<pg.Client> {
	const client = new pg.Client({
		...parseAddress(fleet.entries[entry].address), user: 'test', database: fleet.options.database,
	});
	client.on('error', () => {
		// Stopping the fleet closes the connection.
	});
	await client.connect();
	return client;
}

test('when the primary is cut off, no acknowledged write is lost and the first read through another entry returns all of them', async () => {
	const fleet = new LocalFleet(defaultFleetOptions);
	await fleet.start();
	try {
		const writer = await connect(fleet, 0);
		await writer.query('CREATE TABLE notice (id int PRIMARY KEY, street text)');
		const acknowledged: number[] = [];
		for (let id = 1; id <= 30; id++) {
			if (id === 10) {
				fleet.primary()!.relay.dropTraffic();
			}

			try {
				await writer.query('INSERT INTO notice (id, street) VALUES ($1, $2)', [id, 'street']);
				acknowledged.push(id);
			} catch {
				// The outcome of a write in progress is unknown when the primary is cut off.
			}
		}

		const reader = await connect(fleet, 1);
		const {rows} = await reader.query<{id: number}>('SELECT id FROM notice ORDER BY id');
		const present = new Set(rows.map(({id}) => id));
		assert.deepEqual(acknowledged.filter(id => !present.has(id)), []);
		assert.equal(present.size, rows.length);
		assert.ok(acknowledged.includes(30));
		await writer.end();
		await reader.end();
	} finally {
		await fleet.stop();
	}
});
