import pg from 'pg';
import {type Milliseconds} from '../source/clock/clock.js';
import {parseAddress, type Address} from '../source/links/address.js';
import {resultCodeName, resultCodes, type ResultCodeName} from '../source/result-codes/result-codes.js';
import {type HistoryRow, type Outcome} from './history.js';

const connectTimeout: Milliseconds = 3000;
const closeTimeout: Milliseconds = 500;
/** Longer than the request deadline and the statement timeout of the verified deployment together. */
const queryTimeout: Milliseconds = 10_000;

/** A statement as a caller sends it. */
export type CallerStatement = {
	readonly text: string;
	/** Undefined for a simple query. */
	readonly values?: readonly string[];
	/** Name of a prepared statement. */
	readonly name?: string;
};

/** One connection of a caller to an entry, which notes the session token. */
export class CallerConnection {
	token = '';
	isLost = false;
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
		const lose = (): void => {
			this.isLost = true;
		};

		this.#client.on('error', lose);
		this.#client.on('end', lose);
		const {connection} = this.#client as unknown as {readonly connection: pg.Connection};
		connection.on('parameterStatus', ({parameterName, parameterValue}: {readonly parameterName: string; readonly parameterValue: string}) => {
			if (parameterName === 'buckthornhitch.token') {
				this.token = parameterValue;
			}
		});
	}

	/** Rejects when the entry refuses or cannot be reached. */
	async open(): Promise<void> {
		await this.#client.connect();
	}

	/** Runs a statement and returns its tag and rows, whose columns are `key` and `value`. Rejects as the client does. */
	async query({text, values, name}: CallerStatement): Promise<{readonly command: string; readonly rows: readonly HistoryRow[]}> {
		try {
			const {command, rows} = await this.#client.query<HistoryRow>({text, name, values: values && [...values]});
			return {command, rows};
		} catch (error) {
			// The answer to a request that timed out may still arrive, so the connection is of no more use.
			this.isLost ||= outcomeOfError(error).kind === 'unknown' && !isNumbered(error);
			throw error;
		}
	}

	/** Closes the connection, at once when the entry does not answer in time. */
	async close(): Promise<void> {
		this.isLost = true;
		const {stream} = (this.#client as unknown as {readonly connection: pg.Connection}).connection;
		const timer = setTimeout(() => {
			stream.destroy();
		}, closeTimeout);
		await this.#client.end().catch(() => undefined);
		clearTimeout(timer);
	}
}

function numberedCode(error: unknown): ResultCodeName | undefined {
	const match = /^BH(?<code>\d+):/v.exec((error as Error).message);
	return match?.groups && resultCodeName(Number(match.groups.code));
}

const isNumbered = (error: unknown): boolean => numberedCode(error) !== undefined;

/** Returns what an error of the client says about its request. */
export function outcomeOfError(error: unknown): Outcome {
	const {message, code = ''} = error as {readonly message: string; readonly code?: string};
	const name = numberedCode(error);
	if (name !== undefined) {
		return resultCodes[name].execution === 'notRun' ? {kind: 'notRun', code: name} : {kind: 'unknown', detail: name};
	}

	// An SQLSTATE without a numbered code is the answer of a backend server, which rolled back; class 08 and 57P0x end the connection.
	return /^[\dA-Z]{5}$/v.test(code) && !/^(?:08|57P0)/v.test(code) ? {kind: 'error', detail: `${code} ${message}`} : {kind: 'unknown', detail: `${code} ${message}`};
}
