import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {
	backendMessages, ClientMessageReader, startupCodes, type BodyReader, type ClientMessage, type ResultColumn,
} from './postgres-messages.js';
import {SessionTransaction, type TransactionHost} from './session-transaction.js';
import {SqlError} from './sql-error.js';
import {type Result} from './statement-executor.js';
import {parseStatements, type ParsedStatement} from './statement-parser.js';
import {type Transaction, type Value} from './tables.js';

/** What a session asks of its member. */
export type SessionHost = TransactionHost & {
	/** Takes the session in once its connection is set up. Rejects with 53300. */
	admit(session: ClientSession): Promise<void>;
	/** Forgets a session that has ended. */
	forget(session: ClientSession): void;
	describe(statement: ParsedStatement, transaction: Transaction): readonly ResultColumn[] | undefined;
	execute(statement: ParsedStatement, values: readonly Value[], transaction: SessionTransaction): Promise<Result>;
	/** Takes over a connection that starts replication. */
	serveFollower(socket: Socket, received: Buffer): void;
};

type Prepared = {readonly statement: ParsedStatement | undefined; readonly parameterTypes: readonly number[]};
type Portal = Prepared & {readonly values: readonly Value[]; result?: Result; sent: number};

const integerTypeIds = new Set([20, 21, 23]);
const textTypeId = 25;
const parameterStatuses = {
	server_version: '16.0', client_encoding: 'utf8', DateStyle: 'ISO, MDY', integer_datetimes: 'on', standard_conforming_strings: 'on',
} as const;

let lastProcessId = 0;

/** One client connection: protocol state, prepared statements and transaction. */
export class ClientSession {
	/** Name that the client gave at the start. */
	applicationName = '';
	/** Whether messages up to the next Sync are skipped after an error. */
	#isSkipping = false;
	#isPumping = false;
	#isEnded = false;
	#isTerminated = false;
	#output: Buffer[] = [];
	readonly #reader = new ClientMessageReader();
	readonly #transaction: SessionTransaction;
	readonly #prepared = new Map<string, Prepared>();
	readonly #portals = new Map<string, Portal>();

	constructor(private readonly socket: Socket, private readonly host: SessionHost) {
		this.#transaction = new SessionTransaction(host);
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#reader.add(chunk);
			void this.#pump();
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#isEnded = true;
			void this.#pump();
		});
	}

	/** Closes the connection and rolls its transaction back; a statement in progress has no effect. */
	terminate(): void {
		if (!this.#isTerminated) {
			this.#isTerminated = true;
			this.#isEnded = true;
			this.#transaction.terminate();
			this.host.forget(this);
			this.socket.write(backendMessages.error('FATAL', '57P01', 'terminating connection due to administrator command'));
			this.socket.destroySoon();
		}
	}

	async #pump(): Promise<void> {
		if (this.#isPumping) {
			return;
		}

		this.#isPumping = true;
		try {
			for (let message = this.#reader.next(); message; message = this.#reader.next()) {
				await this.#handle(message);
			}
		} catch (error) {
			this.#fatal(error);
		}

		this.#isPumping = false;
		if (this.#isEnded) {
			this.#transaction.rollBack();
			this.host.forget(this);
		}
	}

	#fatal(error: unknown): void {
		const {sqlState, message} = toSqlError(error);
		this.#send(backendMessages.error('FATAL', sqlState, message));
		this.#flush();
		this.#isEnded = true;
		this.#isTerminated = true;
		this.socket.destroySoon();
	}

	async #handle(message: ClientMessage): Promise<void> {
		if (this.#isTerminated) {
			return;
		}

		if (!this.#reader.typed) {
			await this.#startUp(message.body);
			return;
		}

		switch (message.type) {
			case 'S': {
				this.#sync();
				break;
			}

			case 'H': {
				this.#flush();
				break;
			}

			case 'X': {
				this.socket.destroySoon();
				break;
			}

			default: {
				await this.#run(message);
			}
		}
	}

	async #startUp(body: BodyReader): Promise<void> {
		const code = body.int32();
		switch (code) {
			case startupCodes.ssl:
			case startupCodes.gssEncryption: {
				this.socket.write('N');
				return;
			}

			case startupCodes.cancel: {
				this.socket.destroy();
				return;
			}

			case startupCodes.replication: {
				this.#reader.typed = true;
				this.socket.removeAllListeners('data');
				this.host.serveFollower(this.socket, this.#reader.take());
				return;
			}

			default: {
				await this.#authenticate(body);
			}
		}
	}

	async #authenticate(body: BodyReader): Promise<void> {
		for (let name = body.text(); name !== ''; name = body.text()) {
			const value = body.text();
			this.applicationName = name === 'application_name' ? value : this.applicationName;
		}

		await this.host.admit(this);
		this.#reader.typed = true;
		this.#send(backendMessages.authenticationOk);
		for (const [name, value] of Object.entries(parameterStatuses)) {
			this.#send(backendMessages.parameterStatus(name, value));
		}

		this.#send(backendMessages.backendKeyData(++lastProcessId, 0));
		this.#ready();
	}

	async #run(message: ClientMessage): Promise<void> {
		if (this.#isSkipping) {
			return;
		}

		const isQuery = message.type === 'Q';
		try {
			await (isQuery ? this.#query(message.body.text()) : this.#extended(message));
		} catch (error) {
			this.#fail(error);
			this.#isSkipping = !isQuery;
		}

		if (isQuery) {
			this.#ready();
		}
	}

	async #query(text: string): Promise<void> {
		const statements = parseStatements(text);
		if (statements.length === 0) {
			this.#send(backendMessages.emptyQuery);
		}

		for (const [index, statement] of statements.entries()) {
			const result = await this.#execute(statement, []);
			if (index === statements.length - 1) {
				this.#transaction.finishImplicit();
			}

			if (result.columns) {
				this.#send(backendMessages.rowDescription(result.columns));
			}

			this.#sendRows(result.rows);
			this.#send(backendMessages.commandComplete(result.tag));
		}
	}

	async #extended({type, body}: ClientMessage): Promise<void> {
		const handlers: Readonly<Record<string, () => void | Promise<void>>> = {
			P: () => {
				this.#parse(body);
			},
			B: () => {
				this.#bind(body);
			},
			C: () => {
				this.#close(body);
			},
			D: () => {
				this.#describe(body);
			},
			E: async () => this.#executePortal(body),
		};
		if (!(type in handlers)) {
			throw new SqlError('08P01', `message type "${type}" is not supported`);
		}

		await handlers[type]();
	}

	#parse(body: BodyReader): void {
		const name = body.text();
		const statements = parseStatements(body.text());
		if (statements.length > 1) {
			throw new SqlError('42601', 'cannot insert multiple commands into a prepared statement');
		}

		if (name !== '' && this.#prepared.has(name)) {
			throw new SqlError('42P05', `prepared statement "${name}" already exists`);
		}

		this.#prepared.set(name, {statement: statements[0], parameterTypes: body.list(() => body.int32())});
		this.#send(backendMessages.parseComplete);
	}

	#bind(body: BodyReader): void {
		const portalName = body.text();
		const prepared = this.#findPrepared(body.text());
		const formats = body.list(() => body.int16());
		const texts = body.list(() => {
			const length = body.int32();
			return length === -1 ? null : body.fixedText(length);
		});
		const resultFormats = body.list(() => body.int16());
		if ([...formats, ...resultFormats].some(format => format !== 0)) {
			throw new SqlError('0A000', 'the binary format is not supported');
		}

		const values = texts.map((text, index) => text !== null && integerTypeIds.has(prepared.parameterTypes[index]) ? Number(text) : text);
		this.#portals.set(portalName, {...prepared, values, sent: 0});
		this.#send(backendMessages.bindComplete);
	}

	#close(body: BodyReader): void {
		const names = body.fixedText(1) === 'S' ? this.#prepared : this.#portals;
		names.delete(body.text());
		this.#send(backendMessages.closeComplete);
	}

	#describe(body: BodyReader): void {
		const kind = body.fixedText(1);
		const name = body.text();
		const {statement, parameterTypes} = kind === 'S' ? this.#findPrepared(name) : this.#findPortal(name);
		if (kind === 'S') {
			this.#send(backendMessages.parameterDescription(parameterTypes.map(id => id || textTypeId)));
		}

		const columns = statement && this.host.describe(statement, this.#transaction.current);
		this.#send(columns ? backendMessages.rowDescription(columns) : backendMessages.noData);
	}

	async #executePortal(body: BodyReader): Promise<void> {
		const portal = this.#findPortal(body.text());
		const limit = body.int32() || Infinity;
		if (!portal.statement) {
			this.#send(backendMessages.emptyQuery);
			return;
		}

		portal.result ??= await this.#execute(portal.statement, portal.values);
		const {rows, tag} = portal.result;
		this.#sendRows(rows.slice(portal.sent, portal.sent + limit));
		portal.sent += limit;
		this.#send(portal.sent < rows.length ? backendMessages.portalSuspended : backendMessages.commandComplete(tag));
	}

	#findPrepared(name: string): Prepared {
		const prepared = this.#prepared.get(name);
		if (!prepared) {
			throw new SqlError('26000', `prepared statement "${name}" does not exist`);
		}

		return prepared;
	}

	#findPortal(name: string): Portal {
		const portal = this.#portals.get(name);
		if (!portal) {
			throw new SqlError('34000', `portal "${name}" does not exist`);
		}

		return portal;
	}

	async #execute(statement: ParsedStatement, values: readonly Value[]): Promise<Result> {
		const isEnd = statement.type === 'commit' || statement.type === 'rollback';
		if (!isEnd) {
			this.#transaction.assertNotFailed();
		}

		const result = await this.host.execute(statement, values, this.#transaction);
		if (statement.type === 'begin' || statement.type === 'start transaction') {
			this.#transaction.begin(statement.type === 'begin' && statement.writeable === 'read only');
		}

		return isEnd ? {tag: this.#transaction.finish(statement.type === 'commit'), rows: []} : result;
	}

	#fail(error: unknown): void {
		const {sqlState, message} = toSqlError(error);
		this.#send(backendMessages.error('ERROR', sqlState, message));
		this.#transaction.fail();
	}

	#sync(): void {
		this.#isSkipping = false;
		try {
			this.#transaction.finishImplicit();
		} catch (error) {
			this.#fail(error);
		}

		this.#ready();
	}

	#sendRows(rows: ReadonlyArray<readonly Value[]>): void {
		for (const row of rows) {
			this.#send(backendMessages.dataRow(row));
		}
	}

	#ready(): void {
		if (this.#transaction.status === 'I') {
			this.#portals.clear();
		}

		this.#send(backendMessages.readyForQuery(this.#transaction.status));
		this.#flush();
	}

	#send(message: Buffer): void {
		this.#output.push(message);
	}

	#flush(): void {
		if (!this.socket.destroyed && !this.#isTerminated) {
			this.socket.write(Buffer.concat(this.#output));
		}

		this.#output = [];
	}
}

function toSqlError(error: unknown): SqlError {
	return error instanceof SqlError ? error : new SqlError('XX000', String(error));
}
