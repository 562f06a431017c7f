import {type Milliseconds} from '../clock/clock.js';
import {isEmptyLog} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';

/** A statement in a caller's session. The id and the text of reads, writes and commits are forwarded unchanged. */
export type SessionStatement =
	| {readonly kind: 'begin'; readonly id: string; readonly isReadOnly: boolean}
	| {readonly kind: 'commit'; readonly id: string}
	| {readonly kind: 'rollback'; readonly id: string}
	| {readonly kind: 'read'; readonly id: string; readonly text: string}
	| {readonly kind: 'write'; readonly id: string; readonly text: string}
	| {readonly kind: 'set'; readonly id: string; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly id: string; readonly name: string; readonly shape: PreparedStatementDefinition}
	| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly parameters: string}
	| {readonly kind: 'deallocate'; readonly id: string; readonly name: string}
	| {readonly kind: 'malformed'; readonly id: string};

/** Definition of a prepared statement: its access and the text that defines it, which the proxy does not interpret. */
export type PreparedStatementDefinition = {
	readonly access: 'read' | 'write';
	readonly shape: string;
};

/** A statement as a member receives it. The member must have applied its log up to `after` before it runs the statement. The `term` of pause and demote is that of the next primary. */
export type MemberStatement =
	| {readonly kind: 'begin'; readonly isReadOnly: boolean; readonly after?: LogPosition}
	| {readonly kind: 'commit'; readonly id: string}
	| {readonly kind: 'rollback'}
	| {readonly kind: 'read'; readonly id: string; readonly text: string; readonly after?: LogPosition}
	| {readonly kind: 'write'; readonly id: string; readonly text: string}
	| {readonly kind: 'set'; readonly name: string; readonly value: string}
	| {readonly kind: 'prepare'; readonly name: string; readonly shape: PreparedStatementDefinition}
	| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly parameters: string; readonly after?: LogPosition}
	| {readonly kind: 'reset'}
	| {readonly kind: 'status'}
	| {readonly kind: 'pause'; readonly term: number}
	| {readonly kind: 'resume'}
	| {readonly kind: 'demote'; readonly term: number};

/** Execution of a prepared statement by its definition. Each connection has names of its own for the definitions that are prepared on it. */
export type DefinitionExecution = {
	readonly kind: 'execute';
	readonly id: string;
	readonly definition: PreparedStatementDefinition;
	readonly parameters: string;
	readonly after?: LogPosition;
};

/** A statement as a session executes it on a connection. */
export type ConnectionStatement = Exclude<MemberStatement, {readonly kind: 'execute'}> | DefinitionExecution;

/** State of a connection's transaction after a statement. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** Why a statement did not succeed. */
export type RefusalReason =
	| 'busy' | 'lagging' | 'readOnly' | 'wrongServer' | 'connectionLimit'
	| 'failed' | 'timeout' | 'unknownStatement' | 'unknownDatabase' | 'tooLarge'
	| 'malformed' | 'notAuthorized' | 'aborted' | 'outcomeUnknown';

/** Reply to a statement. The rows and the signature, a text that a member adds to each successful reply, are forwarded unchanged. */
export type StatementReply = ({
	readonly outcome: 'done';
	readonly rows: readonly string[];
	readonly signature: string;
} | {
	readonly outcome: 'refused';
	readonly reason: RefusalReason;
	readonly detail: string;
	/** Expected wait in the queue of the gateway that refused the statement; absent for all other refusals. */
	readonly expectedWait?: Milliseconds;
	/** Whether the statement was not sent, so that the refusal shows nothing about the member. */
	readonly isUnsent?: true;
}) & {
	readonly transaction: TransactionState;
	/** Last log position of the member that answered, `initialLogPosition` if its log is empty; undefined if it is not known, or if no member answered. */
	readonly point: LogPosition | undefined;
};

/** Returns the log position in the reply to an acknowledged write or to the commit of a transaction that wrote. Undefined if it is not known: a log that holds a commit is not empty. */
export function positionAfterCommit({point}: StatementReply): LogPosition | undefined {
	return point && isEmptyLog(point) ? undefined : point;
}

/** Signature in replies to statements that the proxy answers itself. */
export const proxySignature = '-';

/** Refusals that prove that the member did not run the statement. */
const notRunReasons: ReadonlySet<RefusalReason> = new Set(['busy', 'lagging', 'readOnly', 'wrongServer', 'connectionLimit', 'unknownStatement']);

/** Returns whether the refusal of a member proves that the statement did not run. */
export function provesNotRun(reason: RefusalReason): boolean {
	return notRunReasons.has(reason);
}

/** Returns whether a refusal proves that the statement changed nothing. */
export function hasNoEffect(reason: RefusalReason): boolean {
	return provesNotRun(reason) || isInvalidMessage(reason);
}

/** Returns whether a statement was refused because of its own text, which every member would refuse. */
export function isInvalidMessage(reason: RefusalReason): boolean {
	return reason === 'malformed' || reason === 'tooLarge';
}
