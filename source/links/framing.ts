import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type LinkMessage} from './messages.js';

/** Maximum length of a frame body in bytes. */
export const maximumFrameBytes = 16 * 1024 * 1024;

const headerBytes = 4;
const standaloneEncoder = new Encoder({useRecords: false, mapsAsObjects: true});

/** Encodes a message as a self-contained frame. Throws messageTooLarge. */
export function encodeFrame(message: LinkMessage): Buffer {
	return createFrame(standaloneEncoder.encode(message));
}

/** Encodes the messages of one link; each set of field names is sent once and referenced afterwards, so a frame depends on the earlier ones. */
export class FrameWriter {
	readonly #encoder = new Encoder({useRecords: true, sequential: true, structures: []});

	/** Returns the frame of the next message. Throws messageTooLarge. */
	encode(message: LinkMessage): Buffer {
		return createFrame(this.#encoder.encode(message));
	}
}

function createFrame(body: Buffer): Buffer {
	if (body.length > maximumFrameBytes) {
		throw new BuckthornhitchError('messageTooLarge', `The frame has ${body.length} bytes, at most ${maximumFrameBytes} are allowed.`);
	}

	const frame = Buffer.allocUnsafe(headerBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, headerBytes);
	return frame;
}

/** Decodes the byte stream of one link into messages. */
export class FrameReader {
	readonly #decoder = new Decoder({
		useRecords: true, sequential: true, structures: [], mapsAsObjects: true,
	});

	#chunks: Buffer[] = [];
	#bufferedBytes = 0;

	/** Adds received bytes and returns the messages completed by them. Throws messageTooLarge or malformedMessage. */
	read(chunk: Buffer): readonly LinkMessage[] {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		const messages: LinkMessage[] = [];
		for (let body = this.#takeBody(); body; body = this.#takeBody()) {
			messages.push(decodeMessage(this.#decoder, body));
		}

		return messages;
	}

	#takeBody(): Buffer | undefined {
		if (this.#bufferedBytes < headerBytes) {
			return undefined;
		}

		const length = this.#peekLength();
		if (length > maximumFrameBytes) {
			throw new BuckthornhitchError('messageTooLarge', `A frame announces ${length} bytes, at most ${maximumFrameBytes} are allowed.`);
		}

		if (this.#bufferedBytes < headerBytes + length) {
			return undefined;
		}

		const bytes = this.#joinChunks();
		const body = bytes.subarray(headerBytes, headerBytes + length);
		const rest = bytes.subarray(headerBytes + length);
		this.#chunks = rest.length > 0 ? [rest] : [];
		this.#bufferedBytes = rest.length;
		return body;
	}

	#peekLength(): number {
		if (this.#chunks[0].length < headerBytes) {
			this.#chunks = [this.#joinChunks()];
		}

		return this.#chunks[0].readUInt32BE(0);
	}

	#joinChunks(): Buffer {
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
