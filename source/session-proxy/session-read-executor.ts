import {type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {type StatementReply} from '../statement/types.js';
import {type RoutedStatement} from './data-request.js';
import {HedgedRead} from './hedged-read.js';
import {
	attemptAt, describeAttempt, type Attempt, type AttemptConditions,
} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';
import {orderForRead, type MemberCandidate} from './read-policy.js';
import {notRunRefusal} from './replies.js';
import {type ServiceClient} from './service-client.js';
import {type SessionContext} from './session-context.js';

/** Pause before a read that no member could serve is tried again. */
const retryPause: Milliseconds = 15;

/** A replica that refused a read because it is behind is passed over for this long. */
const laggingPause: Milliseconds = 50;

/** A member that refused a read because it is busy is passed over for this long. */
const overloadPause: Milliseconds = 20;

/** Reads of one session, at members whose data is fresh enough. */
export class SessionReadExecutor {
	constructor(private readonly context: SessionContext) {}

	/** Answers a read outside a transaction. */
	async read(routed: RoutedStatement): Promise<StatementReply> {
		const {context} = this;
		const {request, route, client, arrivedAt, deadline} = routed;
		let last: Attempt = {kind: 'notRun', reason: 'busy', detail: 'no member was reached'};
		while (context.now < deadline) {
			const needed = await this.neededPoint(client, arrivedAt - route.maximumStaleness, deadline);
			if (!needed) {
				break;
			}

			const read = new HedgedRead(context.services.clock, this.membersFor(client, route, needed), async (pool, isWanted) => this.#readAt(pool, routed, {after: needed, isWanted}));
			last = await read.run();
			context.log(request.id, 'read', describeAttempt(last), {
				point: `${needed.term}.${needed.position}`, elapsed: Math.round(context.now - arrivedAt),
			});
			if (last.kind === 'answered') {
				return {...last.reply, transaction: 'idle'};
			}

			await this.pauseAfter(client, last.kind === 'notRun' && last.reason === 'lagging', deadline);
		}

		context.log(request.id, 'refusal', describeAttempt(last));
		return notRunRefusal(describeAttempt(last), 'idle');
	}

	/** Returns the point that a read must see, after a question to the primary where none is known; undefined when the primary cannot be asked in time. */
	async neededPoint(client: ServiceClient, since: Milliseconds, deadline: Milliseconds): Promise<LogPosition | undefined> {
		const {context} = this;
		for (;;) {
			const known = client.freshness.pointSince(since, context.own);
			if (known) {
				return known;
			}

			try {
				const suspectedUntil = context.services.clock.lastSuspectedSuspension();
				await client.confirmSince(Math.max(since, context.own?.acknowledgedAt ?? since, suspectedUntil + 1), deadline);
			} catch (error) {
				context.log('-', 'freshness', `unknown ${toBuckthornhitchError(error).message}`);
				return undefined;
			}
		}
	}

	/** Returns the members to try for a read, in order. */
	membersFor(client: ServiceClient, route: Route, needed: LogPosition): readonly MemberPool[] {
		const {now, services} = this.context;
		const candidates = client.pools.map((pool): MemberCandidate => ({
			id: pool.server.id,
			isPrimary: pool.server.id === client.primaryId,
			isLocal: pool.server.dataCentre === services.dataCentre,
			isFailing: pool.isFailing,
			isAvoided: pool.avoidUntil > now,
			load: pool.load,
			expectedAnswerTime: pool.expectedAnswerTime,
			point: pool.point,
			pointAge: now - pool.pointAt,
		}));
		const order = orderForRead(candidates, needed, route.consistency);
		return order.map(candidate => client.poolOf(candidate.id)).filter(pool => pool !== undefined);
	}

	/** Waits before the members are tried again; after refusals by replicas that are behind, the primary is asked for its point anew. */
	async pauseAfter(client: ServiceClient, wasLagging: boolean, deadline: Milliseconds): Promise<void> {
		const {services, now} = this.context;
		await services.clock.sleep(retryPause);
		if (!wasLagging) {
			return;
		}

		try {
			await client.confirmSince(now, deadline);
		} catch (error) {
			this.context.log('-', 'freshness', `not renewed ${toBuckthornhitchError(error).message}`);
		}
	}

	async #readAt(pool: MemberPool, routed: RoutedStatement, conditions: AttemptConditions): Promise<Attempt> {
		const {context} = this;
		const startedAt = context.now;
		const attempt = await attemptAt(context, pool, routed, conditions);
		if (attempt.kind === 'answered') {
			pool.recordAnswerTime(context.now - startedAt);
		} else if (attempt.kind === 'notRun') {
			pool.avoidUntil = context.now + (attempt.reason === 'lagging' ? laggingPause : overloadPause);
		}

		return attempt;
	}
}
