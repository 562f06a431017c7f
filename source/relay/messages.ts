import {type Milliseconds} from '../clock/clock.js';
import {type MemberStatement, type RefusalReason, type StatementReply} from '../statement/types.js';

/** Request `openRelay`: an entry (an instance that accepts callers) asks another entry, the gateway, to relay statements to a member. The relay number is unique on the link between the two. */
export type OpenRelayRequest = {
	readonly relay: number;
	readonly service: string;
	/** Id of the member. */
	readonly member: string;
	/** Name of the customer whose statements are relayed; absent if there is none. */
	readonly customer?: string;
};

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
	/** Whether a caller's transaction is opened; absent for all other statements. */
	readonly isForTransaction?: boolean;
};

/** Response to `relayStatement`. */
export type RelayStatementResponse = RelayStatementResult & {
	/** Time for which the statement waited for a connection of the gateway; only sent by gateways near the member, and if it is not 0. */
	readonly connectionWait?: Milliseconds;
};

/** What became of a relayed statement. */
export type RelayStatementResult =
	| {readonly kind: 'answered'; readonly reply: StatementReply}
	/** The member did not receive the statement. If `isLost`, the relay cannot be used any more. */
	| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly detail: string; readonly isLost: boolean}
	/** The member may have run the statement. */
	| {readonly kind: 'unknown'; readonly detail: string};

/** Notice `closeRelay`: closes the relay; an open transaction is rolled back. */
export type CloseRelayNotice = {
	readonly relay: number;
};
