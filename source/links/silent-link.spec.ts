import assert from 'node:assert/strict';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {encodeFrame} from './framing.js';
import {LinkServer} from './link-server.js';
import {pingName} from './messages.js';
import {TcpLinkClient} from './tcp-link-client.js';

/** Advances the clock by the duration in milliseconds; the sockets deliver what was sent in each step of 100 ms. */
async function pass(clock: ManualClock, duration: number): Promise<void> {
	for (let passed = 0; passed < duration; passed += 100) {
		clock.advance(100);
		await new Promise(resolve => {
			setTimeout(resolve, 2);
		});
	}
}

/** Starts a server that counts pings, and a client. */
async function createLink({isSilent}: {readonly isSilent: boolean}) {
	const clock = new ManualClock();
	const server = new LinkServer(clock, new HybridClock(clock));
	const pings = {count: 0};
	const links: number[] = [];
	server.handle(pingName, async () => {
		pings.count++;
	});
	server.handle('echo', async (body, peer) => {
		links.push(peer.linkId);
		return body;
	});
	const address = await server.listen('127.0.0.1:0');
	const client = new TcpLinkClient(clock, new HybridClock(clock), 60_000);
	if (isSilent) {
		client.allowSilence(address);
	}

	return {
		clock, server, client, address, pings, links,
	};
}

/** Opens a link whose peer allows silence and never sends anything again. Returns the ids of closed links as well. */
function connectSilentPeer(server: LinkServer, address: string): {readonly closed: readonly number[]; readonly peer: Socket} {
	const closed: number[] = [];
	server.onLinkClosed(({linkId}) => {
		closed.push(linkId);
	});
	const peer = createConnection({host: '127.0.0.1', port: Number(address.split(':')[1])});
	peer.on('error', () => undefined);
	peer.resume();
	peer.write(encodeFrame({
		kind: 'notice', name: pingName, body: {readsCompressed: true, mayBeSilent: true}, time: {milliseconds: 0, counter: 0},
	}));
	return {closed, peer};
}

// Pings of idle links between hundreds of entries and their gateways were most of what the processes did.
test('a link that may be silent carries no pings while no request is open, and serves later requests', async () => {
	const {clock, server, client, address, pings} = await createLink({isSilent: true});
	assert.equal(await client.request(address, 'echo', 1, 10_000), 1);
	await pass(clock, 3000);
	const settled = pings.count;
	await pass(clock, 15_000);
	assert.equal(pings.count, settled);
	assert.equal(await client.request(address, 'echo', 2, 10_000), 2);
	await pass(clock, 3000);
	assert.equal(pings.count, settled);
	await Promise.all([client.close(), server.close()]);
});

// Control instances and pools rely on pings to notice a lost peer.
test('other links carry a ping each second', async () => {
	const {clock, server, client, address, pings} = await createLink({isSilent: false});
	assert.equal(await client.request(address, 'echo', 1, 10_000), 1);
	const before = pings.count;
	await pass(clock, 10_000);
	assert.ok(pings.count - before >= 9, `${pings.count - before} pings in 10 s`);
	await Promise.all([client.close(), server.close()]);
});

// A request on a link that went dead while it was silent would otherwise wait for its whole timeout.
test('a silent link whose peer does not answer is closed while a request is open', async () => {
	const clock = new ManualClock();
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(encodeFrame({
			kind: 'notice', name: pingName, body: {readsCompressed: true, mayBeSilent: true}, time: {milliseconds: 0, counter: 0},
		}));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const client = new TcpLinkClient(clock, new HybridClock(clock), 60_000);
	client.allowSilence(address);
	await assert.rejects(Promise.all([client.request(address, 'echo', 1, 100), pass(clock, 300)]), {codeName: 'linkOutcomeUnknown'});
	await pass(clock, 10_000);
	const startedAt = clock.now();
	const failures: Array<{readonly message: string; readonly after: number}> = [];
	client.request(address, 'echo', 2, 60_000).catch((error: unknown) => {
		failures.push({message: toBuckthornhitchError(error).message, after: clock.now() - startedAt});
	});
	await pass(clock, 6000);
	assert.match(failures[0].message, /was lost/v);
	assert.ok(failures[0].after >= 2500 && failures[0].after <= 4500);
	await client.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

// An entry that loses power inside a transaction would keep a connection of its gateway until the relay is closed as unused.
test('a server that needs the peer of a silent link closes the link when the peer is gone', async () => {
	const {clock, server, client, address} = await createLink({isSilent: true});
	const {closed, peer} = connectSilentPeer(server, address);
	await pass(clock, 10_000);
	assert.deepEqual(closed, []);
	server.watchPeer(1, true);
	await pass(clock, 5000);
	assert.deepEqual(closed, [1]);
	peer.destroy();
	await Promise.all([client.close(), server.close()]);
});

// Links of lost instances would add up on a gateway for its lifetime.
test('a silent link on which nothing arrives is closed after a minute', async () => {
	const {clock, server, client, address} = await createLink({isSilent: true});
	const {closed, peer} = connectSilentPeer(server, address);
	await pass(clock, 50_000);
	assert.deepEqual(closed, []);
	await pass(clock, 15_000);
	assert.deepEqual(closed, [1]);
	peer.destroy();
	await Promise.all([client.close(), server.close()]);
});

test('a server that needs the peer of a silent link keeps the link while the peer replies', async () => {
	const {clock, server, client, address, links} = await createLink({isSilent: true});
	assert.equal(await client.request(address, 'echo', 1, 10_000), 1);
	await pass(clock, 5000);
	server.watchPeer(links[0], true);
	await pass(clock, 10_000);
	assert.equal(await client.request(address, 'echo', 2, 10_000), 2);
	assert.equal(links[1], links[0]);
	await Promise.all([client.close(), server.close()]);
});
