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
	buildExecuteResponse, findOtherLeaseHolder, createOutcomeUnknownError, findPrimary, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {type AbandonResponse, type ExecuteResponse} from './messages.js';
import {type IdempotentRequestExecutor} from './idempotent-request-executor.js';
import {PrimaryCheckout} from './primary-checkout.js';
import {mayCommit} from './statement-text.js';
import {type OpenTransaction} from './transaction-table.js';

/** Status query that is sent after a write on the same connection to obtain the log position of the write. */
export const statusQueryBytes = serialize.query(statusQuery);

/** SQLSTATE of a statement that a member rejects because it accepts no writes. */
export const readOnlySqlState = '25006';

/** SQLSTATE of a statement that a primary rejects because it has promised a term later than its own. */
export const supersededSqlState = '55000';

/** Delay in milliseconds before the next attempt of a request that did not run or whose outcome must be resolved. */
export const nextAttemptDelay = 10;

/** Connection of an open transaction, and the term in which its member is primary. */
type TransactionConnection = Pick<OpenTransaction, 'connection' | 'member' | 'term'>;

/** State of one write across its attempts. */
type WriteProgress = {
	deadlineAt: Milliseconds;
	/** Whether an attempt was sent whose outcome is unknown; only a request with an id is retried then. */
	mayHaveRun: boolean;
};

/** Runs writes outside transactions, and statements that open a transaction on the primary. */
export class WriteExecutor {
	constructor(private readonly context: ExecutionContext, private readonly idempotentRequests: IdempotentRequestExecutor) {}

	/** Runs the request and resolves once a majority confirms its effects. Rejects with a BuckthornhitchError. */
	async execute(request: PoolRequest): Promise<ExecuteResponse> {
		this.idempotentRequests.validate(request);
		const progress: WriteProgress = {deadlineAt: request.deadlineAt, mayHaveRun: false};
		for (;;) {
			const checkout = await this.#acquirePrimary(progress);
			const response = await this.#runOnPrimary(request, checkout, progress);
			if (response) {
				return response;
			}

			await this.context.clock.sleep(nextAttemptDelay);
		}
	}

	/** Records the request id as abandoned, or returns the outcome that is already recorded for it. Resolves once a majority has confirmed the record. Rejects with a BuckthornhitchError. */
	async abandon(requestId: string, deadlineAt: Milliseconds): Promise<AbandonResponse> {
		const {clock, pollMember} = this.context;
		this.idempotentRequests.validateAge(requestId);
		while (clock.now() < deadlineAt) {
			const checkout = await this.#waitForPrimary({deadlineAt});
			try {
				const response = await this.idempotentRequests.abandon(requestId, deadlineAt, checkout, this);
				checkout.release();
				if (response) {
					return response;
				}
			} catch (error) {
				const failure = toBuckthornhitchError(error);
				checkout.discard(`abandon: ${failure.detail}`);
				pollMember(checkout.grant.status.member);
				if (failure.codeName !== 'linkNotSent') {
					throw failure;
				}
			} finally {
				checkout.endWrite();
			}

			await clock.sleep(nextAttemptDelay);
		}

		throw new BuckthornhitchError('deadlinePassed', 'The request id was not recorded as abandoned in time.');
	}

	/** Waits until the write at the log position is confirmed, at most as long as the entry waits for the response. Rejects with outcomeUnknown. */
	async waitForConfirmation(position: LogPosition, primary: string, request: PoolRequest): Promise<void> {
		return this.waitForConfirmationUntil(position, primary, request.deadlineAt + this.context.limits().statementTimeout);
	}

	/** Waits until the write at the log position is confirmed, at most until the deadline. Rejects with outcomeUnknown. */
	async waitForConfirmationUntil(position: LogPosition, primary: string, deadlineAt: Milliseconds): Promise<void> {
		const {writeConfirmation, clock, metrics, database} = this.context;
		const startedAt = clock.now();
		const outcome = await writeConfirmation.waitForConfirmation(position, primary, Math.max(0, deadlineAt - startedAt));
		metrics.writes.inc({database, outcome});
		if (outcome !== 'confirmed') {
			throw createOutcomeUnknownError(outcome === 'superseded' ? 'The primary was superseded before a majority held the write.' : 'No majority confirmed the write in time.');
		}

		metrics.confirmationWait.observe({database}, (clock.now() - startedAt) / 1000);
	}

	/** Waits for the confirmation of a commit that also opened the next transaction, as COMMIT AND CHAIN does; returns the log position of the commit. Rejects with outcomeUnknown. */
	async confirmChainedCommit(request: PoolRequest, {connection, member, term}: TransactionConnection): Promise<LogPosition> {
		const {clock, limits} = this.context;
		if (connection.transactionStatus !== 'open') {
			throw createOutcomeUnknownError('A statement failed after an earlier one had committed.');
		}

		const askedAt = clock.now();
		const [statusBytes] = await connection.exchange(statusQueryBytes, 1, limits().statementTimeout).catch((error: unknown) => {
			throw createOutcomeUnknownError(toBuckthornhitchError(error).detail);
		});
		const position = receivedLogPosition(this.parsePrimaryStatus(statusBytes, askedAt, term));
		await this.waitForConfirmation(position, member, request);
		return position;
	}

	/** Parses the response to the status query, records the status and advances the latest write position. Throws outcomeUnknown if the member is no longer primary in the term. */
	parsePrimaryStatus(response: Buffer | undefined, askedAt: number, term: number): MemberStatus {
		const {board, recordObservation} = this.context;
		let status: MemberStatus;
		try {
			status = parseMemberStatus(readTextRows(splitBackendMessages(response ?? Buffer.alloc(0)))[0]);
		} catch (error) {
			throw createOutcomeUnknownError(`The point of the write could not be read: ${toBuckthornhitchError(error).detail}`);
		}

		recordObservation({askedAt, status});
		if (status.role !== 'primary' || status.primaryTerm !== term || status.logTerm !== term) {
			throw createOutcomeUnknownError(`${status.member} was superseded as primary of term ${term}.`);
		}

		board.write('latestWritePosition', laterLogPosition(board.read('latestWritePosition'), receivedLogPosition(status)));
		return status;
	}

	async #acquirePrimary(progress: WriteProgress): Promise<PrimaryCheckout> {
		try {
			return await this.#waitForPrimary(progress);
		} catch (error) {
			throw progress.mayHaveRun ? createOutcomeUnknownError(toBuckthornhitchError(error).message) : error;
		}
	}

	async #waitForPrimary({deadlineAt}: Pick<WriteProgress, 'deadlineAt'>): Promise<PrimaryCheckout> {
		const {writeQueue, clock, pollMember} = this.context;
		for (;;) {
			let endWrite = (): void => undefined;
			const grant = await writeQueue.enter({
				attempt: () => {
					const primary = this.#tryAdmit();
					// Counted immediately, because a switchover that starts before this request continues must wait for it.
					endWrite = primary ? this.#countWriteInProgress() : endWrite;
					return primary;
				},
				deadlineAt,
				createDeadlineError: () => this.#createDeadlineError(),
			});
			try {
				const checkout = await this.#connect(grant, endWrite, deadlineAt);
				if (checkout) {
					return checkout;
				}
			} catch (error) {
				pollMember(grant.status.member);
				if (toBuckthornhitchError(error).codeName === 'deadlinePassed') {
					throw error;
				}
			}

			await clock.sleep(nextAttemptDelay);
		}
	}

	async #connect(grant: MemberGrant, endWrite: () => void, deadlineAt: Milliseconds): Promise<PrimaryCheckout | undefined> {
		const {board, clock, dispatch} = this.context;
		let checkout: PrimaryCheckout | undefined;
		try {
			const connection = await grant.connections.acquire(deadlineAt);
			checkout = new PrimaryCheckout(grant, connection, endWrite, dispatch);
		} finally {
			if (!checkout) {
				endWrite();
				grant.releaseSlot();
				dispatch();
			}
		}

		if (mayUseMember(board, grant.status.member, clock.now())) {
			return checkout;
		}

		checkout.release();
		checkout.endWrite();
		return undefined;
	}

	#tryAdmit(): MemberGrant | undefined {
		const {board, clock, slots, connectionsTo} = this.context;
		const primary = findPrimary(board);
		if (!primary || board.read('writesPaused') || !majorityResponds(board)) {
			return undefined;
		}

		const {member} = primary;
		const holder = findOtherLeaseHolder(this.context, member);
		if (holder !== undefined) {
			throw new BuckthornhitchError('notOwner', holder);
		}

		const connections = connectionsTo(member);
		const isUsable = mayUseMember(board, member, clock.now()) && !board.read('members').get(member)?.leaving;
		if (!connections || !isUsable || slots.freeSlots(member, 'write', true) <= 0) {
			return undefined;
		}

		return {
			status: primary, isPrimary: true, connections, releaseSlot: slots.take(member, 'write'),
		};
	}

	#createDeadlineError(): BuckthornhitchError {
		const primary = findPrimary(this.context.board);
		return primary && majorityResponds(this.context.board) && mayUseMember(this.context.board, primary.member, this.context.clock.now())
			? new BuckthornhitchError('deadlinePassed', 'No slot of the primary became free in time.')
			: new BuckthornhitchError('noPrimary', 'No primary appeared in time.');
	}

	/** Runs the request on the primary; returns undefined if it may be retried. */
	async #runOnPrimary(request: PoolRequest, checkout: PrimaryCheckout, progress: WriteProgress): Promise<ExecuteResponse | undefined> {
		try {
			const response = await this.#runByRequestKind(request, checkout);
			if (response && response.transactionStatus !== 'idle') {
				checkout.releaseSlotOnly();
				return response;
			}

			checkout.release();
			checkout.endWrite();
			return response;
		} catch (error) {
			checkout.discard(`write: ${toBuckthornhitchError(error).detail}`);
			checkout.endWrite();
			this.context.pollMember(checkout.grant.status.member);
			this.#handleFailure(error, request, progress);
			return undefined;
		}
	}

	async #runByRequestKind(request: PoolRequest, checkout: PrimaryCheckout): Promise<ExecuteResponse | undefined> {
		if (request.transactionId !== null) {
			return this.#openTransaction(request, checkout);
		}

		return request.requestId === null ? this.#runWithoutRequestId(request, checkout) : this.idempotentRequests.execute(request, checkout, this);
	}

	/** Rethrows a failure after which the request must not be retried. */
	#handleFailure(error: unknown, request: PoolRequest, progress: WriteProgress): void {
		const failure = toBuckthornhitchError(error);
		if (failure.codeName === 'linkNotSent') {
			return;
		}

		const isUnknown = failure.resultCode.execution === 'unknown';
		if (!isUnknown || request.requestId === null || request.transactionId !== null) {
			throw isUnknown ? createOutcomeUnknownError(failure.detail) : failure;
		}

		// The record of the request id keeps a second run from taking effect, so a retry resolves the outcome.
		progress.mayHaveRun = true;
		progress.deadlineAt = request.deadlineAt + this.context.limits().statementTimeout;
	}

	async #runWithoutRequestId(request: PoolRequest, checkout: PrimaryCheckout): Promise<ExecuteResponse | undefined> {
		const {clock, limits, pollMember} = this.context;
		const {connection, grant: {status: {member, primaryTerm}}} = checkout;
		const askedAt = clock.now();
		const [bytes, statusBytes] = await connection.exchange(Buffer.concat([request.bytes, statusQueryBytes]), 2, limits().statementTimeout);
		if (connection.transactionStatus !== 'idle') {
			throw createOutcomeUnknownError('The statement opened a transaction outside of a transaction block.');
		}

		if (wasRejectedByNonPrimary(request, bytes, statusBytes)) {
			pollMember(member);
			return undefined;
		}

		const position = receivedLogPosition(this.parsePrimaryStatus(statusBytes, askedAt, primaryTerm));
		checkout.release();
		await this.waitForConfirmation(position, member, request);
		return buildExecuteResponse(bytes, 'idle', {member, role: 'primary'}, position);
	}

	async #openTransaction(request: PoolRequest, checkout: PrimaryCheckout): Promise<ExecuteResponse | undefined> {
		const {transactions, limits, clock} = this.context;
		const {connection, grant: {status: {member, primaryTerm}, connections}} = checkout;
		const [bytes] = await connection.exchange(request.bytes, 1, limits().statementTimeout);
		if (request.requestId !== null && connection.transactionStatus === 'open') {
			const isRecorded = await this.idempotentRequests.recordTransaction(request, checkout, this);
			if (!isRecorded) {
				return undefined;
			}
		}

		if (connection.transactionStatus === 'idle') {
			const askedAt = clock.now();
			const [statusBytes] = await connection.exchange(statusQueryBytes, 1, limits().statementTimeout);
			const position = receivedLogPosition(this.parsePrimaryStatus(statusBytes, askedAt, primaryTerm));
			checkout.release();
			await this.waitForConfirmation(position, member, request);
			return buildExecuteResponse(bytes, 'idle', {member, role: 'primary'}, position);
		}

		const position = mayCommit(request.bytes) ? await this.confirmChainedCommit(request, {connection, member, term: primaryTerm}) : request.neededPoint;
		transactions.add({
			id: request.transactionId ?? '',
			member,
			role: 'primary',
			term: primaryTerm,
			connection,
			connections,
			linkId: request.linkId,
			onEnd() {
				checkout.endWrite();
			},
			isBusy: false,
		});
		return buildExecuteResponse(bytes, connection.transactionStatus, {member, role: 'primary'}, position);
	}

	/** Counts a write as in progress on the primary. The returned function stops counting it; further calls have no effect. */
	#countWriteInProgress(): () => void {
		const {board} = this.context;
		board.write('writesInProgress', board.read('writesInProgress') + 1);
		let isCounted = true;
		return () => {
			if (isCounted) {
				isCounted = false;
				board.write('writesInProgress', board.read('writesInProgress') - 1);
			}
		};
	}
}

/** Returns whether a majority of members responds, so that writes can be confirmed. */
function majorityResponds(board: GroupBlackboard): boolean {
	const responding = [...board.read('members').keys()].filter(member => board.read('observations').has(member) && !board.read('suspects').has(member));
	return responding.length >= majoritySize(board.read('memberCount'));
}

/** Returns whether a member rejected the request because it accepts no writes. */
export function wasRejectedAsReadOnly(bytes: Buffer): boolean {
	return findErrorInResponse(bytes)?.sqlState === readOnlySqlState;
}

/** Returns whether a write was rejected, and therefore did not run, because the member is no longer a primary that accepts writes. */
function wasRejectedByNonPrimary(request: PoolRequest, responseBytes: Buffer, statusBytes: Buffer): boolean {
	const sqlState = findErrorInResponse(responseBytes)?.sqlState;
	if ((sqlState !== readOnlySqlState && sqlState !== supersededSqlState) || mayCommit(request.bytes)) {
		return false;
	}

	const [row] = readTextRows(splitBackendMessages(statusBytes));
	const status = row && parseMemberStatus(row);
	return status?.role !== 'primary' || !status.acceptingWrites;
}
