import {holdsLease} from '../database-group/group-state.js';
import {type LogPosition} from '../database-group/types.js';
import {receivedLogPosition} from '../database-group/log-position-rules.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	buildResponse, outcomeUnknown, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {type ExecuteResponse} from './messages.js';
import {mayCommit} from './statement-text.js';
import {type OpenTransaction} from './transaction-table.js';
import {statusQueryBytes, type WriteExecutor} from './write-executor.js';

/** Runs the statements of open transactions on the connections that the transactions keep. */
export class TransactionExecutor {
	constructor(private readonly context: ExecutionContext, private readonly writes: WriteExecutor) {}

	/** Runs one request of the transaction. Rejects with a numbered code. */
	async execute(request: PoolRequest, transaction: OpenTransaction): Promise<ExecuteResponse> {
		if (transaction.busy) {
			throw new BuckthornhitchError('malformedMessage', 'A statement of the same transaction is still running.');
		}

		transaction.busy = true;
		try {
			const slot = await this.#takeSlot(request, transaction);
			try {
				return await this.#run(request, transaction, slot);
			} finally {
				slot.releaseSlot();
				this.context.dispatch();
			}
		} finally {
			transaction.busy = false;
		}
	}

	async #takeSlot(request: PoolRequest, transaction: OpenTransaction): Promise<MemberGrant> {
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

	async #run(request: PoolRequest, transaction: OpenTransaction, slot: MemberGrant): Promise<ExecuteResponse> {
		const {transactions, limits} = this.context;
		const {connection, member, role} = transaction;
		const bytes = await this.#exchange(request, transaction);
		const {transactionStatus} = connection;
		if (transactionStatus !== 'idle') {
			const point = role === 'primary' && mayCommit(request.bytes) ? await this.#confirmChained(request, transaction) : request.neededPoint;
			return buildResponse(bytes, transactionStatus, {member, role}, point);
		}

		transactions.end(transaction);
		if (role === 'replica') {
			transaction.connections.release(connection);
			return buildResponse(bytes, 'idle', {member, role}, request.neededPoint);
		}

		const askedAt = this.context.clock.now();
		const point = await connection.exchange(statusQueryBytes, 1, limits().statementTimeout)
			.then(([statusBytes]) => receivedLogPosition(this.writes.checkedStatus(statusBytes, askedAt, transaction.term)))
			.catch((error: unknown) => {
				transaction.connections.discard(connection, `commit: ${toBuckthornhitchError(error).detail}`);
				throw outcomeUnknown(toBuckthornhitchError(error).detail);
			});
		transaction.connections.release(connection);
		slot.releaseSlot();
		await this.writes.confirm(point, member, request);
		return buildResponse(bytes, 'idle', {member, role}, point);
	}

	/** Confirms a transaction that was committed by a request that opened another one at once. */
	async #confirmChained(request: PoolRequest, transaction: OpenTransaction): Promise<LogPosition> {
		try {
			return await this.writes.confirmOpen(request, transaction);
		} catch (error) {
			this.context.transactions.close(transaction.id);
			throw error;
		}
	}

	async #exchange(request: PoolRequest, transaction: OpenTransaction): Promise<ExecuteResponse['bytes']> {
		const {limits, checkMember, board, clock, transactions} = this.context;
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
			checkMember(transaction.member);
			const committed = failure.codeName !== 'linkNotSent' && transaction.role === 'primary' && mayCommit(request.bytes);
			throw committed ? outcomeUnknown('The connection was lost during the commit.') : new BuckthornhitchError('transactionLost', failure.detail);
		}
	}
}
