import {type Milliseconds} from '../clock/clock.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {provesNotRun} from '../statement/types.js';
import {type RoutedDataRequest} from './data-request.js';
import {type MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {readInWriteTransaction, returnAfterPrimaryRead, type PrimaryReadOutcome} from './primary-read.js';
import {type SessionContext} from './session-context.js';
import {awaitReplyUntilAbandoned, type StatementAttempt} from './statement-attempt.js';

/** A read that is sent to the primary on a connection of its pool. */
export type PrimaryReadAttempt = {
	readonly pool: MemberPool;
	readonly connection: PooledConnection;
	readonly routed: RoutedDataRequest;
	/** Returns whether the caller still waits for the reply, and may still execute statements for the customer of the connection. */
	readonly isWanted: () => boolean;
};

/** Returns the pool on which a single read of a route with primary consistency is tried first, or undefined if the position of the primary has to be confirmed before. Reads of a primary that recovers are placed by its share. */
export function primaryReadPool({route, client, deadline}: RoutedDataRequest): MemberPool | undefined {
	const pool = route.consistency === 'primary' && client.primaryId !== undefined ? client.poolOf(client.primaryId) : undefined;
	const isUsable = pool?.hasGatewaysNearMember && !pool.server.isGone && !pool.server.isLeaving && !pool.isFailing
		&& pool.isAnswerableBefore(deadline) && client.placement.recoveryShareOf(pool.server.id) >= 1;
	return isUsable ? pool : undefined;
}

/** Executes a read in a write transaction that this instance, or the gateway of the connection, opens for it. Returns the connection to its pool. */
export async function attemptPrimaryRead(context: SessionContext, attempt: PrimaryReadAttempt): Promise<StatementAttempt> {
	const {pool, connection, routed: {client, request, deadline}, isWanted} = attempt;
	const {memberConnection} = connection;
	if (memberConnection.isRelayed) {
		await memberConnection.waitUntilOpen();
		if (!memberConnection.supportsScopes || !isWanted() || context.now >= deadline) {
			pool.release(connection);
			return {
				kind: 'notRun', reason: 'busy', detail: 'the gateway runs no primary reads, or the read is not wanted any more', isMemberConcerned: false,
			};
		}
	}

	const sentAt = context.now;
	const outcome = await awaitReplyUntilAbandoned(context, connection, memberConnection.isRelayed
		? readThroughGateway(context, attempt)
		: readInWriteTransaction({
			clock: context.dependencies.clock, pool, connection, statement: request.createStatement(), deadline, isWanted,
		}));
	returnAfterPrimaryRead(pool, connection);
	if (outcome.kind !== 'answered') {
		return outcome;
	}

	const {point} = outcome.reply;
	if (point && client.isSuperseded(pool.server.id, point)) {
		return {kind: 'unknown', detail: `${pool.server.id} answered as the primary of an earlier term`};
	}

	if (outcome.reply.outcome === 'done') {
		client.recordPrimaryPosition(pool.server.id, point, sentAt);
	}

	return outcome;
}

async function readThroughGateway(context: SessionContext, {pool, connection, routed: {request, deadline}}: PrimaryReadAttempt): Promise<PrimaryReadOutcome> {
	const sentAt: Milliseconds = context.now;
	try {
		const reply = await connection.execute(request.createStatement(), deadline - sentAt, 'primaryRead');
		return reply.outcome === 'refused' && provesNotRun(reply.reason)
			? {kind: 'notRun', reason: reply.reason, detail: reply.detail}
			: {kind: 'answered', reply};
	} catch (error) {
		const {codeName, message} = toBuckthornhitchError(error);
		if (codeName === 'linkOutcomeUnknown') {
			pool.reportFailure(sentAt);
		}

		return codeName === 'linkNotSent' ? {kind: 'notRun', reason: 'busy', detail: message} : {kind: 'unknown', detail: message};
	}
}
