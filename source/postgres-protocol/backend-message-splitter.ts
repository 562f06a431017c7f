import {Buffer} from 'node:buffer';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** One message of a backend server. */
export type BackendMessage = {
	/** Type byte as a character, for example `Z` for ReadyForQuery. */
	readonly type: string;
	/** Content after type and length. */
	readonly body: Buffer;
	/** The whole message as received. */
	readonly raw: Buffer;
};

/** Longest accepted backend message in bytes; a longer one cannot be carried by a link. */
export const longestBackendMessage = 16 * 1024 * 1024;

const typeLength = 1;
const headerLength = 5;
const smallestLengthField = 4;
const emptyBuffer = Buffer.alloc(0);

/** Splits the byte stream of a backend server into messages. */
export class BackendMessageSplitter {
	#chunks: Buffer[] = [];
	#length = 0;

	constructor(private readonly longestMessage: number = longestBackendMessage) {}

	/** Takes received bytes and returns the messages that are complete. Throws malformedMessage or messageTooLarge. */
	push(chunk: Buffer): readonly BackendMessage[] {
		this.#chunks.push(chunk);
		this.#length += chunk.length;
		const messages: BackendMessage[] = [];
		for (let message = this.#next(); message; message = this.#next()) {
			messages.push(message);
		}

		return messages;
	}

	#next(): BackendMessage | undefined {
		if (this.#length < headerLength) {
			return undefined;
		}

		const header = this.#peekHeader();
		const lengthField = header.readInt32BE(typeLength);
		if (lengthField < smallestLengthField) {
			throw new BuckthornhitchError('malformedMessage', `A backend message states a length of ${lengthField} bytes.`);
		}

		const total = lengthField + typeLength;
		if (total > this.longestMessage) {
			throw new BuckthornhitchError('messageTooLarge', `A backend message of ${total} bytes is longer than ${this.longestMessage} bytes.`);
		}

		return this.#length < total ? undefined : this.#take(total);
	}

	#peekHeader(): Buffer {
		const [first] = this.#chunks;
		if (first && first.length >= headerLength) {
			return first;
		}

		this.#join();
		return this.#chunks[0] ?? emptyBuffer;
	}

	#take(total: number): BackendMessage {
		if ((this.#chunks[0]?.length ?? 0) < total) {
			this.#join();
		}

		const first = this.#chunks[0] ?? emptyBuffer;
		const raw = first.subarray(0, total);
		this.#length -= total;
		if (first.length === total) {
			this.#chunks.shift();
		} else {
			this.#chunks[0] = first.subarray(total);
		}

		return {type: String.fromCodePoint(raw[0] ?? 0), body: raw.subarray(headerLength), raw};
	}

	#join(): void {
		this.#chunks = [Buffer.concat(this.#chunks)];
	}
}

/** Splits a complete response into its messages. */
export function splitBackendMessages(bytes: Buffer): readonly BackendMessage[] {
	return new BackendMessageSplitter().push(bytes);
}
