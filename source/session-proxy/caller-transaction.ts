import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {
	type MemberStatement, type PreparedStatementDefinition, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';
import {type DataRequest} from './data-request.js';
import {acquireConnection, reportUnansweredStatement, refusalReasonOf} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';
import {type PooledConnection} from './pooled-connection.js';
import {type SessionReadExecutor} from './session-read-executor.js';
import {describeReply, notRunRefusal, refusal} from './replies.js';
import {type ServiceClient} from './service-client.js';
import {type SessionContext} from './session-context.js';

/** Delay before a statement that was refused as busy is sent again. */
const busyRetryDelay: Milliseconds = 15;

/** Time for which a member that refused to open a transaction is avoided. */
const refusalAvoidTime: Milliseconds = 50;

/** Options of a transaction. */
export type TransactionOptions = {
	readonly route: Route;
	readonly client: ServiceClient;
	readonly isReadOnly: boolean;
};

/** Why a transaction could not be opened or has failed. */
type TransactionRefusal = {
	readonly reason: RefusalReason;
	readonly detail: string;
};

/** Connection on which the transaction is open, and the pool that it belongs to. */
type HeldConnection = {
	readonly pool: MemberPool;
	readonly connection: PooledConnection;
};

/** Transaction of a caller. It is opened on a member with its first statement, so that it holds no connection before it needs one. */
export class CallerTransaction {
	readonly #beganAt: Milliseconds;
	/** Undefined until the transaction is opened, and after it has ended. */
	#held: HeldConnection | undefined;
	#hasWritten = false;
	#hasEnded = false;
	/** Reason with which the next statement is refused; undefined unless the transaction has failed. */
	#failure: RefusalReason | undefined;
	#cancelIdle: Cancel | undefined;

	constructor(private readonly context: SessionContext, private readonly readExecutor: SessionReadExecutor, private readonly options: TransactionOptions) {
		this.#beganAt = context.now;
	}

	/** Transaction state reported to the caller. */
	get state(): TransactionState {
		return this.#failure ? 'failed' : 'open';
	}

	/** Executes a statement. The transaction fails and is rolled back unless the member keeps it open. */
	async execute(request: DataRequest): Promise<StatementReply> {
		const {context} = this;
		if (this.#failure) {
			return this.#replyAfterFailure(this.#failure);
		}

		const startedAt = context.now;
		const deadline = context.deadlineOf(this.options.route);
		try {
			if (this.#held) {
				await this.#held.connection.applySession(context.sessionState, request.preparedStatement, deadline - context.now);
			} else {
				const refused = await this.#open(request.preparedStatement, deadline);
				if (refused) {
					return this.#fail(request.id, refused);
				}
			}

			this.#hasWritten ||= request.access === 'write';
			const reply = await this.#executeWithBusyRetry(request.createStatement(), deadline);
			context.log(request.id, `${request.access} in transaction`, describeReply(reply), {member: this.#held?.pool.server.id});
			if (reply.transaction === 'open') {
				return reply;
			}

			return this.#fail(request.id, reply.outcome === 'refused' ? reply : {reason: 'aborted', detail: 'the member ended the transaction'});
		} catch (error) {
			reportUnansweredStatement(this.#held?.pool, error, startedAt);
			// No commit was sent, so the transaction has certainly not taken effect.
			return this.#fail(request.id, {reason: 'aborted', detail: toBuckthornhitchError(error).message});
		}
	}

	/** Commits the transaction, which has ended when this resolves. */
	async commit(id: string): Promise<StatementReply> {
		const {context, options} = this;
		if (this.#failure) {
			return refusal('aborted', 'the transaction was rolled back', 'idle');
		}

		const deadline = context.deadlineOf(options.route);
		const refused = this.#held ? undefined : await this.#open(undefined, deadline);
		if (refused) {
			return refusal('aborted', refused.detail, 'idle');
		}

		const held = this.#held;
		if (!held) {
			return refusal('aborted', 'the transaction was rolled back', 'idle');
		}

		const startedAt = context.now;
		try {
			const reply = await this.#executeWithBusyRetry({kind: 'commit', id}, deadline);
			context.log(id, 'commit', describeReply(reply), {member: held.pool.server.id, elapsed: Math.round(context.now - startedAt)});
			if (reply.outcome === 'done' && this.#hasWritten) {
				options.client.recordPrimaryPosition(held.pool.server.id, reply.point, startedAt);
				context.recordCommit(held.pool.server.id, reply.point);
			}

			this.#releaseAfterCommit(reply);
			return {...reply, transaction: 'idle'};
		} catch (error) {
			const {codeName, message} = toBuckthornhitchError(error);
			const mayHaveCommitted = this.#hasWritten && codeName !== 'linkNotSent';
			this.rollBack();
			context.log(id, 'commit', mayHaveCommitted ? `unknown ${message}` : `lost ${message}`, {member: held.pool.server.id});
			return refusal(mayHaveCommitted ? 'outcomeUnknown' : 'aborted', message, 'idle');
		}
	}

	/** Rolls the transaction back on its member. */
	rollBack(): void {
		this.#hasEnded = true;
		this.#cancelIdle?.();
		const held = this.#held;
		this.#held = undefined;
		held?.pool.releaseAfterRollback(held.connection);
	}

	/** Rolls the transaction back without a request of the caller. The next statement of the caller is refused as aborted. */
	abort(): void {
		this.rollBack();
		this.#failure ??= 'aborted';
	}

	/** Aborts the transaction unless another statement arrives within the limit in milliseconds. */
	startIdleTimeout(limit: Milliseconds): void {
		if (this.#failure !== undefined || limit <= 0) {
			return;
		}

		this.#cancelIdle = this.context.dependencies.clock.schedule(limit, () => {
			this.context.log('-', 'transaction', `aborted after ${limit} ms without a statement`, {member: this.#held?.pool.server.id});
			this.abort();
		});
	}

	/** Cancels the timeout set by `startIdleTimeout`. */
	cancelIdleTimeout(): void {
		this.#cancelIdle?.();
	}

	/** Returns the refusal of a statement in a failed transaction: the reason of the failure if the caller has not received it yet, otherwise `malformed`, until the caller ends the transaction. */
	#replyAfterFailure(failure: RefusalReason): StatementReply {
		this.#failure = 'malformed';
		return refusal(failure, 'the transaction was rolled back', 'failed');
	}

	#fail(id: string, {reason, detail}: TransactionRefusal): StatementReply {
		const {client, route, isReadOnly} = this.options;
		const pools = this.#held ? [this.#held.pool] : client.pools.filter(({server}) => isReadOnly || server.id === client.primaryId);
		this.context.log(id, 'transaction', `failed ${reason} ${detail}`, {member: this.#held?.pool.server.id});
		this.rollBack();
		this.#failure = 'malformed';
		if (reason !== 'busy') {
			return refusal(reason, detail, 'failed');
		}

		return notRunRefusal(detail, 'failed', client.retryAfter({
			pools, reason, needsPrimary: !isReadOnly, usefulTime: route.statementTimeout,
		}));
	}

	#releaseAfterCommit(reply: StatementReply): void {
		const held = this.#held;
		if (!held || reply.transaction !== 'idle') {
			this.rollBack();
			return;
		}

		this.#held = undefined;
		this.#hasEnded = true;
		held.pool.release(held.connection);
	}

	/** Executes a statement and retries it until the deadline while the member refuses it as busy and keeps the transaction open. */
	async #executeWithBusyRetry(statement: MemberStatement, deadline: Milliseconds): Promise<StatementReply> {
		const {clock} = this.context.dependencies;
		for (;;) {
			if (!this.#held) {
				throw new BuckthornhitchError('transactionLost', 'The caller left, or the transaction was idle for too long.');
			}

			const reply = await this.#held.connection.execute(statement, deadline - clock.now());
			const mayRetry = reply.outcome === 'refused' && reply.reason === 'busy' && reply.transaction === 'open';
			if (!mayRetry || clock.now() + busyRetryDelay >= deadline) {
				return reply;
			}

			await clock.sleep(busyRetryDelay);
		}
	}

	/** Opens the transaction on a member. Resolves with the last refusal when no member opened it before the deadline. */
	async #open(preparedStatement: PreparedStatementDefinition | undefined, deadline: Milliseconds): Promise<TransactionRefusal | undefined> {
		const {context, options: {client, route, isReadOnly}} = this;
		let last: TransactionRefusal = {reason: 'busy', detail: 'no member was reached'};
		while (context.now < deadline && !this.#hasEnded) {
			const required = isReadOnly ? await this.readExecutor.requiredPosition(client, this.#beganAt - route.maximumStaleness, deadline) : undefined;
			if (isReadOnly && !required) {
				break;
			}

			for (const pool of required ? this.readExecutor.candidatePools(client, route, required) : await this.#primaryPools(deadline)) {
				const refused = await this.#openOn(pool, preparedStatement, deadline, required);
				if (!refused) {
					return undefined;
				}

				last = refused;
			}

			await this.readExecutor.waitBeforeRetry(client, isReadOnly && last.reason === 'lagging', deadline);
		}

		return last;
	}

	/** Resolves with the pool of the primary as the only element, or with an empty list if no primary is found before the deadline. */
	async #primaryPools(deadline: Milliseconds): Promise<readonly MemberPool[]> {
		try {
			return [await this.options.client.primaryPool(deadline)];
		} catch (error) {
			this.context.log('-', 'transaction', toBuckthornhitchError(error).message);
			return [];
		}
	}

	async #openOn(pool: MemberPool, preparedStatement: PreparedStatementDefinition | undefined, deadline: Milliseconds, after: LogPosition | undefined): Promise<TransactionRefusal | undefined> {
		const {context, options: {route, client, isReadOnly}} = this;
		const startedAt = context.now;
		let connection: PooledConnection | undefined;
		try {
			connection = await acquireConnection(context, pool, {route, preparedStatement, deadline});
			const reply = await connection.execute({kind: 'begin', isReadOnly, after}, deadline - context.now);
			if (reply.outcome === 'refused') {
				pool.release(connection);
				return this.#handleOpenRefusal(pool, reply);
			}

			if (!isReadOnly) {
				client.recordPrimaryPosition(pool.server.id, reply.point, startedAt);
			}

			this.#held = {pool, connection};
			if (this.#hasEnded) {
				this.rollBack();
			}

			return undefined;
		} catch (error) {
			if (connection) {
				reportUnansweredStatement(pool, error, startedAt);
				pool.discard(connection);
			}

			return this.#handleOpenRefusal(pool, {reason: refusalReasonOf(error), detail: toBuckthornhitchError(error).message});
		}
	}

	#handleOpenRefusal(pool: MemberPool, {reason, detail}: TransactionRefusal): TransactionRefusal {
		pool.avoidUntil = this.context.now + refusalAvoidTime;
		if (!this.options.isReadOnly && (reason === 'readOnly' || reason === 'wrongServer' || pool.isFailing)) {
			this.options.client.forgetPrimary(pool.server.id);
		}

		return {reason, detail};
	}
}
