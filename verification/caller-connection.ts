import pg from 'pg';
import {type Milliseconds} from '../source/clock/clock.js';
import {parseAddress, type Address} from '../source/links/address.js';
import {resultCodeName, resultCodes, type ResultCodeName} from '../source/result-codes/result-codes.js';
import {type HistoryRow, type Outcome} from './history.js';

const connectTimeout: Milliseconds = 3000;
const closeTimeout: Milliseconds = 500;
/** Longer than the request deadline and the statement timeout of the tested deployment together, so that the entry answers first. */
const queryTimeout: Milliseconds = 10_000;

/** Statement that a caller sends. */
export type CallerStatement = {
	readonly text: string;
	/** Undefined for a simple query. */
	readonly values?: readonly string[];
	/** Name of a prepared statement. */
	readonly name?: string;
};

/** Connection of a caller to an entry. It keeps the latest session token that the entry reported. */
export class CallerConnection {
	/** Latest session token, or the empty text. */
	token = '';
	/** Whether the connection has ended, is being closed, or could deliver the answer to an earlier request. */
	isUnusable = false;
	readonly #client: pg.Client;

	constructor(readonly entry: string, address: Address, database: string, token: string) {
		this.#client = new pg.Client({
			...parseAddress(address),
			user: 'verification',
			database,
			connectionTimeoutMillis: connectTimeout,
			query_timeout: queryTimeout,
			...token === '' ? {} : {options: `-c buckthornhitch.token=${token}`},
		});
		this.token = token;
		const markUnusable = (): void => {
			this.isUnusable = true;
		};

		this.#client.on('error', markUnusable);
		this.#client.on('end', markUnusable);
		const {connection} = this.#client as unknown as {readonly connection: pg.Connection};
		connection.on('parameterStatus', ({parameterName, parameterValue}: {readonly parameterName: string; readonly parameterValue: string}) => {
			if (parameterName === 'buckthornhitch.token') {
				this.token = parameterValue;
			}
		});
	}

	/** Opens the connection. Rejects if the entry refuses it or cannot be reached. */
	async open(): Promise<void> {
		await this.#client.connect();
	}

	/** Runs a statement and returns its command tag and its rows, which have the columns `key` and `value`. Rejects with the error of the client. */
	async query({text, values, name}: CallerStatement): Promise<{readonly command: string; readonly rows: readonly HistoryRow[]}> {
		try {
			const {command, rows} = await this.#client.query<HistoryRow>({text, name, values: values && [...values]});
			return {command, rows};
		} catch (error) {
			// The answer to a request that timed out may still arrive and would be taken for that of the next one, so the connection is not used again.
			// After a FATAL error the server has ended the session. The end of the connection may arrive later than the error, and a request sent in between is never received.
			this.isUnusable ||= (outcomeOfError(error).kind === 'unknown' && !hasResultCode(error)) || (error as {readonly severity?: string}).severity === 'FATAL';
			throw error;
		}
	}

	/** Closes the connection; destroys the socket if the entry does not answer in time. */
	async close(): Promise<void> {
		this.isUnusable = true;
		const {stream} = (this.#client as unknown as {readonly connection: pg.Connection}).connection;
		const timer = setTimeout(() => {
			stream.destroy();
		}, closeTimeout);
		await this.#client.end().catch(() => undefined);
		clearTimeout(timer);
	}
}

function resultCodeOf(error: unknown): ResultCodeName | undefined {
	const match = /^BH(?<code>\d+):/v.exec((error as Error).message);
	return match?.groups && resultCodeName(Number(match.groups.code));
}

const hasResultCode = (error: unknown): boolean => resultCodeOf(error) !== undefined;

/** Returns the outcome of a request that ended with an error of the client. */
export function outcomeOfError(error: unknown): Outcome {
	const {message, code = ''} = error as {readonly message: string; readonly code?: string};
	const name = resultCodeOf(error);
	if (name !== undefined) {
		return resultCodes[name].execution === 'notRun' ? {kind: 'notRun', code: name} : {kind: 'unknown', detail: name};
	}

	// An SQLSTATE without a result code comes from a backend server, which rolled back. Class 08 and 57P0x mean that the connection has ended, which leaves the outcome open.
	return /^[\dA-Z]{5}$/v.test(code) && !/^(?:08|57P0)/v.test(code) ? {kind: 'error', detail: `${code} ${message}`} : {kind: 'unknown', detail: `${code} ${message}`};
}
