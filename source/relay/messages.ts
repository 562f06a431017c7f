import {type Milliseconds} from '../clock/clock.js';
import {type MemberStatement, type RefusalReason, type StatementReply} from '../statement/types.js';

/** Request `openRelay`: an entry asks another one to pass statements on to a member. The number is unique on the link between both. */
export type OpenRelay = {
	readonly relay: number;
	readonly service: string;
	/** Id of the member. */
	readonly member: string;
};

/** Request `relayStatement`. */
export type RelayStatement = {
	readonly relay: number;
	/** Counts the statements of the relay from 0, so that a relay that was lost in between is noticed. */
	readonly sequence: number;
	readonly statement: MemberStatement;
	/** Time within which the answer is of use to the asking entry. */
	readonly timeout: Milliseconds;
};

/** Response to `relayStatement`. */
export type RelayAnswer =
	| {readonly kind: 'answered'; readonly reply: StatementReply}
	/** The member did not receive the statement; the relay is of no more use when it is lost. */
	| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly detail: string; readonly isLost: boolean}
	/** The member may have run the statement. */
	| {readonly kind: 'unknown'; readonly detail: string};

/** Notice `closeRelay`: what is open is rolled back. */
export type CloseRelay = {
	readonly relay: number;
};
