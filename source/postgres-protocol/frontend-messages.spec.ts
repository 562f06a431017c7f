import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {
	buildFrontendMessage, FrontendMessageSplitter, maximumFrontendMessageBytes, readBind, readParse, readQuery, readDescribeOrClose,
} from './frontend-messages.js';
import {
	firstPasswordMessage, firstStartupPacket, maximumStartupBytes, startupPacketKind,
} from './frontend-startup.js';

test('messages split at any byte are reassembled without loss', () => {
	const messages = fastCheck.array(fastCheck.tuple(fastCheck.constantFrom('Q', 'P', 'S'), fastCheck.uint8Array({maxLength: 30})));
	fastCheck.assert(fastCheck.property(messages, fastCheck.integer({min: 1, max: 9}), (sent, size) => {
		const bytes = Buffer.concat(sent.map(([type, contents]) => buildFrontendMessage(type, Buffer.from(contents))));
		const reader = new FrontendMessageSplitter();
		const received: Array<readonly [string, Buffer]> = [];
		for (let start = 0; start < bytes.length; start += size) {
			received.push(...reader.push(bytes.subarray(start, start + size)).map(message => [message.type, message.bytes] as const));
		}

		assert.deepEqual(received, sent.map(([type, contents]) => [type, buildFrontendMessage(type, Buffer.from(contents))]));
		assert.equal(reader.bufferedLength, 0);
	}), {seed: 1});
});

// Buffering a message before its header is checked would let a caller use up the memory of the proxy process.
test('an oversized or malformed message is refused as soon as its header has arrived', () => {
	const header = Buffer.from('Q\0\0\0\0');
	header.writeUInt32BE(maximumFrontendMessageBytes + 1, 1);
	assert.throws(() => new FrontendMessageSplitter().push(header), {codeName: 'messageTooLarge'});
	assert.throws(() => new FrontendMessageSplitter().push(Buffer.from('Q\0\0\0\u0003')), {codeName: 'malformedMessage'});
	assert.throws(() => new FrontendMessageSplitter().push(Buffer.from('GET / HTTP/1.1')), {codeName: 'malformedMessage'});
});

// A missing terminator must not make a reader continue into the bytes of the next message.
test('a message whose strings lack a terminating zero byte is refused', () => {
	const message = (type: string, contents: string) => new FrontendMessageSplitter().push(buildFrontendMessage(type, Buffer.from(contents)))[0];
	assert.throws(() => readQuery(message('Q', 'SELECT 1')), {codeName: 'malformedMessage'});
	assert.throws(() => readQuery(message('Q', 'SELECT 1\0; DELETE FROM t\0')), {codeName: 'malformedMessage'});
	assert.throws(() => readParse(message('P', 'name\0SELECT 1')), {codeName: 'malformedMessage'});
	assert.throws(() => readBind(message('B', 'portal\0name')), {codeName: 'malformedMessage'});
	assert.throws(() => readDescribeOrClose(message('D', 'X\0')), {codeName: 'malformedMessage'});
});

function startupPacket(text: string, version = 196_608): Buffer {
	const packet = Buffer.concat([Buffer.alloc(8), Buffer.from(text)]);
	packet.writeUInt32BE(packet.length, 0);
	packet.writeUInt32BE(version, 4);
	return packet;
}

// `pg-gateway` must be given only packets whose length and form have been checked.
test('a malformed or oversized start-up packet is refused before it is passed to pg-gateway', () => {
	const packet = startupPacket('user\0caller\0\0');
	assert.equal(startupPacketKind(packet), 'startup');
	assert.equal(startupPacketKind(startupPacket('', 80_877_103)), 'encryption');
	assert.equal(firstStartupPacket(packet.subarray(0, -1)), undefined);
	for (const text of ['', 'user\0', 'user\0caller', 'user\0caller\0', 'user\0caller\0\0rest', 'user\0caller\0name\0\0']) {
		assert.throws(() => startupPacketKind(startupPacket(text)), {codeName: 'malformedMessage'}, JSON.stringify(text));
	}

	const oversized = Buffer.alloc(8);
	oversized.writeUInt32BE(maximumStartupBytes + 1, 0);
	assert.throws(() => firstStartupPacket(oversized), {codeName: 'messageTooLarge'});
	assert.throws(() => firstStartupPacket(Buffer.alloc(8)), {codeName: 'malformedMessage'});
	assert.throws(() => firstPasswordMessage(Buffer.from('Q')), {codeName: 'malformedMessage'});
});
