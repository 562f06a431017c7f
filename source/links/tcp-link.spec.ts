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

/** Runs a server whose connections are given to the action, and returns its address. */
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

test('answers in another order, late or repeated go to their own requests', async () => {
	const held: RequestMessage[] = [];
	const {address, close} = await startServer((socket, requests) => {
		held.push(...requests);
		if (held.length === 3) {
			for (const {number, body} of [...held.toReversed(), ...held]) {
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

test('a request that was sent on a lost link is not reported as not run, and the next one opens a new link', async () => {
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

test('a handler that fails answers with its own code, and an unknown request with a code instead of silence', async () => {
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

test('a second process does not share an address that is in use, and says which one', async () => {
	const [first, second] = [new LinkServer(clock, new HybridClock(clock)), new LinkServer(clock, new HybridClock(clock))];
	const address = await first.listen('127.0.0.1:0');
	await assert.rejects(second.listen(address), {codeName: 'invalidSetting', message: new RegExp(address, 'v')});
	await first.close();
});
