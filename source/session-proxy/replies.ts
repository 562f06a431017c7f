import {type Milliseconds} from '../clock/clock.js';
import {
	proxySignature, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';

/** Time after which a caller should ask again when its request did not run; about the time of two searches for a primary. */
const comeBackTime: Milliseconds = 200;

/** Returns the answer to a statement that the proxy carried out itself. */
export function localReply(transaction: TransactionState): StatementReply {
	return {
		outcome: 'done', rows: [], signature: proxySignature, transaction, point: undefined,
	};
}

/** Returns a refusal. */
export function refusal(reason: RefusalReason, detail: string, transaction: TransactionState): StatementReply {
	return {
		outcome: 'refused', reason, detail, transaction, point: undefined,
	};
}

/** Returns the refusal of a request that has not run, with the time to come back. */
export function notRunRefusal(detail: string, transaction: TransactionState): StatementReply {
	return refusal('busy', `not run, come back in ${comeBackTime} ms: ${detail}`, transaction);
}

/** Returns a text on an answer for logs. */
export function describeReply(reply: StatementReply): string {
	return reply.outcome === 'done' ? 'done' : `refused ${reply.reason} ${reply.detail}`;
}
