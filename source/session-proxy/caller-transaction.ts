import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {
	type MemberStatement, type PreparedShape, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';
import {type DataRequest} from './data-request.js';
import {acquireLink, noteLoss, refusalReasonOf} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {type SessionReadExecutor} from './session-read-executor.js';
import {describeReply, notRunRefusal, refusal} from './replies.js';
import {type ServiceClient} from './service-client.js';
import {type SessionContext} from './session-context.js';

/** Pause before a statement that a busy member refused is sent again. */
const busyPause: Milliseconds = 15;

/** A member that did not open a transaction is passed over for this long. */
const refusalPause: Milliseconds = 50;

/** What a transaction begins with. */
export type TransactionBegin = {
	readonly route: Route;
	readonly client: ServiceClient;
	readonly isReadOnly: boolean;
};

type OpenRefusal = {
	readonly reason: RefusalReason;
	readonly detail: string;
};

type OpenMember = {
	readonly pool: MemberPool;
	readonly link: PooledConnection;
};

/** One transaction of a caller. It is opened at a member with its first statement, so that a pause does not hold a connection. */
export class CallerTransaction {
	readonly #beganAt: Milliseconds;
	#member: OpenMember | undefined;
	#hasWritten = false;
	#hasEnded = false;
	#failure: RefusalReason | undefined;
	#cancelIdle: Cancel | undefined;

	constructor(private readonly context: SessionContext, private readonly reads: SessionReadExecutor, private readonly begin: TransactionBegin) {
		this.#beganAt = context.now;
	}

	/** State as the caller sees it. */
	get state(): TransactionState {
		return this.#failure ? 'failed' : 'open';
	}

	/** Runs a statement; a failure ends the transaction. */
	async execute(request: DataRequest): Promise<StatementReply> {
		const {context} = this;
		if (this.#failure) {
			return this.#afterFailure(this.#failure);
		}

		const startedAt = context.now;
		const deadline = context.deadlineOf(this.begin.route);
		try {
			if (this.#member) {
				await this.#member.link.applySession(context.state, request.shape, deadline - context.now);
			} else {
				const refused = await this.#open(request.shape, deadline);
				if (refused) {
					return this.#fail(request.id, refused);
				}
			}

			this.#hasWritten ||= request.access === 'write';
			const reply = await this.#executeWhileBusy(request.statement(), deadline);
			context.log(request.id, `${request.access} in transaction`, describeReply(reply), {member: this.#member?.pool.server.id});
			if (reply.transaction === 'open') {
				return reply;
			}

			return this.#fail(request.id, reply.outcome === 'refused' ? reply : {reason: 'aborted', detail: 'the member ended the transaction'});
		} catch (error) {
			noteLoss(this.#member?.pool, error, startedAt);
			// No commit was sent, so that nothing is kept.
			return this.#fail(request.id, {reason: 'aborted', detail: toBuckthornhitchError(error).message});
		}
	}

	/** Commits; the transaction has ended afterwards. */
	async commit(id: string): Promise<StatementReply> {
		const {context, begin} = this;
		if (this.#failure) {
			return refusal('aborted', 'the transaction was rolled back', 'idle');
		}

		const deadline = context.deadlineOf(begin.route);
		const refused = this.#member ? undefined : await this.#open(undefined, deadline);
		if (refused) {
			return refusal('aborted', refused.detail, 'idle');
		}

		const member = this.#member;
		if (!member) {
			return refusal('aborted', 'the transaction was rolled back', 'idle');
		}

		const startedAt = context.now;
		try {
			const reply = await this.#executeWhileBusy({kind: 'commit', id}, deadline);
			context.log(id, 'commit', describeReply(reply), {member: member.pool.server.id, elapsed: Math.round(context.now - startedAt)});
			if (reply.outcome === 'done' && this.#hasWritten) {
				begin.client.primaryAnswered(member.pool.server.id, reply.point, startedAt);
				context.committed(member.pool.server.id, reply.point);
			}

			this.#releaseAfter(reply);
			return {...reply, transaction: 'idle'};
		} catch (error) {
			const {codeName, message} = toBuckthornhitchError(error);
			const mayHaveCommitted = this.#hasWritten && codeName !== 'linkNotSent';
			this.rollBack();
			context.log(id, 'commit', mayHaveCommitted ? `unknown ${message}` : `lost ${message}`, {member: member.pool.server.id});
			return refusal(mayHaveCommitted ? 'outcomeUnknown' : 'aborted', message, 'idle');
		}
	}

	/** Ends the transaction at its member without a commit. */
	rollBack(): void {
		this.#hasEnded = true;
		this.#cancelIdle?.();
		const member = this.#member;
		this.#member = undefined;
		member?.pool.releaseAfterRollback(member.link);
	}

	/** Ends the transaction although the caller has not; its next statement is told so. */
	abort(): void {
		this.rollBack();
		this.#failure ??= 'aborted';
	}

	/** Aborts the transaction unless another statement comes within the time in milliseconds. */
	watchIdle(limit: Milliseconds): void {
		if (this.#failure !== undefined || limit <= 0) {
			return;
		}

		this.#cancelIdle = this.context.services.clock.schedule(limit, () => {
			this.context.log('-', 'transaction', `aborted after ${limit} ms without a statement`, {member: this.#member?.pool.server.id});
			this.abort();
		});
	}

	/** Ends the wait that `watchIdle` began. */
	stopWatchingIdle(): void {
		this.#cancelIdle?.();
	}

	/** The first statement after an abort is told the reason; every other one until the end is malformed. */
	#afterFailure(failure: RefusalReason): StatementReply {
		this.#failure = 'malformed';
		return refusal(failure, 'the transaction was rolled back', 'failed');
	}

	#fail(id: string, {reason, detail}: OpenRefusal): StatementReply {
		this.context.log(id, 'transaction', `failed ${reason} ${detail}`, {member: this.#member?.pool.server.id});
		this.rollBack();
		this.#failure = 'malformed';
		return reason === 'busy' ? notRunRefusal(detail, 'failed') : refusal(reason, detail, 'failed');
	}

	#releaseAfter(reply: StatementReply): void {
		const member = this.#member;
		if (!member || reply.transaction !== 'idle') {
			this.rollBack();
			return;
		}

		this.#member = undefined;
		this.#hasEnded = true;
		member.pool.release(member.link);
	}

	/** Sends a statement again while the member is too busy for it and keeps the transaction. */
	async #executeWhileBusy(statement: MemberStatement, deadline: Milliseconds): Promise<StatementReply> {
		const {clock} = this.context.services;
		for (;;) {
			if (!this.#member) {
				throw new BuckthornhitchError('transactionLost', 'The caller left, or the transaction was idle for too long.');
			}

			const reply = await this.#member.link.execute(statement, deadline - clock.now());
			const mayRepeat = reply.outcome === 'refused' && reply.reason === 'busy' && reply.transaction === 'open';
			if (!mayRepeat || clock.now() + busyPause >= deadline) {
				return reply;
			}

			await clock.sleep(busyPause);
		}
	}

	/** Opens the transaction at a member; returns the reason when none could be had. */
	async #open(shape: PreparedShape | undefined, deadline: Milliseconds): Promise<OpenRefusal | undefined> {
		const {context, begin: {client, route, isReadOnly}} = this;
		let last: OpenRefusal = {reason: 'busy', detail: 'no member was reached'};
		while (context.now < deadline && !this.#hasEnded) {
			const needed = isReadOnly ? await this.reads.neededPoint(client, this.#beganAt - route.maximumStaleness, deadline) : undefined;
			if (isReadOnly && !needed) {
				break;
			}

			for (const pool of needed ? this.reads.membersFor(client, route, needed) : await this.#primaryPools(deadline)) {
				const refused = await this.#openAt(pool, shape, deadline, needed);
				if (!refused) {
					return undefined;
				}

				last = refused;
			}

			await this.reads.pauseAfter(client, isReadOnly && last.reason === 'lagging', deadline);
		}

		return last;
	}

	async #primaryPools(deadline: Milliseconds): Promise<readonly MemberPool[]> {
		try {
			return [await this.begin.client.primaryPool(deadline)];
		} catch (error) {
			this.context.log('-', 'transaction', toBuckthornhitchError(error).message);
			return [];
		}
	}

	async #openAt(pool: MemberPool, shape: PreparedShape | undefined, deadline: Milliseconds, after: LogPosition | undefined): Promise<OpenRefusal | undefined> {
		const {context, begin: {route, client, isReadOnly}} = this;
		const startedAt = context.now;
		let link: PooledConnection | undefined;
		try {
			link = await acquireLink(context, pool, {route, shape, deadline});
			const reply = await link.execute({kind: 'begin', isReadOnly, after}, deadline - context.now);
			if (reply.outcome === 'refused') {
				pool.release(link);
				return this.#refusedAt(pool, reply);
			}

			if (!isReadOnly) {
				client.primaryAnswered(pool.server.id, reply.point, startedAt);
			}

			this.#member = {pool, link};
			if (this.#hasEnded) {
				this.rollBack();
			}

			return undefined;
		} catch (error) {
			if (link) {
				noteLoss(pool, error, startedAt);
				pool.discard(link);
			}

			return this.#refusedAt(pool, {reason: refusalReasonOf(error), detail: toBuckthornhitchError(error).message});
		}
	}

	#refusedAt(pool: MemberPool, {reason, detail}: OpenRefusal): OpenRefusal {
		pool.avoidUntil = this.context.now + refusalPause;
		if (!this.begin.isReadOnly && (reason === 'readOnly' || reason === 'wrongServer' || pool.isFailing)) {
			this.begin.client.doubtPrimary(pool.server.id);
		}

		return {reason, detail};
	}
}
