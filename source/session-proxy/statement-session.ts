import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPoint} from '../database-group/types.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route, type RoutingTable} from '../routing-table/types.js';
import {
	isNotRun, ownSignature, type MemberStatement, type PreparedShape, type RefusalReason, type Statement, type StatementReply, type TransactionState,
} from '../statement/types.js';
import {MemberRefusal} from '../statement/member-link.js';
import {CallerSessionState, sharedName} from './caller-session-state.js';
import {type OwnCommit} from './freshness.js';
import {type MemberPool} from './member-pool.js';
import {type PooledLink} from './pooled-link.js';
import {orderForRead, type ReadCandidate} from './read-policy.js';
import {type RequestDecision, type RequestLog} from './request-log.js';
import {type ServiceClient} from './service-client.js';

/** Time that is left of a statement's limit for the answer to reach the caller. */
const answerMargin: Milliseconds = 20;

/** A read without an answer after this long, or after a multiple of the usual time, is sent to another member as well. */
const shortestHedgeDelay: Milliseconds = 120;

/** Multiple of the usual answer time after which a read is hedged; few answers take longer. */
const hedgeFactor = 4;

/** Pause before a statement that a busy member refused is sent again. */
const busyPause: Milliseconds = 15;

/** Time after which a caller should ask again when its request did not run. */
const comeBackTime: Milliseconds = 200;

/** A replica that refused a read because it is behind is passed over for this long. */
const laggingPause: Milliseconds = 50;

/** A member that refused a read because it is busy is passed over for this long. */
const overloadPause: Milliseconds = 20;

/** What sessions share within a process. */
export type SessionServices = {
	readonly clock: Clock;
	readonly dataCentre: string;
	readonly requestLog: RequestLog;
	readonly table: () => RoutingTable | undefined;
	/** Returns the route of a database, if there is one now. */
	readonly route: (database: string) => Route | undefined;
	readonly client: (service: string) => ServiceClient;
};

type OpenTransaction = {
	readonly route: Route;
	readonly client: ServiceClient;
	readonly isReadOnly: boolean;
	readonly beganAt: Milliseconds;
	pool?: MemberPool;
	link?: PooledLink;
	hasWritten: boolean;
	/** Why the transaction ended although the caller has not ended it. */
	failure?: RefusalReason;
	cancelIdle?: () => void;
};

type DataStatement = Extract<Statement, {readonly kind: 'read' | 'write' | 'execute'}>;

/** A statement to send, once the point that its data must contain is known. */
type Work = {
	readonly id: string;
	readonly access: 'read' | 'write';
	readonly shape: PreparedShape | undefined;
	readonly statement: (after?: LogPoint) => MemberStatement;
};

/** Outcome of a statement at a member. */
type Attempt =
	| {readonly kind: 'answered'; readonly reply: StatementReply}
	/** It certainly did not run. */
	| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly detail: string}
	/** It may have run. */
	| {readonly kind: 'unknown'; readonly detail: string};

/** One caller's session with one database. */
export class StatementSession {
	readonly #state = new CallerSessionState();
	#transaction: OpenTransaction | undefined;
	#own: OwnCommit | undefined;
	#closed = false;

	constructor(readonly id: string, private readonly database: string, private readonly services: SessionServices) {}

	/** Whether a transaction is open. */
	get isInTransaction(): boolean {
		return this.#transaction !== undefined;
	}

	/** Carries out a statement and returns its answer; statements are given one after the other. */
	async execute(statement: Statement): Promise<StatementReply> {
		this.#transaction?.cancelIdle?.();
		try {
			return await this.#dispatch(statement);
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			this.#log(statement.id, statement.kind, `fault ${failure.message}`);
			return this.#refuse(this.#transaction?.hasWritten ? 'aborted' : 'failed', failure.message);
		} finally {
			this.#watchIdle();
		}
	}

	/** Ends the session; an open transaction is rolled back. */
	close(): void {
		this.#closed = true;
		this.#abandonTransaction();
		this.#transaction = undefined;
	}

	/** Ends an open transaction because the process stops. */
	abort(): void {
		if (this.#transaction) {
			this.#abandonTransaction();
			this.#transaction.failure ??= 'aborted';
		}
	}

	async #dispatch(statement: Statement): Promise<StatementReply> {
		if (this.#transaction?.failure) {
			return this.#inFailedTransaction(statement, this.#transaction.failure);
		}

		switch (statement.kind) {
			case 'begin': {
				return this.#begin(statement);
			}

			case 'commit': {
				return this.#commit(statement.id);
			}

			case 'rollback': {
				this.#abandonTransaction();
				this.#transaction = undefined;
				return this.#done();
			}

			case 'set': {
				this.#state.values.set(statement.name, statement.value);
				return this.#done();
			}

			case 'prepare': {
				this.#state.prepared.set(statement.name, statement.shape);
				return this.#done();
			}

			case 'deallocate': {
				return this.#state.prepared.delete(statement.name) ? this.#done() : this.#refuse('unknownStatement', statement.name);
			}

			case 'malformed': {
				return this.#refuse('malformed', 'the statement is not known');
			}

			case 'read':
			case 'write':
			case 'execute': {
				return this.#data(statement);
			}
		}
	}

	/** After a failure, only the end of the transaction is accepted; the first answer after an abort by the proxy names it. */
	#inFailedTransaction(statement: Statement, failure: RefusalReason): StatementReply {
		if (statement.kind === 'rollback' || statement.kind === 'commit') {
			this.#transaction = undefined;
			return statement.kind === 'rollback' ? this.#done() : this.#refuse('aborted', 'the transaction was rolled back');
		}

		if (failure === 'aborted') {
			this.#transaction!.failure = 'malformed';
			return this.#refuse('aborted', 'the transaction was rolled back');
		}

		return this.#refuse('malformed', 'the transaction has failed');
	}

	#begin({id, isReadOnly}: Extract<Statement, {readonly kind: 'begin'}>): StatementReply {
		if (this.#transaction) {
			return this.#refuse('malformed', 'a transaction is open');
		}

		const route = this.services.route(this.database);
		if (!route) {
			this.#log(id, 'begin', 'no route');
			return this.#refuse('unknownDatabase', this.database);
		}

		// The member is asked with the first statement, so that a pause does not hold a connection.
		this.#transaction = {
			route, client: this.services.client(route.service), isReadOnly, beganAt: this.services.clock.now(), hasWritten: false,
		};
		return this.#done();
	}

	async #data(statement: DataStatement): Promise<StatementReply> {
		const work = this.#workOf(statement);
		if (!work) {
			return this.#refuse('unknownStatement', statement.kind === 'execute' ? statement.name : '');
		}

		if (this.#transaction) {
			return this.#inTransaction(this.#transaction, work);
		}

		const arrivedAt = this.services.clock.now();
		const route = this.services.route(this.database);
		if (!route) {
			this.#log(statement.id, work.access, 'no route');
			return this.#refuse('unknownDatabase', this.database);
		}

		const client = this.services.client(route.service);
		const deadline = arrivedAt + route.statementTimeout - answerMargin;
		return work.access === 'write'
			? this.#write(client, route, work, deadline)
			: this.#read(client, route, work, arrivedAt, deadline);
	}

	#workOf(statement: DataStatement): Work | undefined {
		if (statement.kind !== 'execute') {
			const {id, text} = statement;
			return {
				id,
				access: statement.kind,
				shape: undefined,
				statement: after => statement.kind === 'read' ? {kind: 'read', id, text, after} : {kind: 'write', id, text},
			};
		}

		const {id, parameters} = statement;
		const shape = this.#state.prepared.get(statement.name);
		return shape && {
			id,
			access: shape.access,
			shape,
			statement: after => ({
				kind: 'execute', id, name: sharedName(shape), parameters, after: shape.access === 'read' ? after : undefined,
			}),
		};
	}

	/** Sends a write to the primary; again only after an answer that proves that it did not run. */
	async #write(client: ServiceClient, route: Route, work: Work, deadline: Milliseconds): Promise<StatementReply> {
		const {clock} = this.services;
		let last: Attempt = {kind: 'notRun', reason: 'busy', detail: 'no primary was found'};
		while (clock.now() < deadline) {
			let pool: MemberPool;
			try {
				pool = await client.primaryPool(deadline);
			} catch (error) {
				last = {kind: 'notRun', reason: 'busy', detail: toBuckthornhitchError(error).message};
				break;
			}

			const startedAt = clock.now();
			last = await this.#attempt(pool, route, work, deadline, undefined);
			this.#log(work.id, 'write', describeAttempt(last), {member: pool.server.id, elapsed: Math.round(clock.now() - startedAt)});
			if (last.kind === 'answered') {
				if (last.reply.outcome === 'done') {
					client.primaryAnswered(pool.server.id, last.reply.point, startedAt);
					this.#committed(last.reply.point);
				}

				return this.#asOwn(last.reply);
			}

			if (last.kind === 'unknown') {
				return this.#refuse('outcomeUnknown', last.detail);
			}

			await this.#afterNotRun(client, pool, last.reason);
		}

		return this.#giveUp(work.id, last);
	}

	async #afterNotRun(client: ServiceClient, pool: MemberPool, reason: RefusalReason): Promise<void> {
		if (reason === 'busy' || reason === 'connectionLimit') {
			await this.services.clock.sleep(busyPause);
			return;
		}

		client.doubtPrimary(pool.server.id);
		await this.services.clock.sleep(1);
	}

	async #read(client: ServiceClient, route: Route, work: Work, arrivedAt: Milliseconds, deadline: Milliseconds): Promise<StatementReply> {
		const {clock} = this.services;
		let last: Attempt = {kind: 'notRun', reason: 'busy', detail: 'no member was reached'};
		while (clock.now() < deadline) {
			const since = arrivedAt - route.maximumStaleness;
			const needed = await this.#neededPoint(client, since, deadline);
			if (!needed) {
				break;
			}

			const order = this.#membersFor(client, route, needed);
			last = await this.#hedgedRead(order, route, work, deadline, needed);
			this.#log(work.id, 'read', describeAttempt(last), {
				point: `${needed.term}.${needed.position}`, elapsed: Math.round(clock.now() - arrivedAt),
			});
			if (last.kind === 'answered') {
				return this.#asOwn(last.reply);
			}

			await clock.sleep(busyPause);
			if (last.kind === 'notRun' && last.reason === 'lagging') {
				await this.#refreshPoint(client, deadline);
			}
		}

		return this.#giveUp(work.id, last);
	}

	/** Returns the point that a read must see, after a question to the primary where none is known; undefined when the primary cannot be asked in time. */
	async #neededPoint(client: ServiceClient, since: Milliseconds, deadline: Milliseconds): Promise<LogPoint | undefined> {
		for (;;) {
			const known = client.freshness.pointSince(since, this.#own);
			if (known) {
				return known;
			}

			try {
				await client.confirmSince(Math.max(since, this.#own?.acknowledgedAt ?? since, this.services.clock.suspectedUntil() + 1), deadline);
			} catch {
				return undefined;
			}
		}
	}

	async #refreshPoint(client: ServiceClient, deadline: Milliseconds): Promise<void> {
		try {
			await client.confirmSince(this.services.clock.now(), deadline);
		} catch {
			// The next attempt uses the point that is known.
		}
	}

	#membersFor(client: ServiceClient, route: Route, needed: LogPoint): readonly MemberPool[] {
		const now = this.services.clock.now();
		const candidates = client.pools.map((pool): ReadCandidate => ({
			id: pool.server.id,
			isPrimary: pool.server.id === client.primaryId,
			isLocal: pool.server.dataCentre === this.services.dataCentre,
			isFailing: pool.isFailing,
			isAvoided: pool.avoidUntil > now,
			load: pool.load,
			expectedAnswerTime: pool.expectedAnswerTime,
			point: pool.point,
			pointAge: now - pool.pointAt,
		}));
		const ordered = orderForRead(candidates, needed).map(candidate => client.poolOf(candidate.id)!);
		if (route.consistency === 'primary') {
			const isPrimary = (pool: MemberPool): number => Number(pool.server.id === client.primaryId);
			return ordered.toSorted((first, second) => isPrimary(second) - isPrimary(first));
		}

		return ordered;
	}

	/** Sends a read to the members in order: to the next one when one refuses, and beside it when one is slow. Reads may run twice. */
	async #hedgedRead(pools: readonly MemberPool[], route: Route, work: Work, deadline: Milliseconds, needed: LogPoint): Promise<Attempt> {
		const {clock} = this.services;
		return new Promise(resolve => {
			let next = 0;
			let running = 0;
			let settled = false;
			let last: Attempt = {kind: 'notRun', reason: 'busy', detail: 'no member takes reads'};
			const finish = (attempt: Attempt): void => {
				settled = true;
				resolve(attempt);
			};

			const startNext = (): void => {
				if (settled) {
					return;
				}

				const pool = pools.at(next);
				next++;
				if (!pool) {
					if (running === 0) {
						finish(last);
					}

					return;
				}

				running++;
				const delay = Math.max(shortestHedgeDelay, hedgeFactor * pool.expectedAnswerTime);
				const cancelHedge = clock.schedule(delay, startNext);
				void this.#readAt(pool, route, work, deadline, needed).then(attempt => {
					running--;
					cancelHedge();
					if (settled) {
						return;
					}

					last = attempt;
					const isFailure = attempt.kind === 'answered' && attempt.reply.outcome === 'refused';
					if (attempt.kind === 'answered' && (!isFailure || next >= pools.length)) {
						finish(attempt);
						return;
					}

					startNext();
				});
			};

			startNext();
		});
	}

	async #readAt(pool: MemberPool, route: Route, work: Work, deadline: Milliseconds, needed: LogPoint): Promise<Attempt> {
		const {clock} = this.services;
		const startedAt = clock.now();
		const attempt = await this.#attempt(pool, route, work, deadline, needed);
		if (attempt.kind === 'answered') {
			pool.measured(clock.now() - startedAt);
		} else if (attempt.kind === 'notRun') {
			pool.avoidUntil = clock.now() + (attempt.reason === 'lagging' ? laggingPause : overloadPause);
		}

		return attempt;
	}

	/** Sends one statement outside a transaction to one member. */
	async #attempt(pool: MemberPool, route: Route, work: Work, deadline: Milliseconds, after: LogPoint | undefined): Promise<Attempt> {
		const {clock} = this.services;
		const startedAt = clock.now();
		let link: PooledLink;
		try {
			link = await this.#acquire(pool, route, work.shape, deadline);
		} catch (error) {
			return {kind: 'notRun', reason: reasonOf(error), detail: toBuckthornhitchError(error).message};
		}

		try {
			const reply = await link.execute(work.statement(after), deadline - clock.now());
			pool.release(link);
			return reply.outcome === 'refused' && isNotRun(reply.reason)
				? {kind: 'notRun', reason: reply.reason, detail: reply.detail}
				: {kind: 'answered', reply};
		} catch (error) {
			noteLoss(pool, error, startedAt);
			pool.retire(link);
			return {kind: 'unknown', detail: toBuckthornhitchError(error).message};
		}
	}

	/** Resolves with a connection that holds this session's values. Rejects when nothing was sent. */
	async #acquire(pool: MemberPool, route: Route, shape: PreparedShape | undefined, deadline: Milliseconds): Promise<PooledLink> {
		const {clock} = this.services;
		const link = await pool.acquire(deadline - clock.now(), route.priority, this.#state);
		try {
			await link.adopt(this.#state, shape, deadline - clock.now());
			return link;
		} catch (error) {
			pool.discard(link);
			throw error;
		}
	}

	async #inTransaction(transaction: OpenTransaction, work: Work): Promise<StatementReply> {
		const {clock} = this.services;
		const startedAt = clock.now();
		const deadline = startedAt + transaction.route.statementTimeout - answerMargin;
		const wasOpen = transaction.link !== undefined;
		if (!wasOpen) {
			const refusal = await this.#openTransaction(transaction, work.shape, deadline);
			if (refusal) {
				return this.#failTransaction(work.id, refusal.reason, refusal.detail);
			}
		}

		if (transaction.failure) {
			return this.#inFailedTransaction({kind: 'read', id: work.id, text: ''}, transaction.failure);
		}

		const link = transaction.link!;
		try {
			if (wasOpen) {
				await link.adopt(this.#state, work.shape, deadline - clock.now());
			}

			transaction.hasWritten ||= work.access === 'write';
			const reply = await this.#executeWhileBusy(transaction, work.statement(), deadline);
			this.#log(work.id, `${work.access} in transaction`, describeReply(reply), {member: transaction.pool!.server.id});
			if (reply.transaction !== 'open') {
				return this.#failTransaction(work.id, reply.outcome === 'refused' ? reply.reason : 'aborted', reply.outcome === 'refused' ? reply.detail : '');
			}

			return reply;
		} catch (error) {
			noteLoss(transaction.pool, error, startedAt);
			this.#loseLink(transaction);
			// Nothing is kept: the connection is closed before a commit was sent.
			return this.#failTransaction(work.id, 'aborted', toBuckthornhitchError(error).message);
		}
	}

	/** Sends a statement again while the member is too busy for it and keeps the transaction. */
	async #executeWhileBusy(transaction: OpenTransaction, statement: MemberStatement, deadline: Milliseconds): Promise<StatementReply> {
		const {clock} = this.services;
		for (;;) {
			const {link} = transaction;
			if (!link) {
				throw new BuckthornhitchError('transactionLost', 'the caller left, or the transaction was idle for too long');
			}

			const reply = await link.execute(statement, deadline - clock.now());
			const mayRepeat = reply.outcome === 'refused' && reply.reason === 'busy' && reply.transaction === 'open';
			if (!mayRepeat || clock.now() + busyPause >= deadline) {
				return reply;
			}

			await clock.sleep(busyPause);
		}
	}

	/** Opens the transaction at a member; returns the reason when none could be had. */
	async #openTransaction(transaction: OpenTransaction, shape: PreparedShape | undefined, deadline: Milliseconds): Promise<{readonly reason: RefusalReason; readonly detail: string} | undefined> {
		const {clock} = this.services;
		const {client, route, isReadOnly} = transaction;
		let last: {readonly reason: RefusalReason; readonly detail: string} = {reason: 'busy', detail: 'no member was reached'};
		while (clock.now() < deadline && !this.#closed) {
			const needed = isReadOnly ? await this.#neededPoint(client, transaction.beganAt - route.maximumStaleness, deadline) : undefined;
			if (isReadOnly && !needed) {
				break;
			}

			for (const pool of isReadOnly ? this.#membersFor(client, route, needed!) : await this.#primaryAsList(client, deadline)) {
				const refusal = await this.#openAt(transaction, pool, shape, deadline, needed);
				if (!refusal) {
					return undefined;
				}

				last = refusal;
				if (refusal.reason === 'readOnly' || refusal.reason === 'wrongServer') {
					client.doubtPrimary(pool.server.id);
				}
			}

			await clock.sleep(busyPause);
			if (isReadOnly && last.reason === 'lagging') {
				await this.#refreshPoint(client, deadline);
			}
		}

		return last;
	}

	async #primaryAsList(client: ServiceClient, deadline: Milliseconds): Promise<readonly MemberPool[]> {
		try {
			return [await client.primaryPool(deadline)];
		} catch {
			return [];
		}
	}

	async #openAt(transaction: OpenTransaction, pool: MemberPool, shape: PreparedShape | undefined, deadline: Milliseconds, after: LogPoint | undefined): Promise<{readonly reason: RefusalReason; readonly detail: string} | undefined> {
		const {clock} = this.services;
		const startedAt = clock.now();
		let link: PooledLink | undefined;
		try {
			link = await this.#acquire(pool, transaction.route, shape, deadline);
			const reply = await link.execute({kind: 'begin', isReadOnly: transaction.isReadOnly, after}, deadline - clock.now());
			if (reply.outcome === 'refused') {
				pool.release(link);
				pool.avoidUntil = clock.now() + laggingPause;
				return {reason: reply.reason, detail: reply.detail};
			}

			if (!transaction.isReadOnly) {
				transaction.client.primaryAnswered(pool.server.id, reply.point, startedAt);
			}

			transaction.pool = pool;
			transaction.link = link;
			if (this.#transaction !== transaction || transaction.failure) {
				this.#returnLink(transaction);
			}

			return undefined;
		} catch (error) {
			if (link) {
				noteLoss(pool, error, startedAt);
				pool.discard(link);
			}

			if (!transaction.isReadOnly) {
				transaction.client.doubtPrimary(pool.server.id);
			}

			return {reason: 'busy', detail: toBuckthornhitchError(error).message};
		}
	}

	async #commit(id: string): Promise<StatementReply> {
		const transaction = this.#transaction;
		if (!transaction) {
			return this.#refuse('malformed', 'no transaction is open');
		}

		const {clock} = this.services;
		const deadline = clock.now() + transaction.route.statementTimeout - answerMargin;
		const refusal = transaction.link ? undefined : await this.#openTransaction(transaction, undefined, deadline);
		if (refusal || !transaction.link) {
			this.#transaction = undefined;
			return this.#refuse('aborted', refusal?.detail ?? 'the transaction was rolled back');
		}

		const startedAt = clock.now();
		try {
			const reply = await this.#executeWhileBusy(transaction, {kind: 'commit', id}, deadline);
			this.#log(id, 'commit', describeReply(reply), {member: transaction.pool!.server.id, elapsed: Math.round(clock.now() - startedAt)});
			if (reply.outcome === 'done' && transaction.hasWritten) {
				transaction.client.primaryAnswered(transaction.pool!.server.id, reply.point, startedAt);
				this.#committed(reply.point);
			}

			if (transaction.link && reply.transaction === 'idle') {
				transaction.pool!.release(transaction.link);
				transaction.link = undefined;
			} else {
				this.#returnLink(transaction);
			}

			this.#transaction = undefined;
			return this.#asOwn(reply);
		} catch (error) {
			this.#loseLink(transaction);
			this.#transaction = undefined;
			const detail = toBuckthornhitchError(error).message;
			this.#log(id, 'commit', transaction.hasWritten ? `unknown ${detail}` : `lost ${detail}`, {member: transaction.pool!.server.id});
			return this.#refuse(transaction.hasWritten ? 'outcomeUnknown' : 'aborted', detail);
		}
	}

	#failTransaction(id: string, reason: RefusalReason, detail: string): StatementReply {
		const transaction = this.#transaction;
		this.#log(id, 'transaction', `failed ${reason} ${detail}`, {member: transaction?.pool?.server.id});
		this.#abandonTransaction();
		if (transaction) {
			transaction.failure = 'malformed';
		}

		return this.#refuse(reason, reason === 'busy' ? comeBack(detail) : detail);
	}

	/** Rolls the transaction back at its member and gives the connection back. */
	#abandonTransaction(): void {
		const transaction = this.#transaction;
		transaction?.cancelIdle?.();
		if (transaction?.link) {
			this.#returnLink(transaction);
		}
	}

	/** Gives the connection back once it holds no transaction. */
	#returnLink(transaction: OpenTransaction): void {
		const {pool, link} = transaction;
		transaction.link = undefined;
		if (!pool || !link) {
			return;
		}

		pool.retire(link);
	}

	#loseLink(transaction: OpenTransaction): void {
		if (transaction.link) {
			transaction.pool!.retire(transaction.link);
			transaction.link = undefined;
		}
	}

	#committed(point: LogPoint | undefined): void {
		if (point) {
			this.#own = {point, acknowledgedAt: this.services.clock.now()};
		}
	}

	/** Ends a transaction whose caller is idle for longer than the configuration allows. */
	#watchIdle(): void {
		const transaction = this.#transaction;
		const limit = this.services.table()?.idleTransactionLimit ?? 0;
		if (!transaction || transaction.failure || limit <= 0) {
			return;
		}

		transaction.cancelIdle = this.services.clock.schedule(limit, () => {
			this.#log('-', 'transaction', `idle for ${limit} ms`, {member: transaction.pool?.server.id});
			this.#abandonTransaction();
			transaction.failure = 'aborted';
		});
	}

	#giveUp(id: string, last: Attempt): StatementReply {
		const detail = last.kind === 'answered' ? '' : last.detail;
		this.#log(id, 'refusal', detail);
		return this.#refuse('busy', comeBack(detail));
	}

	/** An answer outside a transaction, with this session's own state. */
	#asOwn(reply: StatementReply): StatementReply {
		return {...reply, transaction: this.#transactionState()};
	}

	#done(): StatementReply {
		return {
			outcome: 'done', rows: [], signature: ownSignature, transaction: this.#transactionState(), point: undefined,
		};
	}

	#refuse(reason: RefusalReason, detail: string): StatementReply {
		return {
			outcome: 'refused', reason, detail, transaction: this.#transactionState(), point: undefined,
		};
	}

	#transactionState(): TransactionState {
		if (!this.#transaction) {
			return 'idle';
		}

		return this.#transaction.failure ? 'failed' : 'open';
	}

	#log(request: string, step: string, outcome: string, more: Partial<RequestDecision> = {}): void {
		this.services.requestLog.record({
			request, session: this.id, database: this.database, step, routingVersion: this.services.table()?.version, outcome, ...more,
		});
	}
}

function comeBack(detail: string): string {
	return `not run, come back in ${comeBackTime} ms: ${detail}`;
}

function reasonOf(error: unknown): RefusalReason {
	return error instanceof MemberRefusal ? error.reason : 'busy';
}

/** A statement without an answer is a sign that the member is lost. */
function noteLoss(pool: MemberPool | undefined, error: unknown, startedAt: Milliseconds): void {
	if (toBuckthornhitchError(error).codeName === 'linkOutcomeUnknown') {
		pool?.failed(startedAt);
	}
}

function describeAttempt(attempt: Attempt): string {
	return attempt.kind === 'answered' ? describeReply(attempt.reply) : `${attempt.kind} ${attempt.detail}`;
}

function describeReply(reply: StatementReply): string {
	return reply.outcome === 'done' ? 'done' : `refused ${reply.reason} ${reply.detail}`;
}
