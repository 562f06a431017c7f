import {holdsLease} from '../database-group/group-state.js';
import {type LogPosition} from '../database-group/types.js';
import {receivedLogPosition} from '../database-group/log-position-rules.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	buildExecuteResponse, createOutcomeUnknownError, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {type ExecuteResponse} from './messages.js';
import {mayCommit} from './statement-text.js';
import {type OpenTransaction} from './transaction-table.js';
import {statusQueryBytes, type WriteExecutor} from './write-executor.js';

/** Runs the statements of open transactions on the connections reserved for them. */
export class TransactionExecutor {
	constructor(private readonly context: ExecutionContext, private readonly writeExecutor: WriteExecutor) {}

	/** Runs one request of the transaction. Rejects with a BuckthornhitchError. */
	async execute(request: PoolRequest, transaction: OpenTransaction): Promise<ExecuteResponse> {
		if (transaction.isBusy) {
			throw new BuckthornhitchError('malformedMessage', 'A statement of the same transaction is still running.');
		}

		transaction.isBusy = true;
		try {
			const grant = await this.#admit(request, transaction);
			try {
				return await this.#runInSlot(request, transaction, grant);
			} finally {
				grant.releaseSlot();
				this.context.dispatch();
			}
		} finally {
			transaction.isBusy = false;
		}
	}

	async #admit(request: PoolRequest, transaction: OpenTransaction): Promise<MemberGrant> {
		const {slots, readQueue, writeQueue, board} = this.context;
		const {member, role, connections} = transaction;
		const access = role === 'primary' ? 'write' : 'read';
		const status = board.read('observations').get(member)?.status;
		const queue = access === 'write' ? writeQueue : readQueue;
		return queue.enter({
			attempt: () => status && slots.freeSlots(member, access, role === 'primary') > 0
				? {
					status, isPrimary: role === 'primary', connections, releaseSlot: slots.take(member, access),
				}
				: undefined,
			deadlineAt: request.deadlineAt,
			urgent: true,
		});
	}

	async #runInSlot(request: PoolRequest, transaction: OpenTransaction, grant: MemberGrant): Promise<ExecuteResponse> {
		const {transactions, limits} = this.context;
		const {connection, member, role} = transaction;
		const bytes = await this.#exchange(request, transaction);
		const {transactionStatus} = connection;
		if (transactionStatus !== 'idle') {
			const position = role === 'primary' && mayCommit(request.bytes) ? await this.#confirmChained(request, transaction) : request.neededPoint;
			return buildExecuteResponse(bytes, transactionStatus, {member, role}, position);
		}

		transactions.remove(transaction);
		if (role === 'replica') {
			transaction.connections.release(connection);
			return buildExecuteResponse(bytes, 'idle', {member, role}, request.neededPoint);
		}

		const askedAt = this.context.clock.now();
		const position = await connection.exchange(statusQueryBytes, 1, limits().statementTimeout)
			.then(([statusBytes]) => receivedLogPosition(this.writeExecutor.parsePrimaryStatus(statusBytes, askedAt, transaction.term)))
			.catch((error: unknown) => {
				transaction.connections.discard(connection, `commit: ${toBuckthornhitchError(error).detail}`);
				throw createOutcomeUnknownError(toBuckthornhitchError(error).detail);
			});
		transaction.connections.release(connection);
		grant.releaseSlot();
		await this.writeExecutor.waitForConfirmation(position, member, request);
		return buildExecuteResponse(bytes, 'idle', {member, role}, position);
	}

	/** Waits for the confirmation of a transaction whose commit also opened the next one, as COMMIT AND CHAIN does. */
	async #confirmChained(request: PoolRequest, transaction: OpenTransaction): Promise<LogPosition> {
		try {
			return await this.writeExecutor.confirmChainedCommit(request, transaction);
		} catch (error) {
			this.context.transactions.close(transaction.id);
			throw error;
		}
	}

	async #exchange(request: PoolRequest, transaction: OpenTransaction): Promise<ExecuteResponse['bytes']> {
		const {limits, pollMember, board, clock, transactions} = this.context;
		if (!holdsLease(board, transaction.member, clock.now())) {
			transactions.close(transaction.id);
			throw new BuckthornhitchError('transactionLost', `The lease of ${transaction.member} lapsed.`);
		}

		try {
			const [bytes] = await transaction.connection.exchange(request.bytes, 1, limits().statementTimeout);
			return bytes;
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			transaction.connections.discard(transaction.connection, `transaction: ${failure.detail}`);
			pollMember(transaction.member);
			const mayHaveCommitted = failure.codeName !== 'linkNotSent' && transaction.role === 'primary' && mayCommit(request.bytes);
			throw mayHaveCommitted ? createOutcomeUnknownError('The connection was lost during the commit.') : new BuckthornhitchError('transactionLost', failure.detail);
		}
	}
}
