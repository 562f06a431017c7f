import {Buffer} from 'node:buffer';
import {type Clock} from '../clock/clock.js';
import {type ConfigurationView} from '../configuration/configuration-view.js';
import {
	buildErrorResponse, buildProxyErrorResponse, buildParameterStatus, buildReadyForQuery, readyForQueryLength, buildTextRowDescription,
} from '../postgres-protocol/backend-messages.js';
import {readQuery, type FrontendMessage} from '../postgres-protocol/frontend-messages.js';
import {uniqueId} from '../random/random.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	classifyStatements, classifyUnit, type ClassifiedStatement, type UnitClassification,
} from '../routing/statement-classification.js';
import {leadingComment, settingsFromComment, type SessionSettings} from '../session/session-settings.js';
import {
	stateAfterFailure, stateAfterExecution, newSession, sessionStatus, requiredAccess, withSettings, type SessionState,
} from '../session/session-state.js';
import {formatSessionToken} from '../session/session-token.js';
import {type EntryAdmission} from './entry-admission.js';
import {type EntryMetrics} from './entry-metrics.js';
import {
	planBatch, parseBatchResponse, assertSupported, type LocalStep, type PreparedStatement, type PreparedStatementChange,
} from './extended-batch.js';
import {type FailureEventRecorder} from './failure-event-recorder.js';
import {type ForwardingUnit} from './forwarding-units.js';
import {
	isLocalStatement, runLocalStatement, runLocalStep, removeStatement, addStatement, type LocalContext,
} from './local-statements.js';
import {type PoolRouter, type RoutedResponse, type RoutedRequest} from './pool-router.js';
import {mayRepeat, toTransactionError} from './retry-rules.js';

/** Services shared by all sessions of an entry. */
export type SessionServices = {
	readonly clock: Clock;
	readonly configuration: ConfigurationView;
	readonly router: PoolRouter;
	readonly admission: EntryAdmission;
	readonly metrics: EntryMetrics;
	readonly failureEventRecorder: FailureEventRecorder;
};

/** Forwarding unit that gets a response: every unit except `terminate`. */
export type ExecutableUnit = Exclude<ForwardingUnit, {readonly kind: 'terminate'}>;

/** Name of the setting and of the parameter status that report the session token. */
export const tokenSettingName = 'buckthornhitch.token';

// SQLSTATE in_failed_sql_transaction.
const inFailedTransactionSqlState = '25P02';
const readyForQueryType = 'Z'.codePointAt(0);
const noStatementNames: ReadonlySet<string> = new Set();
const noStatements: ReadonlyMap<string, PreparedStatement> = new Map();

type ForwardedContent = {
	readonly bytes: Buffer;
	readonly statements: readonly ClassifiedStatement[];
	readonly comments: readonly string[];
};

/** Keeps the state of one session and executes its forwarding units, one at a time. */
export class SessionExecutor {
	#state: SessionState;
	#preparedStatements = noStatements;
	/** Names of the statements that are prepared on the connection of the open transaction. */
	#preparedOnConnection = noStatementNames;

	constructor(private readonly services: SessionServices, private readonly sessionId: string, database: string, settings: SessionSettings) {
		this.#state = newSession(database, settings);
	}

	/** Whether a pool holds an open transaction of the session. */
	get inTransaction(): boolean {
		return this.#state.transaction.kind === 'open';
	}

	/** Executes a unit and returns the complete response. */
	async execute(unit: ExecutableUnit): Promise<Buffer> {
		if (unit.kind === 'refusedBatch') {
			return this.#refuse(unit.error);
		}

		try {
			return await this.#executeUnit(unit);
		} catch (error) {
			return this.#appendReadyForQuery([this.#refuse(toBuckthornhitchError(error))]);
		}
	}

	/** Notifies the pool to roll back the open transaction, if there is one; the session then reports a failed transaction. */
	closeOpenTransaction(): void {
		const {transaction, database} = this.#state;
		if (transaction.kind === 'open') {
			this.services.router.closeTransaction(transaction.pool, database, transaction.id);
			this.#state = stateAfterFailure(this.#state, false);
			this.#preparedOnConnection = noStatementNames;
		}
	}

	async #executeUnit(unit: Exclude<ExecutableUnit, {readonly kind: 'refusedBatch'}>): Promise<Buffer> {
		switch (unit.kind) {
			case 'query': {
				return this.#executeQuery(unit.message);
			}

			case 'batch': {
				return this.#executeBatch(unit.messages, unit.sync);
			}

			case 'refusedCall': {
				throw unit.error;
			}
		}
	}

	async #executeQuery(message: FrontendMessage): Promise<Buffer> {
		const text = readQuery(message);
		const statements = classifyStatements(text);
		assertSupported(statements);
		const localStatements = statements.filter(statement => this.#isLocal(statement));
		if (localStatements.length === statements.length) {
			return this.#executeLocalQuery(statements);
		}

		if (this.#state.transaction.kind === 'lost') {
			return this.#appendReadyForQuery([buildFailedTransactionResponse()]);
		}

		if (localStatements.some(({kind}) => kind !== 'empty')) {
			throw new BuckthornhitchError('unsupportedFeature', 'Session settings and other statements must not share a query.');
		}

		const comment = leadingComment(text);
		const bytes = await this.#forward({bytes: message.bytes, statements, comments: comment === undefined ? [] : [comment]});
		// A simple query destroys the unnamed prepared statement on the server.
		this.#preparedOnConnection = withoutName(this.#preparedOnConnection, '');
		return bytes;
	}

	async #executeBatch(messages: readonly FrontendMessage[], sync: FrontendMessage): Promise<Buffer> {
		const plan = planBatch(messages, sync, {preparedStatements: this.#preparedStatements, preparedOnConnection: this.#preparedOnConnection, isLocal: statement => this.#isLocal(statement)});
		if (plan.kind === 'local') {
			return this.#executeLocalBatch(plan.steps);
		}

		if (this.#state.transaction.kind === 'lost') {
			return this.#appendReadyForQuery([buildFailedTransactionResponse()]);
		}

		const response = parseBatchResponse(await this.#forward(plan), plan);
		this.#applyStatementChanges(response.changes);
		return response.bytes;
	}

	#isLocal(statement: ClassifiedStatement): boolean {
		return isLocalStatement(statement, this.#state.transaction.kind === 'lost');
	}

	#executeLocalQuery(statements: readonly ClassifiedStatement[]): Buffer {
		const parts: Buffer[] = [];
		for (const statement of statements) {
			if (this.#isRefusedInFailedTransaction(statement)) {
				return this.#appendReadyForQuery([...parts, buildFailedTransactionResponse()]);
			}

			const result = runLocalStatement(statement, this.#localContext());
			this.#applyLocalResult(result);
			parts.push(...result.column === undefined ? [] : [buildTextRowDescription(result.column)], result.bytes);
		}

		return this.#appendReadyForQuery(parts);
	}

	#executeLocalBatch(steps: readonly LocalStep[]): Buffer {
		const parts: Buffer[] = [];
		for (const step of steps) {
			if (step.kind === 'execute' && this.#isRefusedInFailedTransaction(step.statement.statements[0])) {
				return this.#appendReadyForQuery([...parts, buildFailedTransactionResponse()]);
			}

			try {
				const result = runLocalStep(step, this.#localContext());
				this.#applyLocalResult(result);
				parts.push(result.bytes);
			} catch (error) {
				return this.#appendReadyForQuery([...parts, this.#refuse(toBuckthornhitchError(error))]);
			}
		}

		return this.#appendReadyForQuery(parts);
	}

	#isRefusedInFailedTransaction(statement: ClassifiedStatement): boolean {
		const {transaction} = this.#state;
		return transaction.kind === 'open' && transaction.status === 'failed' && statement.kind !== 'empty';
	}

	#localContext(): LocalContext {
		const {database, settings, transaction} = this.#state;
		return {
			database, settings, preparedStatements: this.#preparedStatements, transactionLost: transaction.kind === 'lost',
		};
	}

	#applyLocalResult(context: LocalContext): void {
		this.#preparedStatements = context.preparedStatements;
		this.#state = withSettings(this.#state, context.settings);
		if (this.#state.transaction.kind === 'lost' && !context.transactionLost) {
			this.#state = stateAfterFailure(this.#state, true);
		}
	}

	async #forward(forwarded: ForwardedContent): Promise<Buffer> {
		const settingsBefore = this.#state.settings;
		const classification = classifyUnit(forwarded.statements);
		const startedAt = this.services.clock.now();
		let {access} = classification;
		try {
			const request = this.#createRequest(forwarded, classification);
			access = request.access;
			if (forwarded.statements.length > 0) {
				this.#state = withSettings(this.#state, {...settingsBefore, requestId: null});
			}

			const routedResponse = await this.#send(request, classification);
			this.#applyResponse(request, routedResponse);
			this.services.metrics.countRequest(access, 'done', this.services.clock.now() - startedAt);
			return this.#insertToken(routedResponse.response.bytes, settingsBefore);
		} catch (error) {
			const failure = this.#handleFailure(toBuckthornhitchError(error), classification);
			const outcome = failure.resultCode.execution === 'notRun' ? 'notRun' : 'unknown';
			this.services.metrics.countRequest(access, outcome, this.services.clock.now() - startedAt);
			throw failure;
		}
	}

	#createRequest(forwarded: ForwardedContent, classification: UnitClassification): RoutedRequest {
		const {database, transaction} = this.#state;
		const openTransaction = transaction.kind === 'open' ? transaction : undefined;
		let {settings} = this.#state;
		for (const comment of forwarded.comments) {
			settings = settingsFromComment(settings, database, comment);
		}

		const access = requiredAccess(this.#state, classification);
		// A batch that only prepares statements leaves the request id to the batch that runs them. Reads need no request id.
		const takesRequestId = access === 'write' && forwarded.statements.length > 0;
		return {
			database,
			sessionId: this.sessionId,
			transactionId: openTransaction?.id ?? (classification.begins ? uniqueId() : null),
			access,
			bytes: forwarded.bytes,
			neededPoint: settings.token?.point ?? null,
			maximumAge: access === 'read' ? settings.maximumAge : null,
			requestId: takesRequestId ? this.#transactionRequestId() ?? settings.requestId : null,
		};
	}

	async #send(request: RoutedRequest, classification: UnitClassification): Promise<RoutedResponse> {
		const {transaction} = this.#state;
		if (transaction.kind === 'open') {
			const response = await this.services.router.executeInTransaction(transaction.pool, request);
			return {response, pool: transaction.pool, transactionId: transaction.id};
		}

		const limit = this.services.configuration.deployment()?.limits.queueLength ?? 0;
		const releaseAdmission = this.services.admission.admit(request.database, request.access, limit);
		try {
			return await this.services.router.execute(request, mayRepeat({...request, begins: classification.begins, isBeginAlone: classification.isBeginAlone}));
		} finally {
			releaseAdmission();
		}
	}

	#applyResponse(request: RoutedRequest, {response, pool, transactionId}: RoutedResponse): void {
		const {bytes, transactionStatus, point} = response;
		if (bytes[bytes.length - readyForQueryLength] !== readyForQueryType || (transactionStatus !== 'idle' && transactionId === null)) {
			if (transactionId !== null) {
				this.services.router.closeTransaction(pool, request.database, transactionId);
			}

			throw new BuckthornhitchError('internalFault', `The answer of ${pool} does not fit its request.`);
		}

		this.#state = stateAfterExecution(this.#state, {
			status: transactionStatus, point, pool, transactionId, access: request.access, requestId: request.requestId ?? this.#transactionRequestId(),
		});
		if (!this.inTransaction) {
			this.#preparedOnConnection = noStatementNames;
		}
	}

	#transactionRequestId(): string | null {
		const {transaction} = this.#state;
		return transaction.kind === 'open' ? transaction.requestId : null;
	}

	#handleFailure(error: BuckthornhitchError, classification: UnitClassification): BuckthornhitchError {
		const wasOpen = this.inTransaction;
		this.closeOpenTransaction();
		if (!wasOpen && !classification.begins) {
			this.#recordFailure(error, error);
			return error;
		}

		// After a failed BEGIN the session reports a failed transaction, so that statements pipelined after it do not run outside a transaction.
		this.#state = stateAfterFailure(this.#state, classification.ends);
		const failure = toTransactionError(error, classification.commits);
		this.#recordFailure(failure, error);
		return failure;
	}

	#recordFailure(failure: BuckthornhitchError, cause: BuckthornhitchError): void {
		if (failure.codeName === 'transactionLost' || failure.resultCode.execution !== 'notRun') {
			this.services.failureEventRecorder.record(failure, cause, this.#state.database);
		}
	}

	#refuse(error: BuckthornhitchError): Buffer {
		// As after an error from the server, an open transaction must not continue as if the statement had been executed.
		this.closeOpenTransaction();
		this.services.metrics.countRefusal(error.code);
		return buildProxyErrorResponse(error);
	}

	#applyStatementChanges(changes: readonly PreparedStatementChange[]): void {
		for (const change of changes) {
			if (change.kind === 'parsed') {
				const {statement} = change;
				// Copied, because a slice would keep the whole receive buffer in memory.
				this.#preparedStatements = addStatement(this.#preparedStatements, {...statement, parseMessage: Buffer.from(statement.parseMessage)});
			}

			if (change.kind === 'closed') {
				this.#preparedStatements = removeStatement(this.#preparedStatements, change.name);
			}

			this.#updatePreparedOnConnection(change);
		}
	}

	#updatePreparedOnConnection(change: PreparedStatementChange): void {
		if (!this.inTransaction) {
			return;
		}

		if (change.kind === 'parsed' || change.kind === 'restored') {
			this.#preparedOnConnection = new Set([...this.#preparedOnConnection, change.kind === 'parsed' ? change.statement.name : change.name]);
		} else if (change.kind === 'closed') {
			this.#preparedOnConnection = withoutName(this.#preparedOnConnection, change.name);
		}
	}

	#appendReadyForQuery(parts: readonly Buffer[]): Buffer {
		return Buffer.concat([...parts, buildReadyForQuery(sessionStatus(this.#state))]);
	}

	#insertToken(bytes: Buffer, settingsBefore: SessionSettings): Buffer {
		const {token} = this.#state.settings;
		const text = token ? formatSessionToken(token) : '';
		if (!token || (settingsBefore.token && formatSessionToken(settingsBefore.token) === text)) {
			return bytes;
		}

		const readyForQueryStart = bytes.length - readyForQueryLength;
		return Buffer.concat([bytes.subarray(0, readyForQueryStart), buildParameterStatus(tokenSettingName, text), bytes.subarray(readyForQueryStart)]);
	}
}

function buildFailedTransactionResponse(): Buffer {
	return buildErrorResponse({
		severity: 'ERROR',
		sqlState: inFailedTransactionSqlState,
		message: 'The transaction has failed; statements are refused until ROLLBACK.',
	});
}

function withoutName(names: ReadonlySet<string>, name: string): ReadonlySet<string> {
	return names.has(name) ? new Set([...names].filter(other => other !== name)) : names;
}
