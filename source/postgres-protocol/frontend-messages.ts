import {Buffer} from 'node:buffer';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Longest frontend message in bytes, the length field included. */
export const maximumFrontendMessageBytes = 16 * 1024 * 1024;

/** One message of a caller: its type letter and its bytes as received, the header included. */
export type FrontendMessage = {
	readonly type: string;
	readonly bytes: Buffer;
};

/** Contents of a Parse message. */
export type ParseContents = {
	readonly statement: string;
	readonly text: string;
};

/** Contents of a Bind message that matter for forwarding. */
export type BindContents = {
	readonly portal: string;
	readonly statement: string;
};

/** Contents of a Describe or Close message. */
export type DescribeOrCloseContents = {
	readonly kind: 'statement' | 'portal';
	readonly name: string;
};

/** Bytes of a message before its contents: the type and the length. */
export const headerBytes = 5;

const knownTypes = new Set('QPBEDCHSXFdcfp');
const lengthOffset = 1;
const smallestLength = 4;

/**
Splits the byte stream of a caller into messages.

The frame reader of `pg-gateway` awaits a callback for each message, pauses the socket meanwhile and swallows errors, and it buffers whatever length a message announces. It is used for the start-up only; afterwards whole messages are forwarded as received, which needs no more than this splitting.
*/
export class FrontendMessageSplitter {
	#chunks: Buffer[] = [];
	#buffered = 0;
	#needed = headerBytes;

	/** Number of bytes held of an incomplete message. */
	get bufferedLength(): number {
		return this.#buffered;
	}

	/** Adds received bytes and returns the messages that are complete. Throws messageTooLarge or malformedMessage. */
	push(chunk: Buffer): readonly FrontendMessage[] {
		this.#chunks.push(chunk);
		this.#buffered += chunk.length;
		return this.#buffered < this.#needed ? [] : this.#split();
	}

	#split(): readonly FrontendMessage[] {
		const bytes = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks, this.#buffered);
		const messages: FrontendMessage[] = [];
		let offset = 0;
		this.#needed = messageLength(bytes, offset);
		while (bytes.length - offset >= this.#needed) {
			const end = offset + this.#needed;
			messages.push({type: String.fromCodePoint(bytes[offset]), bytes: bytes.subarray(offset, end)});
			offset = end;
			this.#needed = messageLength(bytes, offset);
		}

		// The rest is copied, so that an incomplete message does not keep a large receive buffer alive.
		this.#buffered = bytes.length - offset;
		this.#chunks = this.#buffered > 0 ? [Buffer.from(bytes.subarray(offset))] : [];
		return messages;
	}
}

function messageLength(bytes: Buffer, offset: number): number {
	if (bytes.length - offset < headerBytes) {
		return headerBytes;
	}

	const type = String.fromCodePoint(bytes[offset]);
	if (!knownTypes.has(type)) {
		throw new BuckthornhitchError('malformedMessage', `Message type ${bytes[offset]} is unknown.`);
	}

	const length = bytes.readUInt32BE(offset + lengthOffset);
	if (length > maximumFrontendMessageBytes) {
		throw new BuckthornhitchError('messageTooLarge', `A message announces ${length} bytes, at most ${maximumFrontendMessageBytes} are allowed.`);
	}

	if (length < smallestLength) {
		throw new BuckthornhitchError('malformedMessage', `A message announces ${length} bytes.`);
	}

	return length + lengthOffset;
}

/** Returns the text of a Query message. Throws malformedMessage. */
export function readQuery(message: FrontendMessage): string {
	const end = textEnd(message.bytes, headerBytes);
	if (end !== message.bytes.length - 1) {
		throw new BuckthornhitchError('malformedMessage', 'A query holds a zero byte.');
	}

	return message.bytes.toString('utf8', headerBytes, end);
}

/** Returns the statement name and the text of a Parse message. Throws malformedMessage. */
export function readParse(message: FrontendMessage): ParseContents {
	const nameEnd = textEnd(message.bytes, headerBytes);
	const end = textEnd(message.bytes, nameEnd + 1);
	return {
		statement: message.bytes.toString('utf8', headerBytes, nameEnd),
		text: message.bytes.toString('utf8', nameEnd + 1, end),
	};
}

/** Returns the portal and statement names of a Bind message. Throws malformedMessage. */
export function readBind(message: FrontendMessage): BindContents {
	const portalEnd = textEnd(message.bytes, headerBytes);
	const end = textEnd(message.bytes, portalEnd + 1);
	return {
		portal: message.bytes.toString('utf8', headerBytes, portalEnd),
		statement: message.bytes.toString('utf8', portalEnd + 1, end),
	};
}

/** Returns what a Describe or Close message names. Throws malformedMessage. */
export function readDescribeOrClose(message: FrontendMessage): DescribeOrCloseContents {
	const kind = message.bytes.toString('latin1', headerBytes, headerBytes + 1);
	if (kind !== 'S' && kind !== 'P') {
		throw new BuckthornhitchError('malformedMessage', 'A Describe or Close message names neither a statement nor a portal.');
	}

	const end = textEnd(message.bytes, headerBytes + 1);
	return {kind: kind === 'S' ? 'statement' : 'portal', name: message.bytes.toString('utf8', headerBytes + 1, end)};
}

/** Returns the portal name of an Execute message. Throws malformedMessage. */
export function readExecute(message: FrontendMessage): string {
	return message.bytes.toString('utf8', headerBytes, textEnd(message.bytes, headerBytes));
}

/** Builds a Close message for a prepared statement. */
export function buildCloseStatement(name: string): Buffer {
	return buildFrontendMessage('C', Buffer.from(`S${name}\0`));
}

/** Builds a message of any type. */
export function buildFrontendMessage(type: string, contents: Buffer): Buffer {
	const bytes = Buffer.allocUnsafe(headerBytes + contents.length);
	bytes.write(type, 0, 'latin1');
	bytes.writeUInt32BE(contents.length + smallestLength, lengthOffset);
	contents.copy(bytes, headerBytes);
	return bytes;
}

function textEnd(bytes: Buffer, start: number): number {
	const end = bytes.indexOf(0, start);
	if (end === -1) {
		throw new BuckthornhitchError('malformedMessage', 'A text in a message has no end.');
	}

	return end;
}
