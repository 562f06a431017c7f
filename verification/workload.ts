import {type Milliseconds} from '../source/clock/clock.js';
import {type Address} from '../source/links/address.js';
import {SeededRandom, type Random} from '../source/random/random.js';
import {formatCallerMark} from '../stand-in/caller-mark.js';
import {CallerConnection, outcomeOfError, type CallerStatement} from './caller-connection.js';
import {
	writtenValue, type History, type Outcome, type SentRequest,
} from './history.js';

/** Settings of a workload. */
export type WorkloadOptions = {
	readonly entries: ReadonlyMap<string, Address>;
	readonly database: string;
	readonly callerCount: number;
	readonly seed: number;
};

const lookupMaximumAge: Milliseconds = 5000;
/** Probability that a caller reconnects, to an entry chosen at random, before a request. */
const reconnectProbability = 0.03;
/** Probability that a new connection continues the session by its token. */
const tokenProbability = 0.8;
/** Probability that an insert carries a request id and is retried after an unknown outcome. */
const requestIdProbability = 0.5;
const maximumRequestInterval: Milliseconds = 16;
const insertAttempts = 8;
const retryDelay: Milliseconds = 150;
const reconnectDelay: Milliseconds = 50;
/** Attempts of one statement in the preparation, or of one write in the final check of an entry, before it rejects. */
const maximumAttempts = 40;
/** Lookups choose among this many of the latest keys. */
const recentKeyCount = 20;

const delay = async (duration: Milliseconds): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/** Keys of earlier writes that lookups choose from. */
type WrittenKeys = Readonly<Record<'lookupNotice' | 'lookupPair', string[]>>;

const lookupTables = {lookupNotice: 'notice', lookupPair: 'pair', lookupRegister: 'register'} as const;
type LookupKind = keyof typeof lookupTables;

/** Load of a fixed number of callers, which switch between the entries. */
export class Workload {
	readonly #callers: readonly WorkloadCaller[];
	#isStopping = false;
	#running: ReadonlyArray<Promise<void>> = [];

	constructor(private readonly options: WorkloadOptions, history: History) {
		const sharedKeys: WrittenKeys = {lookupNotice: [], lookupPair: []};
		this.#callers = Array.from({length: options.callerCount}, (_, index) => new WorkloadCaller(`s${index + 1}`, options, history, sharedKeys));
	}

	/** Creates the tables and the callers' rows in `register`; retries until the group accepts them. Resolves once a lookup of the stated age must see the tables. Rejects after `maximumAttempts` failures of one statement. */
	async prepare(): Promise<void> {
		const tables = ['notice (key text, value text)', 'pair (key text, value text)', 'register (key text PRIMARY KEY, value text, sequence int)'];
		for (const table of tables) {
			await this.#callers[0].runUntilAccepted({text: `CREATE TABLE IF NOT EXISTS ${table}`});
		}

		const createdAt = performance.now();
		for (const caller of this.#callers) {
			await caller.runUntilAccepted({text: `INSERT INTO register (key, value, sequence) VALUES ('${caller.session}', '${writtenValue(caller.session, '0')}', 0) ON CONFLICT DO NOTHING`});
		}

		// Until then, a lookup of the stated age may be served from before the tables were created.
		await delay(Math.max(0, createdAt + lookupMaximumAge - performance.now()));
	}

	/** Starts the load, which runs until `stop`. */
	start(): void {
		this.#running = this.#callers.map(async caller => {
			while (!this.#isStopping) {
				await caller.sendRandomRequest();
			}
		});
	}

	/** Stops the load and resolves once no request is in progress. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		await Promise.all(this.#running);
	}

	/** Checks that every entry serves a write and then shows it, and closes the connections. Rejects if an entry acknowledges no write in `maximumAttempts` attempts. */
	async checkEntriesAndClose(): Promise<void> {
		for (const [index, entry] of [...this.options.entries.keys()].entries()) {
			await this.#callers[index % this.#callers.length].writeAt(entry);
		}

		await Promise.all(this.#callers.map(async caller => caller.close()));
	}
}

/** Request without the fields that the caller and its connection determine. */
type CallerRequest = Omit<SentRequest, 'session' | 'entry' | 'maximumAge'> & Partial<Pick<SentRequest, 'maximumAge'>>;

/** Caller whose session continues over its connections. */
class WorkloadCaller {
	readonly #random: Random;
	readonly #ownKeys: WrittenKeys = {lookupNotice: [], lookupPair: []};
	#connection: CallerConnection | undefined;
	#token = '';
	#sequence = 0;
	#keyCount = 0;
	#transactionCount = 0;
	/** Mark of the statements in the open transaction. */
	#transactionMark: string | undefined;

	constructor(readonly session: string, private readonly options: WorkloadOptions, private readonly history: History, private readonly sharedKeys: WrittenKeys) {
		this.#random = new SeededRandom((options.seed * 1000) + Number(session.slice(1)));
	}

	/** Sends one request of a random kind. */
	async sendRandomRequest(): Promise<void> {
		if (this.#random.fraction() < reconnectProbability) {
			await this.close();
		}

		await delay(maximumRequestInterval * this.#random.fraction());
		const connection = await this.#connect();
		if (!connection) {
			await delay(reconnectDelay);
			return;
		}

		const fraction = this.#random.fraction();
		if (fraction < 0.25) {
			await this.#insert();
		} else if (fraction < 0.4) {
			await this.#update(connection);
		} else if (fraction < 0.52) {
			await this.#runTransaction(connection);
		} else {
			await this.#lookUp(connection, fraction < 0.65 ? 'lookupRegister' : (fraction < 0.82 ? 'lookupNotice' : 'lookupPair'));
		}
	}

	/** Runs a statement, which is not recorded in the history, until it succeeds. Rejects after `maximumAttempts` attempts. */
	async runUntilAccepted(statement: CallerStatement): Promise<void> {
		let failure: unknown;
		for (let attempt = 0; attempt < maximumAttempts; attempt++) {
			try {
				const connection = await this.#connect();
				await connection!.query(statement);
				return;
			} catch (error) {
				failure = error;
				await delay(retryDelay);
			}
		}

		throw failure;
	}

	/** Sends updates to the entry until one is acknowledged, then looks it up. Rejects after `maximumAttempts` attempts. */
	async writeAt(entry: string): Promise<void> {
		for (let attempt = 0; attempt < maximumAttempts; attempt++) {
			await this.close();
			const connection = await this.#connect(entry);
			const outcome = connection && await this.#update(connection);
			if (outcome?.kind === 'acknowledged' && !connection!.isUnusable) {
				await this.#lookUp(connection!, 'lookupRegister');
				return;
			}

			await delay(retryDelay);
		}

		throw new Error(`${entry} acknowledged no write after the repair`);
	}

	/** Closes the connection, if there is one. */
	async close(): Promise<void> {
		await this.#connection?.close();
	}

	async #connect(entry?: string): Promise<CallerConnection | undefined> {
		if (this.#connection && !this.#connection.isUnusable) {
			return this.#connection;
		}

		this.#token = this.#connection?.token ?? this.#token;
		const names = [...this.options.entries.keys()];
		const name = entry ?? names[Math.floor(names.length * this.#random.fraction())];
		const token = this.#random.fraction() < tokenProbability ? this.#token : '';
		const connection = new CallerConnection(name, this.options.entries.get(name)!, this.options.database, token);
		try {
			await connection.open();
			this.#connection = connection;
			return connection;
		} catch {
			void connection.close();
			return undefined;
		}
	}

	async #insert(): Promise<void> {
		const key = this.#nextKey('lookupNotice');
		const requestId = this.#random.fraction() < requestIdProbability ? `request-${this.options.seed}-${key}` : null;
		for (let attempt = 0; attempt < insertAttempts; attempt++) {
			const connection = await this.#connect();
			const outcome = connection && await this.#recordRequest(connection, {
				kind: 'insert', key, value: writtenValue(key, 'notice'), requestId,
			}, async () => {
				await connection.query(this.#statement('INSERT INTO notice (key, value) VALUES ($1, $2)', [key, writtenValue(key, 'notice')], requestId));
				return {kind: 'acknowledged'};
			});
			if (outcome && (requestId === null || outcome.kind !== 'unknown')) {
				return;
			}

			await delay(retryDelay);
		}
	}

	async #update(connection: CallerConnection): Promise<Outcome> {
		const sequence = ++this.#sequence;
		const value = writtenValue(this.session, String(sequence));
		// An update of unknown outcome may take effect late; the condition keeps it from overwriting a later one.
		const text = `UPDATE register SET value = $1, sequence = ${sequence} WHERE key = $2 AND sequence < ${sequence}`;
		return this.#recordRequest(connection, {
			kind: 'update', key: this.session, value, requestId: null,
		}, async () => {
			await connection.query(this.#statement(text, [value, this.session], null));
			return {kind: 'acknowledged'};
		});
	}

	async #runTransaction(connection: CallerConnection): Promise<void> {
		const key = this.#nextKey('lookupPair');
		await this.#recordRequest(connection, {
			kind: 'transaction', key, value: key, requestId: null,
		}, async () => {
			let isCommitSent = false;
			this.#transactionMark = `${this.session}.t${++this.#transactionCount}`;
			try {
				await connection.query({text: 'BEGIN'});
				for (const part of ['first', 'second']) {
					await connection.query(this.#statement('INSERT INTO pair (key, value) VALUES ($1, $2)', [key, writtenValue(key, part)], null));
				}

				isCommitSent = true;
				const {command} = await connection.query({text: 'COMMIT'});
				return command === 'COMMIT' ? {kind: 'acknowledged'} : {kind: 'error', detail: `COMMIT was answered by ${command}`};
			} catch (error) {
				const outcome = outcomeOfError(error);
				await this.#rollBackTransaction(connection);
				return outcome.kind === 'unknown' && !isCommitSent ? {kind: 'error', detail: `before COMMIT: ${outcome.detail}`} : outcome;
			} finally {
				this.#transactionMark = undefined;
			}
		});
	}

	async #rollBackTransaction(connection: CallerConnection): Promise<void> {
		if (!connection.isUnusable) {
			await connection.query({text: 'ROLLBACK'}).catch(() => undefined);
		}
	}

	async #lookUp(connection: CallerConnection, kind: LookupKind): Promise<void> {
		const hasMaximumAge = this.#random.fraction() < 0.4;
		const keys = kind === 'lookupRegister' ? [this.session] : (this.#random.fraction() < 0.5 ? this.#ownKeys : this.sharedKeys)[kind];
		const key = keys.at(-1 - Math.floor(this.#random.fraction() * Math.min(recentKeyCount, keys.length)));
		if (key === undefined) {
			return;
		}

		await this.#recordRequest(connection, {
			kind, key, value: '', requestId: null, maximumAge: hasMaximumAge ? lookupMaximumAge : null,
		}, async () => {
			const prefix = hasMaximumAge ? `/*buckthornhitch max_age=${lookupMaximumAge}ms*/ ` : '';
			const statement = this.#statement(`${prefix}SELECT key, value FROM ${lookupTables[kind]} WHERE key = $1`, [key], null);
			const {rows} = await connection.query(statement);
			return {kind: 'rows', rows};
		});
	}

	async #recordRequest(connection: CallerConnection, sent: CallerRequest, request: () => Promise<Outcome>): Promise<Outcome> {
		const outcome = await this.history.record({
			maximumAge: null, ...sent, session: this.session, entry: connection.entry,
		}, async () => {
			try {
				return await request();
			} catch (error) {
				return outcomeOfError(error);
			}
		});
		if (connection.isUnusable) {
			await this.close();
		}

		return outcome;
	}

	/** Returns the statement as a simple query, with parameters, or prepared, chosen at random. Statements that are not prepared carry the mark of the caller. Updates and statements with a request id are not prepared, since their text changes each time. */
	#statement(text: string, values: readonly string[], requestId: string | null): CallerStatement {
		const mark = formatCallerMark(this.#transactionMark ?? this.session);
		const sentText = requestId === null ? `${text} ${mark}` : `/*buckthornhitch request_id=${requestId}*/ ${text} ${mark}`;
		const fraction = this.#random.fraction();
		if (fraction < 0.3) {
			return {text: sentText.replaceAll(/\$(?<index>\d)/gv, (_, index: string) => `'${values[Number(index) - 1]}'`)};
		}

		return requestId === null && fraction < 0.6 && !text.includes('UPDATE') ? {text, values, name: text.slice(0, 60)} : {text: sentText, values};
	}

	#nextKey(kind: keyof WrittenKeys): string {
		const key = `${this.session}-${++this.#keyCount}`;
		this.#ownKeys[kind].push(key);
		this.sharedKeys[kind].push(key);
		return key;
	}
}
