import {Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {type Milliseconds} from '../clock/clock.js';
import {mayUseMember, type GroupBlackboard} from '../database-group/group-state.js';
import {parseMemberStatus, statusQuery} from '../database-group/member-status-row.js';
import {laterLogPosition, majoritySize, receivedLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition, type MemberStatus} from '../database-group/types.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {findErrorInResponse, readTextRows} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	buildResponse, otherHolder, outcomeUnknown, primaryOf, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {type AbandonResponse, type ExecuteResponse} from './messages.js';
import {type IdempotentRequestExecutor} from './idempotent-request-executor.js';
import {PrimaryUse} from './primary-use.js';
import {mayCommit} from './statement-text.js';
import {type OpenTransaction} from './transaction-table.js';

/** Query for the point of a write, sent after the write on the same connection. */
export const statusQueryBytes = serialize.query(statusQuery);

/** SQLSTATE of a statement that a member refuses because it takes no writes. */
export const readOnlySqlState = '25006';

/** SQLSTATE of a statement that a member refuses because it has promised a later term than the one in which it is primary. */
export const supersededSqlState = '55000';

/** Pause in milliseconds before a request that was not sent tries again. */
export const notSentPause = 10;

/** Connection of an open transaction on the primary of a term. */
type OpenConnection = Pick<OpenTransaction, 'connection' | 'member' | 'term'>;

/** Progress of one write over its attempts. */
type WriteProgress = {
	deadlineAt: Milliseconds;
	/** Whether an attempt was sent whose outcome is unknown; only a request with an id is tried again then. */
	mayHaveRun: boolean;
};

/** Runs writes outside of transactions, and statements that open a transaction on the primary. */
export class WriteExecutor {
	constructor(private readonly context: ExecutionContext, private readonly recorded: IdempotentRequestExecutor) {}

	/** Runs the request and answers once a majority holds its effects. Rejects with a numbered code. */
	async execute(request: PoolRequest): Promise<ExecuteResponse> {
		this.recorded.check(request);
		const progress: WriteProgress = {deadlineAt: request.deadlineAt, mayHaveRun: false};
		for (;;) {
			const use = await this.#takePrimary(progress);
			const response = await this.#run(request, use, progress);
			if (response) {
				return response;
			}

			await this.context.clock.sleep(notSentPause);
		}
	}

	/** Records the id as abandoned, or returns what is recorded under it, once a majority holds the record. Rejects with a numbered code. */
	async abandon(requestId: string, deadlineAt: Milliseconds): Promise<AbandonResponse> {
		const {clock, checkMember} = this.context;
		this.recorded.checkAge(requestId);
		while (clock.now() < deadlineAt) {
			const use = await this.#waitForPrimary({deadlineAt});
			try {
				const response = await this.recorded.abandon(requestId, deadlineAt, use, this);
				use.giveBack();
				if (response) {
					return response;
				}
			} catch (error) {
				const failure = toBuckthornhitchError(error);
				use.discard(`abandon: ${failure.detail}`);
				checkMember(use.grant.status.member);
				if (failure.codeName !== 'linkNotSent') {
					throw failure;
				}
			} finally {
				use.finish();
			}

			await clock.sleep(notSentPause);
		}

		throw new BuckthornhitchError('deadlinePassed', 'The request id was not recorded as abandoned in time.');
	}

	/** Waits until the write at the point is confirmed, within the time that the entry waits for the answer. Rejects with outcomeUnknown. */
	async confirm(point: LogPosition, primary: string, request: PoolRequest): Promise<void> {
		return this.confirmUntil(point, primary, request.deadlineAt + this.context.limits().statementTimeout);
	}

	/** Waits at most until the given time for the confirmation of the write at the point. Rejects with outcomeUnknown. */
	async confirmUntil(point: LogPosition, primary: string, until: Milliseconds): Promise<void> {
		const {confirmation, clock, metrics, database} = this.context;
		const startedAt = clock.now();
		const outcome = await confirmation.confirm(point, primary, Math.max(0, until - startedAt));
		metrics.writes.inc({database, outcome});
		if (outcome !== 'confirmed') {
			throw outcomeUnknown(outcome === 'superseded' ? 'The primary was superseded before a majority held the write.' : 'No majority confirmed the write in time.');
		}

		metrics.confirmationWait.observe({database}, (clock.now() - startedAt) / 1000);
	}

	/** Waits for the confirmation of what a request committed before it left another transaction open, and returns its point. Rejects with outcomeUnknown. */
	async confirmOpen(request: PoolRequest, {connection, member, term}: OpenConnection): Promise<LogPosition> {
		const {clock, limits} = this.context;
		if (connection.transactionStatus !== 'open') {
			throw outcomeUnknown('A statement failed after an earlier one had committed.');
		}

		const askedAt = clock.now();
		const [statusBytes] = await connection.exchange(statusQueryBytes, 1, limits().statementTimeout).catch((error: unknown) => {
			throw outcomeUnknown(toBuckthornhitchError(error).detail);
		});
		const point = receivedLogPosition(this.checkedStatus(statusBytes, askedAt, term));
		await this.confirm(point, member, request);
		return point;
	}

	/** Returns the status in the response to the status query. Rejects with outcomeUnknown when the member is no longer the primary of the term. */
	checkedStatus(response: Buffer | undefined, askedAt: number, term: number): MemberStatus {
		const {board, observe} = this.context;
		let status: MemberStatus;
		try {
			status = parseMemberStatus(readTextRows(splitBackendMessages(response ?? Buffer.alloc(0)))[0]);
		} catch (error) {
			throw outcomeUnknown(`The point of the write could not be read: ${toBuckthornhitchError(error).detail}`);
		}

		observe({askedAt, status});
		if (status.role !== 'primary' || status.primaryTerm !== term || status.logTerm !== term) {
			throw outcomeUnknown(`${status.member} was superseded as primary of term ${term}.`);
		}

		board.write('latestWritePosition', laterLogPosition(board.read('latestWritePosition'), receivedLogPosition(status)));
		return status;
	}

	async #takePrimary(progress: WriteProgress): Promise<PrimaryUse> {
		try {
			return await this.#waitForPrimary(progress);
		} catch (error) {
			throw progress.mayHaveRun ? outcomeUnknown(toBuckthornhitchError(error).message) : error;
		}
	}

	async #waitForPrimary({deadlineAt}: Pick<WriteProgress, 'deadlineAt'>): Promise<PrimaryUse> {
		const {writeQueue, clock, checkMember} = this.context;
		for (;;) {
			let countEnd = (): void => undefined;
			const grant = await writeQueue.enter({
				attempt: () => {
					const primary = this.#tryPrimary();
					// Counted at once: a planned change that begins before this request goes on must wait for it.
					countEnd = primary ? this.#countWork() : countEnd;
					return primary;
				},
				deadlineAt,
				createDeadlineError: () => this.#deadlineError(),
			});
			try {
				const use = await this.#connect(grant, countEnd, deadlineAt);
				if (use) {
					return use;
				}
			} catch (error) {
				checkMember(grant.status.member);
				if (toBuckthornhitchError(error).codeName === 'deadlinePassed') {
					throw error;
				}
			}

			await clock.sleep(notSentPause);
		}
	}

	async #connect(grant: MemberGrant, countEnd: () => void, deadlineAt: Milliseconds): Promise<PrimaryUse | undefined> {
		const {board, clock, dispatch} = this.context;
		let use: PrimaryUse | undefined;
		try {
			const connection = await grant.connections.acquire(deadlineAt);
			use = new PrimaryUse(grant, connection, countEnd, dispatch);
		} finally {
			if (!use) {
				countEnd();
				grant.releaseSlot();
				dispatch();
			}
		}

		if (mayUseMember(board, grant.status.member, clock.now())) {
			return use;
		}

		use.giveBack();
		use.finish();
		return undefined;
	}

	#tryPrimary(): MemberGrant | undefined {
		const {board, clock, slots, connectionsOf} = this.context;
		const primary = primaryOf(board);
		if (!primary || board.read('writesPaused') || !seesMajority(board)) {
			return undefined;
		}

		const {member} = primary;
		const holder = otherHolder(this.context, member);
		if (holder !== undefined) {
			throw new BuckthornhitchError('notOwner', holder);
		}

		const connections = connectionsOf(member);
		const usable = mayUseMember(board, member, clock.now()) && !board.read('members').get(member)?.leaving;
		if (!connections || !usable || slots.freeSlots(member, 'write', true) <= 0) {
			return undefined;
		}

		return {
			status: primary, isPrimary: true, connections, releaseSlot: slots.take(member, 'write'),
		};
	}

	#deadlineError(): BuckthornhitchError {
		const primary = primaryOf(this.context.board);
		return primary && seesMajority(this.context.board) && mayUseMember(this.context.board, primary.member, this.context.clock.now())
			? new BuckthornhitchError('deadlinePassed', 'No slot of the primary became free in time.')
			: new BuckthornhitchError('noPrimary', 'No primary appeared in time.');
	}

	/** Runs the request on the primary; returns undefined when it may be tried again. */
	async #run(request: PoolRequest, use: PrimaryUse, progress: WriteProgress): Promise<ExecuteResponse | undefined> {
		try {
			const response = await this.#runOnce(request, use);
			if (response && response.transactionStatus !== 'idle') {
				use.keepConnection();
				return response;
			}

			use.giveBack();
			use.finish();
			return response;
		} catch (error) {
			use.discard(`write: ${toBuckthornhitchError(error).detail}`);
			use.finish();
			this.context.checkMember(use.grant.status.member);
			this.#noteFailure(error, request, progress);
			return undefined;
		}
	}

	async #runOnce(request: PoolRequest, use: PrimaryUse): Promise<ExecuteResponse | undefined> {
		if (request.transactionId !== null) {
			return this.#open(request, use);
		}

		return request.requestId === null ? this.#runAlone(request, use) : this.recorded.run(request, use, this);
	}

	/** Rethrows a failure after which the request must not be tried again. */
	#noteFailure(error: unknown, request: PoolRequest, progress: WriteProgress): void {
		const failure = toBuckthornhitchError(error);
		if (failure.codeName === 'linkNotSent') {
			return;
		}

		const isUnknown = failure.entry.execution === 'unknown';
		if (!isUnknown || request.requestId === null || request.transactionId !== null) {
			throw isUnknown ? outcomeUnknown(failure.detail) : failure;
		}

		// The record of the request id keeps a second run from taking effect, so trying again resolves the outcome.
		progress.mayHaveRun = true;
		progress.deadlineAt = request.deadlineAt + this.context.limits().statementTimeout;
	}

	async #runAlone(request: PoolRequest, use: PrimaryUse): Promise<ExecuteResponse | undefined> {
		const {clock, limits, checkMember} = this.context;
		const {connection, grant: {status: {member, primaryTerm}}} = use;
		const askedAt = clock.now();
		const [bytes, statusBytes] = await connection.exchange(Buffer.concat([request.bytes, statusQueryBytes]), 2, limits().statementTimeout);
		if (connection.transactionStatus !== 'idle') {
			throw outcomeUnknown('The statement opened a transaction outside of a transaction block.');
		}

		if (wasRefused(request, bytes, statusBytes)) {
			checkMember(member);
			return undefined;
		}

		const point = receivedLogPosition(this.checkedStatus(statusBytes, askedAt, primaryTerm));
		use.giveBack();
		await this.confirm(point, member, request);
		return buildResponse(bytes, 'idle', {member, role: 'primary'}, point);
	}

	async #open(request: PoolRequest, use: PrimaryUse): Promise<ExecuteResponse | undefined> {
		const {transactions, limits, clock} = this.context;
		const {connection, grant: {status: {member, primaryTerm}, connections}} = use;
		const [bytes] = await connection.exchange(request.bytes, 1, limits().statementTimeout);
		if (request.requestId !== null && connection.transactionStatus === 'open') {
			const recorded = await this.recorded.recordTransaction(request, use, this);
			if (!recorded) {
				return undefined;
			}
		}

		if (connection.transactionStatus === 'idle') {
			const askedAt = clock.now();
			const [statusBytes] = await connection.exchange(statusQueryBytes, 1, limits().statementTimeout);
			const point = receivedLogPosition(this.checkedStatus(statusBytes, askedAt, primaryTerm));
			use.giveBack();
			await this.confirm(point, member, request);
			return buildResponse(bytes, 'idle', {member, role: 'primary'}, point);
		}

		const point = mayCommit(request.bytes) ? await this.confirmOpen(request, {connection, member, term: primaryTerm}) : request.neededPoint;
		transactions.add({
			id: request.transactionId ?? '',
			member,
			role: 'primary',
			term: primaryTerm,
			connection,
			connections,
			linkId: request.linkId,
			finish() {
				use.finish();
			},
			busy: false,
		});
		return buildResponse(bytes, connection.transactionStatus, {member, role: 'primary'}, point);
	}

	#countWork(): () => void {
		const {board} = this.context;
		board.write('writesInProgress', board.read('writesInProgress') + 1);
		let counted = true;
		return () => {
			if (counted) {
				counted = false;
				board.write('writesInProgress', board.read('writesInProgress') - 1);
			}
		};
	}
}

/** Returns whether enough members answer for a write to be confirmed. */
function seesMajority(board: GroupBlackboard): boolean {
	const answering = [...board.read('members').keys()].filter(member => board.read('observations').has(member) && !board.read('suspects').has(member));
	return answering.length >= majoritySize(board.read('memberCount'));
}

/** Returns whether a replica refused the only statement because it takes no writes. */
export function wasRefusedAsReadOnly(bytes: Buffer): boolean {
	return findErrorInResponse(bytes)?.sqlState === readOnlySqlState;
}

/** Returns whether a write was refused, and so not run, because the member is no longer a primary that takes writes. */
function wasRefused(request: PoolRequest, answer: Buffer, statusBytes: Buffer): boolean {
	const sqlState = findErrorInResponse(answer)?.sqlState;
	if ((sqlState !== readOnlySqlState && sqlState !== supersededSqlState) || mayCommit(request.bytes)) {
		return false;
	}

	const [row] = readTextRows(splitBackendMessages(statusBytes));
	const status = row && parseMemberStatus(row);
	return status?.role !== 'primary' || !status.acceptingWrites;
}
