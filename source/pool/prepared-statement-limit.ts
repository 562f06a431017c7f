import {type Buffer} from 'node:buffer';
import {headerLength} from '../postgres-protocol/frontend-messages.js';

/** Maximum number of named statements that may be prepared on a connection before they are removed. */
export const maximumStatementsOnConnection = 1000;

/** Maximum total length of the messages that prepare named statements on a connection before these are removed. */
export const maximumStatementBytesOnConnection = 4 * 1024 * 1024;

const parseType = 'P'.codePointAt(0);

/** Counts the named statements that requests have prepared on a connection. The unnamed statement is replaced by the next one and does not count. */
export class PreparedStatementCount {
	#statements = 0;
	#bytes = 0;

	/** Whether there are so many that they should be removed. Statements closed since then count as well. */
	get isAboveLimit(): boolean {
		return this.#statements > maximumStatementsOnConnection || this.#bytes > maximumStatementBytesOnConnection;
	}

	/** Counts the Parse messages of a request that name a statement. */
	add(request: Buffer): void {
		let end: number;
		for (let start = 0; start + headerLength < request.length; start = end) {
			end = start + 1 + request.readUInt32BE(start + 1);
			if (request[start] === parseType && request[start + headerLength] !== 0) {
				this.#statements++;
				this.#bytes += end - start;
			}
		}
	}

	/** Starts again from zero, after all statements have been removed. */
	reset(): void {
		this.#statements = 0;
		this.#bytes = 0;
	}
}
