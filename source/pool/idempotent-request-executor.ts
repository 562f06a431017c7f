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
	buildResponse, outcomeUnknown, type ExecutionContext, type PoolRequest,
} from './execution-context.js';
import {type AbandonResponse, type ExecuteResponse} from './messages.js';
import {type PrimaryUse} from './primary-use.js';
import {
	mayCommit, opensTransaction, parametersOf, rawStatementTexts,
} from './statement-text.js';
import {
	readOnlySqlState, statusQueryBytes, supersededSqlState, type WriteExecutor,
} from './write-executor.js';

const uniqueViolation = '23505';
const serializationFailure = '40001';
/** SQLSTATE of a statement on a table that does not exist. */
export const undefinedTableSqlState = '42P01';
const createTable = 'CREATE TABLE IF NOT EXISTS buckthornhitch_requests (request_id text PRIMARY KEY, outcome text NOT NULL, recorded_at bigint NOT NULL)';
const fingerprintLength = 24;
const uuidVersion7Pattern = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iv;

/** Runs writes that carry a request id: the outcome is recorded in the same transaction, so that a retry returns it and runs nothing. */
export class IdempotentRequestExecutor {
	constructor(private readonly context: ExecutionContext) {}

	/** Runs the request or returns its recorded outcome; resolves with undefined when it was not run and may be tried again. Rejects with a numbered code. */
	async run(request: PoolRequest, use: PrimaryUse, writes: WriteExecutor): Promise<ExecuteResponse | undefined> {
		const [, inserted, answer] = await this.#exchange(use, [query('BEGIN'), this.#insertion(request.requestId, 'running'), request.bytes]);
		const failure = findErrorInResponse(inserted);
		if (failure) {
			await this.#exchange(use, [query('ROLLBACK')]);
			return this.#afterFailedInsertion(failure.sqlState, request, use, writes);
		}

		const reported = findErrorInResponse(answer);
		if (reported) {
			await this.#exchange(use, [query('ROLLBACK')]);
			return isRefusal(reported.sqlState) ? undefined : this.#response(answer, use, request.neededPoint);
		}

		return this.#commit(request, use, writes, asIdle(answer));
	}

	/** Records the id of a transaction that has just been opened, so that it commits at most once; resolves with false when the transaction was rolled back and may be tried again. Rejects with requestIdReused when a transaction with the id has committed. */
	async recordTransaction(request: PoolRequest, use: PrimaryUse, writes: WriteExecutor): Promise<boolean> {
		const [inserted] = await this.#exchange(use, [this.#insertion(request.requestId, 'transaction')]);
		const failure = findErrorInResponse(inserted);
		if (!failure) {
			return true;
		}

		await this.#exchange(use, [query('ROLLBACK')]);
		await this.#afterFailedInsertion(failure.sqlState, request, use, writes);
		return false;
	}

	/** Records the id as abandoned in a transaction of its own, or reads what is recorded under it, and waits until a majority holds the record; resolves with undefined when nothing was recorded and it may be tried again. Rejects with a numbered code. */
	async abandon(requestId: string, deadlineAt: Milliseconds, use: PrimaryUse, writes: WriteExecutor): Promise<AbandonResponse | undefined> {
		const {clock, limits} = this.context;
		const {member, primaryTerm} = use.grant.status;
		const askedAt = clock.now();
		const parts = [this.#insertion(requestId, 'abandoned'), selectOutcome(requestId), statusQueryBytes];
		// A request with the id that is still running holds the insertion back until it ends, or makes it fail with a serialization failure.
		const timeout = Math.min(limits().statementTimeout, Math.max(0, deadlineAt - askedAt));
		const [inserted, rows, statusBytes] = await use.connection.exchange(Buffer.concat(parts), parts.length, timeout);
		const failure = findErrorInResponse(inserted);
		if (failure?.sqlState === serializationFailure) {
			return undefined;
		}

		if (failure && failure.sqlState !== uniqueViolation) {
			await this.#prepareRepeat(failure.sqlState, use);
			return undefined;
		}

		const outcome = failure ? readTextRows(splitBackendMessages(rows))[0]?.outcome : 'abandoned';
		if (typeof outcome !== 'string') {
			return undefined;
		}

		const point = receivedLogPosition(writes.checkedStatus(statusBytes, askedAt, primaryTerm));
		use.giveBack();
		await writes.confirmUntil(point, member, deadlineAt);
		const recorded = readOutcome(outcome);
		if (recorded === 'abandoned') {
			return {outcome: recorded};
		}

		const response = buildResponse(recorded.answer, 'idle', {member, role: 'primary'}, point);
		return {outcome: 'done', fingerprint: recorded.fingerprint, response};
	}

	/** Throws unsupportedFeature or requestIdExpired for a request with an id that must not run. */
	check(request: PoolRequest): void {
		if (request.requestId === null) {
			return;
		}

		if (request.transactionId === null && (mayCommit(request.bytes) || opensTransaction(request.bytes))) {
			throw new BuckthornhitchError('unsupportedFeature', 'A request with an id must not contain statements that open or end transactions.');
		}

		this.checkAge(request.requestId);
	}

	/** Throws requestIdExpired for an id that is older than the retention time, whose record may have been removed. */
	checkAge(requestId: string): void {
		const {clock, limits} = this.context;
		const createdAt = requestIdTime(requestId);
		if (createdAt !== undefined && clock.wallTime() - createdAt > limits().requestIdRetention) {
			throw new BuckthornhitchError('requestIdExpired', '');
		}
	}

	#insertion(requestId: string | null, outcome: 'running' | 'transaction' | 'abandoned'): Buffer {
		const recordedAt = Math.floor(this.context.clock.wallTime());
		return query(`INSERT INTO buckthornhitch_requests (request_id, outcome, recorded_at) VALUES (${quote(requestId ?? '')}, ${quote(outcome)}, ${recordedAt})`);
	}

	async #afterFailedInsertion(sqlState: string, request: PoolRequest, use: PrimaryUse, writes: WriteExecutor): Promise<ExecuteResponse | undefined> {
		if (sqlState === uniqueViolation) {
			return this.#recordedOutcome(request, use, writes);
		}

		await this.#prepareRepeat(sqlState, use);
		return undefined;
	}

	/** Creates the table if it was missing. Throws memberRefused when the insertion would fail again. */
	async #prepareRepeat(sqlState: string, use: PrimaryUse): Promise<void> {
		if (sqlState === undefinedTableSqlState) {
			await this.#exchange(use, [query(createTable)]);
		} else if (!isRefusal(sqlState)) {
			throw new BuckthornhitchError('memberRefused', `The request id could not be recorded (SQLSTATE ${sqlState}).`);
		}
	}

	async #commit(request: PoolRequest, use: PrimaryUse, writes: WriteExecutor, answer: Buffer): Promise<ExecuteResponse | undefined> {
		const {member, primaryTerm} = use.grant.status;
		const outcome = `done:${requestFingerprint(request.bytes)}:${answer.toString('base64')}`;
		const update = query(`UPDATE buckthornhitch_requests SET outcome = ${quote(outcome)} WHERE request_id = ${quote(request.requestId ?? '')}`);
		const askedAt = this.context.clock.now();
		const [, committed, statusBytes] = await this.#exchange(use, [update, query('COMMIT'), statusQueryBytes]);
		const reported = findErrorInResponse(committed);
		if (isRefusal(reported?.sqlState)) {
			return undefined;
		}

		if (commandTag(committed) !== 'COMMIT') {
			throw new BuckthornhitchError('memberRefused', `The transaction was rolled back (SQLSTATE ${reported?.sqlState ?? '40000'}).`);
		}

		const point = receivedLogPosition(writes.checkedStatus(statusBytes, askedAt, primaryTerm));
		use.giveBack();
		await writes.confirm(point, member, request);
		return buildResponse(answer, 'idle', {member, role: 'primary'}, point);
	}

	async #recordedOutcome(request: PoolRequest, use: PrimaryUse, writes: WriteExecutor): Promise<ExecuteResponse | undefined> {
		const {member, primaryTerm} = use.grant.status;
		const askedAt = this.context.clock.now();
		const [rows, statusBytes] = await this.#exchange(use, [selectOutcome(request.requestId ?? ''), statusQueryBytes]);
		const outcome = readTextRows(splitBackendMessages(rows))[0]?.outcome;
		if (typeof outcome !== 'string') {
			return undefined;
		}

		const point = receivedLogPosition(writes.checkedStatus(statusBytes, askedAt, primaryTerm));
		use.giveBack();
		await writes.confirm(point, member, request);
		return buildResponse(recordedAnswer(outcome, request), 'idle', {member, role: 'primary'}, point);
	}

	#response(answer: Buffer, use: PrimaryUse, point: PoolRequest['neededPoint']): ExecuteResponse {
		return buildResponse(asIdle(answer), 'idle', {member: use.grant.status.member, role: 'primary'}, point);
	}

	async #exchange(use: PrimaryUse, parts: readonly Buffer[]): Promise<readonly Buffer[]> {
		return use.connection.exchange(Buffer.concat(parts), parts.length, this.context.limits().statementTimeout);
	}
}

/** Returns the creation time of an id in milliseconds since the Unix epoch, or undefined for an id that does not carry one. Only UUIDs of version 7 do. */
export function requestIdTime(requestId: string): Milliseconds | undefined {
	return uuidVersion7Pattern.test(requestId) ? Number.parseInt(requestId.replaceAll('-', '').slice(0, 12), 16) : undefined;
}

function recordedAnswer(outcome: string, request: PoolRequest): Buffer {
	const recorded = readOutcome(outcome);
	if (recorded === 'abandoned') {
		throw new BuckthornhitchError('requestAbandoned', '');
	}

	if (recorded.fingerprint !== requestFingerprint(request.bytes)) {
		throw new BuckthornhitchError('requestIdReused', '');
	}

	return recorded.answer;
}

type RecordedAnswer = {
	readonly fingerprint: string;
	readonly answer: Buffer;
};

function readOutcome(outcome: string): RecordedAnswer | 'abandoned' {
	const [state, fingerprint = '', answer = ''] = outcome.split(':');
	if (state === 'abandoned') {
		return state;
	}

	if (state === 'transaction') {
		throw new BuckthornhitchError('requestIdReused', 'The transaction with this id has committed.');
	}

	if (state !== 'done') {
		throw outcomeUnknown('The recorded outcome is not readable.');
	}

	return {fingerprint, answer: Buffer.from(answer, 'base64')};
}

/** Returns a digest of the statements and parameters of a request, without the names of prepared statements, which may differ in a retry. */
export function requestFingerprint(bytes: Buffer): string {
	const hash = createHash('sha256');
	for (const text of rawStatementTexts(bytes)) {
		hash.update(`${text}\0`);
	}

	for (const parameters of parametersOf(bytes)) {
		hash.update(parameters);
	}

	return hash.digest('hex').slice(0, fingerprintLength);
}

/** Replaces the transaction status at the end of a response by idle. */
function asIdle(response: Buffer): Buffer {
	const ready = buildReadyForQuery('idle');
	return Buffer.concat([response.subarray(0, -ready.length), ready]);
}

function isRefusal(sqlState: string | undefined): boolean {
	return sqlState === readOnlySqlState || sqlState === supersededSqlState;
}

function commandTag(response: Buffer): string | undefined {
	const message = splitBackendMessages(response).find(({type}) => type === 'C');
	return message?.body.toString('utf8', 0, message.body.length - 1);
}

function selectOutcome(requestId: string): Buffer {
	return query(`SELECT outcome FROM buckthornhitch_requests WHERE request_id = ${quote(requestId)}`);
}

function query(text: string): Buffer {
	return serialize.query(text);
}

function quote(text: string): string {
	return `'${text.replaceAll('\'', '\'\'')}'`;
}
