import {type MemberRole} from '../database-group/types.js';
import {type MemberConnections} from './member-connections.js';
import {type PooledBackendConnection} from './pooled-backend-connection.js';

/** An open transaction with the connection reserved for it. */
export type OpenTransaction = {
	readonly id: string;
	readonly member: string;
	readonly role: MemberRole;
	/** Primary term of the member when the transaction began. */
	readonly term: number;
	readonly connection: PooledBackendConnection;
	readonly connections: MemberConnections;
	/** Link over which the entry sent the transaction. */
	readonly linkId: number;
	/** Called when the transaction ends; stops counting it as in progress on the primary. */
	readonly onEnd: () => void;
	/** Whether a statement is being executed. */
	isBusy: boolean;
};

/** Maximum number of lost transactions and of closed links that are remembered, so that a later statement of such a transaction is rejected instead of run outside it. */
const maximumRememberedIds = 10_000;

/** Open transactions of one database by id. */
export class TransactionTable {
	readonly #openTransactions = new Map<string, OpenTransaction>();
	readonly #lostIds = new Set<string>();
	readonly #closedLinks = new Set<number>();
	/** Functions that unsubscribe from the close event of the connection, by transaction id. */
	readonly #closeUnsubscribers = new Map<string, () => void>();

	constructor(private readonly onRemoved: () => void) {}

	/** Number of open transactions. */
	get size(): number {
		return this.#openTransactions.size;
	}

	/** Returns the open transaction with the id, if there is one. */
	get(id: string): OpenTransaction | undefined {
		return this.#openTransactions.get(id);
	}

	/** Returns whether the transaction with the id was lost: it was closed, or its connection was. */
	wasLost(id: string): boolean {
		return this.#lostIds.has(id);
	}

	/** Adds a transaction; it is lost if its connection closes before it ends. */
	add(transaction: OpenTransaction): void {
		const {id, connection, linkId} = transaction;
		this.#openTransactions.set(id, transaction);
		this.#closeUnsubscribers.set(id, connection.onClose(() => {
			addBounded(this.#lostIds, id);
			this.#remove(transaction);
		}));
		// The caller or its entry may have disconnected while the first statement was running.
		if (this.#lostIds.has(id) || this.#closedLinks.has(linkId)) {
			this.close(id);
		}
	}

	/** Removes a transaction that has ended; its connection stays open. */
	remove(transaction: OpenTransaction): void {
		this.#remove(transaction);
	}

	/** Rolls the transaction back by closing its connection. */
	close(id: string): void {
		const transaction = this.#openTransactions.get(id);
		addBounded(this.#lostIds, id);
		if (transaction) {
			this.#remove(transaction);
			transaction.connections.closeWithoutReporting(transaction.connection);
		}
	}

	/** Rolls back all transactions that arrived over the link. */
	closeByLink(linkId: number): void {
		addBounded(this.#closedLinks, linkId);
		for (const transaction of this.#openTransactions.values()) {
			if (transaction.linkId === linkId) {
				this.close(transaction.id);
			}
		}
	}

	/** Rolls back all transactions. */
	closeAll(): void {
		for (const id of this.#openTransactions.keys()) {
			this.close(id);
		}
	}

	#remove(transaction: OpenTransaction): void {
		if (this.#openTransactions.delete(transaction.id)) {
			this.#closeUnsubscribers.get(transaction.id)?.();
			this.#closeUnsubscribers.delete(transaction.id);
			transaction.onEnd();
			this.onRemoved();
		}
	}
}

function addBounded<Value>(values: Set<Value>, added: Value): void {
	values.add(added);
	if (values.size > maximumRememberedIds) {
		const [oldest] = values;
		values.delete(oldest);
	}
}
