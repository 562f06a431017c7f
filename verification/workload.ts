import {type Milliseconds} from '../source/clock/clock.js';
import {type Address} from '../source/links/address.js';
import {SeededRandom, type Random} from '../source/random/random.js';
import {CallerConnection, outcomeOfError, type CallerStatement} from './caller-connection.js';
import {
	valueOf, type History, type Outcome, type Sent,
} from './history.js';

/** Settings of a workload. */
export type WorkloadOptions = {
	readonly entries: ReadonlyMap<string, Address>;
	readonly database: string;
	readonly callers: number;
	readonly seed: number;
};

const statedAge: Milliseconds = 5000;
const roamShare = 0.03;
const tokenShare = 0.8;
const requestIdShare = 0.5;
const longestPause: Milliseconds = 16;
const resends = 8;
const resendPause: Milliseconds = 150;
const connectPause: Milliseconds = 50;
const finalAttempts = 40;
const recentKeys = 20;

const pause = async (duration: Milliseconds): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/** Keys of writes that lookups choose from. */
type Keys = Readonly<Record<'lookupNotice' | 'lookupPair', string[]>>;

const lookupTables = {lookupNotice: 'notice', lookupPair: 'pair', lookupRegister: 'register'} as const;
type LookupKind = keyof typeof lookupTables;

/** Bounded number of callers that roam over the entries. */
export class Workload {
	readonly #callers: readonly Caller[];
	#isStopping = false;
	#running: ReadonlyArray<Promise<void>> = [];

	constructor(private readonly options: WorkloadOptions, history: History) {
		const shared: Keys = {lookupNotice: [], lookupPair: []};
		this.#callers = Array.from({length: options.callers}, (_, index) => new Caller(`s${index + 1}`, options, history, shared));
	}

	/** Creates the tables through the first entry; repeated until the group accepts them. Rejects after many attempts. */
	async prepare(): Promise<void> {
		const tables = ['notice (key text, value text)', 'pair (key text, value text)', 'register (key text PRIMARY KEY, value text, sequence int)'];
		for (const table of tables) {
			await this.#callers[0].repeat({text: `CREATE TABLE IF NOT EXISTS ${table}`});
		}

		for (const caller of this.#callers) {
			await caller.repeat({text: `INSERT INTO register (key, value, sequence) VALUES ('${caller.session}', '${valueOf(caller.session, '0')}', 0) ON CONFLICT DO NOTHING`});
		}
	}

	/** Lets all callers work until `stop`. */
	start(): void {
		this.#running = this.#callers.map(async caller => {
			while (!this.#isStopping) {
				await caller.step();
			}
		});
	}

	/** Resolves once no request is under way. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		await Promise.all(this.#running);
	}

	/** Checks that every entry serves a write and shows it; rejects when one does not within many attempts. */
	async finish(): Promise<void> {
		for (const [index, entry] of [...this.options.entries.keys()].entries()) {
			await this.#callers[index % this.#callers.length].writeAt(entry);
		}

		await Promise.all(this.#callers.map(async caller => caller.close()));
	}
}

type CallerRequest = Omit<Sent, 'session' | 'entry' | 'maximumAge'> & Partial<Pick<Sent, 'maximumAge'>>;

/** One caller, whose session continues over its connections. */
class Caller {
	readonly #random: Random;
	readonly #own: Keys = {lookupNotice: [], lookupPair: []};
	#connection: CallerConnection | undefined;
	#token = '';
	#sequence = 0;
	#writes = 0;

	constructor(readonly session: string, private readonly options: WorkloadOptions, private readonly history: History, private readonly shared: Keys) {
		this.#random = new SeededRandom((options.seed * 1000) + Number(session.slice(1)));
	}

	/** Sends one request of a random kind. */
	async step(): Promise<void> {
		if (this.#random.fraction() < roamShare) {
			await this.close();
		}

		await pause(longestPause * this.#random.fraction());
		const connection = await this.#connect();
		if (!connection) {
			await pause(connectPause);
			return;
		}

		const draw = this.#random.fraction();
		if (draw < 0.25) {
			await this.#insert();
		} else if (draw < 0.4) {
			await this.#update(connection);
		} else if (draw < 0.52) {
			await this.#transact(connection);
		} else {
			await this.#lookUp(connection, draw < 0.65 ? 'lookupRegister' : (draw < 0.82 ? 'lookupNotice' : 'lookupPair'));
		}
	}

	/** Repeats a statement without effect on the history until it succeeds. Rejects after many attempts. */
	async repeat(statement: CallerStatement): Promise<void> {
		let failure: unknown;
		for (let attempt = 0; attempt < finalAttempts; attempt++) {
			try {
				const connection = await this.#connect();
				await connection!.query(statement);
				return;
			} catch (error) {
				failure = error;
				await pause(resendPause);
			}
		}

		throw failure;
	}

	/** Writes at the entry until a write is acknowledged, then looks it up. Rejects after many attempts. */
	async writeAt(entry: string): Promise<void> {
		for (let attempt = 0; attempt < finalAttempts; attempt++) {
			await this.close();
			const connection = await this.#connect(entry);
			const outcome = connection && await this.#update(connection);
			if (outcome?.kind === 'acknowledged' && !connection!.isLost) {
				await this.#lookUp(connection!, 'lookupRegister');
				return;
			}

			await pause(resendPause);
		}

		throw new Error(`${entry} acknowledged no write after the repair`);
	}

	async close(): Promise<void> {
		await this.#connection?.close();
	}

	async #connect(entry?: string): Promise<CallerConnection | undefined> {
		if (this.#connection && !this.#connection.isLost) {
			return this.#connection;
		}

		this.#token = this.#connection?.token ?? this.#token;
		const names = [...this.options.entries.keys()];
		const name = entry ?? names[Math.floor(names.length * this.#random.fraction())];
		const token = this.#random.fraction() < tokenShare ? this.#token : '';
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
		const requestId = this.#random.fraction() < requestIdShare ? `request-${this.options.seed}-${key}` : null;
		for (let attempt = 0; attempt < resends; attempt++) {
			const connection = await this.#connect();
			const outcome = connection && await this.#run(connection, {
				kind: 'insert', key, value: valueOf(key, 'notice'), requestId,
			}, async () => {
				await connection.query(this.#statement('INSERT INTO notice (key, value) VALUES ($1, $2)', [key, valueOf(key, 'notice')], requestId));
				return {kind: 'acknowledged'};
			});
			if (outcome && (requestId === null || outcome.kind !== 'unknown')) {
				return;
			}

			await pause(resendPause);
		}
	}

	async #update(connection: CallerConnection): Promise<Outcome> {
		const sequence = ++this.#sequence;
		const value = valueOf(this.session, String(sequence));
		// An update of unknown outcome may take effect late; the condition keeps it from replacing a later one.
		const text = `UPDATE register SET value = $1, sequence = ${sequence} WHERE key = $2 AND sequence < ${sequence}`;
		return this.#run(connection, {
			kind: 'update', key: this.session, value, requestId: null,
		}, async () => {
			await connection.query(this.#statement(text, [value, this.session], null));
			return {kind: 'acknowledged'};
		});
	}

	async #transact(connection: CallerConnection): Promise<void> {
		const key = this.#nextKey('lookupPair');
		await this.#run(connection, {
			kind: 'transaction', key, value: key, requestId: null,
		}, async () => {
			let isCommitSent = false;
			try {
				await connection.query({text: 'BEGIN'});
				for (const half of ['first', 'second']) {
					await connection.query(this.#statement('INSERT INTO pair (key, value) VALUES ($1, $2)', [key, valueOf(key, half)], null));
				}

				isCommitSent = true;
				const {command} = await connection.query({text: 'COMMIT'});
				return command === 'COMMIT' ? {kind: 'acknowledged'} : {kind: 'error', detail: `COMMIT was answered by ${command}`};
			} catch (error) {
				const outcome = outcomeOfError(error);
				await this.#leaveTransaction(connection);
				return outcome.kind === 'unknown' && !isCommitSent ? {kind: 'error', detail: `before COMMIT: ${outcome.detail}`} : outcome;
			}
		});
	}

	async #leaveTransaction(connection: CallerConnection): Promise<void> {
		if (!connection.isLost) {
			await connection.query({text: 'ROLLBACK'}).catch(() => undefined);
		}
	}

	async #lookUp(connection: CallerConnection, kind: LookupKind): Promise<void> {
		const hasAge = this.#random.fraction() < 0.4;
		const keys = kind === 'lookupRegister' ? [this.session] : (this.#random.fraction() < 0.5 ? this.#own : this.shared)[kind];
		const key = keys.at(-1 - Math.floor(this.#random.fraction() * Math.min(recentKeys, keys.length)));
		if (key === undefined) {
			return;
		}

		await this.#run(connection, {
			kind, key, value: '', requestId: null, maximumAge: hasAge ? statedAge : null,
		}, async () => {
			const prefix = hasAge ? `/*buckthornhitch max_age=${statedAge}ms*/ ` : '';
			const statement = this.#statement(`${prefix}SELECT key, value FROM ${lookupTables[kind]} WHERE key = $1`, [key], null);
			const {rows} = await connection.query(statement);
			return {kind: 'rows', rows};
		});
	}

	async #run(connection: CallerConnection, sent: CallerRequest, request: () => Promise<Outcome>): Promise<Outcome> {
		const outcome = await this.history.run({
			maximumAge: null, ...sent, session: this.session, entry: connection.entry,
		}, async () => {
			try {
				return await request();
			} catch (error) {
				return outcomeOfError(error);
			}
		});
		if (connection.isLost) {
			await this.close();
		}

		return outcome;
	}

	/** Returns the statement as a simple query, with parameters or prepared. */
	#statement(text: string, values: readonly string[], requestId: string | null): CallerStatement {
		const commented = requestId === null ? text : `/*buckthornhitch request_id=${requestId}*/ ${text}`;
		const draw = this.#random.fraction();
		if (draw < 0.3) {
			return {text: commented.replaceAll(/\$(?<index>\d)/gv, (_, index: string) => `'${values[Number(index) - 1]}'`)};
		}

		return requestId === null && draw < 0.6 && !text.includes('UPDATE') ? {text, values, name: text.slice(0, 60)} : {text: commented, values};
	}

	#nextKey(kind: keyof Keys): string {
		const key = `${this.session}-${++this.#writes}`;
		this.#own[kind].push(key);
		this.shared[kind].push(key);
		return key;
	}
}
