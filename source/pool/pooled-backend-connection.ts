import {type Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {type Milliseconds} from '../clock/clock.js';
import {BackendConnection} from '../postgres-protocol/backend-connection.js';
import {findErrorInResponse} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type TransactionStatus} from './messages.js';
import {PreparedStatementCount} from './prepared-statement-limit.js';

const removalBytes = serialize.query('DEALLOCATE ALL');

/** Connection that is reused by many requests. It counts the named statements that they leave prepared in the memory of the backend server. */
export class PooledBackendConnection extends BackendConnection {
	readonly #statementCount = new PreparedStatementCount();

	constructor(private readonly connection: BackendConnection) {
		super();
	}

	override get isClosed(): boolean {
		return this.connection.isClosed;
	}

	override get transactionStatus(): TransactionStatus {
		return this.connection.transactionStatus;
	}

	override get busySince(): Milliseconds | undefined {
		return this.connection.busySince;
	}

	/** Whether the named statements should be removed before another request uses the connection. */
	get hasTooManyStatements(): boolean {
		return this.#statementCount.isAboveLimit;
	}

	override async exchange(bytes: Buffer, expectedReadyCount: number, timeout: Milliseconds): Promise<readonly Buffer[]> {
		this.#statementCount.add(bytes);
		return this.connection.exchange(bytes, expectedReadyCount, timeout);
	}

	/** Removes all named statements. Rejects with a BuckthornhitchError if this is not confirmed. */
	async removeStatements(timeout: Milliseconds): Promise<void> {
		const [response] = await this.connection.exchange(removalBytes, 1, timeout);
		const failure = findErrorInResponse(response);
		if (failure) {
			throw new BuckthornhitchError('memberRefused', `SQLSTATE ${failure.sqlState}`);
		}

		this.#statementCount.reset();
	}

	override close(): void {
		this.connection.close();
	}

	override onClose(listener: () => void): () => void {
		return this.connection.onClose(listener);
	}
}
