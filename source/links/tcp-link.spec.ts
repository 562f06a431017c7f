import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {SystemClock} from '../clock/system-clock.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {encodeFrame, FrameReader} from './framing.js';
import {LinkServer} from './link-server.js';
import {type RequestMessage} from './messages.js';
import {TcpLinkClient} from './tcp-link-client.js';

const clock = new SystemClock();
const time = {milliseconds: 0, counter: 0};
const timeout = 5000;

function createClient(): TcpLinkClient {
	return new TcpLinkClient(clock, new HybridClock(clock));
}

/** Starts a server that passes received requests to the callback; resolves with its address. */
async function startServer(onRequests: (socket: Socket, requests: readonly RequestMessage[]) => void): Promise<{readonly address: string; readonly close: () => void}> {
	const server = createServer(socket => {
		const reader = new FrameReader();
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			onRequests(socket, reader.read(chunk).filter(message => message.kind === 'request'));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close() {
			server.close();
		},
	};
}

test('responses that are reordered or repeated resolve only their own requests', async () => {
	const requestsReceived: RequestMessage[] = [];
	const {address, close} = await startServer((socket, requests) => {
		requestsReceived.push(...requests);
		if (requestsReceived.length === 3) {
			for (const {number, body} of [...requestsReceived.toReversed(), ...requestsReceived]) {
				socket.write(encodeFrame({
					kind: 'response', number, code: 0, body, time,
				}));
			}
		}
	});
	const client = createClient();
	const answers = await Promise.all(['a', 'b', 'c'].map(async body => client.request(address, 'echo', body, timeout)));
	assert.deepEqual(answers, ['a', 'b', 'c']);
	await client.close();
	close();
});

// Reporting a sent request as not run would let callers retry it and execute it twice.
test('a request whose link is lost after sending has an unknown outcome, and the next request opens a new link', async () => {
	let connections = 0;
	const {address, close} = await startServer((socket, requests) => {
		connections++;
		if (connections === 1) {
			socket.destroy();
			return;
		}

		for (const {number, body} of requests) {
			socket.write(encodeFrame({
				kind: 'response', number, code: 0, body, time,
			}));
		}
	});
	const client = createClient();
	const answer = await client.request(address, 'echo', 'first', timeout).catch(async (error: unknown) => {
		assert.equal((error as {readonly codeName: string}).codeName, 'linkOutcomeUnknown');
		return client.request(address, 'echo', 'second', timeout);
	});
	assert.equal(answer, 'second');
	await client.close();
	close();
});

test('a refused connection is reported as not sent', async () => {
	const {address, close} = await startServer(() => undefined);
	close();
	const client = createClient();
	await assert.rejects(client.request(address, 'echo', null, timeout), {codeName: 'linkNotSent'});
	await client.close();
});

// Without a response the requester would wait for its timeout.
test('a failing handler and an unknown request are answered with result codes', async () => {
	const server = new LinkServer(clock, new HybridClock(clock));
	server.handle('broken', async () => {
		throw new Error('a fault in the handler');
	});
	const address = await server.listen('127.0.0.1:0');
	const client = createClient();
	await assert.rejects(client.request(address, 'broken', null, timeout), {codeName: 'internalFault'});
	await assert.rejects(client.request(address, 'missing', null, timeout), {codeName: 'unknownRequest'});
	await client.close();
	await server.close();
});

test('listening on an address in use fails with an error that names the address', async () => {
	const [first, second] = [new LinkServer(clock, new HybridClock(clock)), new LinkServer(clock, new HybridClock(clock))];
	const address = await first.listen('127.0.0.1:0');
	await assert.rejects(second.listen(address), {codeName: 'invalidSetting', message: new RegExp(address, 'v')});
	await first.close();
});
