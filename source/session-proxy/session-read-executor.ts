import {type Milliseconds} from '../clock/clock.js';
import {describeLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {type StatementReply} from '../statement/types.js';
import {type RoutedDataRequest} from './data-request.js';
import {HedgedRead, type ReadSource} from './hedged-read.js';
import {
	attemptStatement, describeAttempt, isMemberFailure, type StatementAttempt, type AttemptOptions,
} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';
import {primaryReadPool} from './primary-read-attempt.js';
import {avoidTimeAfterRefusal, orderMembersForRead, type MemberCandidate} from './read-policy.js';
import {notRunRefusal, refusal} from './replies.js';
import {type ReadOutcome} from './read-placement.js';
import {type ServiceClient} from './service-client.js';
import {type SessionContext} from './session-context.js';

/** Delay before a read that no member could serve is retried. */
const retryDelay: Milliseconds = 15;

/** Member to which a read was sent first, as the primary. */
type TriedPrimary = {
	readonly member: string;
	/** Whether it has not answered yet. */
	isPending: boolean;
};

/** Options of a read at a position that the primary has confirmed. */
type PositionedReadOptions = {
	/** Returns whether the caller still waits for the reply. */
	readonly isWanted: () => boolean;
	/** Called with each attempt that may have run. */
	readonly onMayHaveRun: (attempt: StatementAttempt) => void;
	/** Undefined unless the read was sent to the primary first. */
	readonly tried?: TriedPrimary;
};

/** Outcome of a read at a position that the primary has confirmed. */
type PositionedRead = {
	readonly attempt: StatementAttempt;
	/** Whether no primary confirmed a position. */
	readonly isPrimaryMissing: boolean;
};

/** Executes the reads of one session on members whose data is fresh enough. */
export class SessionReadExecutor {
	constructor(private readonly context: SessionContext) {}

	/** Executes a read outside a transaction, and retries it until its deadline while no member serves it. */
	async read(routed: RoutedDataRequest): Promise<StatementReply> {
		const {context} = this;
		const {request, route, client} = routed;
		const attemptsThatMayHaveRun: StatementAttempt[] = [];
		const onMayHaveRun = (attempt: StatementAttempt): void => {
			attemptsThatMayHaveRun.push(attempt);
		};

		const pool = primaryReadPool(routed);
		const {attempt, isPrimaryMissing} = pool
			? await this.#readFromPrimaryFirst(pool, routed, onMayHaveRun)
			: await this.#readAtPosition(routed, {onMayHaveRun, isWanted: () => !context.presence.hasLeft});
		if (attempt.kind === 'answered' || (attempt.kind === 'refused' && attemptsThatMayHaveRun.length === 0)) {
			return {...attempt.reply, transaction: 'idle'};
		}

		// A refusal after an attempt that may have run does not show that the read has not run.
		const last = attemptsThatMayHaveRun.at(-1) ?? attempt;
		context.log(request.id, 'refusal', describeAttempt(last));
		switch (last.kind) {
			case 'answered':
			case 'refused': {
				return {...last.reply, transaction: 'idle'};
			}

			case 'notRun': {
				return notRunRefusal(describeAttempt(last), 'idle', client.retryAfter({
					pools: client.pools, reason: last.reason, expectedWait: last.expectedWait, needsPrimary: isPrimaryMissing, usefulTime: route.statementTimeout,
				}));
			}

			case 'unknown': {
				return refusal('outcomeUnknown', last.detail, 'idle');
			}
		}
	}

	/** Resolves with the log position that a member must have reached to serve a read. It includes every commit acknowledged before `since` and the last commit of the session. Asks the primary if no such position is known. Resolves with undefined if the primary does not answer in time. */
	async requiredPosition(client: ServiceClient, since: Milliseconds, deadline: Milliseconds): Promise<LogPosition | undefined> {
		const {context} = this;
		for (;;) {
			const known = client.freshness.requiredPosition(since, context.lastCommit);
			if (known) {
				return known;
			}

			if (context.now >= deadline || context.presence.hasLeft) {
				return undefined;
			}

			try {
				const suspendedUntil = context.dependencies.clock.lastSuspectedSuspension();
				await client.confirmPrimarySince(Math.max(since, context.lastCommit?.acknowledgedAt ?? since, suspendedUntil + 1), deadline, () => !context.presence.hasLeft);
			} catch (error) {
				context.log('-', 'freshness', `unknown ${toBuckthornhitchError(error).message}`);
				return undefined;
			}
		}
	}

	/** Returns the pools of the members to try for a read, best first. */
	candidatePools(client: ServiceClient, route: Route, required: LogPosition, wasTriedAtPrimary = false): readonly MemberPool[] {
		const {now, dependencies} = this.context;
		client.observePlacement();
		const candidates = client.pools.map((pool): MemberCandidate => ({
			id: pool.server.id,
			isPrimary: pool.server.id === client.primaryId,
			isInSameDataCentre: pool.server.dataCentre === dependencies.dataCentre,
			isFailing: pool.isFailing,
			isAvoided: pool.avoidUntil > now,
			load: pool.load,
			expectedReplyTime: pool.expectedReplyTime,
			logPosition: pool.logPosition,
			logPositionAge: now - pool.logPositionAt,
			recoveryShare: client.placement.recoveryShareOf(pool.server.id),
			isEjected: client.placement.isEjected(pool.server.id),
		}));
		const order = orderMembersForRead(candidates, {
			required, consistency: route.consistency, draw: client.placement.drawRead(), wasTriedAtPrimary,
		});
		return order.map(candidate => client.poolOf(candidate.id)).filter(pool => pool !== undefined);
	}

	/** Waits before a read is retried. If a replica refused it as lagging, also asks the primary for its current log position. */
	async waitBeforeRetry(client: ServiceClient, wasLagging: boolean, deadline: Milliseconds): Promise<void> {
		const {dependencies, now} = this.context;
		await dependencies.clock.sleep(Math.min(retryDelay, Math.max(0, deadline - now)));
		if (!wasLagging) {
			return;
		}

		try {
			await client.confirmPrimarySince(now, deadline, () => !this.context.presence.hasLeft);
		} catch (error) {
			this.context.log('-', 'freshness', `not renewed ${toBuckthornhitchError(error).message}`);
		}
	}

	/** Sends a read to the primary without a position. If that does not answer it, or is slow, the read is executed at a position that the primary has confirmed. */
	async #readFromPrimaryFirst(pool: MemberPool, routed: RoutedDataRequest, onMayHaveRun: (attempt: StatementAttempt) => void): Promise<PositionedRead> {
		const {context} = this;
		let isPrimaryMissing = false;
		const tried: TriedPrimary = {member: pool.server.id, isPending: true};
		let isMemberConcerned = true;
		const positioned: ReadSource = {expectedReplyTime: 0};
		const read = new HedgedRead<ReadSource>(context.dependencies.clock, [pool, positioned], async (source, isWanted) => {
			if (source === positioned) {
				const outcome = await this.#readAtPosition(routed, {isWanted: () => isWanted() && !context.presence.hasLeft, onMayHaveRun, ...(isMemberConcerned && {tried})});
				({isPrimaryMissing} = outcome);
				return outcome.attempt;
			}

			const attempt = await this.#readFrom(pool, routed, {isPrimaryRead: true, isWanted});
			tried.isPending = false;
			context.log(routed.request.id, 'primary read', describeAttempt(attempt), {member: pool.server.id, elapsed: Math.round(context.now - routed.arrivedAt)});
			if (attempt.kind === 'answered' || attempt.kind === 'unknown') {
				onMayHaveRun(attempt);
			} else if (attempt.kind === 'notRun') {
				isMemberConcerned = attempt.isMemberConcerned ?? true;
				if (attempt.reason === 'readOnly' || attempt.reason === 'wrongServer') {
					routed.client.forgetPrimary(pool.server.id);
				}
			}

			return attempt;
		});
		return {attempt: await read.run(), isPrimaryMissing};
	}

	/** Executes a read on the members that have reached a position which the primary has confirmed, and retries it until its deadline while no member serves it. */
	async #readAtPosition(routed: RoutedDataRequest, {isWanted: isReadWanted, onMayHaveRun, tried}: PositionedReadOptions): Promise<PositionedRead> {
		const {context} = this;
		const {request, route, client, arrivedAt, deadline} = routed;
		let last: StatementAttempt = {kind: 'notRun', reason: 'busy', detail: 'no member was reached'};
		while (context.now < deadline && isReadWanted()) {
			const required = await this.requiredPosition(client, arrivedAt - route.maximumStaleness, deadline);
			if (!required) {
				routed.operation.trace.recordPrimaryError('no primary confirmed its log position in time');
				return {attempt: last, isPrimaryMissing: true};
			}

			const candidates = this.candidatePools(client, route, required, tried !== undefined && tried.member === client.primaryId);
			// A member that has the read already is tried again only after all others.
			const pools = tried?.isPending ? candidates.toSorted((first, second) => Number(first.server.id === tried.member) - Number(second.server.id === tried.member)) : candidates;
			if (!pools.some(pool => pool.isAnswerableBefore(deadline))) {
				break;
			}

			const read = new HedgedRead(context.dependencies.clock, pools, async (pool, isWanted) => {
				const attempt = await this.#readFrom(pool, routed, {after: required, isWanted: () => isWanted() && isReadWanted()});
				if (attempt.kind === 'answered' || attempt.kind === 'unknown') {
					onMayHaveRun(attempt);
				}

				return attempt;
			});
			last = await read.run();
			context.log(request.id, 'read', describeAttempt(last), {
				point: describeLogPosition(required), elapsed: Math.round(context.now - arrivedAt),
			});
			if (last.kind === 'answered' || last.kind === 'refused' || (last.kind === 'notRun' && last.expectedWait !== undefined)) {
				break;
			}

			await this.waitBeforeRetry(client, last.kind === 'notRun' && last.reason === 'lagging', deadline);
		}

		return {attempt: last, isPrimaryMissing: false};
	}

	async #readFrom(pool: MemberPool, routed: RoutedDataRequest, options: AttemptOptions): Promise<StatementAttempt> {
		const {context} = this;
		const startedAt = context.now;
		const recordEnd = routed.client.placement.recordSent(pool.server.id);
		const attempt = await attemptStatement(context, pool, routed, options);
		recordEnd({outcome: readOutcomeOf(attempt, options), sentAt: startedAt, latencyTarget: routed.route.latencyTarget});
		if (attempt.kind === 'answered') {
			pool.recordReplyTime(context.now - startedAt);
		} else if (attempt.kind === 'notRun' && attempt.isMemberConcerned !== false) {
			pool.avoidUntil = context.now + avoidTimeAfterRefusal(attempt.reason, pool.server.id === routed.client.primaryId);
		}

		return attempt;
	}
}

/** Returns what an attempt shows about the member. An attempt that was given up because another member has answered shows nothing. */
function readOutcomeOf(attempt: StatementAttempt, {isWanted = () => true}: AttemptOptions): ReadOutcome {
	switch (attempt.kind) {
		case 'answered': {
			return isMemberFailure(attempt) ? 'failed' : 'replied';
		}

		case 'unknown': {
			return 'failed';
		}

		case 'refused': {
			return 'withdrawn';
		}

		case 'notRun': {
			return attempt.reason === 'busy' && attempt.isMemberConcerned !== false && isWanted() ? 'overloaded' : 'withdrawn';
		}
	}
}
