import {type Buffer} from 'node:buffer';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {splitBackendMessages, type BackendMessage} from './backend-message-splitter.js';

/** One row in text format, by column name. */
export type TextRow = Readonly<Record<string, string | null>>;

/** Error reported by a backend server. */
export type BackendReportedError = {
	readonly sqlState: string;
	readonly message: string;
};

/** Returns the first error among the messages of a response, or undefined. */
export function findBackendError(messages: readonly BackendMessage[]): BackendReportedError | undefined {
	const message = messages.find(candidate => candidate.type === 'E');
	if (!message) {
		return undefined;
	}

	const fields = new Map<string, string>();
	for (const field of message.body.toString('utf8').split('\0')) {
		if (field !== '') {
			fields.set(field.charAt(0), field.slice(1));
		}
	}

	return {sqlState: fields.get('C') ?? 'XX000', message: fields.get('M') ?? ''};
}

/** Returns the first error in an undecoded response, or undefined. */
export function findErrorInResponse(bytes: Buffer): BackendReportedError | undefined {
	return findBackendError(splitBackendMessages(bytes));
}

/** Returns the rows in the response to a simple query with one statement. Throws malformedMessage. */
export function readTextRows(messages: readonly BackendMessage[]): readonly TextRow[] {
	let columns: readonly string[] = [];
	const rows: TextRow[] = [];
	for (const message of messages) {
		if (message.type === 'T') {
			columns = readColumnNames(message.body);
		} else if (message.type === 'D') {
			rows.push(readRow(message.body, columns));
		}
	}

	return rows;
}

const columnAttributesLength = 18;

function readColumnNames(body: Buffer): readonly string[] {
	const count = body.readInt16BE(0);
	const names: string[] = [];
	let offset = 2;
	for (let index = 0; index < count; index++) {
		const end = body.indexOf(0, offset);
		if (end === -1) {
			throw new BuckthornhitchError('malformedMessage', 'A column name in a RowDescription message has no terminating zero byte.');
		}

		names.push(body.toString('utf8', offset, end));
		offset = end + 1 + columnAttributesLength;
	}

	return names;
}

function readRow(body: Buffer, columns: readonly string[]): TextRow {
	const row: Record<string, string | null> = {};
	let offset = 2;
	for (const column of columns) {
		const length = body.readInt32BE(offset);
		offset += 4;
		if (length < 0) {
			row[column] = null;
			continue;
		}

		row[column] = body.toString('utf8', offset, offset + length);
		offset += length;
	}

	return row;
}
