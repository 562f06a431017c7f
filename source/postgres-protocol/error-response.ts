import {Buffer} from 'node:buffer';
import {type TransactionStatus} from '../pool/messages.js';
import {type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Fields of an ErrorResponse. */
export type ErrorResponseFields = {
	readonly severity: 'ERROR' | 'FATAL';
	readonly sqlState: string;
	readonly message: string;
};

const statusBytes: Readonly<Record<TransactionStatus, string>> = {idle: 'I', open: 'T', failed: 'E'};

/** Returns one protocol message of the type with the content. */
export function buildMessage(type: string, body: Buffer): Buffer {
	const header = Buffer.alloc(5);
	header.write(type, 0, 'latin1');
	header.writeInt32BE(body.length + 4, 1);
	return Buffer.concat([header, body]);
}

/** Returns an ErrorResponse message. */
export function buildErrorResponse(fields: ErrorResponseFields): Buffer {
	const parts = [`S${fields.severity}`, `V${fields.severity}`, `C${fields.sqlState}`, `M${fields.message}`];
	return buildMessage('E', Buffer.from(parts.map(part => `${part}\0`).join('') + '\0'));
}

/** Returns the ErrorResponse for an error with a numbered code. */
export function buildNumberedErrorResponse(error: BuckthornhitchError, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
	return buildErrorResponse({severity, sqlState: error.entry.sqlState, message: error.message});
}

/** Returns a ReadyForQuery message. */
export function buildReadyForQuery(status: TransactionStatus): Buffer {
	return buildMessage('Z', Buffer.from(statusBytes[status]));
}

/** Returns a CommandComplete message with the tag, for example `INSERT 0 1`. */
export function buildCommandComplete(tag: string): Buffer {
	return buildMessage('C', Buffer.from(`${tag}\0`));
}

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
