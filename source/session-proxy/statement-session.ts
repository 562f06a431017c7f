import {type Milliseconds} from '../clock/clock.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type SessionStatement, type StatementReply, type TransactionState} from '../statement/types.js';
import {CallerOperation, refuseUnknownKey} from './caller-operation.js';
import {CallerTransaction} from './caller-transaction.js';
import {dataRequest, type DataStatement} from './data-request.js';
import {endOf} from './explained-request.js';
import {SessionReadExecutor} from './session-read-executor.js';
import {localReply, refusal} from './replies.js';
import {type CallerIdentity, SessionContext, type SessionDependencies} from './session-context.js';
import {executeWrite} from './write-executor.js';

/** Session of a caller with one database. */
export class StatementSession {
	readonly #context: SessionContext;
	readonly #readExecutor: SessionReadExecutor;
	#transaction: CallerTransaction | undefined;
	/** Operation that the current statement has begun. */
	#begunOperation: CallerOperation | undefined;

	constructor(id: string, caller: CallerIdentity, private readonly dependencies: SessionDependencies, private readonly onClosed: (session: StatementSession) => void) {
		this.#context = new SessionContext(id, caller, dependencies);
		this.#readExecutor = new SessionReadExecutor(this.#context);
	}

	/** Whether the caller has begun a transaction and not ended it. */
	get isInTransaction(): boolean {
		return this.#transaction !== undefined;
	}

	/** Executes a statement and resolves with its reply. Each call must wait for the one before. */
	async execute(statement: SessionStatement): Promise<StatementReply> {
		const arrivedAt = this.#context.now;
		const operation = this.#transaction?.operation;
		this.#transaction?.cancelIdleTimeout();
		operation?.trace.endCallerTime();
		operation?.trace.recordStatement(statement.id);
		const reply = await this.#executeOrRefuse(statement);
		this.#recordReply(statement, arrivedAt, operation ?? this.#begunOperation, reply);
		this.#begunOperation = undefined;
		this.#transaction?.operation.trace.startCallerTime();
		this.#transaction?.startIdleTimeout(this.dependencies.table()?.idleTransactionLimit ?? 0);
		return reply;
	}

	/** Closes the session, rolls back an open transaction and gives up a statement that no member has got. */
	close(): void {
		this.#context.presence.leave();
		this.#transaction?.rollBack();
		this.#transaction?.operation.endWithoutStatement({outcome: 'rolled back since the caller left'});
		this.#transaction = undefined;
		this.onClosed(this);
	}

	/** Rolls back an open transaction if the current routing table does not map the key to the customer for whom it was begun. */
	checkCustomer(): void {
		if (this.#transaction && !this.#context.isAuthorizedAs(this.#transaction.customer)) {
			this.#transaction.abortForCustomer();
		}
	}

	/** Aborts an open transaction because the process is stopping. */
	abort(): void {
		this.#transaction?.abort('since the process is stopping');
	}

	get #transactionState(): TransactionState {
		return this.#transaction?.state ?? 'idle';
	}

	async #executeOrRefuse(statement: SessionStatement): Promise<StatementReply> {
		try {
			return this.#refuseUnauthorized(statement) ?? await this.#dispatch(statement);
		} catch (error) {
			const {message} = toBuckthornhitchError(error);
			this.#context.log(statement.id, statement.kind, `fault ${message}`);
			this.#transaction?.abort(`because of a fault: ${message}`);
			return refusal('failed', message, this.#transactionState);
		}
	}

	/** Records the end of the operation unless its transaction is still open. A refusal that does not end an operation is explained on its own. */
	#recordReply({id, kind}: SessionStatement, arrivedAt: Milliseconds, operation: CallerOperation | undefined, reply: StatementReply): void {
		const isOpen = this.#transaction?.state === 'open';
		if (operation && !operation.hasEnded && !isOpen) {
			operation.end(kind === 'rollback' && reply.outcome === 'done' ? {outcome: 'rolled back'} : endOf(reply));
		} else if (reply.outcome === 'refused') {
			const route = this.dependencies.route(this.#context.database);
			new CallerOperation(this.#context, id, {
				kind: 'statement', route, arrivedAt, transaction: isOpen ? operation?.id : undefined,
			}).end(endOf(reply));
		}
	}

	async #dispatch(statement: SessionStatement): Promise<StatementReply> {
		switch (statement.kind) {
			case 'read':
			case 'write':
			case 'execute': {
				return this.#executeData(statement);
			}

			case 'commit':
			case 'rollback': {
				return this.#endTransaction(statement);
			}

			case 'begin':
			case 'set':
			case 'prepare':
			case 'deallocate':
			case 'malformed': {
				return this.#transaction?.refuseIfFailed() ?? this.#executeLocally(statement);
			}
		}
	}

	#executeLocally(statement: Extract<SessionStatement, {readonly kind: 'begin' | 'set' | 'prepare' | 'deallocate' | 'malformed'}>): StatementReply | Promise<StatementReply> {
		const {variables, preparedStatements} = this.#context.sessionState;
		switch (statement.kind) {
			case 'begin': {
				return this.#begin(statement.id, statement.isReadOnly);
			}

			case 'set': {
				return variables.set(statement.name, statement.value)
					? localReply(this.#transactionState)
					: refusal('tooLarge', 'the session has too many variables, or they are too long', this.#transactionState);
			}

			case 'prepare': {
				return preparedStatements.set(statement.name, statement.shape)
					? localReply(this.#transactionState)
					: refusal('tooLarge', 'the session has too many prepared statements, or their definitions are too long', this.#transactionState);
			}

			case 'deallocate': {
				return preparedStatements.delete(statement.name) ? localReply(this.#transactionState) : refusal('unknownStatement', statement.name, this.#transactionState);
			}

			case 'malformed': {
				this.#context.log(statement.id, 'statement', 'malformed');
				return refusal('malformed', 'the statement is not known', this.#transactionState);
			}
		}
	}

	async #begin(id: string, isReadOnly: boolean): Promise<StatementReply> {
		if (this.#transaction) {
			return refusal('malformed', 'a transaction is open', this.#transactionState);
		}

		const route = this.dependencies.route(this.#context.database);
		if (!route) {
			return this.#refuseUnknownDatabase(id);
		}

		const operation = new CallerOperation(this.#context, id, {kind: 'transaction', route});
		this.#begunOperation = operation;
		const refused = await operation.admit();
		if (refused) {
			return refused;
		}

		this.#transaction = new CallerTransaction(this.#context, this.#readExecutor, {
			operation, route, client: this.dependencies.client(route.service), isReadOnly,
		});
		return localReply(this.#transactionState);
	}

	async #endTransaction({kind, id}: Extract<SessionStatement, {readonly kind: 'commit' | 'rollback'}>): Promise<StatementReply> {
		const transaction = this.#transaction;
		if (kind === 'commit' && !transaction) {
			return refusal('malformed', 'no transaction is open', 'idle');
		}

		if (kind === 'commit') {
			const reply = await transaction!.commit(id);
			this.#transaction = undefined;
			return reply;
		}

		transaction?.rollBack();
		this.#transaction = undefined;
		return localReply('idle');
	}

	async #executeData(statement: DataStatement): Promise<StatementReply> {
		const request = dataRequest(statement, this.#context.sessionState);
		if (!request) {
			return refusal('unknownStatement', 'the prepared statement is not known', this.#transactionState);
		}

		if (this.#transaction) {
			return this.#transaction.execute(request);
		}

		const route = this.dependencies.route(this.#context.database);
		if (!route) {
			return this.#refuseUnknownDatabase(statement.id);
		}

		const operation = new CallerOperation(this.#context, statement.id, {kind: 'statement', route});
		this.#begunOperation = operation;
		const routed = {
			request, operation, route, client: this.dependencies.client(route.service), arrivedAt: this.#context.now, deadline: this.#context.deadlineOf(route),
		};
		const refused = await operation.admit();
		if (refused) {
			return refused;
		}

		return request.access === 'write' ? executeWrite(this.#context, routed) : this.#readExecutor.read(routed);
	}

	/** Refuses a statement of a caller whose key identifies no customer, and rolls back an open transaction first. A database without a route is reported as unknown instead. */
	#refuseUnauthorized({kind, id}: SessionStatement): StatementReply | undefined {
		const transaction = this.#transaction;
		if (this.#context.authorize().isAuthorized || (!transaction && !this.dependencies.route(this.#context.database))) {
			return undefined;
		}

		transaction?.failAsRefused();
		if (kind === 'commit' || kind === 'rollback') {
			this.#transaction = undefined;
		}

		return {...refuseUnknownKey(this.#context, id), transaction: this.#transactionState};
	}

	#refuseUnknownDatabase(id: string): StatementReply {
		const {database} = this.#context;
		this.#context.log(id, 'routing', 'no route');
		return refusal('unknownDatabase', database, this.#transactionState);
	}
}
