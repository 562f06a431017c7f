import {Buffer} from 'node:buffer';
import {SqlError} from './sql-error.js';

/** Column of a result with the object identifier (OID) of its type. */
export type ResultColumn = {readonly name: string; readonly typeOid: number};

/** Object identifiers (OIDs) of the column types that occur in results. */
export const typeOids = {
	boolean: 16, int8: 20, int4: 23, text: 25,
} as const;

/** Codes in the protocol version field of a start-up packet. `replication` is used only among stand-in members. */
export const startupCodes = {
	protocol3: 196_608, cancel: 80_877_102, ssl: 80_877_103, gssEncryption: 80_877_104, replication: 80_877_199,
} as const;

/** Reads the fields of a message body in order. */
export class MessageBodyReader {
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

	/** Reads a string that is terminated by a zero byte. */
	string(): string {
		const end = this.bytes.indexOf(0, this.#offset);
		if (end === -1) {
			throw new SqlError('08P01', 'a text in a message has no end');
		}

		const text = this.bytes.toString('utf8', this.#offset, end);
		this.#offset = end + 1;
		return text;
	}

	/** Reads a string of the given length in bytes. */
	fixedString(length: number): string {
		this.#offset += length;
		return this.bytes.toString('utf8', this.#offset - length, this.#offset);
	}

	/** Reads a list that is preceded by its 16-bit element count. */
	list<Element>(read: () => Element): readonly Element[] {
		return Array.from({length: this.int16()}, read);
	}
}

/** Message from a client. The type is an empty string for a start-up packet. */
export type ClientMessage = {readonly type: string; readonly body: MessageBodyReader};

/** Splits the byte stream from a client into messages. */
export class ClientMessageReader {
	/** Whether the next message has a type byte; start-up packets have none. */
	hasTypeByte = false;
	#bytes: Buffer = Buffer.alloc(0);

	append(chunk: Buffer): void {
		this.#bytes = this.#bytes.length === 0 ? chunk : Buffer.concat([this.#bytes, chunk]);
	}

	/** Removes and returns the next complete message, or returns undefined. Throws 08P01 for an invalid length. */
	nextMessage(): ClientMessage | undefined {
		const lengthOffset = this.hasTypeByte ? 1 : 0;
		if (this.#bytes.length < lengthOffset + 4) {
			return undefined;
		}

		const end = lengthOffset + this.#bytes.readInt32BE(lengthOffset);
		if (end < lengthOffset + 4) {
			throw new SqlError('08P01', 'a message has an invalid length');
		}

		if (this.#bytes.length < end) {
			return undefined;
		}

		const body = new MessageBodyReader(this.#bytes.subarray(lengthOffset + 4, end));
		const type = this.#bytes.toString('latin1', 0, lengthOffset);
		this.#bytes = this.#bytes.subarray(end);
		return {type, body};
	}

	/** Removes and returns the bytes after the last returned message. */
	takeRemaining(): Buffer {
		const bytes = this.#bytes;
		this.#bytes = Buffer.alloc(0);
		return bytes;
	}
}

const encodeInt16 = (value: number): Buffer => {
	const bytes = Buffer.alloc(2);
	bytes.writeInt16BE(value);
	return bytes;
};

const encodeInt32 = (value: number): Buffer => {
	const bytes = Buffer.alloc(4);
	bytes.writeInt32BE(value);
	return bytes;
};

const encodeString = (value: string): Buffer => Buffer.from(`${value}\0`);

function buildMessage(type: string, ...parts: readonly Buffer[]): Buffer {
	const length = parts.reduce((sum, part) => sum + part.length, 4);
	return Buffer.concat([Buffer.from(type), encodeInt32(length), ...parts]);
}

/** Backend messages, and functions that build those with variable contents. */
export const backendMessages = {
	authenticationOk: buildMessage('R', encodeInt32(0)),
	parseComplete: buildMessage('1'),
	bindComplete: buildMessage('2'),
	closeComplete: buildMessage('3'),
	noData: buildMessage('n'),
	emptyQuery: buildMessage('I'),
	portalSuspended: buildMessage('s'),
	parameterStatus: (name: string, value: string): Buffer => buildMessage('S', encodeString(name), encodeString(value)),
	backendKeyData: (processId: number, secret: number): Buffer => buildMessage('K', encodeInt32(processId), encodeInt32(secret)),
	readyForQuery: (status: 'I' | 'T' | 'E'): Buffer => buildMessage('Z', Buffer.from(status)),
	commandComplete: (tag: string): Buffer => buildMessage('C', encodeString(tag)),
	parameterDescription: (oids: readonly number[]): Buffer => buildMessage('t', encodeInt16(oids.length), ...oids.map(oid => encodeInt32(oid))),
	rowDescription: (columns: readonly ResultColumn[]): Buffer => buildMessage('T', encodeInt16(columns.length), ...columns.flatMap(({name, typeOid}) => [
		encodeString(name), encodeInt32(0), encodeInt16(0), encodeInt32(typeOid), encodeInt16(-1), encodeInt32(-1), encodeInt16(0),
	])),
	dataRow: (values: ReadonlyArray<string | number | null>): Buffer => buildMessage('D', encodeInt16(values.length), ...values.flatMap(value => {
		const bytes = Buffer.from(String(value ?? ''));
		return value === null ? [encodeInt32(-1)] : [encodeInt32(bytes.length), bytes];
	})),
	error: (severity: 'ERROR' | 'FATAL', sqlState: string, detail: string): Buffer =>
		buildMessage('E', encodeString(`S${severity}`), encodeString(`V${severity}`), encodeString(`C${sqlState}`), encodeString(`M${detail}`), encodeString('')),
};
