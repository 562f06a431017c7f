import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {parseCallerMark, withoutCallerMark} from './caller-mark.js';
import {
	backendMessages, ClientMessageReader, startupCodes, type MessageBodyReader, type ClientMessage, type ResultColumn,
} from './postgres-messages.js';
import {SessionTransaction, type TransactionHost} from './session-transaction.js';
import {SqlError} from './sql-error.js';
import {type StatementResult} from './statement-executor.js';
import {parseStatements, type ParsedStatement} from './statement-parser.js';
import {type Transaction, type Value} from './tables.js';

/** Operations of the member that a client session uses. */
export type SessionHost = TransactionHost & {
	/** Registers the session and resolves after the configured connection delay. Rejects with 53300 if the connection limit is reached. */
	addSession(session: ClientSession): Promise<void>;
	/** Removes a session that has ended. */
	removeSession(session: ClientSession): void;
	describe(statement: ParsedStatement, transaction: Transaction): readonly ResultColumn[] | undefined;
	execute(statement: ParsedStatement, values: readonly Value[], transaction: SessionTransaction): Promise<StatementResult>;
	/** Takes over a connection on which a replica has requested replication. */
	serveReplica(socket: Socket, received: Buffer): void;
};

type PreparedStatement = {readonly statement: ParsedStatement | undefined; readonly parameterTypes: readonly number[]; readonly mark: string | undefined};
type Portal = PreparedStatement & {readonly values: readonly Value[]; result?: StatementResult; sentRowCount: number};

const integerTypeOids = new Set([20, 21, 23]);
const textTypeOid = 25;
const reportedParameters = {
	server_version: '16.0', client_encoding: 'utf8', DateStyle: 'ISO, MDY', integer_datetimes: 'on', standard_conforming_strings: 'on',
} as const;

let lastProcessId = 0;

/** One client connection: protocol state, prepared statements and transaction. */
export class ClientSession {
	/** `application_name` from the start-up packet. */
	applicationName = '';
	/** Whether an error has occurred in an extended query; messages up to the next Sync are skipped then. */
	#isSkippingToSync = false;
	#isProcessing = false;
	/** Whether the connection is closed or about to be closed. */
	#isClosed = false;
	/** Whether the session has ended with a FATAL error, after which nothing is read or sent any more. */
	#isTerminated = false;
	#output: Buffer[] = [];
	readonly #reader = new ClientMessageReader();
	readonly #transaction: SessionTransaction;
	readonly #preparedStatements = new Map<string, PreparedStatement>();
	readonly #portals = new Map<string, Portal>();

	constructor(private readonly socket: Socket, private readonly host: SessionHost) {
		this.#transaction = new SessionTransaction(host);
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#reader.append(chunk);
			void this.#processMessages();
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#isClosed = true;
			void this.#processMessages();
		});
	}

	/** Closes the connection and rolls back its transaction. A statement in progress has no effect. */
	terminate(): void {
		if (!this.#isTerminated) {
			this.#isTerminated = true;
			this.#isClosed = true;
			this.#transaction.terminate();
			this.host.removeSession(this);
			this.socket.write(backendMessages.error('FATAL', '57P01', 'terminating connection due to administrator command'));
			this.socket.destroySoon();
		}
	}

	async #processMessages(): Promise<void> {
		if (this.#isProcessing) {
			return;
		}

		this.#isProcessing = true;
		try {
			for (let message = this.#reader.nextMessage(); message; message = this.#reader.nextMessage()) {
				await this.#handleMessage(message);
			}
		} catch (error) {
			this.#closeWithError(error);
		}

		this.#isProcessing = false;
		if (this.#isClosed) {
			this.#transaction.rollBack();
			this.host.removeSession(this);
		}
	}

	#closeWithError(error: unknown): void {
		const {sqlState, message} = toSqlError(error);
		this.#enqueue(backendMessages.error('FATAL', sqlState, message));
		this.#flush();
		this.#isClosed = true;
		this.#isTerminated = true;
		this.socket.destroySoon();
	}

	async #handleMessage(message: ClientMessage): Promise<void> {
		if (this.#isTerminated) {
			return;
		}

		if (!this.#reader.hasTypeByte) {
			await this.#handleStartupPacket(message.body);
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
				await this.#handleQueryMessage(message);
			}
		}
	}

	async #handleStartupPacket(body: MessageBodyReader): Promise<void> {
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
				this.#reader.hasTypeByte = true;
				this.socket.removeAllListeners('data');
				this.host.serveReplica(this.socket, this.#reader.takeRemaining());
				return;
			}

			default: {
				await this.#completeStartup(body);
			}
		}
	}

	async #completeStartup(body: MessageBodyReader): Promise<void> {
		for (let name = body.string(); name !== ''; name = body.string()) {
			const value = body.string();
			this.applicationName = name === 'application_name' ? value : this.applicationName;
		}

		await this.host.addSession(this);
		this.#reader.hasTypeByte = true;
		this.#enqueue(backendMessages.authenticationOk);
		for (const [name, value] of Object.entries(reportedParameters)) {
			this.#enqueue(backendMessages.parameterStatus(name, value));
		}

		this.#enqueue(backendMessages.backendKeyData(++lastProcessId, 0));
		this.#sendReadyForQuery();
	}

	async #handleQueryMessage(message: ClientMessage): Promise<void> {
		if (this.#isSkippingToSync) {
			return;
		}

		const isSimpleQuery = message.type === 'Q';
		try {
			await (isSimpleQuery ? this.#runSimpleQuery(message.body.string()) : this.#handleExtendedQuery(message));
		} catch (error) {
			this.#sendError(error);
			this.#isSkippingToSync = !isSimpleQuery;
		}

		if (isSimpleQuery) {
			this.#sendReadyForQuery();
		}
	}

	async #runSimpleQuery(text: string): Promise<void> {
		const statements = parseStatements(withoutCallerMark(text));
		if (statements.length === 0) {
			this.#enqueue(backendMessages.emptyQuery);
		}

		const mark = parseCallerMark(text);
		for (const [index, statement] of statements.entries()) {
			const result = await this.#execute(statement, [], mark);
			if (index === statements.length - 1) {
				this.#transaction.endImplicit();
			}

			if (result.columns) {
				this.#enqueue(backendMessages.rowDescription(result.columns));
			}

			this.#sendRows(result.rows);
			this.#enqueue(backendMessages.commandComplete(result.tag));
		}
	}

	async #handleExtendedQuery({type, body}: ClientMessage): Promise<void> {
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

	#parse(body: MessageBodyReader): void {
		const name = body.string();
		const text = body.string();
		const statements = parseStatements(withoutCallerMark(text));
		if (statements.length > 1) {
			throw new SqlError('42601', 'cannot insert multiple commands into a prepared statement');
		}

		if (name !== '' && this.#preparedStatements.has(name)) {
			throw new SqlError('42P05', `prepared statement "${name}" already exists`);
		}

		this.#preparedStatements.set(name, {statement: statements[0], parameterTypes: body.list(() => body.int32()), mark: parseCallerMark(text)});
		this.#enqueue(backendMessages.parseComplete);
	}

	#bind(body: MessageBodyReader): void {
		const portalName = body.string();
		const prepared = this.#findPreparedStatement(body.string());
		const formats = body.list(() => body.int16());
		const texts = body.list(() => {
			const length = body.int32();
			return length === -1 ? null : body.fixedString(length);
		});
		const resultFormats = body.list(() => body.int16());
		if ([...formats, ...resultFormats].some(format => format !== 0)) {
			throw new SqlError('0A000', 'the binary format is not supported');
		}

		const values = texts.map((text, index) => text !== null && integerTypeOids.has(prepared.parameterTypes[index]) ? Number(text) : text);
		this.#portals.set(portalName, {...prepared, values, sentRowCount: 0});
		this.#enqueue(backendMessages.bindComplete);
	}

	#close(body: MessageBodyReader): void {
		const names = body.fixedString(1) === 'S' ? this.#preparedStatements : this.#portals;
		names.delete(body.string());
		this.#enqueue(backendMessages.closeComplete);
	}

	#describe(body: MessageBodyReader): void {
		const kind = body.fixedString(1);
		const name = body.string();
		const {statement, parameterTypes} = kind === 'S' ? this.#findPreparedStatement(name) : this.#findPortal(name);
		if (kind === 'S') {
			this.#enqueue(backendMessages.parameterDescription(parameterTypes.map(oid => oid || textTypeOid)));
		}

		const columns = statement && this.host.describe(statement, this.#transaction.current);
		this.#enqueue(columns ? backendMessages.rowDescription(columns) : backendMessages.noData);
	}

	async #executePortal(body: MessageBodyReader): Promise<void> {
		const portal = this.#findPortal(body.string());
		const limit = body.int32() || Infinity;
		if (!portal.statement) {
			this.#enqueue(backendMessages.emptyQuery);
			return;
		}

		portal.result ??= await this.#execute(portal.statement, portal.values, portal.mark);
		const {rows, tag} = portal.result;
		this.#sendRows(rows.slice(portal.sentRowCount, portal.sentRowCount + limit));
		portal.sentRowCount += limit;
		this.#enqueue(portal.sentRowCount < rows.length ? backendMessages.portalSuspended : backendMessages.commandComplete(tag));
	}

	#findPreparedStatement(name: string): PreparedStatement {
		const prepared = this.#preparedStatements.get(name);
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

	async #execute(statement: ParsedStatement, values: readonly Value[], mark: string | undefined): Promise<StatementResult> {
		this.#transaction.checkCaller(mark);
		const endsTransaction = statement.type === 'commit' || statement.type === 'rollback';
		if (!endsTransaction) {
			this.#transaction.assertNotFailed();
		}

		if (statement.type === 'deallocate') {
			return this.#deallocate('name' in statement.target ? statement.target.name : undefined);
		}

		const result = await this.host.execute(statement, values, this.#transaction);
		if (statement.type === 'begin' || statement.type === 'start transaction') {
			this.#transaction.begin(statement.type === 'begin' && statement.writeable === 'read only');
		}

		return endsTransaction ? {tag: this.#transaction.end(statement.type === 'commit'), rows: []} : result;
	}

	/** Removes the named statement, or all of them; the unnamed one stays. */
	#deallocate(name: string | undefined): StatementResult {
		if (name !== undefined) {
			this.#findPreparedStatement(name);
		}

		for (const known of this.#preparedStatements.keys()) {
			if (known !== '' && (name === undefined || known === name)) {
				this.#preparedStatements.delete(known);
			}
		}

		return {tag: name === undefined ? 'DEALLOCATE ALL' : 'DEALLOCATE', rows: []};
	}

	#sendError(error: unknown): void {
		const {sqlState, message} = toSqlError(error);
		this.#enqueue(backendMessages.error('ERROR', sqlState, message));
		this.#transaction.markFailed();
	}

	#sync(): void {
		this.#isSkippingToSync = false;
		try {
			this.#transaction.endImplicit();
		} catch (error) {
			this.#sendError(error);
		}

		this.#sendReadyForQuery();
	}

	#sendRows(rows: ReadonlyArray<readonly Value[]>): void {
		for (const row of rows) {
			this.#enqueue(backendMessages.dataRow(row));
		}
	}

	#sendReadyForQuery(): void {
		if (this.#transaction.status === 'I') {
			this.#portals.clear();
		}

		this.#enqueue(backendMessages.readyForQuery(this.#transaction.status));
		this.#flush();
	}

	#enqueue(message: Buffer): void {
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
