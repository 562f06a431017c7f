import {SqlError} from './sql-error.js';
import {type Transaction} from './tables.js';

/** Operations of the member that the transaction of a session uses. */
export type TransactionHost = {
	beginTransaction(): Transaction;
	/** Commits the writes. Throws if the member must not accept them. */
	commit(transaction: Transaction): void;
	/** Records a marked statement that arrived inside the transaction of another caller. */
	recordMisplacedStatement(mark: string, caller: string): void;
};

/** Transaction of one session: explicit (started by BEGIN) or implicit (for one Query message or up to the next Sync). */
export class SessionTransaction {
	#transaction: Transaction | undefined;
	#isExplicit = false;
	#isReadOnly = false;
	#isFailed = false;
	#isTerminated = false;
	/** Mark of the first marked statement of the explicit transaction. */
	#caller: string | undefined;

	constructor(private readonly host: TransactionHost) {}

	/** Whether the transaction was started with READ ONLY. */
	get isReadOnly(): boolean {
		return this.#isReadOnly;
	}

	/** Transaction status for ReadyForQuery. */
	get status(): 'I' | 'T' | 'E' {
		const openStatus = this.#isFailed ? 'E' : 'T';
		return this.#isExplicit ? openStatus : 'I';
	}

	/** The open transaction. Starts an implicit one if there is none. */
	get current(): Transaction {
		this.#transaction ??= this.host.beginTransaction();
		return this.#transaction;
	}

	begin(isReadOnly: boolean): void {
		this.#isExplicit = true;
		this.#isReadOnly = isReadOnly;
	}

	/** Reports a marked statement if the explicit transaction belongs to another caller. The first marked statement determines the caller. */
	checkCaller(mark: string | undefined): void {
		if (!this.#isExplicit || mark === undefined) {
			return;
		}

		this.#caller ??= mark;
		if (this.#caller !== mark) {
			this.host.recordMisplacedStatement(mark, this.#caller);
		}
	}

	/** Throws 25P02 if an error has occurred in the transaction. */
	assertNotFailed(): void {
		if (this.#isFailed) {
			throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block');
		}
	}

	/** Throws 57P01 if the member has terminated the session. */
	assertNotTerminated(): void {
		if (this.#isTerminated) {
			throw new SqlError('57P01', 'terminating connection due to administrator command');
		}
	}

	/** Commits the transaction, or rolls it back if requested or after an error. Returns the command tag. */
	end(isCommit: boolean): string {
		const shouldCommit = isCommit && !this.#isFailed;
		try {
			if (shouldCommit && this.#transaction) {
				this.host.commit(this.#transaction);
			}
		} finally {
			this.rollBack();
		}

		return shouldCommit ? 'COMMIT' : 'ROLLBACK';
	}

	/** Commits the transaction if it is implicit. */
	endImplicit(): void {
		if (!this.#isExplicit) {
			this.end(true);
		}
	}

	/** Records an error. An explicit transaction stays open until the client ends it, an implicit one is rolled back. */
	markFailed(): void {
		if (this.#isExplicit) {
			this.#isFailed = true;
		} else {
			this.rollBack();
		}
	}

	rollBack(): void {
		this.#transaction?.releaseLocks();
		this.#transaction = undefined;
		this.#isExplicit = false;
		this.#isReadOnly = false;
		this.#isFailed = false;
		this.#caller = undefined;
	}

	/** Rolls back. Statements in progress have no effect. */
	terminate(): void {
		this.#isTerminated = true;
		this.rollBack();
	}
}
