import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {QueueRefusalError} from '../session-proxy/connection-requests.js';
import {reasonAfterSetupRefusal, refusalReasonOf} from '../session-proxy/statement-attempt.js';
import {type MemberPool} from '../session-proxy/member-pool.js';
import {type PooledConnection} from '../session-proxy/pooled-connection.js';
import {readInWriteTransaction, relayedReplyOf, returnAfterPrimaryRead} from '../session-proxy/primary-read.js';
import {localReply, refusal} from '../session-proxy/replies.js';
import {type ConnectionUse} from '../statement/member-connection.js';
import {relayLimit} from '../statement/statement-limits.js';
import {
	type ConnectionStatement, type MemberStatement, type PreparedStatementDefinition, type StatementReply,
} from '../statement/types.js';
import {type RelayStatementResponse, type RelayStatementRequest} from './messages.js';

/** Priority of relayed statements that state none among those that wait for a connection; the requesting entry has already ordered its own by priority. */
const defaultPriority = 1;

/** Time in which a refusal reaches the requesting entry: one round trip between regions and a short stall. A gateway gives up waiting for a connection this much before the deadline, so that the requesting entry learns that the statement has not run. */
const refusalTravelTime: Milliseconds = 50;

/** Statements of callers that a gateway runs outside transactions. */
const dataKinds: ReadonlySet<MemberStatement['kind']> = new Set(['read', 'write', 'execute']);

type HeldConnection = {
	readonly pool: MemberPool;
	readonly connection: PooledConnection;
};

/** Gateway side of one relayed connection. Statements run in order; a connection to the member is held only while a statement runs or a transaction is open. */
export class RelaySession {
	readonly #session = new CallerSessionState(relayLimit);
	#held: HeldConnection | undefined;
	/** Whether a transaction was begun on the held connection. */
	#hasBegun = false;
	#nextSequence = 0;
	#lastResponse: Promise<unknown> = Promise.resolve();
	#pendingCount = 0;
	#isClosed = false;
	/** Time for which the statement that is being executed has waited for a connection. */
	#connectionWait: Milliseconds = 0;
	/** What the statement that is being executed is for. */
	#use: ConnectionUse = {priority: defaultPriority, isForTransaction: false};

	constructor(
		readonly member: string,
		private readonly clock: Clock,
		/** Returns this instance's connection pool to the member, if the member may be used. */
		private readonly pool: () => MemberPool | undefined,
		/** Name of the customer whose statements are relayed. */
		private readonly customer: string | undefined,
	) {}

	/** Whether a statement is pending or a transaction is open. */
	get isActive(): boolean {
		return this.#pendingCount > 0 || this.#held !== undefined;
	}

	/** Whether a transaction is open. */
	get isInTransaction(): boolean {
		return this.#held !== undefined;
	}

	/** Runs a statement after all earlier ones. */
	async execute(request: RelayStatementRequest): Promise<RelayStatementResponse> {
		if (request.sequence !== this.#nextSequence || this.#isClosed) {
			return relayLost(`statement ${request.sequence} of a relay that expects ${this.#nextSequence}`);
		}

		this.#nextSequence++;
		this.#pendingCount++;
		const now = this.clock.now();
		const deadline = now + request.timeout;
		const response = this.#lastResponse.then(async () => {
			this.#use = useOf(request, now);
			this.#connectionWait = 0;
			const result = this.#refuseScope(request) ?? (request.isPrimaryRead ? await this.#readFromPrimary(request.statement, deadline) : await this.#dispatch(request.statement, deadline));
			return request.priority === undefined || this.#connectionWait === 0 ? result : {...result, connectionWait: this.#connectionWait};
		}).finally(() => {
			this.#pendingCount--;
		});
		this.#lastResponse = response;
		return response;
	}

	/** Closes the relay and rolls back an open transaction; later statements are refused. */
	close(): void {
		this.#isClosed = true;
		this.#releaseAfterRollback();
	}

	async #dispatch(statement: MemberStatement, deadline: Milliseconds): Promise<RelayStatementResponse> {
		if (this.#isClosed) {
			return relayLost('the relay was closed');
		}

		switch (statement.kind) {
			case 'reset': {
				this.#session.variables.clear();
				this.#session.preparedStatements.clear();
				return this.#applySessionChange(deadline);
			}

			case 'set': {
				return this.#session.variables.set(statement.name, statement.value)
					? this.#applySessionChange(deadline)
					: relayLost('the relay has too many session variables, or they are too long');
			}

			case 'prepare': {
				return this.#session.preparedStatements.set(statement.name, statement.shape)
					? this.#applySessionChange(deadline)
					: relayLost('the relay has too many prepared statements, or their definitions are too long');
			}

			case 'rollback': {
				return this.#held ? this.#executeOnMember(statement, deadline) : {kind: 'answered', reply: localReply('idle')};
			}

			case 'commit': {
				return this.#held ? this.#executeOnMember(statement, deadline) : {kind: 'answered', reply: refusal('aborted', 'the gateway rolled the transaction back', 'idle')};
			}

			case 'begin':
			case 'read':
			case 'write':
			case 'execute':
			case 'status':
			case 'pause':
			case 'resume':
			case 'demote': {
				return this.#executeOnMember(statement, deadline);
			}
		}
	}

	/** Replies to a statement that changed the session. Within a transaction the change is applied to the held connection at once, otherwise together with the next statement. */
	async #applySessionChange(deadline: Milliseconds): Promise<RelayStatementResponse> {
		const held = this.#held;
		if (held) {
			try {
				await held.connection.applySession(this.#session, undefined, deadline - this.clock.now());
			} catch (error) {
				this.#releaseAfterRollback();
				return {kind: 'unknown', detail: toBuckthornhitchError(error).message};
			}
		}

		return {kind: 'answered', reply: localReply(held ? 'open' : 'idle')};
	}

	/** Refuses a statement that would not run in the transaction that it is meant for: one of a transaction that is not open, or a primary read that is no read or would run inside a transaction. A commit without a transaction is answered as aborted instead. */
	#refuseScope({isInTransaction, isPrimaryRead, statement}: RelayStatementRequest): RelayStatementResponse | undefined {
		if (isInTransaction && statement.kind !== 'commit' && !(this.#held && this.#hasBegun)) {
			return {
				kind: 'notRun', reason: 'busy', detail: 'the transaction is not open', isLost: false,
			};
		}

		return isPrimaryRead && (this.#held ?? !this.#isRead(statement)) ? relayLost(`a primary read is not possible for ${statement.kind} here`) : undefined;
	}

	#isRead(statement: MemberStatement): boolean {
		return statement.kind === 'read' || (statement.kind === 'execute' && this.#session.preparedStatements.get(statement.name)?.access === 'read');
	}

	/** Puts the definition of a prepared statement in place of its name on the relay; returns undefined if there is none. The connection to the member has names of its own. */
	#toConnectionStatement(statement: MemberStatement): ConnectionStatement | undefined {
		if (statement.kind !== 'execute') {
			return statement;
		}

		const {name, ...execution} = statement;
		const definition = this.#session.preparedStatements.get(name);
		return definition && {...execution, definition};
	}

	/** Executes a read in a write transaction of its own, so that only the primary answers it. The response does not wait for the rollback. */
	async #readFromPrimary(relayed: MemberStatement, deadline: Milliseconds): Promise<RelayStatementResponse> {
		if (this.#isClosed) {
			return relayLost('the relay was closed');
		}

		const statement = this.#toConnectionStatement(relayed);
		if (!statement) {
			return relayLost('the statement is not prepared on the relay');
		}

		let held: HeldConnection;
		try {
			held = await this.#acquire(deadline);
		} catch (error) {
			return notAcquired(error);
		}

		this.#held = held;
		const {pool, connection} = held;
		const startedAt = this.clock.now();
		const isHeld = (): boolean => this.#held?.connection === connection;
		try {
			await connection.applySession(this.#session, definitionIn(statement), deadline - this.clock.now());
			if (!isHeld()) {
				return relayLost('the relay was closed before the statement was sent');
			}

			const outcome = await readInWriteTransaction({
				clock: this.clock, pool, connection, statement, deadline, isWanted: isHeld,
			});
			const reply = relayedReplyOf(outcome);
			return reply ? {kind: 'answered', reply} : {kind: 'unknown', detail: 'the read was not answered inside its transaction'};
		} catch (error) {
			// The variables of the session could not be set; the read was not sent.
			const {codeName, message} = toBuckthornhitchError(error);
			if (codeName === 'linkOutcomeUnknown') {
				pool.reportFailure(startedAt);
			}

			return {
				kind: 'notRun', reason: reasonAfterSetupRefusal(refusalReasonOf(error)), detail: message, isLost: false,
			};
		} finally {
			// A relay that was closed meanwhile has returned the connection already.
			if (isHeld()) {
				this.#held = undefined;
				returnAfterPrimaryRead(pool, connection);
			}
		}
	}

	async #executeOnMember(relayed: MemberStatement, deadline: Milliseconds): Promise<RelayStatementResponse> {
		const statement = this.#toConnectionStatement(relayed);
		if (!statement) {
			return relayLost('the statement is not prepared on the relay');
		}

		try {
			if (!this.#held) {
				this.#held = await this.#acquireMeasured(deadline);
				this.#hasBegun = false;
			}
		} catch (error) {
			return notAcquired(error);
		}

		const {pool, connection} = this.#held;
		const startedAt = this.clock.now();
		let isSent = false;
		try {
			await connection.applySession(this.#session, definitionIn(statement), deadline - this.clock.now());
			if (this.#held?.connection !== connection) {
				return relayLost('the relay was closed before the statement was sent');
			}

			isSent = true;
			const reply = await connection.execute(statement, deadline - this.clock.now());
			if (statement.kind === 'begin') {
				this.#hasBegun = reply.outcome === 'done' && reply.transaction === 'open';
			}

			this.#releaseIfIdle(reply);
			return {kind: 'answered', reply};
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			if (failure.codeName === 'linkOutcomeUnknown') {
				pool.reportFailure(startedAt);
			}

			this.#releaseAfterRollback();
			return isSent
				? {kind: 'unknown', detail: failure.message}
				: {
					kind: 'notRun', reason: reasonAfterSetupRefusal(refusalReasonOf(error)), detail: failure.message, isLost: false,
				};
		}
	}

	async #acquireMeasured(deadline: Milliseconds): Promise<HeldConnection> {
		const askedAt = this.clock.now();
		try {
			return await this.#acquire(deadline);
		} finally {
			this.#connectionWait = Math.round(this.clock.now() - askedAt);
		}
	}

	async #acquire(deadline: Milliseconds): Promise<HeldConnection> {
		const pool = this.pool();
		if (!pool) {
			throw new BuckthornhitchError('memberUnreachable', `${this.member} is not reached from here`);
		}

		const connection = await pool.acquireForRelay(deadline - refusalTravelTime - this.clock.now(), this.#use, this.#session, this.customer);
		if (this.#isClosed || connection.memberConnection.isRelayed) {
			// A statement is relayed only once; otherwise it could be relayed in a loop.
			pool.release(connection);
			throw new BuckthornhitchError('memberUnreachable', `${this.member} has no connection of its own here`);
		}

		return {pool, connection};
	}

	#releaseIfIdle({transaction}: StatementReply): void {
		if (transaction === 'idle' && this.#held) {
			this.#held.pool.release(this.#held.connection);
			this.#held = undefined;
		}
	}

	#releaseAfterRollback(): void {
		const held = this.#held;
		this.#held = undefined;
		held?.pool.releaseAfterRollback(held.connection);
	}
}

/** Returns the definition that must be prepared before the statement is executed. */
function definitionIn(statement: ConnectionStatement): PreparedStatementDefinition | undefined {
	return statement.kind === 'execute' ? statement.definition : undefined;
}

/** Returns the response to a statement for which no connection to the member was acquired. */
function notAcquired(error: unknown): RelayStatementResponse {
	const {codeName, message} = toBuckthornhitchError(error);
	return {
		kind: 'notRun',
		reason: refusalReasonOf(error),
		detail: message,
		isLost: codeName === 'memberUnreachable' || codeName === 'notGateway',
		...(error instanceof QueueRefusalError && {expectedWait: Math.ceil(error.expectedWait)}),
	};
}

/** Returns what the statement is for. Only statements of the proxy itself begin a transaction that is not a caller's. */
function useOf({statement, priority = defaultPriority, isForTransaction = false, latencyTarget}: RelayStatementRequest, now: Milliseconds): ConnectionUse {
	return {
		priority,
		isForTransaction,
		targetAt: latencyTarget === undefined ? undefined : now + latencyTarget,
		isOfProxy: !isForTransaction && !dataKinds.has(statement.kind),
	};
}

function relayLost(detail: string): RelayStatementResponse {
	return {
		kind: 'notRun', reason: 'busy', detail, isLost: true,
	};
}
