import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {MemberRefusedError, SetupRefusedError, type ConnectionUse} from '../statement/member-connection.js';
import {
	hasNoEffect, provesNotRun, type PreparedStatementDefinition, type RefusalReason, type StatementReply,
} from '../statement/types.js';
import {type RoutedDataRequest} from './data-request.js';
import {rollbackTimeout, type MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {attemptPrimaryRead} from './primary-read-attempt.js';
import {describeReply, refusal} from './replies.js';
import {type AttemptTrace} from './request-trace.js';
import {type SessionContext} from './session-context.js';

/** Time for the reply to a statement whose caller has left; as long as that for the rollback of an abandoned transaction. */
const abandonedReplyTimeout: Milliseconds = rollbackTimeout;

/** Attempt whose statement has certainly not run. */
export type NotRunAttempt = {
	readonly kind: 'notRun';
	readonly reason: RefusalReason;
	readonly detail: string;
	/** Expected wait in the queue for the member, if that queue refused the statement. */
	readonly expectedWait?: Milliseconds;
	/** Whether the refusal shows anything about the member; true if absent. */
	readonly isMemberConcerned?: boolean;
};

/** Outcome of sending a statement to a member. */
export type StatementAttempt =
	| {readonly kind: 'answered'; readonly reply: StatementReply}
	/** The operation was refused without an attempt and must not be retried. */
	| {readonly kind: 'refused'; readonly reply: StatementReply}
	/** The statement has certainly not run. */
	| NotRunAttempt
	/** The statement may have run. */
	| {readonly kind: 'unknown'; readonly detail: string};

/** Options of an attempt outside a transaction. */
export type AttemptOptions = {
	/** Log position that the member must have reached. */
	readonly after?: LogPosition;
	/** Returns whether the caller still waits for the reply. If not, the statement is not sent any more, since the caller may have changed its session variables in the meantime. */
	readonly isWanted?: () => boolean;
	/** Whether the statement is a read that runs in a write transaction of its own, which only the primary accepts. */
	readonly isPrimaryRead?: boolean;
};

type TracedAttemptOptions = AttemptOptions & {
	readonly trace: AttemptTrace;
};

/** Requirements of a statement on its connection. */
export type ConnectionRequest = {
	readonly route: Route;
	readonly preparedStatement: PreparedStatementDefinition | undefined;
	readonly deadline: Milliseconds;
	/** Time from which the latency target counts; now if absent. */
	readonly arrivedAt?: Milliseconds;
	/** Name of the customer for whom the statement is executed. */
	readonly customer: string | undefined;
	/** Whether a transaction is opened on the connection. */
	readonly isForTransaction?: boolean;
	readonly isWanted?: () => boolean;
	/** Record of the attempt. */
	readonly trace?: AttemptTrace;
};

/** Resolves with a connection that has the session's variables and the prepared statement. Rejects before the statement itself is sent, also when the caller's key was revoked or moved during the wait. */
export async function acquireConnection(context: SessionContext, pool: MemberPool, request: ConnectionRequest): Promise<PooledConnection> {
	const {
		route, preparedStatement, deadline, arrivedAt = context.now, customer, isForTransaction = false, isWanted: isAnswerWanted = () => true,
	} = request;
	const isWanted = (): boolean => isAnswerWanted() && !context.presence.hasLeft && context.isAuthorizedAs(customer);
	const timeout = deadline - context.now;
	const use: ConnectionUse = {priority: route.priority, isForTransaction, targetAt: arrivedAt + route.latencyTarget};
	const cancelListener = context.presence.onLeave(() => {
		pool.rejectRequestsOf(context.sessionState);
	});
	const connection = await pool.acquireForCaller(timeout, use, context.sessionState, customer).finally(cancelListener);
	request.trace?.recordConnection(connection.memberConnection);
	try {
		if (isWanted()) {
			await awaitReplyUntilAbandoned(context, connection, connection.applySession(context.sessionState, preparedStatement, deadline - context.now));
		}
	} catch (error) {
		if (error instanceof SetupRefusedError) {
			pool.release(connection);
		} else {
			pool.discard(connection);
		}

		throw error;
	}

	if (!isWanted()) {
		pool.release(connection);
		throw new BuckthornhitchError('deadlinePassed', describeUnwanted(context, isAnswerWanted()));
	}

	if (!pool.isAnswerableBefore(deadline)) {
		pool.release(connection);
		throw new BuckthornhitchError('deadlinePassed', `${Math.max(0, Math.round(deadline - context.now))} ms are left, ${pool.server.id} answers in about ${Math.round(pool.expectedReplyTime)} ms`);
	}

	return connection;
}

function describeUnwanted({presence}: SessionContext, isAnswerWanted: boolean): string {
	if (presence.hasLeft) {
		return 'The caller has left.';
	}

	return isAnswerWanted ? 'The key of the caller was revoked or moved.' : 'The caller has its answer already.';
}

/** Resolves with the reply to what was sent on the connection. If the caller leaves and no reply comes soon, closes the connection, since its time limit may be far ahead. */
export async function awaitReplyUntilAbandoned<Reply>({presence, dependencies}: SessionContext, connection: PooledConnection, reply: Promise<Reply>): Promise<Reply> {
	let cancelClose: Cancel | undefined;
	const cancelListener = presence.onLeave(() => {
		cancelClose = dependencies.clock.schedule(abandonedReplyTimeout, () => {
			connection.memberConnection.close();
		});
	});
	return reply.finally(() => {
		cancelListener();
		cancelClose?.();
	});
}

/** Sends a statement outside a transaction to a member, and records the attempt. */
export async function attemptStatement(context: SessionContext, pool: MemberPool, routed: RoutedDataRequest, options: AttemptOptions = {}): Promise<StatementAttempt> {
	const trace = routed.operation.trace.startAttempt(pool.server.id);
	const attempt = await sendStatement(context, pool, routed, {...options, trace});
	trace.end(describeAttempt(attempt));
	return attempt;
}

async function sendStatement(context: SessionContext, pool: MemberPool, routed: RoutedDataRequest, options: TracedAttemptOptions): Promise<StatementAttempt> {
	const {after, isWanted = () => true, isPrimaryRead = false, trace} = options;
	const {
		request, operation, route, arrivedAt, deadline,
	} = routed;
	const refused = operation.isAdmitted ? undefined : await operation.admit();
	if (refused) {
		return {kind: 'refused', reply: refused};
	}

	const startedAt = context.now;
	// A concurrent attempt may admit the operation for another customer.
	const {customer} = operation;
	let connection: PooledConnection;
	try {
		connection = await acquireConnection(context, pool, {
			route, preparedStatement: request.preparedStatement, deadline, arrivedAt, customer, isWanted, trace,
		});
	} catch (error) {
		if (error instanceof SetupRefusedError && operation.endsAfterSetupRefusal(error.reason)) {
			return {kind: 'refused', reply: refusal(reasonAfterSetupRefusal(error.reason), error.message, 'idle')};
		}

		const isMemberConcerned = !(error instanceof SetupRefusedError) || provesNotRun(error.reason);
		return {
			kind: 'notRun', reason: refusalReasonOf(error), detail: toBuckthornhitchError(error).message, isMemberConcerned, ...expectedWaitOf(error),
		};
	}

	if (!context.isAuthorizedAs(customer)) {
		pool.release(connection);
		return {kind: 'notRun', reason: 'busy', detail: 'the key of the caller was revoked or moved'};
	}

	if (isPrimaryRead) {
		return attemptPrimaryRead(context, {
			pool, connection, routed, isWanted: () => isWanted() && context.isAuthorizedAs(customer),
		});
	}

	try {
		const reply = await awaitReplyUntilAbandoned(context, connection, connection.execute(request.createStatement(after), deadline - context.now));
		pool.release(connection);
		return reply.outcome === 'refused' && provesNotRun(reply.reason)
			? {
				kind: 'notRun', reason: reply.reason, detail: reply.detail, ...expectedWaitOf(reply),
			}
			: {kind: 'answered', reply};
	} catch (error) {
		reportUnansweredStatement(pool, error, startedAt);
		pool.releaseAfterRollback(connection);
		const {codeName, message} = toBuckthornhitchError(error);
		return codeName === 'linkNotSent' ? {kind: 'notRun', reason: 'busy', detail: message} : {kind: 'unknown', detail: message};
	}
}

/** Returns the reason with which a caller learns that its session variables or prepared statement were refused. No statement of the caller was run, whatever the member says of its session variables. */
export function reasonAfterSetupRefusal(reason: RefusalReason): RefusalReason {
	return hasNoEffect(reason) ? reason : 'aborted';
}

/** Returns the expected wait that a refusal states, if a queue refused the statement. */
export function expectedWaitOf(refused: unknown): {readonly expectedWait?: Milliseconds} {
	const {expectedWait} = refused as {readonly expectedWait?: Milliseconds};
	return expectedWait === undefined ? {} : {expectedWait};
}

/** Returns the reason with which a member refused a connection, or busy for any other error. */
export function refusalReasonOf(error: unknown): RefusalReason {
	return error instanceof MemberRefusedError ? error.reason : 'busy';
}

/** Reports a failure of the member if the error means that a statement was sent and not answered. */
export function reportUnansweredStatement(pool: MemberPool | undefined, error: unknown, startedAt: Milliseconds): void {
	if (toBuckthornhitchError(error).codeName === 'linkOutcomeUnknown') {
		pool?.reportFailure(startedAt);
	}
}

/** Returns whether the member did not answer the statement, or ran and failed it. */
export function isMemberFailure(attempt: StatementAttempt): boolean {
	return attempt.kind === 'unknown'
		|| (attempt.kind === 'answered' && attempt.reply.outcome === 'refused' && (attempt.reply.reason === 'failed' || attempt.reply.reason === 'timeout'));
}

/** Returns a description of an attempt for logs. */
export function describeAttempt(attempt: StatementAttempt): string {
	switch (attempt.kind) {
		case 'answered':
		case 'refused': {
			return describeReply(attempt.reply);
		}

		case 'notRun': {
			return `notRun ${attempt.reason} ${attempt.detail}`;
		}

		case 'unknown': {
			return `unknown ${attempt.detail}`;
		}
	}
}
