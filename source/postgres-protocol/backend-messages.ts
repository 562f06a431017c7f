import {Buffer} from 'node:buffer';
import {type TransactionStatus} from '../pool/messages.js';
import {type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Fields of an ErrorResponse. */
export type ErrorResponseFields = {
	readonly severity: 'ERROR' | 'FATAL';
	readonly sqlState: string;
	readonly message: string;
};

const headerBytes = 5;
const statusLetters: Readonly<Record<TransactionStatus, string>> = {idle: 'I', open: 'T', failed: 'E'};
const textTypeNumber = 25;

/** Bytes of a ReadyForQuery message. */
export const readyForQueryLength = 6;

/** Builds a backend message of any type. */
export function buildBackendMessage(type: string, contents: Buffer = Buffer.alloc(0)): Buffer {
	const bytes = Buffer.allocUnsafe(headerBytes + contents.length);
	bytes.write(type, 0, 'latin1');
	bytes.writeUInt32BE(contents.length + headerBytes - 1, 1);
	contents.copy(bytes, headerBytes);
	return bytes;
}

/** Builds an ErrorResponse; zero bytes in a field are left out, as they would end it early. */
export function buildErrorResponse(fields: ErrorResponseFields): Buffer {
	const parts = [['S', fields.severity], ['V', fields.severity], ['C', fields.sqlState], ['M', fields.message]];
	const text = parts.map(([code, value]) => `${code}${value.replaceAll('\0', '')}\0`).join('');
	return buildBackendMessage('E', Buffer.from(`${text}\0`));
}

/** Builds the ErrorResponse of a numbered error. */
export function buildNumberedErrorResponse(error: BuckthornhitchError, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
	return buildErrorResponse({severity, sqlState: error.entry.sqlState, message: error.message});
}

/** Builds a ReadyForQuery message. */
export function buildReadyForQuery(status: TransactionStatus): Buffer {
	return buildBackendMessage('Z', Buffer.from(statusLetters[status]));
}

/** Builds a ParameterStatus message. */
export function buildParameterStatus(name: string, value: string): Buffer {
	return buildBackendMessage('S', Buffer.from(`${name}\0${value}\0`));
}

/** Builds a BackendKeyData message. */
export function buildBackendKeyData(processNumber: number, secret: number): Buffer {
	const contents = Buffer.allocUnsafe(8);
	contents.writeUInt32BE(processNumber, 0);
	contents.writeUInt32BE(secret, 4);
	return buildBackendMessage('K', contents);
}

/** Builds a CommandComplete message. */
export function buildCommandComplete(tag: string): Buffer {
	return buildBackendMessage('C', Buffer.from(`${tag}\0`));
}

/** Builds a RowDescription with one text column. */
export function buildTextRowDescription(name: string): Buffer {
	const numbers = Buffer.alloc(18);
	numbers.writeUInt32BE(textTypeNumber, 6);
	numbers.writeInt16BE(-1, 10);
	numbers.writeInt32BE(-1, 12);
	return buildBackendMessage('T', Buffer.concat([Buffer.from([0, 1]), Buffer.from(`${name}\0`), numbers]));
}

/** Builds a DataRow with one text value. */
export function buildTextDataRow(value: string): Buffer {
	const text = Buffer.from(value);
	const head = Buffer.alloc(6);
	head.writeUInt16BE(1, 0);
	head.writeUInt32BE(text.length, 2);
	return buildBackendMessage('D', Buffer.concat([head, text]));
}

/** Answer to Parse. */
export const parseComplete = buildBackendMessage('1');
/** Answer to Bind. */
export const bindComplete = buildBackendMessage('2');
/** Answer to Close. */
export const closeComplete = buildBackendMessage('3');
/** Answer to Describe of something without rows. */
export const noData = buildBackendMessage('n');
/** Answer to an empty query. */
export const emptyQueryResponse = buildBackendMessage('I');
/** Answer to Describe of a statement without parameters. */
export const emptyParameterDescription = buildBackendMessage('t', Buffer.from([0, 0]));

/** Returns the transaction status in the body of a ReadyForQuery message. */
export function readTransactionStatus(body: Buffer): TransactionStatus {
	switch (body.toString('latin1', 0, 1)) {
		case 'T': {
			return 'open';
		}

		case 'E': {
			return 'failed';
		}

		default: {
			return 'idle';
		}
	}
}

/** One message of an answer: its type letter and its place in the answer. */
export type MessageRange = {
	readonly type: string;
	readonly start: number;
	readonly end: number;
};

/** Returns the messages of an answer one by one; stops before an incomplete one. */
export function * messageRanges(bytes: Buffer): Generator<MessageRange> {
	let start = 0;
	while (start + headerBytes <= bytes.length) {
		const end = start + 1 + bytes.readUInt32BE(start + 1);
		if (end > bytes.length || end < start + headerBytes) {
			return;
		}

		yield {type: String.fromCodePoint(bytes[start]), start, end};
		start = end;
	}
}
