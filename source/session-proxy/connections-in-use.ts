import {maximumTransactions} from '../admission/transaction-share.js';
import {type ConnectionPath} from '../statement/member-connection.js';
import {type ConnectionPlacement} from './connection-placement.js';
import {type ConnectionRequest} from './connection-requests.js';
import {type PooledConnection} from './pooled-connection.js';

/** Connections of a pool that are in use or being rolled back, and the rules for sharing them. */
export class ConnectionsInUse {
	readonly #inUse = new Set<PooledConnection>();
	/** Connections on which callers' transactions are opened, until they are returned or closed. */
	readonly #inTransaction = new Set<PooledConnection>();
	/** Connections whose transaction is being rolled back. */
	readonly #rollingBack = new Set<PooledConnection>();

	constructor(private readonly placement: ConnectionPlacement) {}

	/** Number of connections in use. */
	get count(): number {
		return this.#inUse.size;
	}

	/** Adds a connection that is used for the request. */
	add(connection: PooledConnection, {isForTransaction}: Pick<ConnectionRequest, 'isForTransaction'>): void {
		this.#inUse.add(connection);
		if (isForTransaction) {
			this.#inTransaction.add(connection);
		}
	}

	/** Removes a connection that was returned or closed. */
	remove(connection: PooledConnection): void {
		this.#inUse.delete(connection);
		this.#inTransaction.delete(connection);
		this.#rollingBack.delete(connection);
	}

	/** Moves a connection in use to those that are being rolled back. */
	beginRollback(connection: PooledConnection): void {
		this.#inUse.delete(connection);
		this.#rollingBack.add(connection);
	}

	/** Returns whether a caller's transaction is opened on the connection. */
	isForTransaction(connection: PooledConnection): boolean {
		return this.#inTransaction.has(connection);
	}

	/** Returns the number of connections that a customer uses. */
	countOf(customer: string | undefined): number {
		return [...this.#inUse].filter(connection => connection.customer === customer).length;
	}

	/** Returns the number of connections on the path that the member counts. */
	countOn(path: ConnectionPath | undefined): number {
		const counted = this.placement.isExact ? [...this.#inUse, ...this.#rollingBack] : [...this.#inUse];
		return counted.filter(connection => connection.path === path).length;
	}

	/** Returns whether the customer of the request would hold all connections, so that another customer that waits would get none. */
	wouldHoldAll({customer, path, session}: ConnectionRequest, isOtherWaiting: () => boolean): boolean {
		const maximum = this.placement.maximumConnections(path);
		return session !== undefined && maximum > 1 && isOtherWaiting()
			&& [...this.#inUse].filter(connection => connection.path === path && connection.customer === customer).length >= maximum - 1;
	}

	/** Returns whether the request is for a transaction and the connections that may be in transactions are. */
	isTransactionShareUsed({isForTransaction, path}: ConnectionRequest): boolean {
		// Elsewhere the connections of an instance are few and its callers are its own.
		if (!isForTransaction || !this.placement.isExact || path === 'gateway') {
			return false;
		}

		const count = [...this.#inTransaction].filter(connection => connection.path === path).length;
		return count >= maximumTransactions(this.placement.maximumConnections(path));
	}
}
