import {Buffer} from 'node:buffer';
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';
import {Decoder, Encoder} from 'cbor-x';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type LinkMessage} from './messages.js';

/** Maximum length of a frame body in bytes. */
export const maximumFrameBytes = 16 * 1024 * 1024;

const headerBytes = 4;

/** Bit of the header that marks a compressed body; lengths stay far below it. */
const compressedBit = 0x80_00_00_00;

/** Length in bytes from which a body is compressed. Smaller bodies fit into one packet as they are. */
const compressionThreshold = 1024;
const standaloneEncoder = new Encoder({useRecords: false, mapsAsObjects: true});

/** Encodes a message as a self-contained frame. Throws messageTooLarge. */
export function encodeFrame(message: LinkMessage): Buffer {
	return createFrame(standaloneEncoder.encode(message), false);
}

/** Encodes the messages of one link; each set of field names is sent once and referenced afterwards, so a frame depends on the earlier ones. */
export class FrameWriter {
	/** Whether large bodies are compressed, which processes of earlier builds cannot read. */
	isCompressing = false;
	readonly #encoder = new Encoder({useRecords: true, sequential: true, structures: []});

	/** Returns the frame of the next message. Throws messageTooLarge. */
	encode(message: LinkMessage): Buffer {
		return createFrame(this.#encoder.encode(message), this.isCompressing);
	}
}

function createFrame(body: Buffer, mayCompress: boolean): Buffer {
	if (body.length > maximumFrameBytes) {
		throw new BuckthornhitchError('messageTooLarge', `The frame has ${body.length} bytes, at most ${maximumFrameBytes} are allowed.`);
	}

	const isCompressed = mayCompress && body.length >= compressionThreshold;
	const content = isCompressed ? deflateRawSync(body, {level: constants.Z_BEST_SPEED}) : body;
	const frame = Buffer.allocUnsafe(headerBytes + content.length);
	frame.writeUInt32BE(content.length + (isCompressed ? compressedBit : 0), 0);
	content.copy(frame, headerBytes);
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

		const header = this.#peekHeader();
		const isCompressed = header >= compressedBit;
		const length = isCompressed ? header - compressedBit : header;
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
		return isCompressed ? inflateBody(body) : body;
	}

	#peekHeader(): number {
		if (this.#chunks[0].length < headerBytes) {
			this.#chunks = [this.#joinChunks()];
		}

		return this.#chunks[0].readUInt32BE(0);
	}

	#joinChunks(): Buffer {
		return this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
	}
}

function inflateBody(body: Buffer): Buffer {
	try {
		return inflateRawSync(body, {maxOutputLength: maximumFrameBytes});
	} catch (error) {
		throw new BuckthornhitchError('malformedMessage', 'A compressed frame cannot be read.', {cause: error});
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
