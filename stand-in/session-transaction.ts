import {SqlError} from './sql-error.js';
import {type Transaction} from './tables.js';

/** What a session's transactions ask of the member. */
export type TransactionHost = {
	beginTransaction(): Transaction;
	/** Throws when the member may not take the transaction's writes. */
	commit(transaction: Transaction): void;
};

/** Transaction of one session: begun by a statement, or implicit for one Query or up to one Sync. */
export class SessionTransaction {
	#transaction: Transaction | undefined;
	#isExplicit = false;
	#isReadOnly = false;
	#isFailed = false;
	#isTerminated = false;

	constructor(private readonly host: TransactionHost) {}

	/** Whether the transaction was begun as read only. */
	get isReadOnly(): boolean {
		return this.#isReadOnly;
	}

	/** Status for ReadyForQuery. */
	get status(): 'I' | 'T' | 'E' {
		const openStatus = this.#isFailed ? 'E' : 'T';
		return this.#isExplicit ? openStatus : 'I';
	}

	/** The open transaction; begins an implicit one if there is none. */
	get current(): Transaction {
		this.#transaction ??= this.host.beginTransaction();
		return this.#transaction;
	}

	begin(isReadOnly: boolean): void {
		this.#isExplicit = true;
		this.#isReadOnly = isReadOnly;
	}

	/** Throws 25P02 after an error in the transaction. */
	assertNotFailed(): void {
		if (this.#isFailed) {
			throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block');
		}
	}

	/** Throws 57P01 once the member has closed the connection. */
	assertOpen(): void {
		if (this.#isTerminated) {
			throw new SqlError('57P01', 'terminating connection due to administrator command');
		}
	}

	/** Commits, or rolls back when asked to or after an error; returns the command tag. */
	finish(isCommit: boolean): string {
		const commits = isCommit && !this.#isFailed;
		try {
			if (commits && this.#transaction) {
				this.host.commit(this.#transaction);
			}
		} finally {
			this.rollBack();
		}

		return commits ? 'COMMIT' : 'ROLLBACK';
	}

	/** Commits an implicit transaction. */
	finishImplicit(): void {
		if (!this.#isExplicit) {
			this.finish(true);
		}
	}

	/** Takes note of an error: an explicit transaction waits for its end, an implicit one is rolled back. */
	fail(): void {
		if (this.#isExplicit) {
			this.#isFailed = true;
		} else {
			this.rollBack();
		}
	}

	rollBack(): void {
		this.#transaction?.end();
		this.#transaction = undefined;
		this.#isExplicit = false;
		this.#isReadOnly = false;
		this.#isFailed = false;
	}

	/** Rolls back; statements in progress have no effect. */
	terminate(): void {
		this.#isTerminated = true;
		this.rollBack();
	}
}
