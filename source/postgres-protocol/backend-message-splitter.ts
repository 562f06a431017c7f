import {Buffer} from 'node:buffer';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** One message from a backend server. */
export type BackendMessage = {
	/** Type byte as a character, for example `Z` for ReadyForQuery. */
	readonly type: string;
	/** Contents after the type byte and the length field. */
	readonly body: Buffer;
	/** The whole message as received, including the header. */
	readonly raw: Buffer;
};

/** Maximum length of a backend message in bytes, header included. A longer one does not fit into a frame of the connections between processes. */
export const maximumBackendMessageBytes = 16 * 1024 * 1024;

const typeLength = 1;
const headerLength = 5;
const minimumLengthField = 4;
const emptyBuffer = Buffer.alloc(0);

/** Splits the byte stream from a backend server into messages. */
export class BackendMessageSplitter {
	#chunks: Buffer[] = [];
	#bufferedLength = 0;

	constructor(private readonly maximumMessageBytes: number = maximumBackendMessageBytes) {}

	/** Adds received bytes and returns the messages completed by them. Throws malformedMessage or messageTooLarge. */
	push(chunk: Buffer): readonly BackendMessage[] {
		this.#chunks.push(chunk);
		this.#bufferedLength += chunk.length;
		const messages: BackendMessage[] = [];
		for (let message = this.#nextMessage(); message; message = this.#nextMessage()) {
			messages.push(message);
		}

		return messages;
	}

	#nextMessage(): BackendMessage | undefined {
		if (this.#bufferedLength < headerLength) {
			return undefined;
		}

		const header = this.#peekHeader();
		const lengthField = header.readInt32BE(typeLength);
		if (lengthField < minimumLengthField) {
			throw new BuckthornhitchError('malformedMessage', `A backend message has a length field of ${lengthField}, which is below the minimum.`);
		}

		const totalLength = lengthField + typeLength;
		if (totalLength > this.maximumMessageBytes) {
			throw new BuckthornhitchError('messageTooLarge', `A backend message of ${totalLength} bytes exceeds the maximum of ${this.maximumMessageBytes} bytes.`);
		}

		return this.#bufferedLength < totalLength ? undefined : this.#takeMessage(totalLength);
	}

	#peekHeader(): Buffer {
		const [first] = this.#chunks;
		if (first && first.length >= headerLength) {
			return first;
		}

		this.#concatenateChunks();
		return this.#chunks[0] ?? emptyBuffer;
	}

	#takeMessage(totalLength: number): BackendMessage {
		if ((this.#chunks[0]?.length ?? 0) < totalLength) {
			this.#concatenateChunks();
		}

		const first = this.#chunks[0] ?? emptyBuffer;
		const raw = first.subarray(0, totalLength);
		this.#bufferedLength -= totalLength;
		if (first.length === totalLength) {
			this.#chunks.shift();
		} else {
			this.#chunks[0] = first.subarray(totalLength);
		}

		return {type: String.fromCodePoint(raw[0] ?? 0), body: raw.subarray(headerLength), raw};
	}

	#concatenateChunks(): void {
		this.#chunks = [Buffer.concat(this.#chunks)];
	}
}

/** Splits a complete response into its messages. */
export function splitBackendMessages(bytes: Buffer): readonly BackendMessage[] {
	return new BackendMessageSplitter().push(bytes);
}
