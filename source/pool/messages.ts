import {type Buffer} from 'node:buffer';
import {type Milliseconds} from '../clock/clock.js';
import {type LogPosition, type MemberRole} from '../database-group/types.js';

/** Whether a request only reads. */
export type Access = 'read' | 'write';

/** State of the transaction after a request, as in ReadyForQuery. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

/** Request `execute`: run one simple query or one extended batch. */
export type ExecuteRequest = {
	readonly database: string;
	/** Identifies the caller's session within the fleet. */
	readonly sessionId: string;
	/** Chosen by the entry for each transaction block; null outside of one. The pool keeps a connection for it while the status is not idle. */
	readonly transactionId: string | null;
	readonly access: Access;
	/** Frontend messages as sent on the wire, ending with Query or Sync. */
	readonly bytes: Buffer;
	/** Point that a read must see; null asks for a floor started after this request. */
	readonly neededPoint: LogPosition | null;
	/** Stated maximum age of a read; null when the read needs the session's own writes. */
	readonly maximumAge: Milliseconds | null;
	/** Identifies a request that may be retried; null when it may not. */
	readonly requestId: string | null;
	/** Time left until the request must have been sent to a member. */
	readonly deadline: Milliseconds;
};

/** Response to `execute`. */
export type ExecuteResponse = {
	/** Backend messages as received, ending with ReadyForQuery. */
	readonly bytes: Buffer;
	readonly transactionStatus: TransactionStatus;
	/** Point that the session has seen. */
	readonly point: LogPosition;
	readonly servedBy: string;
	readonly servedByRole: MemberRole;
};

/** Notice `closeTransaction`: the caller has gone or gave up its transaction. */
export type CloseTransactionNotice = {
	readonly database: string;
	readonly transactionId: string;
};

/** Request `abandonRequest`: record a request id as abandoned unless something is recorded under it. */
export type AbandonRequest = {
	readonly database: string;
	readonly requestId: string;
	/** Time left until a majority must hold the record. */
	readonly deadline: Milliseconds;
};

/** Response to `abandonRequest`, sent once a majority holds the record. */
export type AbandonResponse =
	| {readonly outcome: 'abandoned'}
	| {
		readonly outcome: 'done';
		/** Digest of the request that ran, as `requestFingerprint` returns it. */
		readonly fingerprint: string;
		/** The recorded answer. */
		readonly response: ExecuteResponse;
	};

/** State of one member as shown to operators. */
export type MemberReport = {
	readonly member: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly reachable: boolean;
	readonly leaving: boolean;
	readonly role: MemberRole;
	readonly logTerm: number;
	readonly receivedPosition: number;
	readonly appliedPosition: number;
	readonly slotsInUse: number;
	readonly connections: number;
};

/** State of one database as shown to operators. */
export type DatabaseReport = {
	readonly database: string;
	readonly leaseHeld: boolean;
	readonly primary: string | null;
	readonly term: number;
	readonly members: readonly MemberReport[];
	readonly waitingReads: number;
	readonly waitingWrites: number;
};

/** Response to `poolStatus`. */
export type PoolStatusResponse = {
	readonly name: string;
	readonly draining: boolean;
	readonly configurationRevision: number;
	readonly databases: readonly DatabaseReport[];
};

/** Request `promote`: make a member primary as a planned change. */
export type PromoteRequest = {
	readonly database: string;
	readonly member: string;
};

/** Request `yieldDatabase` from one pool to another: give the database up to the successor. */
export type YieldRequest = {
	readonly database: string;
	readonly successor: string;
};
