import {type Buffer} from 'node:buffer';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type TransactionStatus} from '../pool/messages.js';

/** An open connection to a backend server that carries one exchange at a time. */
export abstract class BackendConnection {
	/** Whether the connection can carry no further exchange. */
	abstract get closed(): boolean;

	/** State of the transaction after the latest exchange. */
	abstract get transactionStatus(): TransactionStatus;

	/** Time at which the exchange in progress began, or undefined without one. */
	abstract get busySince(): Milliseconds | undefined;

	/**
	Sends the bytes and resolves with one buffer for each expected ReadyForQuery.

	Rejects with linkNotSent when nothing was written, otherwise with memberUnreachable; the connection is closed in both cases. The timeout is in milliseconds.
	*/
	abstract exchange(bytes: Buffer, readyCount: number, timeout: Milliseconds): Promise<readonly Buffer[]>;

	/** Closes the connection; an exchange in progress fails. */
	abstract close(): void;

	/** Calls the listener once when the connection closes; returns a function that ends this. */
	abstract onClose(listener: () => void): () => void;
}

/** Opens connections to backend servers. */
export abstract class BackendConnector {
	/** Opens a connection for the database under the application name. Rejects with linkNotSent. */
	abstract connect(address: Address, database: string, appName: string, timeout: Milliseconds): Promise<BackendConnection>;
}
