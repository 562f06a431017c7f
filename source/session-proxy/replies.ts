import {type Milliseconds} from '../clock/clock.js';
import {
	proxySignature, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';

/** Time after which callers should retry a request that did not run; about as long as two searches for a primary. */
const retryAfter: Milliseconds = 200;

/** Returns the reply to a statement that the proxy executed itself. */
export function localReply(transaction: TransactionState): StatementReply {
	return {
		outcome: 'done', rows: [], signature: proxySignature, transaction, point: undefined,
	};
}

/** Returns a reply that refuses a statement. */
export function refusal(reason: RefusalReason, detail: string, transaction: TransactionState): StatementReply {
	return {
		outcome: 'refused', reason, detail, transaction, point: undefined,
	};
}

/** Returns a reply that refuses a request which has not run, and says when to retry it. */
export function notRunRefusal(detail: string, transaction: TransactionState, delay: Milliseconds = retryAfter): StatementReply {
	return refusal('busy', `not run, come back in ${Math.ceil(delay)} ms: ${detail}`, transaction);
}

/** Returns a description of a reply for logs. */
export function describeReply(reply: StatementReply): string {
	return reply.outcome === 'done' ? 'done' : `refused ${reply.reason} ${reply.detail}`;
}
