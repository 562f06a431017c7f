import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberStatement, type RefusalReason, type StatementReply} from './types.js';

/** A backend server to connect to. */
export type MemberTarget = {
	readonly id: string;
	readonly service: string;
	readonly address: Address;
};

/** A backend server answered that it takes no connection. */
export class MemberRefusedError extends BuckthornhitchError {
	constructor(readonly reason: RefusalReason, detail: string) {
		super('memberRefused', `${reason} ${detail}`);
	}
}

/** One open connection to a backend server; statements are answered in order. */
export abstract class MemberConnection {
	/** Whether the connection has ended. */
	abstract get isClosed(): boolean;

	/** Whether another entry passes the statements on. */
	get isRelayed(): boolean {
		return false;
	}

	/** Sends a statement and resolves with its answer, which is of use within the timeout in milliseconds. Rejects with linkOutcomeUnknown when the connection ends first, and with linkNotSent when it had ended before. */
	abstract execute(statement: MemberStatement, timeout?: Milliseconds): Promise<StatementReply>;

	/** Closes the connection, which rolls back an open transaction. */
	abstract close(): void;

	/** Calls the listener once when the connection ends. */
	abstract onClosed(listener: () => void): void;
}

/** Opens connections to backend servers. */
export abstract class MemberConnector {
	/** Opens a connection. Rejects with a MemberRefusal or with memberUnreachable. */
	abstract connect(target: MemberTarget, timeout: Milliseconds): Promise<MemberConnection>;
}
