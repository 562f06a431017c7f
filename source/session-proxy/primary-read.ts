import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {provesPrimary} from '../statement/primary-proof.js';
import {
	provesNotRun, type ConnectionStatement, type RefusalReason, type StatementReply,
} from '../statement/types.js';
import {type MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {refusal} from './replies.js';

/** Outcome of a read in a write transaction of its own. */
export type PrimaryReadOutcome =
	/** The member ran the read inside the transaction, or failed it. */
	| {readonly kind: 'answered'; readonly reply: StatementReply}
	/** The read has not run. The log position is that of the member that refused, if it reported one. */
	| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly detail: string; readonly point?: LogPosition}
	/** The read may have run, but no reply shows that it ran on the primary. */
	| {readonly kind: 'unknown'; readonly detail: string};

/** A direct connection on which a read runs in a write transaction of its own. */
export type PrimaryRead = {
	readonly clock: Clock;
	readonly pool: MemberPool;
	readonly connection: PooledConnection;
	readonly statement: ConnectionStatement;
	readonly deadline: Milliseconds;
	/** Returns whether the read may still be sent once the transaction is open. */
	readonly isWanted: () => boolean;
};

/**
Begins a write transaction on the connection, which only the primary accepts, and executes the read inside it. The caller must return the connection with `returnAfterPrimaryRead`.

The read is sent only after the member has confirmed that the transaction is open. Sent together with a BEGIN that is refused, it would run outside a transaction on a replica.
*/
export async function readInWriteTransaction({clock, pool, connection, statement, deadline, isWanted}: PrimaryRead): Promise<PrimaryReadOutcome> {
	const startedAt = clock.now();
	let isSent = false;
	try {
		const begun = await connection.execute({kind: 'begin', isReadOnly: false}, deadline - startedAt);
		if (begun.outcome === 'refused') {
			return {
				kind: 'notRun', reason: provesNotRun(begun.reason) ? begun.reason : 'busy', detail: begun.detail, point: begun.point,
			};
		}

		if (!provesPrimary(begun)) {
			return {kind: 'notRun', reason: 'busy', detail: `the transaction is ${begun.transaction} after its begin`};
		}

		if (!isWanted() || clock.now() >= deadline) {
			return {kind: 'notRun', reason: 'busy', detail: 'the read is not wanted any more'};
		}

		isSent = true;
		return outcomeOf(await connection.execute(statement, deadline - clock.now()));
	} catch (error) {
		const {codeName, message} = toBuckthornhitchError(error);
		if (codeName === 'linkOutcomeUnknown') {
			pool.reportFailure(startedAt);
		}

		return isSent && codeName !== 'linkNotSent' ? {kind: 'unknown', detail: message} : {kind: 'notRun', reason: 'busy', detail: message};
	}
}

/** Returns the connection of a primary read to its pool, after a rollback unless the member refused to begin the transaction. */
export function returnAfterPrimaryRead(pool: MemberPool, connection: PooledConnection): void {
	if (connection.isReusable) {
		pool.release(connection);
	} else {
		pool.releaseAfterRollback(connection);
	}
}

/** Returns the outcome as the reply of a gateway to the entry that requested the read; undefined if the outcome is unknown. */
export function relayedReplyOf(outcome: PrimaryReadOutcome): StatementReply | undefined {
	switch (outcome.kind) {
		case 'answered': {
			// The transaction is rolled back and does not exist for the requesting entry.
			return {...outcome.reply, transaction: 'idle'};
		}

		case 'notRun': {
			return {...refusal(outcome.reason, outcome.detail, 'idle'), point: outcome.point};
		}

		case 'unknown': {
			return undefined;
		}
	}
}

/** A reply counts only if it shows that the transaction was still open; otherwise the member may have run the read outside it. */
function outcomeOf(reply: StatementReply): PrimaryReadOutcome {
	if (reply.outcome === 'refused' && provesNotRun(reply.reason)) {
		return {
			kind: 'notRun', reason: reply.reason, detail: reply.detail, point: reply.point,
		};
	}

	const isInTransaction = reply.outcome === 'done' ? reply.transaction === 'open' : (reply.transaction !== 'idle' && reply.reason !== 'aborted');
	return isInTransaction ? {kind: 'answered', reply} : {kind: 'unknown', detail: `the transaction of the read was ${reply.transaction} after it`};
}
