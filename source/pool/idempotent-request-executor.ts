import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {serialize} from 'pg-protocol';
import {type Milliseconds} from '../clock/clock.js';
import {receivedLogPosition} from '../database-group/log-position-rules.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {findErrorInResponse, readTextRows} from '../postgres-protocol/backend-rows.js';
import {buildReadyForQuery} from '../postgres-protocol/backend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	buildExecuteResponse, createOutcomeUnknownError, type ExecutionContext, type PoolRequest,
} from './execution-context.js';
import {type AbandonResponse, type ExecuteResponse} from './messages.js';
import {type PrimaryCheckout} from './primary-checkout.js';
import {
	mayCommit, opensTransaction, bindParameters, statementTexts,
} from './statement-text.js';
import {
	readOnlySqlState, statusQueryBytes, supersededSqlState, type WriteExecutor,
} from './write-executor.js';

/** SQLSTATE of an insertion whose request id is already recorded. */
const uniqueViolation = '23505';
const serializationFailure = '40001';
/** SQLSTATE of a statement that refers to a table that does not exist. */
export const undefinedTableSqlState = '42P01';
const createTableStatement = 'CREATE TABLE IF NOT EXISTS buckthornhitch_requests (request_id text PRIMARY KEY, outcome text NOT NULL, recorded_at bigint NOT NULL)';
/** Length of a request fingerprint in hexadecimal digits. */
const fingerprintDigits = 24;
const uuidVersion7Pattern = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;

/** Runs writes that carry a request id (idempotency key). The outcome is recorded in the same transaction as the write, so that a retry returns the recorded outcome and does not run the write again. */
export class IdempotentRequestExecutor {
	constructor(private readonly context: ExecutionContext) {}

	/** Runs the request or returns its recorded outcome; resolves with undefined if it did not run and may be retried. Rejects with a BuckthornhitchError. */
	async execute(request: PoolRequest, checkout: PrimaryCheckout, writeExecutor: WriteExecutor): Promise<ExecuteResponse | undefined> {
		const [, inserted, responseBytes] = await this.#exchange(checkout, [buildQuery('BEGIN'), this.#buildInsert(request.requestId, 'running'), request.bytes]);
		const failure = findErrorInResponse(inserted);
		if (failure) {
			await this.#exchange(checkout, [buildQuery('ROLLBACK')]);
			return this.#handleFailedInsert(failure.sqlState, request, checkout, writeExecutor);
		}

		const statementError = findErrorInResponse(responseBytes);
		if (statementError) {
			await this.#exchange(checkout, [buildQuery('ROLLBACK')]);
			return isWriteRejection(statementError.sqlState) ? undefined : this.#buildFailedResponse(responseBytes, checkout, request.neededPoint);
		}

		return this.#commit(request, checkout, writeExecutor, withIdleStatus(responseBytes));
	}

	/** Records the request id in a transaction that has just been opened, so that at most one transaction with the id commits. Resolves with false if the transaction was rolled back and may be retried. Rejects with requestIdReused if a transaction with the id has already committed. */
	async recordTransaction(request: PoolRequest, checkout: PrimaryCheckout, writeExecutor: WriteExecutor): Promise<boolean> {
		const [inserted] = await this.#exchange(checkout, [this.#buildInsert(request.requestId, 'transaction')]);
		const failure = findErrorInResponse(inserted);
		if (!failure) {
			return true;
		}

		await this.#exchange(checkout, [buildQuery('ROLLBACK')]);
		await this.#handleFailedInsert(failure.sqlState, request, checkout, writeExecutor);
		return false;
	}

	/** Records the request id as abandoned in a separate transaction, or reads the outcome that is already recorded for it. Resolves once a majority has confirmed the record, or with undefined if nothing was recorded and the call may be retried. Rejects with a BuckthornhitchError. */
	async abandon(requestId: string, deadlineAt: Milliseconds, checkout: PrimaryCheckout, writeExecutor: WriteExecutor): Promise<AbandonResponse | undefined> {
		const {clock, limits} = this.context;
		const {member, primaryTerm} = checkout.grant.status;
		const askedAt = clock.now();
		const messages = [this.#buildInsert(requestId, 'abandoned'), buildOutcomeQuery(requestId), statusQueryBytes];
		// A request with the same id that is still running blocks the insertion until it ends, or makes it fail with a serialization failure.
		const timeout = Math.min(limits().statementTimeout, Math.max(0, deadlineAt - askedAt));
		const [inserted, rows, statusBytes] = await checkout.connection.exchange(Buffer.concat(messages), messages.length, timeout);
		const failure = findErrorInResponse(inserted);
		if (failure?.sqlState === serializationFailure) {
			return undefined;
		}

		if (failure && failure.sqlState !== uniqueViolation) {
			await this.#prepareRetry(failure.sqlState, checkout);
			return undefined;
		}

		const outcome = failure ? readTextRows(splitBackendMessages(rows))[0]?.outcome : 'abandoned';
		if (typeof outcome !== 'string') {
			return undefined;
		}

		const position = receivedLogPosition(writeExecutor.parsePrimaryStatus(statusBytes, askedAt, primaryTerm));
		checkout.release();
		await writeExecutor.waitForConfirmationUntil(position, member, deadlineAt);
		const recorded = parseOutcome(outcome);
		if (recorded === 'abandoned') {
			return {outcome: recorded};
		}

		const response = buildExecuteResponse(recorded.bytes, 'idle', {member, role: 'primary'}, position);
		return {outcome: 'done', fingerprint: recorded.fingerprint, response};
	}

	/** Throws unsupportedFeature for a request with an id that opens or ends a transaction outside a transaction block, and requestIdExpired for an id that is too old. */
	validate(request: PoolRequest): void {
		if (request.requestId === null) {
			return;
		}

		if (request.transactionId === null && (mayCommit(request.bytes) || opensTransaction(request.bytes))) {
			throw new BuckthornhitchError('unsupportedFeature', 'A request with an id must not contain statements that open or end transactions.');
		}

		this.validateAge(request.requestId);
	}

	/** Throws requestIdExpired for an id that is older than the retention time, because its record may have been removed. */
	validateAge(requestId: string): void {
		const {clock, limits} = this.context;
		const createdAt = requestIdCreationTime(requestId);
		if (createdAt !== undefined && clock.wallTime() - createdAt > limits().requestIdRetention) {
			throw new BuckthornhitchError('requestIdExpired', '');
		}
	}

	#buildInsert(requestId: string | null, outcome: 'running' | 'transaction' | 'abandoned'): Buffer {
		const recordedAt = Math.floor(this.context.clock.wallTime());
		return buildQuery(`INSERT INTO buckthornhitch_requests (request_id, outcome, recorded_at) VALUES (${quoteLiteral(requestId ?? '')}, ${quoteLiteral(outcome)}, ${recordedAt})`);
	}

	async #handleFailedInsert(sqlState: string, request: PoolRequest, checkout: PrimaryCheckout, writeExecutor: WriteExecutor): Promise<ExecuteResponse | undefined> {
		if (sqlState === uniqueViolation) {
			return this.#fetchRecordedResponse(request, checkout, writeExecutor);
		}

		await this.#prepareRetry(sqlState, checkout);
		return undefined;
	}

	/** Creates the table of request records if it is missing. Throws memberRefused if a retry of the insertion would fail again. */
	async #prepareRetry(sqlState: string, checkout: PrimaryCheckout): Promise<void> {
		if (sqlState === undefinedTableSqlState) {
			await this.#exchange(checkout, [buildQuery(createTableStatement)]);
		} else if (!isWriteRejection(sqlState)) {
			throw new BuckthornhitchError('memberRefused', `The request id could not be recorded (SQLSTATE ${sqlState}).`);
		}
	}

	async #commit(request: PoolRequest, checkout: PrimaryCheckout, writeExecutor: WriteExecutor, responseBytes: Buffer): Promise<ExecuteResponse | undefined> {
		const {member, primaryTerm} = checkout.grant.status;
		const outcome = `done:${requestFingerprint(request.bytes)}:${responseBytes.toString('base64')}`;
		const update = buildQuery(`UPDATE buckthornhitch_requests SET outcome = ${quoteLiteral(outcome)} WHERE request_id = ${quoteLiteral(request.requestId ?? '')}`);
		const askedAt = this.context.clock.now();
		const [, committed, statusBytes] = await this.#exchange(checkout, [update, buildQuery('COMMIT'), statusQueryBytes]);
		const commitError = findErrorInResponse(committed);
		if (isWriteRejection(commitError?.sqlState)) {
			return undefined;
		}

		if (commandTag(committed) !== 'COMMIT') {
			throw new BuckthornhitchError('memberRefused', `The transaction was rolled back (SQLSTATE ${commitError?.sqlState ?? '40000'}).`);
		}

		const position = receivedLogPosition(writeExecutor.parsePrimaryStatus(statusBytes, askedAt, primaryTerm));
		checkout.release();
		await writeExecutor.waitForConfirmation(position, member, request);
		return buildExecuteResponse(responseBytes, 'idle', {member, role: 'primary'}, position);
	}

	async #fetchRecordedResponse(request: PoolRequest, checkout: PrimaryCheckout, writeExecutor: WriteExecutor): Promise<ExecuteResponse | undefined> {
		const {member, primaryTerm} = checkout.grant.status;
		const askedAt = this.context.clock.now();
		const [rows, statusBytes] = await this.#exchange(checkout, [buildOutcomeQuery(request.requestId ?? ''), statusQueryBytes]);
		const outcome = readTextRows(splitBackendMessages(rows))[0]?.outcome;
		if (typeof outcome !== 'string') {
			return undefined;
		}

		const position = receivedLogPosition(writeExecutor.parsePrimaryStatus(statusBytes, askedAt, primaryTerm));
		checkout.release();
		await writeExecutor.waitForConfirmation(position, member, request);
		return buildExecuteResponse(readRecordedBytes(outcome, request), 'idle', {member, role: 'primary'}, position);
	}

	#buildFailedResponse(responseBytes: Buffer, checkout: PrimaryCheckout, position: PoolRequest['neededPoint']): ExecuteResponse {
		return buildExecuteResponse(withIdleStatus(responseBytes), 'idle', {member: checkout.grant.status.member, role: 'primary'}, position);
	}

	async #exchange(checkout: PrimaryCheckout, messages: readonly Buffer[]): Promise<readonly Buffer[]> {
		return checkout.connection.exchange(Buffer.concat(messages), messages.length, this.context.limits().statementTimeout);
	}
}

/** Returns the creation time of a request id in milliseconds since the Unix epoch, or undefined if the id does not contain one. Only version 7 UUIDs do. */
export function requestIdCreationTime(requestId: string): Milliseconds | undefined {
	return uuidVersion7Pattern.test(requestId) ? Number.parseInt(requestId.replaceAll('-', '').slice(0, 12), 16) : undefined;
}

function readRecordedBytes(outcome: string, request: PoolRequest): Buffer {
	const recorded = parseOutcome(outcome);
	if (recorded === 'abandoned') {
		throw new BuckthornhitchError('requestAbandoned', '');
	}

	if (recorded.fingerprint !== requestFingerprint(request.bytes)) {
		throw new BuckthornhitchError('requestIdReused', '');
	}

	return recorded.bytes;
}

type RecordedResponse = {
	readonly fingerprint: string;
	readonly bytes: Buffer;
};

function parseOutcome(outcome: string): RecordedResponse | 'abandoned' {
	const [state, fingerprint = '', bytes = ''] = outcome.split(':');
	if (state === 'abandoned') {
		return state;
	}

	if (state === 'transaction') {
		throw new BuckthornhitchError('requestIdReused', 'The transaction with this id has committed.');
	}

	if (state !== 'done') {
		throw createOutcomeUnknownError('The recorded outcome is not readable.');
	}

	return {fingerprint, bytes: Buffer.from(bytes, 'base64')};
}

/** Returns a digest of the statements and parameters of a request, without the names of prepared statements, which may differ between a request and its retry. */
export function requestFingerprint(bytes: Buffer): string {
	const hash = createHash('sha256');
	for (const text of statementTexts(bytes)) {
		hash.update(`${text}\0`);
	}

	for (const parameters of bindParameters(bytes)) {
		hash.update(parameters);
	}

	return hash.digest('hex').slice(0, fingerprintDigits);
}

/** Replaces the transaction status at the end of a response with idle. */
function withIdleStatus(response: Buffer): Buffer {
	const ready = buildReadyForQuery('idle');
	return Buffer.concat([response.subarray(0, -ready.length), ready]);
}

function isWriteRejection(sqlState: string | undefined): boolean {
	return sqlState === readOnlySqlState || sqlState === supersededSqlState;
}

function commandTag(response: Buffer): string | undefined {
	const message = splitBackendMessages(response).find(({type}) => type === 'C');
	return message?.body.toString('utf8', 0, message.body.length - 1);
}

function buildOutcomeQuery(requestId: string): Buffer {
	return buildQuery(`SELECT outcome FROM buckthornhitch_requests WHERE request_id = ${quoteLiteral(requestId)}`);
}

function buildQuery(text: string): Buffer {
	return serialize.query(text);
}

function quoteLiteral(text: string): string {
	return `'${text.replaceAll('\'', '\'\'')}'`;
}
