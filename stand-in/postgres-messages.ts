import {Buffer} from 'node:buffer';
import {SqlError} from './sql-error.js';

/** Column of a result with the object identifier of its type. */
export type ResultColumn = {readonly name: string; readonly typeId: number};

/** Object identifiers of the types in results. */
export const typeIds = {
	boolean: 16, int8: 20, int4: 23, text: 25,
} as const;

/** Codes in the place of the protocol version in a start-up packet. */
export const startupCodes = {
	protocol3: 196_608, cancel: 80_877_102, ssl: 80_877_103, gssEncryption: 80_877_104, replication: 80_877_199,
} as const;

/** Reads the fields of a message body. */
export class BodyReader {
	#offset = 0;

	constructor(private readonly bytes: Buffer) {}

	get isAtEnd(): boolean {
		return this.#offset >= this.bytes.length;
	}

	int16(): number {
		this.#offset += 2;
		return this.bytes.readInt16BE(this.#offset - 2);
	}

	int32(): number {
		this.#offset += 4;
		return this.bytes.readInt32BE(this.#offset - 4);
	}

	/** Reads a text that ends with a zero byte. */
	text(): string {
		const end = this.bytes.indexOf(0, this.#offset);
		if (end === -1) {
			throw new SqlError('08P01', 'a text in a message has no end');
		}

		const text = this.bytes.toString('utf8', this.#offset, end);
		this.#offset = end + 1;
		return text;
	}

	/** Reads a text of the given length in bytes. */
	fixedText(length: number): string {
		this.#offset += length;
		return this.bytes.toString('utf8', this.#offset - length, this.#offset);
	}

	/** Reads as many elements as the 16-bit count in front of them says. */
	list<Element>(read: () => Element): readonly Element[] {
		return Array.from({length: this.int16()}, read);
	}
}

/** Message from a client; the type of a start-up packet is empty. */
export type ClientMessage = {readonly type: string; readonly body: BodyReader};

/** Splits the bytes from a client into messages. */
export class ClientMessageReader {
	/** Whether messages have a type byte, which is so after the start-up packet. */
	typed = false;
	#bytes: Buffer = Buffer.alloc(0);

	add(chunk: Buffer): void {
		this.#bytes = this.#bytes.length === 0 ? chunk : Buffer.concat([this.#bytes, chunk]);
	}

	/** Returns the next complete message. */
	next(): ClientMessage | undefined {
		const lengthAt = this.typed ? 1 : 0;
		if (this.#bytes.length < lengthAt + 4) {
			return undefined;
		}

		const end = lengthAt + this.#bytes.readInt32BE(lengthAt);
		if (end < lengthAt + 4) {
			throw new SqlError('08P01', 'a message has an invalid length');
		}

		if (this.#bytes.length < end) {
			return undefined;
		}

		const body = new BodyReader(this.#bytes.subarray(lengthAt + 4, end));
		const type = this.#bytes.toString('latin1', 0, lengthAt);
		this.#bytes = this.#bytes.subarray(end);
		return {type, body};
	}

	/** Removes and returns the bytes behind the last message. */
	take(): Buffer {
		const bytes = this.#bytes;
		this.#bytes = Buffer.alloc(0);
		return bytes;
	}
}

const int16 = (value: number): Buffer => {
	const bytes = Buffer.alloc(2);
	bytes.writeInt16BE(value);
	return bytes;
};

const int32 = (value: number): Buffer => {
	const bytes = Buffer.alloc(4);
	bytes.writeInt32BE(value);
	return bytes;
};

const text = (value: string): Buffer => Buffer.from(`${value}\0`);

function message(type: string, ...parts: readonly Buffer[]): Buffer {
	const length = parts.reduce((sum, part) => sum + part.length, 4);
	return Buffer.concat([Buffer.from(type), int32(length), ...parts]);
}

/** Builds the messages of a server. */
export const backendMessages = {
	authenticationOk: message('R', int32(0)),
	parseComplete: message('1'),
	bindComplete: message('2'),
	closeComplete: message('3'),
	noData: message('n'),
	emptyQuery: message('I'),
	portalSuspended: message('s'),
	parameterStatus: (name: string, value: string): Buffer => message('S', text(name), text(value)),
	backendKeyData: (processId: number, secret: number): Buffer => message('K', int32(processId), int32(secret)),
	readyForQuery: (status: 'I' | 'T' | 'E'): Buffer => message('Z', Buffer.from(status)),
	commandComplete: (tag: string): Buffer => message('C', text(tag)),
	parameterDescription: (ids: readonly number[]): Buffer => message('t', int16(ids.length), ...ids.map(id => int32(id))),
	rowDescription: (columns: readonly ResultColumn[]): Buffer => message('T', int16(columns.length), ...columns.flatMap(({name, typeId}) => [
		text(name), int32(0), int16(0), int32(typeId), int16(-1), int32(-1), int16(0),
	])),
	dataRow: (values: ReadonlyArray<string | number | null>): Buffer => message('D', int16(values.length), ...values.flatMap(value => {
		const bytes = Buffer.from(String(value ?? ''));
		return value === null ? [int32(-1)] : [int32(bytes.length), bytes];
	})),
	error: (severity: 'ERROR' | 'FATAL', sqlState: string, detail: string): Buffer =>
		message('E', text(`S${severity}`), text(`V${severity}`), text(`C${sqlState}`), text(`M${detail}`), text('')),
};
