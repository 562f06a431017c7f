import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {UdpTransport} from './udp-transport.js';

// Guards against closing the socket before a pending datagram is sent, and against an exception from an invalid address that a peer announced.
test('a datagram sent right before close is delivered, its sender can be answered, and an invalid address is ignored', async () => {
	const [first, second] = [new UdpTransport('127.0.0.1:0'), new UdpTransport('127.0.0.1:0')];
	const answer = new Promise(resolve => {
		void first.open((bytes, sender) => {
			resolve([bytes.toString(), sender]);
		});
	});
	await second.open((bytes, sender) => {
		for (const address of ['nonsense', '127.0.0.1:0', '127.0.0.1:70000', sender]) {
			second.send(address, bytes);
		}

		second.close();
		second.close();
	});
	const {address} = second;
	first.send(address, Buffer.from('left'));
	assert.deepEqual(await answer, ['left', address]);
	assert.deepEqual([second.counts().sentDatagrams, second.counts().receivedBytes], [1, 4]);
	first.close();
});
