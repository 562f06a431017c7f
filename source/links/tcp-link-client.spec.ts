import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from '../clock/system-clock.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {LinkServer} from './link-server.js';
import {TcpLinkClient} from './tcp-link-client.js';

// Idle links must not accumulate, and a request must not be sent on a link that was closed because it was idle.
test('an idle link is closed, and the next request opens a new link', async () => {
	const clock = new SystemClock();
	const server = new LinkServer(clock, new HybridClock(clock));
	const closing = new Promise<void>(resolve => {
		server.onLinkClosed(() => {
			resolve();
		});
	});
	server.handle('echo', async body => body);
	const address = await server.listen('127.0.0.1:0');
	const client = new TcpLinkClient(clock, new HybridClock(clock), 20);
	assert.equal(await client.request(address, 'echo', 1, 1000), 1);
	await closing;
	assert.equal(await client.request(address, 'echo', 2, 1000), 2);
	await client.close();
	await server.close();
});
