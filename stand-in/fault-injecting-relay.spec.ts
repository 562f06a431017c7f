import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {ManualClock} from '../source/clock/manual-clock.js';
import {parseAddress} from '../source/links/address.js';
import {SeededRandom} from '../source/random/random.js';
import {DelayQueue} from './delay-queue.js';
import {FaultInjectingRelay} from './fault-injecting-relay.js';
import {waitUntil} from './group-fixture.js';

const timeout = 20_000;

/** Starts a relay in front of an echo server. */
async function startRelay(context: TestContext): Promise<{relay: FaultInjectingRelay; received: () => string; serverConnectionCount: () => number}> {
	let received = '';
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('data', chunk => {
			received += chunk.toString();
			socket.write(chunk);
		});
		socket.on('close', () => sockets.delete(socket));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const relay = new FaultInjectingRelay({
		target: `127.0.0.1:${(server.address() as AddressInfo).port}`, latency: 1, jitter: 2, random: new SeededRandom(1),
	});
	await relay.start();
	context.after(() => {
		relay.close();
		server.close();
	});
	return {relay, received: () => received, serverConnectionCount: () => sockets.size};
}

async function connect(context: TestContext, relay: FaultInjectingRelay): Promise<{socket: Socket; answer: () => string}> {
	const socket = createConnection(parseAddress(relay.address));
	context.after(() => socket.destroy());
	let answer = '';
	socket.on('data', chunk => {
		answer += chunk.toString();
	});
	await once(socket, 'connect');
	return {socket, answer: () => answer};
}

test('stalled connections transfer nothing even after healing, and new connections work', {timeout}, async context => {
	const {relay, received} = await startRelay(context);
	const old = await connect(context, relay);
	old.socket.write('a');
	await waitUntil(() => old.answer() === 'a');
	relay.stallOpenConnections();
	old.socket.write('b');
	await relay.heal();
	const fresh = await connect(context, relay);
	fresh.socket.write('c');
	await waitUntil(() => fresh.answer() === 'c');
	assert.equal(old.answer(), 'a');
	assert.equal(received(), 'ac');
	assert.equal(old.socket.destroyed, false);
});

// After healing, a stream that lost bytes must not continue with a gap, and a close that was dropped must still reach the server.
test('dropping traffic in one direction leaves the other intact, and no stream continues with a gap', {timeout}, async context => {
	const {relay, received, serverConnectionCount} = await startRelay(context);
	const [active, idle] = [await connect(context, relay), await connect(context, relay)];
	active.socket.write('a');
	await waitUntil(() => active.answer() === 'a');
	relay.dropTraffic('toClient');
	active.socket.write('b');
	await waitUntil(() => received() === 'ab');
	const hanging = await connect(context, relay);
	hanging.socket.write('x');
	await relay.heal();
	active.socket.write('c');
	await waitUntil(() => received() === 'abc');
	idle.socket.write('d');
	await waitUntil(() => idle.answer() === 'd');
	assert.equal(active.answer(), 'a');
	assert.equal(hanging.answer(), '');
	relay.dropTraffic('toServer');
	idle.socket.destroy();
	// Gives the relay time to drop the close. The test also passes if the close arrives later.
	await setTimeout(50);
	await relay.heal();
	await waitUntil(() => serverConnectionCount() === 1);
	assert.equal(received(), 'abcd');
});

test('a relay that refuses connections keeps the open ones', {timeout}, async context => {
	const {relay} = await startRelay(context);
	const open = await connect(context, relay);
	relay.refuseConnections();
	await assert.rejects(connect(context, relay), {code: 'ECONNREFUSED'});
	open.socket.write('a');
	await waitUntil(() => open.answer() === 'a');
	await relay.heal();
	const fresh = await connect(context, relay);
	fresh.socket.write('b');
	await waitUntil(() => fresh.answer() === 'b');
});

// Bytes of a stream must not overtake each other when the delay varies.
test('actions run in the order in which they were added, even if a later one has a shorter delay', () => {
	const clock = new ManualClock();
	const queue = new DelayQueue(clock);
	const executed: string[] = [];
	queue.add(10, () => executed.push('first'));
	queue.add(2, () => executed.push('second'));
	queue.add(0, () => executed.push('third'));
	clock.advance(9);
	assert.deepEqual(executed, []);
	clock.advance(1);
	assert.deepEqual(executed, ['first', 'second', 'third']);
});
