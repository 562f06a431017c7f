import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {SystemClock} from '../clock/system-clock.js';
import {silentLogger} from '../observability/logger.js';
import {BackendDirectory} from './backend-directory.js';
import {DirectoryFile} from './directory-file.js';

async function pollUntil(condition: () => Promise<boolean>): Promise<void> {
	for (let attempt = 0; attempt < 200 && !await condition(); attempt++) {
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
}

// Without the file, a restarted instance could not use a server until the server announces itself again. An invalid file must not prevent the start.
test('a restarted instance loads the servers of the last run, and an invalid file is ignored', async context => {
	const folder = await mkdtemp(path.join(tmpdir(), 'directory-'));
	context.after(async () => rm(folder, {recursive: true}));
	const file = path.join(folder, 'servers.json');
	const clock = new SystemClock();
	const directory = new BackendDirectory(clock);
	const writer = new DirectoryFile(file, directory, clock, silentLogger);
	writer.start();
	directory.applyAnnouncement({
		id: 'a', service: 'ledger', address: '10.0.0.1:1', dataCentre: 'here', slots: 3, isLeaving: false, role: 'primary', startedAt: 1, sequence: 1,
	});
	const restarted = new BackendDirectory(clock);
	await pollUntil(async () => {
		await new DirectoryFile(file, restarted, clock, silentLogger).load();
		return restarted.servers.length > 0;
	});
	writer.stop();
	assert.deepEqual(restarted.servers, directory.servers);
	await writeFile(file, '{"torn');
	const empty = new BackendDirectory(clock);
	await new DirectoryFile(file, empty, clock, silentLogger).load();
	assert.deepEqual(empty.servers, []);
});
