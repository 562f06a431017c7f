import {type Milliseconds} from '../clock/clock.js';
import {type MemberStatement, type RefusalReason, type StatementReply} from '../statement/types.js';

/** Name of the request without a body by which an entry finds out whether a gateway that was silent answers again. */
export const gatewayProbeName = 'probeGateway';

/** Request `openRelay`: an entry (an instance that accepts callers) asks another entry, the gateway, to relay statements to a member. The relay number is unique on the link between the two. */
export type OpenRelayRequest = {
	readonly relay: number;
	readonly service: string;
	/** Id of the member. */
	readonly member: string;
	/** Name of the customer whose statements are relayed; absent if there is none. */
	readonly customer?: string;
};

/** Response to `openRelay`. A gateway of an earlier build leaves out what it does not support, and answers null if it supports nothing of it. */
export type OpenRelayResponse = {
	/** Whether the gateway runs primary reads and checks `isInTransaction`; only where the gateways are near the member. A gateway of an earlier build ignores both fields and would run such a statement outside a transaction. */
	readonly supportsPrimaryReads?: true;
	/** Whether the gateway finds a prepared statement by the name that the entry sent. One of an earlier build works out a name from the definition instead. */
	readonly usesSentNames?: true;
} | null;

/** Request `relayStatement`: executes a statement on the member. */
export type RelayStatementRequest = {
	readonly relay: number;
	/** Number of the statement within the relay, counted from 0. A gap shows the gateway that it lost the relay or an earlier statement. */
	readonly sequence: number;
	readonly statement: MemberStatement;
	/** Time within which the requesting entry needs the reply. */
	readonly timeout: Milliseconds;
	/** Priority of the statement, by which the gateway orders it among its own; only sent to gateways near the member. */
	readonly priority?: number;
	/** Part of the caller's latency target that is left, which is negative if the statement is late; only sent to gateways near the member, and absent for statements of the proxy itself. */
	readonly latencyTarget?: Milliseconds;
	/** Whether a caller's transaction is opened; absent for all other statements. */
	readonly isForTransaction?: boolean;
	/** Whether the gateway runs the read inside a write transaction that it opens and rolls back itself, so that only the primary answers it. Only sent on relays whose gateway supports it. */
	readonly isPrimaryRead?: true;
	/** Whether the statement belongs to a transaction that was begun on the relay. The gateway never runs it unless that transaction is open. */
	readonly isInTransaction?: true;
};

/** Response to `relayStatement`. */
export type RelayStatementResponse = RelayStatementResult & {
	/** Time for which the statement waited for a connection of the gateway; only sent by gateways near the member, and if it is not 0. */
	readonly connectionWait?: Milliseconds;
};

/** What became of a relayed statement. */
export type RelayStatementResult =
	| {readonly kind: 'answered'; readonly reply: StatementReply}
	/** The member did not receive the statement. If `isLost`, the relay cannot be used any more. The expected wait is stated if the gateway's queue refused the statement. */
	| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly detail: string; readonly isLost: boolean; readonly expectedWait?: Milliseconds}
	/** The member may have run the statement. */
	| {readonly kind: 'unknown'; readonly detail: string};

/** Notice `closeRelay`: closes the relay; an open transaction is rolled back. */
export type CloseRelayNotice = {
	readonly relay: number;
};
