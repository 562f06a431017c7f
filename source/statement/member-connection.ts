import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberStatement, type RefusalReason, type StatementReply} from './types.js';

/** How a connection is opened where each customer has a gateway of its own: directly, because this instance is the gateway, or through the gateway. */
export type ConnectionPath = 'own' | 'gateway';

/** A member, which is a backend server of a service, to connect to. */
export type MemberTarget = {
	readonly id: string;
	readonly service: string;
	readonly address: Address;
	/** Name of the customer for whom the connection is opened; undefined for a connection of the proxy itself or in a deployment without customers. */
	readonly customer?: string;
	/** Undefined where the connector decides how it opens the connection. */
	readonly path?: ConnectionPath;
};

/** A member refused a connection, or a statement that sets up a session on it. */
export class MemberRefusedError extends BuckthornhitchError {
	constructor(readonly reason: RefusalReason, detail: string, codeName: 'memberRefused' | 'setupRefused' = 'memberRefused') {
		super(codeName, `${reason} ${detail}`);
	}
}

/** A session was not set up on a connection, since a session variable or a prepared statement was refused. Every statement on the connection was answered. */
export class SetupRefusedError extends MemberRefusedError {
	constructor(reason: RefusalReason, detail: string) {
		super(reason, detail, 'setupRefused');
	}
}

/** What a connection is used for until it is released. */
export type ConnectionUse = {
	/** Priority of the statements among those that wait for a connection; 0 is the highest. */
	readonly priority: number;
	/** Whether a caller's transaction is opened on the connection. */
	readonly isForTransaction: boolean;
	/** Time by which the caller should have its reply; absent for statements of the proxy itself. */
	readonly targetAt?: Milliseconds;
	/** Whether the statements are those of the proxy itself, which take no slot of the member; absent otherwise. */
	readonly isOfProxy?: boolean;
};

/** How a gateway runs a relayed statement with regard to transactions. */
export type StatementScope =
	/** Inside the transaction that is open on the relay; never outside one. */
	| 'transaction'
	/** Inside a write transaction that the gateway opens for this read and rolls back afterwards. */
	| 'primaryRead';

/** An open connection to a member; statements are answered in the order in which they were sent. */
export abstract class MemberConnection {
	/** Whether the connection has ended. */
	abstract get isClosed(): boolean;

	/** Whether another instance, the gateway, relays the statements. */
	get isRelayed(): boolean {
		return false;
	}

	/** Whether another instance, the gateway, has confirmed that it runs statements with a scope as the scope demands. Until `waitUntilOpen` resolves, this may still change. */
	get supportsScopes(): boolean {
		return false;
	}

	/** Resolves when it is known whether scopes are supported. */
	async waitUntilOpen(): Promise<void> {
		// Only relayed connections accept statements before they are open.
	}

	/** Name of the gateway that relays the statements; undefined for a direct connection. */
	get gateway(): string | undefined {
		return undefined;
	}

	/** Time for which the statements of this connection have waited for a connection of the gateway, in all. */
	get gatewayWait(): Milliseconds {
		return 0;
	}

	/** Sets what the statements that follow are for. A direct connection has no use for it, since its statements do not wait for a connection again. */
	setUse(_use: ConnectionUse): void {
		// Only relayed connections pass the use on.
	}

	/** Closes the connection and discards statements that have not reached the member yet. */
	reset(): void {
		this.close();
	}

	/** Sends a statement and resolves with its reply. The timeout, in milliseconds, limits the wait on a relayed connection, and the scope tells the gateway how to run the statement; a direct connection ignores both. Rejects with linkOutcomeUnknown when the connection ends before the reply, and with linkNotSent when it had ended before the statement was sent. */
	abstract execute(statement: MemberStatement, timeout?: Milliseconds, scope?: StatementScope): Promise<StatementReply>;

	/** Closes the connection, which rolls back an open transaction. */
	abstract close(): void;

	/** Calls the listener once when the connection ends. */
	abstract onClosed(listener: () => void): void;
}

/** Opens connections to members. */
export abstract class MemberConnector {
	/** Opens a connection within the timeout. Rejects with a MemberRefusedError or with memberUnreachable. */
	abstract connect(target: MemberTarget, timeout: Milliseconds): Promise<MemberConnection>;
}
