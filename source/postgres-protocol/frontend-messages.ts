import {Buffer} from 'node:buffer';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Maximum value of the length field of a frontend message: the bytes after the type byte. */
export const maximumFrontendMessageBytes = 16 * 1024 * 1024;

/** One message from a caller: its type letter and its bytes as received, including the header. */
export type FrontendMessage = {
	readonly type: string;
	readonly bytes: Buffer;
};

/** Contents of a Parse message: the name of the prepared statement and the query string. */
export type ParseContents = {
	readonly statementName: string;
	readonly text: string;
};

/** Names of the portal and the prepared statement in a Bind message, which are needed to forward it. */
export type BindContents = {
	readonly portalName: string;
	readonly statementName: string;
};

/** Contents of a Describe or Close message. */
export type DescribeOrCloseContents = {
	readonly kind: 'statement' | 'portal';
	readonly name: string;
};

/** Length of a message header in bytes: the type byte and the length field. */
export const headerLength = 5;

const knownMessageTypes = new Set('QPBEDCHSXFdcfp');
const lengthOffset = 1;
const minimumLengthField = 4;

/**
Splits the byte stream from a caller into messages.

The message reader of `pg-gateway` awaits a callback for each message, pauses the socket meanwhile, swallows errors and buffers messages of any stated length. It is therefore used for the start-up only. Later messages are forwarded as received and only need to be split.
*/
export class FrontendMessageSplitter {
	#chunks: Buffer[] = [];
	#bufferedLength = 0;
	#neededLength = headerLength;

	/** Number of buffered bytes of an incomplete message. */
	get bufferedLength(): number {
		return this.#bufferedLength;
	}

	/** Adds received bytes and returns the messages completed by them. Throws messageTooLarge or malformedMessage. */
	push(chunk: Buffer): readonly FrontendMessage[] {
		this.#chunks.push(chunk);
		this.#bufferedLength += chunk.length;
		return this.#bufferedLength < this.#neededLength ? [] : this.#split();
	}

	#split(): readonly FrontendMessage[] {
		const bytes = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks, this.#bufferedLength);
		const messages: FrontendMessage[] = [];
		let offset = 0;
		this.#neededLength = messageLength(bytes, offset);
		while (bytes.length - offset >= this.#neededLength) {
			const end = offset + this.#neededLength;
			messages.push({type: String.fromCodePoint(bytes[offset]), bytes: bytes.subarray(offset, end)});
			offset = end;
			this.#neededLength = messageLength(bytes, offset);
		}

		// Copies the remaining bytes, so that an incomplete message does not keep a large receive buffer alive.
		this.#bufferedLength = bytes.length - offset;
		this.#chunks = this.#bufferedLength > 0 ? [Buffer.from(bytes.subarray(offset))] : [];
		return messages;
	}
}

function messageLength(bytes: Buffer, offset: number): number {
	if (bytes.length - offset < headerLength) {
		return headerLength;
	}

	const type = String.fromCodePoint(bytes[offset]);
	if (!knownMessageTypes.has(type)) {
		throw new BuckthornhitchError('malformedMessage', `Message type ${bytes[offset]} is unknown.`);
	}

	const length = bytes.readUInt32BE(offset + lengthOffset);
	if (length > maximumFrontendMessageBytes) {
		throw new BuckthornhitchError('messageTooLarge', `A message has a length field of ${length}, the maximum is ${maximumFrontendMessageBytes}.`);
	}

	if (length < minimumLengthField) {
		throw new BuckthornhitchError('malformedMessage', `A message has a length field of ${length}, which is below the minimum.`);
	}

	return length + lengthOffset;
}

/** Returns the query string of a Query message. Throws malformedMessage. */
export function readQuery(message: FrontendMessage): string {
	const end = findStringEnd(message.bytes, headerLength);
	if (end !== message.bytes.length - 1) {
		throw new BuckthornhitchError('malformedMessage', 'A query string contains a zero byte.');
	}

	return message.bytes.toString('utf8', headerLength, end);
}

/** Returns the statement name and the query string of a Parse message. Throws malformedMessage. */
export function readParse(message: FrontendMessage): ParseContents {
	const nameEnd = findStringEnd(message.bytes, headerLength);
	const end = findStringEnd(message.bytes, nameEnd + 1);
	return {
		statementName: message.bytes.toString('utf8', headerLength, nameEnd),
		text: message.bytes.toString('utf8', nameEnd + 1, end),
	};
}

/** Returns the portal and statement names of a Bind message. Throws malformedMessage. */
export function readBind(message: FrontendMessage): BindContents {
	const portalEnd = findStringEnd(message.bytes, headerLength);
	const end = findStringEnd(message.bytes, portalEnd + 1);
	return {
		portalName: message.bytes.toString('utf8', headerLength, portalEnd),
		statementName: message.bytes.toString('utf8', portalEnd + 1, end),
	};
}

/** Returns the kind and name of the statement or portal in a Describe or Close message. Throws malformedMessage. */
export function readDescribeOrClose(message: FrontendMessage): DescribeOrCloseContents {
	const kind = message.bytes.toString('latin1', headerLength, headerLength + 1);
	if (kind !== 'S' && kind !== 'P') {
		throw new BuckthornhitchError('malformedMessage', 'A Describe or Close message refers to neither a statement nor a portal.');
	}

	const end = findStringEnd(message.bytes, headerLength + 1);
	return {kind: kind === 'S' ? 'statement' : 'portal', name: message.bytes.toString('utf8', headerLength + 1, end)};
}

/** Returns the portal name of an Execute message. Throws malformedMessage. */
export function readExecute(message: FrontendMessage): string {
	return message.bytes.toString('utf8', headerLength, findStringEnd(message.bytes, headerLength));
}

/** Builds a Close message for a prepared statement. */
export function buildCloseStatement(name: string): Buffer {
	return buildFrontendMessage('C', Buffer.from(`S${name}\0`));
}

/** Builds a frontend message of the given type. */
export function buildFrontendMessage(type: string, contents: Buffer): Buffer {
	const bytes = Buffer.allocUnsafe(headerLength + contents.length);
	bytes.write(type, 0, 'latin1');
	bytes.writeUInt32BE(contents.length + minimumLengthField, lengthOffset);
	contents.copy(bytes, headerLength);
	return bytes;
}

function findStringEnd(bytes: Buffer, start: number): number {
	const end = bytes.indexOf(0, start);
	if (end === -1) {
		throw new BuckthornhitchError('malformedMessage', 'A string in a message has no terminating zero byte.');
	}

	return end;
}
