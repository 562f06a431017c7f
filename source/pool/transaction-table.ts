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

/** Lost transactions that are remembered, so that their next statement is rejected and not run on its own. */
const rememberedLosses = 10_000;

/** Open transactions of one database by their id. */
export class TransactionTable {
	readonly #open = new Map<string, OpenTransaction>();
	readonly #lost = new Set<string>();

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
		this.#open.set(transaction.id, transaction);
		transaction.connection.onClose(() => {
			if (this.#open.get(transaction.id) === transaction) {
				this.#remember(transaction.id);
				this.#remove(transaction);
			}
		});
	}

	/** Removes a transaction that has ended; its connection stays open. */
	end(transaction: OpenTransaction): void {
		this.#remove(transaction);
	}

	/** Rolls the transaction back by closing its connection. */
	close(id: string): void {
		const transaction = this.#open.get(id);
		if (transaction) {
			this.#remember(id);
			this.#remove(transaction);
			transaction.connections.closeUnused(transaction.connection);
		}
	}

	/** Rolls back the transactions that came over the link. */
	closeOfLink(linkId: number): void {
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
			transaction.finish();
			this.onChange();
		}
	}

	#remember(id: string): void {
		this.#lost.add(id);
		if (this.#lost.size > rememberedLosses) {
			const [oldest = ''] = this.#lost;
			this.#lost.delete(oldest);
		}
	}
}
