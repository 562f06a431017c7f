import {type Buffer} from 'node:buffer';
import {type Milliseconds} from '../clock/clock.js';
import {type LogPosition, type MemberRole} from '../database-group/types.js';

/** Access that a request needs: a read may be served by a replica. */
export type Access = 'read' | 'write';

/** Transaction status after a request, as reported by ReadyForQuery. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

/** Request `execute`: runs one simple query or one batch of the extended query protocol. */
export type ExecuteRequest = {
	readonly database: string;
	/** Identifies the caller's session across all instances. */
	readonly sessionId: string;
	/** Id that the entry chose for the transaction block; null outside a transaction block. The pool keeps a connection for the transaction while its status is not idle. */
	readonly transactionId: string | null;
	readonly access: Access;
	/** Frontend messages in wire format, ending with Query or Sync. */
	readonly bytes: Buffer;
	/** Log position that a member must have applied to serve a read. If null, the pool polls a majority of members after this request has arrived to determine the position; see `FreshnessFloor`. */
	readonly neededPoint: LogPosition | null;
	/** Maximum age of a bounded-staleness read; null for a read-your-writes read. */
	readonly maximumAge: Milliseconds | null;
	/** Idempotency key of a write that may be retried; null if it must not be retried. */
	readonly requestId: string | null;
	/** Time remaining until the request must have been sent to a member. */
	readonly deadline: Milliseconds;
};

/** Response to an `execute` request. */
export type ExecuteResponse = {
	/** Backend messages as received from the member, ending with ReadyForQuery. */
	readonly bytes: Buffer;
	readonly transactionStatus: TransactionStatus;
	/** Log position that the session has observed. */
	readonly point: LogPosition;
	readonly servedBy: string;
	readonly servedByRole: MemberRole;
};

/** Notice `closeTransaction`: the caller has disconnected or its transaction was given up; the pool rolls the transaction back. */
export type CloseTransactionNotice = {
	readonly database: string;
	readonly transactionId: string;
};

/** Request `abandonRequest`: records a request id as abandoned unless an outcome is already recorded for it. */
export type AbandonRequest = {
	readonly database: string;
	readonly requestId: string;
	/** Time remaining until a majority must have confirmed the record. */
	readonly deadline: Milliseconds;
};

/** Response to `abandonRequest`, sent once a majority has confirmed the record. */
export type AbandonResponse =
	| {readonly outcome: 'abandoned'}
	| {
		readonly outcome: 'done';
		/** Digest of the request that ran; see `requestFingerprint`. */
		readonly fingerprint: string;
		/** The recorded response. */
		readonly response: ExecuteResponse;
	};

/** State of one member as reported to operators. */
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

/** State of one database as reported to operators. */
export type DatabaseReport = {
	readonly database: string;
	readonly leaseHeld: boolean;
	readonly primary: string | null;
	readonly term: number;
	readonly members: readonly MemberReport[];
	readonly waitingReads: number;
	readonly waitingWrites: number;
};

/** Response to a `poolStatus` request. */
export type PoolStatusResponse = {
	readonly name: string;
	readonly draining: boolean;
	readonly configurationRevision: number;
	readonly databases: readonly DatabaseReport[];
};

/** Request `promote`: switches the primary role over to a member. */
export type PromoteRequest = {
	readonly database: string;
	readonly member: string;
};

/** Request `yieldDatabase` of one pool to another: hands the database over to the successor. */
export type YieldRequest = {
	readonly database: string;
	readonly successor: string;
};
