import {Buffer} from 'node:buffer';
import {type Clock} from '../clock/clock.js';
import {type ConfigurationSource} from '../configuration/configuration-source.js';
import {
	buildErrorResponse, buildNumberedErrorResponse, buildParameterStatus, buildReadyForQuery, readyForQueryLength, buildTextRowDescription,
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
	planBatch, readBatchAnswer, refuseUnsupported, type LocalStep, type PreparedStatement, type StoreChange,
} from './extended-batch.js';
import {type FailureEvents} from './failure-events.js';
import {type ForwardingUnit} from './forwarding-units.js';
import {
	isLocalStatement, runLocalStatement, runLocalStep, withoutStatement, withStatement, type LocalContext,
} from './local-statements.js';
import {type PoolRouter, type RoutedAnswer, type RoutedRequest} from './pool-router.js';
import {mayRepeat, transactionError} from './retry-rules.js';

/** Services that all sessions of an entry share. */
export type SessionServices = {
	readonly clock: Clock;
	readonly configuration: ConfigurationSource;
	readonly router: PoolRouter;
	readonly admission: EntryAdmission;
	readonly metrics: EntryMetrics;
	readonly failureEvents: FailureEvents;
};

/** Unit that is answered, as opposed to the end of the session. */
export type AnsweredUnit = Exclude<ForwardingUnit, {readonly kind: 'terminate'}>;

/** Setting that reports the token. */
export const tokenSetting = 'buckthornhitch.token';

const failedTransactionState = '25P02';
const readyForQueryType = 'Z'.codePointAt(0);
const noNames: ReadonlySet<string> = new Set();
const noStatements: ReadonlyMap<string, PreparedStatement> = new Map();

type Forwarded = {
	readonly bytes: Buffer;
	readonly statements: readonly ClassifiedStatement[];
	readonly comments: readonly string[];
};

/** State of one session and the answers to its units, one at a time. */
export class SessionExecutor {
	#state: SessionState;
	#prepared = noStatements;
	/** Names prepared on the connection of the open transaction. */
	#held = noNames;

	constructor(private readonly services: SessionServices, private readonly id: string, database: string, settings: SessionSettings) {
		this.#state = newSession(database, settings);
	}

	/** Whether a pool holds a transaction of the session. */
	get inTransaction(): boolean {
		return this.#state.transaction.kind === 'open';
	}

	/** Returns the complete answer to a unit. */
	async answer(unit: AnsweredUnit): Promise<Buffer> {
		if (unit.kind === 'refusedBatch') {
			return this.#refusal(unit.error);
		}

		try {
			return await this.#answerUnit(unit);
		} catch (error) {
			return this.#withReady([this.#refusal(toBuckthornhitchError(error))]);
		}
	}

	/** Closes an open transaction at its pool. */
	giveUpTransaction(): void {
		const {transaction, database} = this.#state;
		if (transaction.kind === 'open') {
			this.services.router.closeTransaction(transaction.pool, database, transaction.id);
			this.#state = stateAfterFailure(this.#state, false);
			this.#held = noNames;
		}
	}

	async #answerUnit(unit: Exclude<AnsweredUnit, {readonly kind: 'refusedBatch'}>): Promise<Buffer> {
		switch (unit.kind) {
			case 'query': {
				return this.#answerQuery(unit.message);
			}

			case 'batch': {
				return this.#answerBatch(unit.messages, unit.sync);
			}

			case 'refusedCall': {
				throw unit.error;
			}
		}
	}

	async #answerQuery(message: FrontendMessage): Promise<Buffer> {
		const text = readQuery(message);
		const statements = classifyStatements(text);
		refuseUnsupported(statements);
		const local = statements.filter(statement => this.#isLocal(statement));
		if (local.length === statements.length) {
			return this.#answerLocalQuery(statements);
		}

		if (this.#state.transaction.kind === 'lost') {
			return this.#withReady([failedTransaction()]);
		}

		if (local.some(({kind}) => kind !== 'empty')) {
			throw new BuckthornhitchError('unsupportedFeature', 'Session settings and other statements must not share a query.');
		}

		const comment = leadingComment(text);
		const bytes = await this.#forward({bytes: message.bytes, statements, comments: comment === undefined ? [] : [comment]});
		// The server drops the unnamed statement on a simple query.
		this.#held = withoutName(this.#held, '');
		return bytes;
	}

	async #answerBatch(messages: readonly FrontendMessage[], sync: FrontendMessage): Promise<Buffer> {
		const plan = planBatch(messages, sync, {known: this.#prepared, held: this.#held, isLocal: statement => this.#isLocal(statement)});
		if (plan.kind === 'local') {
			return this.#answerLocalBatch(plan.steps);
		}

		if (this.#state.transaction.kind === 'lost') {
			return this.#withReady([failedTransaction()]);
		}

		const answer = readBatchAnswer(await this.#forward(plan), plan);
		this.#applyChanges(answer.changes);
		return answer.bytes;
	}

	#isLocal(statement: ClassifiedStatement): boolean {
		return isLocalStatement(statement, this.#state.transaction.kind === 'lost');
	}

	#answerLocalQuery(statements: readonly ClassifiedStatement[]): Buffer {
		const parts: Buffer[] = [];
		for (const statement of statements) {
			if (this.#refusesLocal(statement)) {
				return this.#withReady([...parts, failedTransaction()]);
			}

			const result = runLocalStatement(statement, this.#localContext());
			this.#keepLocal(result);
			parts.push(...result.column === undefined ? [] : [buildTextRowDescription(result.column)], result.bytes);
		}

		return this.#withReady(parts);
	}

	#answerLocalBatch(steps: readonly LocalStep[]): Buffer {
		const parts: Buffer[] = [];
		for (const step of steps) {
			if (step.kind === 'execute' && this.#refusesLocal(step.statement.statements[0])) {
				return this.#withReady([...parts, failedTransaction()]);
			}

			try {
				const result = runLocalStep(step, this.#localContext());
				this.#keepLocal(result);
				parts.push(result.bytes);
			} catch (error) {
				return this.#withReady([...parts, this.#refusal(toBuckthornhitchError(error))]);
			}
		}

		return this.#withReady(parts);
	}

	#refusesLocal(statement: ClassifiedStatement): boolean {
		const {transaction} = this.#state;
		return transaction.kind === 'open' && transaction.status === 'failed' && statement.kind !== 'empty';
	}

	#localContext(): LocalContext {
		const {database, settings, transaction} = this.#state;
		return {
			database, settings, prepared: this.#prepared, transactionLost: transaction.kind === 'lost',
		};
	}

	#keepLocal(context: LocalContext): void {
		this.#prepared = context.prepared;
		this.#state = withSettings(this.#state, context.settings);
		if (this.#state.transaction.kind === 'lost' && !context.transactionLost) {
			this.#state = stateAfterFailure(this.#state, true);
		}
	}

	async #forward(forwarded: Forwarded): Promise<Buffer> {
		const before = this.#state.settings;
		const unit = classifyUnit(forwarded.statements);
		const startedAt = this.services.clock.now();
		let {access} = unit;
		try {
			const request = this.#request(forwarded, unit);
			access = request.access;
			if (forwarded.statements.length > 0) {
				this.#state = withSettings(this.#state, {...before, requestId: null});
			}

			const answer = await this.#send(request, unit);
			this.#keepAnswer(request, answer);
			this.services.metrics.countRequest(access, 'done', this.services.clock.now() - startedAt);
			return this.#withToken(answer.response.bytes, before);
		} catch (error) {
			const failure = this.#failure(toBuckthornhitchError(error), unit);
			const outcome = failure.entry.execution === 'notRun' ? 'notRun' : 'unknown';
			this.services.metrics.countRequest(access, outcome, this.services.clock.now() - startedAt);
			throw failure;
		}
	}

	#request(forwarded: Forwarded, unit: UnitClassification): RoutedRequest {
		const {database, transaction} = this.#state;
		const open = transaction.kind === 'open' ? transaction : undefined;
		let {settings} = this.#state;
		for (const comment of forwarded.comments) {
			settings = settingsFromComment(settings, database, comment);
		}

		const access = requiredAccess(this.#state, unit);
		// A batch that only prepares statements leaves the request id to the one that runs them; reads need none.
		const takesRequestId = access === 'write' && forwarded.statements.length > 0;
		return {
			database,
			sessionId: this.id,
			transactionId: open?.id ?? (unit.begins ? uniqueId() : null),
			access,
			bytes: forwarded.bytes,
			neededPoint: settings.token?.point ?? null,
			maximumAge: access === 'read' ? settings.maximumAge : null,
			requestId: takesRequestId ? this.#transactionRequestId() ?? settings.requestId : null,
		};
	}

	async #send(request: RoutedRequest, unit: UnitClassification): Promise<RoutedAnswer> {
		const {transaction} = this.#state;
		if (transaction.kind === 'open') {
			const response = await this.services.router.executeAt(transaction.pool, request);
			return {response, pool: transaction.pool, transactionId: transaction.id};
		}

		const limit = this.services.configuration.deployment()?.limits.queueLength ?? 0;
		const leave = this.services.admission.enter(request.database, request.access, limit);
		try {
			return await this.services.router.execute(request, mayRepeat({...request, begins: unit.begins, isBeginAlone: unit.isBeginAlone}));
		} finally {
			leave();
		}
	}

	#keepAnswer(request: RoutedRequest, {response, pool, transactionId}: RoutedAnswer): void {
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
			this.#held = noNames;
		}
	}

	#transactionRequestId(): string | null {
		const {transaction} = this.#state;
		return transaction.kind === 'open' ? transaction.requestId : null;
	}

	#failure(error: BuckthornhitchError, unit: UnitClassification): BuckthornhitchError {
		const wasOpen = this.inTransaction;
		this.giveUpTransaction();
		if (!wasOpen && !unit.begins) {
			this.#recordFailure(error, error);
			return error;
		}

		// A failed BEGIN leaves a failed block, so that statements sent behind it do not run on their own.
		this.#state = stateAfterFailure(this.#state, unit.ends);
		const failure = transactionError(error, unit.commits);
		this.#recordFailure(failure, error);
		return failure;
	}

	#recordFailure(failure: BuckthornhitchError, cause: BuckthornhitchError): void {
		if (failure.codeName === 'transactionLost' || failure.entry.execution !== 'notRun') {
			this.services.failureEvents.record(failure, cause, this.#state.database);
		}
	}

	#refusal(error: BuckthornhitchError): Buffer {
		// As after an error of the server, an open transaction must not go on as if the statement had run.
		this.giveUpTransaction();
		this.services.metrics.countRefusal(error.code);
		return buildNumberedErrorResponse(error);
	}

	#applyChanges(changes: readonly StoreChange[]): void {
		for (const change of changes) {
			if (change.kind === 'parsed') {
				const {statement} = change;
				// The copy keeps no receive buffer alive.
				this.#prepared = withStatement(this.#prepared, {...statement, parse: Buffer.from(statement.parse)});
			}

			if (change.kind === 'closed') {
				this.#prepared = withoutStatement(this.#prepared, change.name);
			}

			this.#applyToConnection(change);
		}
	}

	#applyToConnection(change: StoreChange): void {
		if (!this.inTransaction) {
			return;
		}

		if (change.kind === 'parsed' || change.kind === 'restored') {
			this.#held = new Set([...this.#held, change.kind === 'parsed' ? change.statement.name : change.name]);
		} else if (change.kind === 'closed') {
			this.#held = withoutName(this.#held, change.name);
		}
	}

	#withReady(parts: readonly Buffer[]): Buffer {
		return Buffer.concat([...parts, buildReadyForQuery(sessionStatus(this.#state))]);
	}

	#withToken(bytes: Buffer, before: SessionSettings): Buffer {
		const {token} = this.#state.settings;
		const text = token ? formatSessionToken(token) : '';
		if (!token || (before.token && formatSessionToken(before.token) === text)) {
			return bytes;
		}

		const ready = bytes.length - readyForQueryLength;
		return Buffer.concat([bytes.subarray(0, ready), buildParameterStatus(tokenSetting, text), bytes.subarray(ready)]);
	}
}

function failedTransaction(): Buffer {
	return buildErrorResponse({
		severity: 'ERROR',
		sqlState: failedTransactionState,
		message: 'The transaction has failed; statements are refused until ROLLBACK.',
	});
}

function withoutName(names: ReadonlySet<string>, name: string): ReadonlySet<string> {
	return names.has(name) ? new Set([...names].filter(other => other !== name)) : names;
}
