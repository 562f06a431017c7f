import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {encodeFrame, FrameReader, maximumFrameBytes} from './framing.js';
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
