import {Buffer} from 'node:buffer';
import {type TransactionStatus} from '../pool/messages.js';
import {type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Fields of an ErrorResponse message. */
export type ErrorResponseFields = {
	readonly severity: 'ERROR' | 'FATAL';
	readonly sqlState: string;
	readonly message: string;
};

const headerLength = 5;
const statusLetters: Readonly<Record<TransactionStatus, string>> = {idle: 'I', open: 'T', failed: 'E'};
const textTypeOid = 25;

/** Length of a ReadyForQuery message in bytes. */
export const readyForQueryLength = 6;

/** Builds a backend message of the given type. */
export function buildBackendMessage(type: string, contents: Buffer = Buffer.alloc(0)): Buffer {
	const bytes = Buffer.allocUnsafe(headerLength + contents.length);
	bytes.write(type, 0, 'latin1');
	bytes.writeUInt32BE(contents.length + headerLength - 1, 1);
	contents.copy(bytes, headerLength);
	return bytes;
}

/** Builds an ErrorResponse message. Zero bytes are removed from the fields, since a zero byte terminates a field. */
export function buildErrorResponse(fields: ErrorResponseFields): Buffer {
	const errorFields = [['S', fields.severity], ['V', fields.severity], ['C', fields.sqlState], ['M', fields.message]];
	const text = errorFields.map(([code, value]) => `${code}${value.replaceAll('\0', '')}\0`).join('');
	return buildBackendMessage('E', Buffer.from(`${text}\0`));
}

/** Builds the ErrorResponse message with the SQLSTATE and the message of an error of the proxy. */
export function buildProxyErrorResponse(error: BuckthornhitchError, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
	return buildErrorResponse({severity, sqlState: error.resultCode.sqlState, message: error.message});
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
export function buildBackendKeyData(processId: number, secret: number): Buffer {
	const contents = Buffer.allocUnsafe(8);
	contents.writeUInt32BE(processId, 0);
	contents.writeUInt32BE(secret, 4);
	return buildBackendMessage('K', contents);
}

/** Builds a CommandComplete message. */
export function buildCommandComplete(tag: string): Buffer {
	return buildBackendMessage('C', Buffer.from(`${tag}\0`));
}

/** Builds a RowDescription message for one text column. */
export function buildTextRowDescription(name: string): Buffer {
	const columnAttributes = Buffer.alloc(18);
	columnAttributes.writeUInt32BE(textTypeOid, 6);
	columnAttributes.writeInt16BE(-1, 10);
	columnAttributes.writeInt32BE(-1, 12);
	return buildBackendMessage('T', Buffer.concat([Buffer.from([0, 1]), Buffer.from(`${name}\0`), columnAttributes]));
}

/** Builds a DataRow message with one text value. */
export function buildTextDataRow(value: string): Buffer {
	const text = Buffer.from(value);
	const header = Buffer.alloc(6);
	header.writeUInt16BE(1, 0);
	header.writeUInt32BE(text.length, 2);
	return buildBackendMessage('D', Buffer.concat([header, text]));
}

/** ParseComplete message, the response to Parse. */
export const parseComplete = buildBackendMessage('1');
/** BindComplete message, the response to Bind. */
export const bindComplete = buildBackendMessage('2');
/** CloseComplete message, the response to Close. */
export const closeComplete = buildBackendMessage('3');
/** NoData message, the response to Describe for a statement or portal that returns no rows. */
export const noData = buildBackendMessage('n');
/** EmptyQueryResponse message, the response to an empty query string. */
export const emptyQueryResponse = buildBackendMessage('I');
/** ParameterDescription message for a statement without parameters. */
export const emptyParameterDescription = buildBackendMessage('t', Buffer.from([0, 0]));

/** Returns the transaction status from the body of a ReadyForQuery message. */
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

/** Type letter of one message in a response and its byte range there. */
export type MessageRange = {
	readonly type: string;
	readonly start: number;
	readonly end: number;
};

/** Iterates over the messages of a response. Stops before an incomplete message. */
export function * messageRanges(bytes: Buffer): Generator<MessageRange> {
	let start = 0;
	while (start + headerLength <= bytes.length) {
		const end = start + 1 + bytes.readUInt32BE(start + 1);
		if (end > bytes.length || end < start + headerLength) {
			return;
		}

		yield {type: String.fromCodePoint(bytes[start]), start, end};
		start = end;
	}
}
