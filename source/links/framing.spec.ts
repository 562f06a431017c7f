import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {deflateRawSync} from 'node:zlib';
import fastCheck from 'fast-check';
import {
	encodeFrame, FrameReader, FrameWriter, maximumFrameBytes,
} from './framing.js';
import {type LinkMessage} from './messages.js';

const time = {milliseconds: 1, counter: 0};

test('frames split at any byte are decoded completely and in order', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.string()), fastCheck.integer({min: 1, max: 9}), (bodies, size) => {
		const messages: LinkMessage[] = bodies.map((body, number) => ({
			kind: 'request', number, name: 'echo', body, time,
		}));
		const bytes = Buffer.concat(messages.map(message => encodeFrame(message)));
		const reader = new FrameReader();
		const received: LinkMessage[] = [];
		for (let start = 0; start < bytes.length; start += size) {
			received.push(...reader.read(bytes.subarray(start, start + size)));
		}

		assert.deepEqual(received, messages);
	}), {seed: 1});
});

// Without this check a peer could make the process buffer up to 4 GiB.
test('a frame whose header states a length above the limit is refused before its body is buffered', () => {
	const header = Buffer.alloc(4);
	header.writeUInt32BE(maximumFrameBytes + 1);
	assert.throws(() => new FrameReader().read(header), {codeName: 'messageTooLarge'});
});

test('a frame whose body is not a link message is refused', () => {
	assert.throws(() => new FrameReader().read(Buffer.from([0, 0, 0, 1, 0x18])), {codeName: 'malformedMessage'});
});

// Configuration documents of hundreds of routes pass between regions several times for each change.
test('large bodies are compressed only for a peer that reads them, and small and large frames are read in order', () => {
	const document = JSON.stringify(Array.from({length: 500}, (_, number) => ({name: `route-${number}`, consistency: 'primary', statementTimeout: 800})));
	const messages: LinkMessage[] = [document, 'small', document].map((body, number) => ({
		kind: 'request', number, name: 'echo', body, time,
	}));
	const writer = new FrameWriter();
	const plain = writer.encode(messages[0]);
	assert.ok(plain.length > document.length);
	writer.isCompressing = true;
	const compressed = [writer.encode(messages[1]), writer.encode(messages[2])];
	assert.ok(compressed[1].length * 5 < document.length);
	assert.deepEqual(new FrameReader().read(Buffer.concat([plain, ...compressed])), messages);
});

// A compressed body must not make a process allocate more than an uncompressed one may.
test('a compressed body that is damaged or longer than a frame may be is refused', () => {
	const writer = new FrameWriter();
	writer.isCompressing = true;
	const frame = writer.encode({
		kind: 'request', number: 1, name: 'echo', body: 'a'.repeat(5000), time,
	});
	frame.fill(0xFF, 4);
	assert.throws(() => new FrameReader().read(frame), {codeName: 'malformedMessage'});
	const bomb = deflateRawSync(Buffer.alloc(maximumFrameBytes + 1));
	const header = Buffer.alloc(4);
	header.writeUInt32BE(0x80_00_00_00 + bomb.length);
	assert.throws(() => new FrameReader().read(Buffer.concat([header, bomb])), {codeName: 'malformedMessage'});
});
