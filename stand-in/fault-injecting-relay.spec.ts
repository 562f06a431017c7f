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
import {DelayLine} from './delay-line.js';
import {FaultInjectingRelay} from './fault-injecting-relay.js';
import {waitUntil} from './group-fixture.js';

const timeout = 20_000;

/** Starts a relay in front of a server that sends back what it receives. */
async function startRelay(context: TestContext): Promise<{relay: FaultInjectingRelay; received: () => string; openAtServer: () => number}> {
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
	return {relay, received: () => received, openAtServer: () => sockets.size};
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

test('a silenced connection answers again, or new connections are silent too', {timeout}, async context => {
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

test('a cut in one direction stops the other one, or a stream goes on with a gap after it', {timeout}, async context => {
	const {relay, received, openAtServer} = await startRelay(context);
	const [touched, idle] = [await connect(context, relay), await connect(context, relay)];
	touched.socket.write('a');
	await waitUntil(() => touched.answer() === 'a');
	relay.dropTraffic('toClient');
	touched.socket.write('b');
	await waitUntil(() => received() === 'ab');
	const hanging = await connect(context, relay);
	hanging.socket.write('x');
	await relay.heal();
	touched.socket.write('c');
	await waitUntil(() => received() === 'abc');
	idle.socket.write('d');
	await waitUntil(() => idle.answer() === 'd');
	assert.equal(touched.answer(), 'a');
	assert.equal(hanging.answer(), '');
	relay.dropTraffic('toServer');
	idle.socket.destroy();
	// Gives the relay time to lose the close; the test passes as well when it comes later.
	await setTimeout(50);
	await relay.heal();
	await waitUntil(() => openAtServer() === 1);
	assert.equal(received(), 'abcd');
});

test('a refusing relay accepts connections or closes those that are open', {timeout}, async context => {
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

test('a shorter delay lets later bytes overtake earlier ones', () => {
	const clock = new ManualClock();
	const line = new DelayLine(clock);
	const done: string[] = [];
	line.add(10, () => done.push('first'));
	line.add(2, () => done.push('second'));
	line.add(0, () => done.push('third'));
	clock.advance(9);
	assert.deepEqual(done, []);
	clock.advance(1);
	assert.deepEqual(done, ['first', 'second', 'third']);
});
