import {type Milliseconds} from '../clock/clock.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {positionAfterCommit, type RefusalReason, type StatementReply} from '../statement/types.js';
import {type RoutedDataRequest} from './data-request.js';
import {
	attemptStatement, describeAttempt, isMemberFailure, type NotRunAttempt, type StatementAttempt,
} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';
import {notRunRefusal, refusal} from './replies.js';
import {type ServiceClient} from './service-client.js';
import {type SessionContext} from './session-context.js';

/** Delay before a write that was refused as busy is retried. */
const busyRetryDelay: Milliseconds = 15;

/** Delay before another primary is looked for, so that a member that refuses at once is not asked in a busy loop. */
const primarySearchDelay: Milliseconds = 5;

/** Refusals because of overload. The member may still be the primary. */
const overloadReasons: ReadonlySet<RefusalReason> = new Set(['busy', 'connectionLimit']);

/** Executes a write outside a transaction on the primary. Retries it until its deadline, but only while each attempt has certainly not run. */
export async function executeWrite(context: SessionContext, routed: RoutedDataRequest): Promise<StatementReply> {
	const {request, route, client, deadline} = routed;
	let detail = 'no primary was found';
	let reason: RefusalReason = 'busy';
	let expectedWait: Milliseconds | undefined;
	let pools: readonly MemberPool[] = [];
	const isWanted = (): boolean => !context.presence.hasLeft;
	while (context.now < deadline && isWanted()) {
		let pool: MemberPool;
		try {
			pool = await client.primaryPool(deadline, isWanted);
		} catch (error) {
			detail = toBuckthornhitchError(error).message;
			break;
		}

		const startedAt = context.now;
		const attempt = await attemptStatement(context, pool, routed);
		context.log(request.id, 'write', describeAttempt(attempt), {member: pool.server.id, elapsed: Math.round(context.now - startedAt)});
		if (attempt.kind !== 'notRun') {
			client.placement.recordRequest(pool.server.id, isMemberFailure(attempt));
			return finalReply(context, client, {attempt, pool, startedAt});
		}

		({detail, reason, expectedWait} = attempt);
		pools = [pool];
		if (expectedWait !== undefined || !pool.isAnswerableBefore(deadline)) {
			break;
		}

		await waitBeforeRetry(context, client, pool, attempt);
	}

	context.log(request.id, 'refusal', detail);
	return notRunRefusal(detail, 'idle', client.retryAfter({
		pools, reason, expectedWait, needsPrimary: true, usefulTime: route.statementTimeout,
	}));
}

type FinalAttempt = {
	readonly attempt: Exclude<StatementAttempt, {readonly kind: 'notRun'}>;
	readonly pool: MemberPool;
	readonly startedAt: Milliseconds;
};

function finalReply(context: SessionContext, client: ServiceClient, {attempt, pool, startedAt}: FinalAttempt): StatementReply {
	if (attempt.kind === 'unknown') {
		return refusal('outcomeUnknown', attempt.detail, 'idle');
	}

	const {reply} = attempt;
	if (reply.outcome === 'done') {
		const position = positionAfterCommit(reply);
		client.recordPrimaryPosition(pool.server.id, position, startedAt);
		context.recordCommit(pool.server.id, position);
	}

	return {...reply, transaction: 'idle'};
}

/** Waits before a write is retried. Unless the member answered and refused because of overload or the session's own variables, also forgets the primary, so that it is searched for again. */
async function waitBeforeRetry(context: SessionContext, client: ServiceClient, pool: MemberPool, {reason, isMemberConcerned = true}: NotRunAttempt): Promise<void> {
	if (!isMemberConcerned || (overloadReasons.has(reason) && !pool.isFailing)) {
		await context.dependencies.clock.sleep(busyRetryDelay);
		return;
	}

	client.forgetPrimary(pool.server.id);
	await context.dependencies.clock.sleep(primarySearchDelay);
}
