import {type Milliseconds} from '../clock/clock.js';
import {
	proxySignature, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';

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

/** Returns a reply that refuses a request which has not run, and says after which time to retry it. */
export function notRunRefusal(detail: string, transaction: TransactionState, retryAfter: Milliseconds): StatementReply {
	return refusal('busy', `not run, come back in ${Math.ceil(retryAfter)} ms: ${detail}`, transaction);
}

/** Returns a description of a reply for logs. */
export function describeReply(reply: StatementReply): string {
	return reply.outcome === 'done' ? 'done' : `refused ${reply.reason} ${reply.detail}`;
}
