import {type Milliseconds} from '../clock/clock.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type RefusalReason, type StatementReply} from '../statement/types.js';
import {type RoutedStatement} from './data-request.js';
import {attemptAt, describeAttempt, type Attempt} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';
import {notRunRefusal, refusal} from './replies.js';
import {type ServiceClient} from './service-client.js';
import {type SessionContext} from './session-context.js';

/** Pause before a write that a busy primary refused is sent again. */
const busyPause: Milliseconds = 15;

/** Pause before the search for another primary, so that a member that refuses at once is not asked in a loop. */
const searchPause: Milliseconds = 5;

/** Refusals that say nothing against the member as the primary. */
const loadReasons: ReadonlySet<RefusalReason> = new Set(['busy', 'connectionLimit']);

/** Sends a write outside a transaction to the primary; again only after an answer that proves that it did not run. */
export async function executeWrite(context: SessionContext, routed: RoutedStatement): Promise<StatementReply> {
	const {request, client, deadline} = routed;
	let detail = 'no primary was found';
	while (context.now < deadline) {
		let pool: MemberPool;
		try {
			pool = await client.primaryPool(deadline);
		} catch (error) {
			detail = toBuckthornhitchError(error).message;
			break;
		}

		const startedAt = context.now;
		const attempt = await attemptAt(context, pool, routed);
		context.log(request.id, 'write', describeAttempt(attempt), {member: pool.server.id, elapsed: Math.round(context.now - startedAt)});
		if (attempt.kind !== 'notRun') {
			return finalReply(context, client, {attempt, pool, startedAt});
		}

		({detail} = attempt);
		await afterNotRun(context, client, pool, attempt.reason);
	}

	context.log(request.id, 'refusal', detail);
	return notRunRefusal(detail, 'idle');
}

type FinalAttempt = {
	readonly attempt: Exclude<Attempt, {readonly kind: 'notRun'}>;
	readonly pool: MemberPool;
	readonly startedAt: Milliseconds;
};

function finalReply(context: SessionContext, client: ServiceClient, {attempt, pool, startedAt}: FinalAttempt): StatementReply {
	if (attempt.kind === 'unknown') {
		return refusal('outcomeUnknown', attempt.detail, 'idle');
	}

	const {reply} = attempt;
	if (reply.outcome === 'done') {
		client.primaryAnswered(pool.server.id, reply.point, startedAt);
		context.committed(pool.server.id, reply.point);
	}

	return {...reply, transaction: 'idle'};
}

async function afterNotRun(context: SessionContext, client: ServiceClient, pool: MemberPool, reason: RefusalReason): Promise<void> {
	if (loadReasons.has(reason)) {
		await context.services.clock.sleep(busyPause);
		return;
	}

	client.doubtPrimary(pool.server.id);
	await context.services.clock.sleep(searchPause);
}
