import {type MemberRole} from '../database-group/types.js';
import {type BackendConnection} from '../postgres-protocol/backend-connection.js';
import {type MemberConnections} from './member-connections.js';

/** An open transaction with the connection that it keeps. */
export type OpenTransaction = {
	readonly id: string;
	readonly member: string;
	readonly role: MemberRole;
	/** Term of the primary in which the transaction began. */
	readonly term: number;
	readonly connection: BackendConnection;
	readonly connections: MemberConnections;
	/** Link of the entry that the transaction came from. */
	readonly linkId: number;
	/** Ends the count of the transaction as work on the primary. */
	readonly finish: () => void;
	/** Whether a statement is being executed. */
	busy: boolean;
};

/** Lost transactions and closed links that are remembered, so that a later statement is rejected and not run on its own. */
const rememberedLosses = 10_000;

/** Open transactions of one database by their id. */
export class TransactionTable {
	readonly #open = new Map<string, OpenTransaction>();
	readonly #lost = new Set<string>();
	readonly #closedLinks = new Set<number>();
	readonly #endWatch = new Map<string, () => void>();

	constructor(private readonly onChange: () => void) {}

	/** Number of open transactions. */
	get size(): number {
		return this.#open.size;
	}

	/** Returns the open transaction with the id. */
	get(id: string): OpenTransaction | undefined {
		return this.#open.get(id);
	}

	/** Returns whether the transaction with the id was lost. */
	wasLost(id: string): boolean {
		return this.#lost.has(id);
	}

	/** Adds a transaction; it counts as lost when its connection closes before it ends. */
	add(transaction: OpenTransaction): void {
		const {id, connection, linkId} = transaction;
		this.#open.set(id, transaction);
		this.#endWatch.set(id, connection.onClose(() => {
			remember(this.#lost, id);
			this.#remove(transaction);
		}));
		// The caller or its entry may have gone while the first statement was running.
		if (this.#lost.has(id) || this.#closedLinks.has(linkId)) {
			this.close(id);
		}
	}

	/** Removes a transaction that has ended; its connection stays open. */
	end(transaction: OpenTransaction): void {
		this.#remove(transaction);
	}

	/** Rolls the transaction back by closing its connection. */
	close(id: string): void {
		const transaction = this.#open.get(id);
		remember(this.#lost, id);
		if (transaction) {
			this.#remove(transaction);
			transaction.connections.closeUnused(transaction.connection);
		}
	}

	/** Rolls back the transactions that came over the link. */
	closeOfLink(linkId: number): void {
		remember(this.#closedLinks, linkId);
		for (const transaction of this.#open.values()) {
			if (transaction.linkId === linkId) {
				this.close(transaction.id);
			}
		}
	}

	/** Rolls back all transactions. */
	closeAll(): void {
		for (const id of this.#open.keys()) {
			this.close(id);
		}
	}

	#remove(transaction: OpenTransaction): void {
		if (this.#open.delete(transaction.id)) {
			this.#endWatch.get(transaction.id)?.();
			this.#endWatch.delete(transaction.id);
			transaction.finish();
			this.onChange();
		}
	}
}

function remember<Value>(values: Set<Value>, added: Value): void {
	values.add(added);
	if (values.size > rememberedLosses) {
		const [oldest] = values;
		values.delete(oldest);
	}
}
