import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type LinkMessage} from './messages.js';

/** Longest body of a frame in bytes. */
export const maximumFrameBytes = 16 * 1024 * 1024;

const headerBytes = 4;
const plainEncoder = new Encoder({useRecords: false, mapsAsObjects: true});

/** Encodes a message as one frame that does not depend on earlier ones. Throws messageTooLarge. */
export function encodeFrame(message: LinkMessage): Buffer {
	return frameOf(plainEncoder.encode(message));
}

/** Encodes the messages of one link; the names of fields are sent once and referred to afterwards. */
export class FrameWriter {
	readonly #encoder = new Encoder({useRecords: true, sequential: true, structures: []});

	/** Returns the frame of the next message. Throws messageTooLarge. */
	encode(message: LinkMessage): Buffer {
		return frameOf(this.#encoder.encode(message));
	}
}

function frameOf(body: Buffer): Buffer {
	if (body.length > maximumFrameBytes) {
		throw new BuckthornhitchError('messageTooLarge', `The frame has ${body.length} bytes, at most ${maximumFrameBytes} are allowed.`);
	}

	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, headerBytes);
	return frame;
}

/** Splits a byte stream into messages. */
export class FrameReader {
	readonly #decoder = new Decoder({
		useRecords: true, sequential: true, structures: [], mapsAsObjects: true,
	});

	#chunks: Buffer[] = [];
	#buffered = 0;

	/** Adds received bytes and returns the messages that are complete. Throws messageTooLarge or malformedMessage. */
	read(chunk: Buffer): readonly LinkMessage[] {
		this.#chunks.push(chunk);
		this.#buffered += chunk.length;
		const messages: LinkMessage[] = [];
		for (let body = this.#nextBody(); body; body = this.#nextBody()) {
			messages.push(decodeMessage(this.#decoder, body));
		}

		return messages;
	}

	#nextBody(): Buffer | undefined {
		if (this.#buffered < headerBytes) {
			return undefined;
		}

		const length = this.#peekLength();
		if (length > maximumFrameBytes) {
			throw new BuckthornhitchError('messageTooLarge', `A frame announces ${length} bytes, at most ${maximumFrameBytes} are allowed.`);
		}

		if (this.#buffered < headerBytes + length) {
			return undefined;
		}

		const bytes = this.#join();
		const body = bytes.subarray(headerBytes, headerBytes + length);
		const rest = bytes.subarray(headerBytes + length);
		this.#chunks = rest.length > 0 ? [rest] : [];
		this.#buffered = rest.length;
		return body;
	}

	#peekLength(): number {
		if (this.#chunks[0].length < headerBytes) {
			this.#chunks = [this.#join()];
		}

		return this.#chunks[0].readUInt32BE(0);
	}

	#join(): Buffer {
		return this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
	}
}

function decodeMessage(decoder: Decoder, body: Buffer): LinkMessage {
	let message: unknown;
	try {
		message = decoder.decode(body);
	} catch (error) {
		throw new BuckthornhitchError('malformedMessage', 'A frame is not valid CBOR.', {cause: error});
	}

	if (!isLinkMessage(message)) {
		throw new BuckthornhitchError('malformedMessage', 'A frame holds no link message.');
	}

	return message;
}

function isLinkMessage(value: unknown): value is LinkMessage {
	if (typeof value !== 'object' || value === null || !('kind' in value) || !('time' in value)) {
		return false;
	}

	const message = value as Readonly<Record<string, unknown>>;
	if (message.kind === 'notice') {
		return typeof message.name === 'string';
	}

	return typeof message.number === 'number'
		&& (message.kind === 'request' ? typeof message.name === 'string' : message.kind === 'response' && typeof message.code === 'number');
}
