import {type Buffer} from 'node:buffer';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type TransactionStatus} from '../pool/messages.js';

/** Open connection to a backend server. It carries one exchange (request and response) at a time. */
export abstract class BackendConnection {
	/** Whether the connection is closed; a closed connection accepts no further exchange. */
	abstract get isClosed(): boolean;

	/** Transaction status that the backend server reported at the end of the latest exchange. */
	abstract get transactionStatus(): TransactionStatus;

	/** Time at which the exchange in progress started, or undefined if the connection is idle. */
	abstract get busySince(): Milliseconds | undefined;

	/**
	Sends the bytes and resolves with one response for each expected ReadyForQuery message.

	Rejects with linkNotSent if nothing was written because the connection is closed or in use. Rejects with memberUnreachable if the exchange fails later; the connection is closed then.
	*/
	abstract exchange(bytes: Buffer, expectedReadyCount: number, timeout: Milliseconds): Promise<readonly Buffer[]>;

	/** Closes the connection. An exchange in progress is rejected. */
	abstract close(): void;

	/** Calls the listener once when the connection closes. Returns a function that removes the listener. */
	abstract onClose(listener: () => void): () => void;
}

/** Opens connections to backend servers. */
export abstract class BackendConnector {
	/** Opens a connection to the database with the given `application_name`. Rejects with linkNotSent. */
	abstract connect(address: Address, database: string, appName: string, timeout: Milliseconds): Promise<BackendConnection>;
}
