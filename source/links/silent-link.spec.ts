import assert from 'node:assert/strict';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {encodeFrame, FrameReader} from './framing.js';
import {LinkServer} from './link-server.js';
import {pingName} from './messages.js';
import {TcpLinkClient} from './tcp-link-client.js';

const time = {milliseconds: 0, counter: 0};

/** Ping of a peer that allows silence. */
const silentPing = encodeFrame({
	kind: 'notice', name: pingName, body: {readsCompressed: true, mayBeSilent: true}, time,
});

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

/** Starts a peer that allows silence and answers nothing but the first ping, and opens a link to it that is silent by now. */
async function createMutePeer() {
	const clock = new ManualClock();
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		const isFirst = sockets.push(socket) === 1;
		const reader = new FrameReader();
		socket.on('error', () => undefined);
		socket.write(silentPing);
		socket.on('data', chunk => {
			// The request that opens the link is answered.
			for (const message of reader.read(chunk)) {
				if (isFirst && message.kind === 'request' && message.body === 'open') {
					socket.write(encodeFrame({
						kind: 'response', number: message.number, code: 0, body: null, time,
					}));
				}
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const client = new TcpLinkClient(clock, new HybridClock(clock), 60_000);
	client.allowSilence(address);
	await client.request(address, 'echo', 'open', 1000);
	await pass(clock, 10_000);
	return {
		clock, client, address, async close() {
			await client.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
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
	peer.write(silentPing);
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
	const {clock, client, address, close} = await createMutePeer();
	const startedAt = clock.now();
	const failures: Array<{readonly message: string; readonly after: number}> = [];
	client.request(address, 'echo', 2, 60_000).catch((error: unknown) => {
		failures.push({message: toBuckthornhitchError(error).message, after: clock.now() - startedAt});
	});
	await pass(clock, 6000);
	assert.match(failures[0].message, /was lost/v);
	assert.ok(failures[0].after >= 2500 && failures[0].after <= 4500);
	await close();
});

// Each request on a dead link was given up after 300 ms, and the link counted as silent again before the next one, so that it stayed open for as long as the operating system kept it.
test('a silent link whose peer does not answer is closed although every request on it is given up early', async () => {
	const {clock, client, address, close} = await createMutePeer();
	const failures: string[] = [];
	for (let round = 0; round < 10; round++) {
		client.request(address, 'echo', round, 300).catch((error: unknown) => {
			failures.push(toBuckthornhitchError(error).message);
		});
		await pass(clock, 500);
	}

	assert.ok(failures.some(message => message.includes('was lost')), failures.join('\n'));
	await close();
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
