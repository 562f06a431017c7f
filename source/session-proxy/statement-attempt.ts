import {type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {MemberRefusedError} from '../statement/member-connection.js';
import {
	provesNotRun, type PreparedShape, type RefusalReason, type StatementReply,
} from '../statement/types.js';
import {type RoutedStatement} from './data-request.js';
import {type MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {describeReply} from './replies.js';
import {type SessionContext} from './session-context.js';

/** Outcome of a statement at a member. */
export type Attempt =
	| {readonly kind: 'answered'; readonly reply: StatementReply}
	/** It certainly did not run. */
	| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly detail: string}
	/** It may have run. */
	| {readonly kind: 'unknown'; readonly detail: string};

/** What a statement outside a transaction is sent under. */
export type AttemptConditions = {
	/** Point that the member's log must contain. */
	readonly after?: LogPosition;
	/** Returns whether the caller still waits for the answer; its session may hold other values afterwards. */
	readonly isWanted?: () => boolean;
};

/** What a connection is needed for. */
export type LinkNeed = {
	readonly route: Route;
	readonly shape: PreparedShape | undefined;
	readonly deadline: Milliseconds;
	readonly isWanted?: () => boolean;
};

/** Resolves with a connection that holds the session's values. Rejects when nothing was sent. */
export async function acquireLink(context: SessionContext, pool: MemberPool, {route, shape, deadline, isWanted = () => true}: LinkNeed): Promise<PooledConnection> {
	const link = await pool.acquire(deadline - context.now, route.priority, context.state);
	try {
		if (isWanted()) {
			await link.applySession(context.state, shape, deadline - context.now);
		}
	} catch (error) {
		pool.discard(link);
		throw error;
	}

	if (!isWanted()) {
		pool.release(link);
		throw new BuckthornhitchError('deadlinePassed', 'The caller has its answer already.');
	}

	return link;
}

/** Sends one statement outside a transaction to one member. */
export async function attemptAt(context: SessionContext, pool: MemberPool, routed: RoutedStatement, {after, isWanted = () => true}: AttemptConditions = {}): Promise<Attempt> {
	const {request, route, deadline} = routed;
	const startedAt = context.now;
	let link: PooledConnection;
	try {
		link = await acquireLink(context, pool, {
			route, shape: request.shape, deadline, isWanted,
		});
	} catch (error) {
		return {kind: 'notRun', reason: refusalReasonOf(error), detail: toBuckthornhitchError(error).message};
	}

	try {
		const reply = await link.execute(request.statement(after), deadline - context.now);
		pool.release(link);
		return reply.outcome === 'refused' && provesNotRun(reply.reason)
			? {kind: 'notRun', reason: reply.reason, detail: reply.detail}
			: {kind: 'answered', reply};
	} catch (error) {
		noteLoss(pool, error, startedAt);
		pool.releaseAfterRollback(link);
		const {codeName, message} = toBuckthornhitchError(error);
		return codeName === 'linkNotSent' ? {kind: 'notRun', reason: 'busy', detail: message} : {kind: 'unknown', detail: message};
	}
}

/** Returns the reason for which a member took no connection. */
export function refusalReasonOf(error: unknown): RefusalReason {
	return error instanceof MemberRefusedError ? error.reason : 'busy';
}

/** Takes a statement without an answer for a sign that the member is lost. */
export function noteLoss(pool: MemberPool | undefined, error: unknown, startedAt: Milliseconds): void {
	if (toBuckthornhitchError(error).codeName === 'linkOutcomeUnknown') {
		pool?.reportFailure(startedAt);
	}
}

/** Returns a text on an attempt for logs. */
export function describeAttempt(attempt: Attempt): string {
	switch (attempt.kind) {
		case 'answered': {
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
