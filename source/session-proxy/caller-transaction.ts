import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {SetupRefusedError} from '../statement/member-connection.js';
import {
	type ConnectionStatement, isInvalidMessage, positionAfterCommit, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';
import {type DataRequest} from './data-request.js';
import {type CallerOperation} from './caller-operation.js';
import {
	acquireConnection, awaitReplyUntilAbandoned, expectedWaitOf, reasonAfterSetupRefusal, reportUnansweredStatement, refusalReasonOf,
} from './statement-attempt.js';
import {type MemberPool} from './member-pool.js';
import {hasNotRun, isDone, isUnsent} from './pending-reply.js';
import {type PooledConnection} from './pooled-connection.js';
import {type SessionReadExecutor} from './session-read-executor.js';
import {describeReply, notRunRefusal, refusal} from './replies.js';
import {type AttemptTrace} from './request-trace.js';
import {type ServiceClient} from './service-client.js';
import {type SessionContext} from './session-context.js';

/** Delay before a statement that was refused as busy is sent again. */
const busyRetryDelay: Milliseconds = 15;

/** Time for which a member that refused to open a transaction is avoided. */
const refusalAvoidTime: Milliseconds = 50;

/** Options of a transaction. */
export type TransactionOptions = {
	readonly operation: CallerOperation;
	readonly route: Route;
	readonly client: ServiceClient;
	readonly isReadOnly: boolean;
};

/** Why a transaction could not be opened or has failed. */
type TransactionRefusal = {
	readonly reason: RefusalReason;
	readonly detail: string;
	/** Expected wait in the queue that refused to open the transaction, if one did. */
	readonly expectedWait?: Milliseconds;
};

/** Outcome of an attempt to open the transaction. */
type OpenAttempt =
	/** The reply to the first statement is pending if it was sent together with the begin. */
	| {readonly kind: 'opened'; readonly firstReply?: Promise<StatementReply>}
	| {
		readonly kind: 'refused';
		readonly refused: TransactionRefusal;
		/** Whether the first statement may have run, inside a transaction that will never be committed. It may only if it was sent together with a begin that was not answered. */
		readonly mayHaveRun?: boolean;
		/** Whether the first statement must not be sent again. */
		readonly isFinal?: boolean;
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
	/** Record of the last attempt to open the transaction, which goes on until the transaction ends. */
	#attempt: AttemptTrace | undefined;
	#hasWritten = false;
	#hasEnded = false;
	/** Whether the transaction was ended because the key no longer identifies its customer. */
	#hasLostCustomer = false;
	/** Reason with which the next statement is refused; undefined unless the transaction has failed. */
	#failure: RefusalReason | undefined;
	#cancelIdle: Cancel | undefined;

	constructor(private readonly context: SessionContext, private readonly readExecutor: SessionReadExecutor, private readonly options: TransactionOptions) {
		this.#beganAt = context.now;
	}

	/** Name of the customer for whom the transaction was admitted. */
	get customer(): string | undefined {
		return this.options.operation.customer;
	}

	/** Operation that the transaction is. */
	get operation(): CallerOperation {
		return this.options.operation;
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
			let firstReply: Promise<StatementReply> | undefined;
			if (this.#held) {
				await this.#held.connection.applySession(context.sessionState, request.preparedStatement, deadline - context.now);
			} else {
				const opened = await this.#open(request, deadline);
				if (opened.kind === 'refused') {
					return this.#fail(request.id, this.#customerRefusal() ?? opened.refused);
				}

				({firstReply} = opened);
			}

			this.#hasWritten ||= request.access === 'write';
			const reply = await this.#executeWithBusyRetry(request.createStatement(), deadline, firstReply);
			context.log(request.id, `${request.access} in transaction`, describeReply(reply), {member: this.#held?.pool.server.id});
			if (reply.transaction === 'open') {
				return reply;
			}

			return this.#fail(request.id, reply.outcome === 'refused' ? reply : {reason: 'aborted', detail: 'the member ended the transaction'});
		} catch (error) {
			reportUnansweredStatement(this.#held?.pool, error, startedAt);
			// No commit was sent, so the transaction has certainly not taken effect.
			const {codeName, message} = toBuckthornhitchError(error);
			return this.#fail(request.id, (isUnsent(codeName) ? this.#customerRefusal() : undefined) ?? {reason: 'aborted', detail: message});
		}
	}

	/** Commits the transaction, which has ended when this resolves. */
	async commit(id: string): Promise<StatementReply> {
		const {context, options} = this;
		if (this.#failure) {
			return refusal('aborted', 'the transaction was rolled back', 'idle');
		}

		const deadline = context.deadlineOf(options.route);
		const opened = this.#held ? undefined : await this.#open(undefined, deadline);
		const held = this.#held;
		if (opened?.kind === 'refused' || !held) {
			const {reason, detail} = this.#customerRefusal() ?? {reason: 'aborted', detail: opened?.kind === 'refused' ? opened.refused.detail : 'the transaction was rolled back'};
			return refusal(reason, detail, 'idle');
		}

		const startedAt = context.now;
		try {
			const reply = await this.#executeWithBusyRetry({kind: 'commit', id}, deadline);
			context.log(id, 'commit', describeReply(reply), {member: held.pool.server.id, elapsed: Math.round(context.now - startedAt)});
			if (reply.outcome === 'done' && this.#hasWritten) {
				const position = positionAfterCommit(reply);
				options.client.recordPrimaryPosition(held.pool.server.id, position, startedAt);
				context.recordCommit(held.pool.server.id, position);
			}

			this.#releaseAfterCommit(reply);
			return {...reply, transaction: 'idle'};
		} catch (error) {
			const {codeName, message} = toBuckthornhitchError(error);
			const mayHaveCommitted = this.#hasWritten && !isUnsent(codeName);
			this.rollBack();
			context.log(id, 'commit', mayHaveCommitted ? `unknown ${message}` : `lost ${message}`, {member: held.pool.server.id});
			const lost = (isUnsent(codeName) ? this.#customerRefusal() : undefined) ?? {reason: 'aborted', detail: message};
			return mayHaveCommitted ? refusal('outcomeUnknown', message, 'idle') : refusal(lost.reason, lost.detail, 'idle');
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

	/** Rolls the transaction back without a request of the caller, for the reason given in words. The next statement of the caller is refused as aborted. */
	abort(reason: string): void {
		this.rollBack();
		this.#failure ??= 'aborted';
		this.operation.endWithoutStatement({outcome: `aborted ${reason}`, refusal: 'aborted'});
	}

	/** Aborts the transaction because the key no longer identifies its customer. A commit that was sent keeps its outcome. */
	abortForCustomer(): void {
		if (this.#failure === undefined) {
			this.context.log('-', 'transaction', 'aborted since the key was revoked or moved', {member: this.#held?.pool.server.id});
			this.#hasLostCustomer = true;
			this.abort('since the key was revoked or moved');
		}
	}

	/** Rolls the transaction back because a statement was refused, which the caller learns from that refusal. */
	failAsRefused(): void {
		this.rollBack();
		this.#failure = 'malformed';
	}

	/** Returns the refusal of a statement that the proxy executes itself, if the transaction has failed. */
	refuseIfFailed(): StatementReply | undefined {
		if (this.#failure === undefined) {
			return undefined;
		}

		return this.#hasLostCustomer ? this.#replyAfterFailure(this.#failure) : refusal('malformed', 'the transaction has failed', 'failed');
	}

	/** Aborts the transaction unless another statement arrives within the limit in milliseconds. */
	startIdleTimeout(limit: Milliseconds): void {
		if (this.#failure !== undefined || limit <= 0) {
			return;
		}

		this.#cancelIdle = this.context.dependencies.clock.schedule(limit, () => {
			this.context.log('-', 'transaction', `aborted after ${limit} ms without a statement`, {member: this.#held?.pool.server.id});
			this.abort(`after ${limit} ms without a statement`);
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

	/** Returns why a statement that was not sent is refused, if the transaction was aborted because of its customer. */
	#customerRefusal(): TransactionRefusal | undefined {
		if (!this.#hasLostCustomer) {
			return undefined;
		}

		return this.context.authorize().isAuthorized
			? {reason: 'aborted', detail: 'the transaction was rolled back'}
			: {reason: 'notAuthorized', detail: 'the key is not known'};
	}

	#fail(id: string, {reason, detail, expectedWait}: TransactionRefusal): StatementReply {
		const {client, route, isReadOnly} = this.options;
		const pools = this.#held ? [this.#held.pool] : client.pools.filter(({server}) => isReadOnly || server.id === client.primaryId);
		this.context.log(id, 'transaction', `failed ${reason} ${detail}`, {member: this.#held?.pool.server.id});
		this.rollBack();
		this.#failure = 'malformed';
		if (reason !== 'busy') {
			return refusal(reason, detail, 'failed');
		}

		return notRunRefusal(detail, 'failed', client.retryAfter({
			pools, reason, expectedWait, needsPrimary: !isReadOnly, usefulTime: route.statementTimeout,
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

	/** Executes a statement, unless it was sent together with the begin, and retries it until the deadline while the member refuses it as busy and keeps the transaction open. */
	async #executeWithBusyRetry(statement: ConnectionStatement, deadline: Milliseconds, firstReply?: Promise<StatementReply>): Promise<StatementReply> {
		const {clock} = this.context.dependencies;
		for (let pendingReply = firstReply; ; pendingReply = undefined) {
			if (!this.#held) {
				throw new BuckthornhitchError('transactionLost', 'The caller left, or the transaction was idle for too long.');
			}

			const reply = await (pendingReply ?? this.#held.connection.execute(statement, deadline - clock.now(), 'transaction'));
			const mayRetry = reply.outcome === 'refused' && reply.reason === 'busy' && reply.transaction === 'open';
			if (!mayRetry || clock.now() + busyRetryDelay >= deadline) {
				return reply;
			}

			this.#attempt?.recordBusyRetry();
			await clock.sleep(busyRetryDelay);
		}
	}

	/** Opens the transaction on a member. Resolves with the last refusal when no member opened it before the deadline. */
	async #open(first: DataRequest | undefined, deadline: Milliseconds): Promise<OpenAttempt> {
		const {context, options: {client, route, isReadOnly}} = this;
		let last: TransactionRefusal = {reason: 'busy', detail: 'no member was reached'};
		let mayHaveRun = false;
		// A refusal as busy says that the statement has not run.
		const refused = (): OpenAttempt => ({kind: 'refused', refused: mayHaveRun ? {...last, reason: 'aborted'} : last});
		while (context.now < deadline && !this.#hasEnded) {
			const required = isReadOnly ? await this.readExecutor.requiredPosition(client, this.#beganAt - route.maximumStaleness, deadline) : undefined;
			if (isReadOnly && !required) {
				break;
			}

			for (const pool of required ? this.readExecutor.candidatePools(client, route, required) : await this.#primaryPools(deadline)) {
				this.#attempt = this.operation.trace.startAttempt(pool.server.id);
				const attempt = await this.#openOn(pool, first, deadline, required);
				if (attempt.kind === 'opened') {
					return attempt;
				}

				this.#attempt.end(`${attempt.refused.reason} ${attempt.refused.detail}`);
				last = attempt.refused;
				mayHaveRun ||= attempt.mayHaveRun ?? false;
				if (this.#hasEnded || attempt.isFinal) {
					return attempt.isFinal ? attempt : refused();
				}
			}

			if (last.expectedWait !== undefined) {
				return refused();
			}

			await this.readExecutor.waitBeforeRetry(client, isReadOnly && last.reason === 'lagging', deadline);
		}

		return refused();
	}

	/** Resolves with the pool of the primary as the only element, or with an empty list if no primary is found before the deadline. */
	async #primaryPools(deadline: Milliseconds): Promise<readonly MemberPool[]> {
		try {
			return [await this.options.client.primaryPool(deadline, () => !this.#hasEnded)];
		} catch (error) {
			const {message} = toBuckthornhitchError(error);
			this.context.log('-', 'transaction', message);
			this.operation.trace.recordPrimaryError(message);
			return [];
		}
	}

	/** Opens the transaction on the member of a pool. A gateway that supports it gets the first statement together with the begin, and runs it only once the transaction is open. */
	async #openOn(pool: MemberPool, first: DataRequest | undefined, deadline: Milliseconds, after: LogPosition | undefined): Promise<OpenAttempt> {
		const {context, options: {route, client, isReadOnly}} = this;
		const startedAt = context.now;
		let connection: PooledConnection | undefined;
		let firstReply: Promise<StatementReply> | undefined;
		try {
			connection = await acquireConnection(context, pool, {
				route, preparedStatement: first?.preparedStatement, deadline, arrivedAt: this.#beganAt, customer: this.customer, isForTransaction: true, trace: this.#attempt,
			});
			if (this.#hasLostCustomer) {
				pool.release(connection);
				return {kind: 'refused', refused: {reason: 'busy', detail: 'the key of the caller was revoked or moved'}};
			}

			const beginReply = connection.execute({kind: 'begin', isReadOnly, after}, deadline - context.now);
			if (first && connection.memberConnection.supportsScopes && !this.#hasEnded) {
				firstReply = connection.execute(first.createStatement(), deadline - context.now, 'transaction');
				firstReply.catch(() => {
					// The rejection is handled where the reply is awaited, which may be later or, if the transaction has ended, not at all.
				});
			}

			const reply = await awaitReplyUntilAbandoned(context, connection, beginReply);
			if (reply.outcome === 'refused') {
				// The gateway does not run the first statement; the connection is free once it has said so.
				const hasRun = firstReply && await isDone(firstReply);
				pool.release(connection);
				const refused = this.#handleOpenRefusal(pool, reply);
				return hasRun
					? {kind: 'refused', refused: {reason: 'outcomeUnknown', detail: 'the statement ran outside its transaction'}, isFinal: true}
					: {kind: 'refused', refused, isFinal: isSetupRefusal(reply.reason)};
			}

			if (reply.transaction !== 'open') {
				throw new BuckthornhitchError('linkOutcomeUnknown', `the transaction is ${reply.transaction} after its begin`);
			}

			if (!isReadOnly) {
				client.recordPrimaryPosition(pool.server.id, reply.point, startedAt);
			}

			this.#held = {pool, connection};
			if (this.#hasEnded) {
				this.rollBack();
			}

			return {kind: 'opened', firstReply};
		} catch (error) {
			if (connection) {
				reportUnansweredStatement(pool, error, startedAt);
				pool.discard(connection);
			}

			if (error instanceof SetupRefusedError && this.operation.endsAfterSetupRefusal(error.reason)) {
				return {kind: 'refused', refused: {reason: reasonAfterSetupRefusal(error.reason), detail: error.message}, isFinal: true};
			}

			const mayHaveRun = firstReply && !await hasNotRun(firstReply);
			// A write is never sent twice, even though the transaction without an answer will not be committed.
			const isFinal = mayHaveRun && first?.access === 'write';
			const refused = this.#handleOpenRefusal(pool, {reason: refusalReasonOf(error), detail: toBuckthornhitchError(error).message, ...expectedWaitOf(error)});
			return {
				kind: 'refused', refused: isFinal ? {...refused, reason: 'aborted'} : refused, mayHaveRun, isFinal,
			};
		}
	}

	#handleOpenRefusal(pool: MemberPool, refused: TransactionRefusal): TransactionRefusal {
		const {reason, detail} = refused;
		pool.avoidUntil = this.context.now + refusalAvoidTime;
		if (!this.options.isReadOnly && (reason === 'readOnly' || reason === 'wrongServer' || pool.isFailing)) {
			this.options.client.forgetPrimary(pool.server.id);
		}

		return {reason, detail, ...expectedWaitOf(refused)};
	}
}

/** Returns whether a gateway refused to open a transaction because of the session's variables, which further members would refuse as well. */
function isSetupRefusal(reason: RefusalReason): boolean {
	return reason === 'aborted' || isInvalidMessage(reason);
}
