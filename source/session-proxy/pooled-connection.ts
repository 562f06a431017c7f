import {type Clock, type Milliseconds} from '../clock/clock.js';
import {describeTimeout} from '../clock/describe-timeout.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	type ConnectionPath, type MemberConnection, SetupRefusedError, type StatementScope,
} from '../statement/member-connection.js';
import {connectionStatementLimit, transactionStatementLimit} from '../statement/statement-limits.js';
import {
	type ConnectionStatement, hasNoEffect, type MemberStatement, type PreparedStatementDefinition, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';
import {type CallerSessionState} from './caller-session-state.js';
import {StatementNames} from './statement-names.js';

/** Statements that change which variables and prepared statements a connection has. */
const setupKinds: ReadonlySet<MemberStatement['kind']> = new Set(['reset', 'set', 'prepare']);

/** Dependencies of a pooled connection, and to whom it belongs. */
export type PooledConnectionOptions = {
	readonly clock: Clock;
	/** Name of the customer to whom the connection belongs. */
	readonly customer: string | undefined;
	readonly path: ConnectionPath | undefined;
	/** Called with each reply of the member. */
	readonly onReply: (reply: StatementReply) => void;
	/** Called with each statement that is sent. The returned function is called with its reply, or with undefined if there is none. */
	readonly onSent?: (statement: MemberStatement) => (reply: StatementReply | undefined) => void;
	/** Called when the member has prepared a statement. */
	readonly onPrepared?: (name: string, definition: PreparedStatementDefinition) => void;
};

/** Pooled connection to a member, with the session variables and prepared statements set on it. */
export class PooledConnection {
	/** Time at which the connection was opened. */
	readonly openedAt: Milliseconds;
	/** Time at which the connection was last released to the pool. */
	releasedAt: Milliseconds = 0;
	readonly #variables = new Map<string, string>();
	readonly #statementNames = new StatementNames();
	#pendingCount = 0;
	#lastReply: Promise<unknown> = Promise.resolve();
	/** Transaction state in the last reply of the member. */
	#transaction: TransactionState = 'idle';
	/** Whether the connection was returned for a rollback, so that its previous holder may not use it any more. */
	#isRollingBack = false;
	/** Whether it is known which variables and prepared statements the connection has. */
	#isSetupKnown = true;

	constructor(readonly memberConnection: MemberConnection, private readonly options: PooledConnectionOptions) {
		this.openedAt = options.clock.now();
	}

	/** Name of the customer to whom the connection belongs for its whole lifetime; undefined if there is none. */
	get customer(): string | undefined {
		return this.options.customer;
	}

	/** How the connection was opened; undefined unless each customer has a gateway. */
	get path(): ConnectionPath | undefined {
		return this.options.path;
	}

	/** Whether a statement is waiting for its reply. */
	get hasPendingStatement(): boolean {
		return this.#pendingCount > 0;
	}

	/** Whether the member's last reply says that a transaction is open. */
	get isInTransaction(): boolean {
		return this.#transaction !== 'idle';
	}

	/**
	Whether another session may use the connection: every statement was answered, the last reply says that no transaction is open, and it is known which variables and prepared statements the connection has.

	This is the only rule by which connections return to a pool. A connection with an open transaction would run the statements of the next session inside it.
	*/
	get isReusable(): boolean {
		return this.#pendingCount === 0 && !this.isInTransaction && this.#isSetupKnown && !this.memberConnection.isClosed;
	}

	/** Returns whether exactly the variables of the session are set on the connection. */
	matchesVariables({variables}: CallerSessionState): boolean {
		return variables.size === this.#variables.size && [...variables].every(([name, value]) => this.#variables.get(name) === value);
	}

	/** Sends a statement and resolves with its reply. Rejects with linkOutcomeUnknown after the timeout in milliseconds or when the connection ends, and with linkNotSent when it had ended before, was returned for a rollback or lacks the prepared statement. */
	async execute(statement: ConnectionStatement, timeout: Milliseconds, scope?: StatementScope): Promise<StatementReply> {
		if (this.#isRollingBack) {
			throw new BuckthornhitchError('linkNotSent', 'the connection was returned for a rollback');
		}

		return this.#send(this.#toMemberStatement(statement), timeout, scope);
	}

	/** Waits until every statement was answered, and then rolls back the open transaction. Statements that the previous holder sends from now on are rejected. Rejects like `execute`. */
	async rollBack(timeout: Milliseconds): Promise<StatementReply> {
		this.#isRollingBack = true;
		await this.#waitUntilAnswered();
		const reply = await this.#send({kind: 'rollback'}, timeout);
		this.#isRollingBack = false;
		return reply;
	}

	/** Sets the variables of a session on the connection, and prepares the statement that is about to be executed. Rejects with a SetupRefusedError if one of these statements was refused, or if the open transaction has executed too many prepared statements; the connection must not be used if one was not answered. */
	async applySession(session: CallerSessionState, preparedStatement: PreparedStatementDefinition | undefined, timeout: Milliseconds): Promise<void> {
		const statements = this.#setupStatements(session, preparedStatement);
		const replies = await Promise.all(statements.map(async statement => this.execute(statement, timeout)));
		for (const [index, reply] of replies.entries()) {
			if (reply.outcome === 'refused') {
				throw new SetupRefusedError(reply.reason, `${statements[index].kind} ${reply.detail}`);
			}
		}
	}

	/** Puts the name that a prepared statement has on this connection in place of its definition. */
	#toMemberStatement(statement: ConnectionStatement): MemberStatement {
		if (statement.kind !== 'execute') {
			return statement;
		}

		const {definition, ...execution} = statement;
		const name = this.#statementNames.nameOf(definition);
		if (name === undefined) {
			throw new BuckthornhitchError('linkNotSent', 'the statement is not prepared on the connection');
		}

		return {...execution, name};
	}

	async #send(statement: MemberStatement, timeout: Milliseconds, scope?: StatementScope): Promise<StatementReply> {
		this.#pendingCount++;
		return new Promise((resolve, reject) => {
			const cancel = this.options.clock.schedule(Math.max(0, timeout), () => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', `no answer ${describeTimeout(timeout)}`));
			});
			const recordEnd = this.options.onSent?.(statement);
			this.#lastReply = this.memberConnection.execute(statement, timeout, scope).then(reply => {
				this.#pendingCount--;
				this.#transaction = reply.transaction;
				this.#recordSessionChange(statement, reply);
				cancel();
				if (this.#isFromMember(reply)) {
					this.options.onReply(reply);
				}

				recordEnd?.(reply);
				resolve(reply);
			}, (error: unknown) => {
				this.#pendingCount--;
				cancel();
				recordEnd?.(undefined);
				reject(toBuckthornhitchError(error));
			});
		});
	}

	/** Returns whether the reply shows that the member is reachable. A gateway answers some statements itself, and one that cannot be sent is refused without the member. */
	#isFromMember(reply: StatementReply): boolean {
		const isUnsent = reply.outcome === 'refused' && reply.isUnsent === true;
		return !isUnsent && (!this.memberConnection.isRelayed || reply.point !== undefined);
	}

	async #waitUntilAnswered(): Promise<void> {
		while (this.hasPendingStatement) {
			await this.#lastReply;
		}
	}

	/** Records what the member confirmed, so that a refused statement is sent again when the connection is used next. */
	#recordSessionChange(statement: MemberStatement, reply: StatementReply): void {
		if (reply.outcome === 'refused') {
			this.#recordRefusal(statement, reply.reason);
			return;
		}

		switch (statement.kind) {
			case 'reset': {
				this.#variables.clear();
				this.#statementNames.clear();
				break;
			}

			case 'set': {
				this.#variables.set(statement.name, statement.value);
				break;
			}

			case 'prepare': {
				this.#statementNames.add(statement.name, statement.shape);
				this.options.onPrepared?.(statement.name, statement.shape);
				break;
			}

			case 'begin':
			case 'commit':
			case 'rollback':
			case 'read':
			case 'write':
			case 'execute':
			case 'status':
			case 'pause':
			case 'resume':
			case 'demote': {
				break;
			}
		}
	}

	#recordRefusal(statement: MemberStatement, reason: RefusalReason): void {
		if (statement.kind === 'execute' && reason === 'unknownStatement') {
			this.#statementNames.remove(statement.name);
		} else if (setupKinds.has(statement.kind) && !hasNoEffect(reason)) {
			this.#isSetupKnown = false;
		}
	}

	/** Returns whether the prepared statements must be removed before another definition is prepared. Throws a SetupRefusedError if they must, but a transaction is open, which a RESET could end. */
	#mustRemoveStatementsFor(definition: PreparedStatementDefinition): boolean {
		if (!this.isInTransaction) {
			return this.#statementNames.isFullFor(definition, connectionStatementLimit);
		}

		if (this.#statementNames.isFullFor(definition, transactionStatementLimit)) {
			throw new SetupRefusedError('aborted', 'the transaction executes too many different prepared statements, or their definitions are too long');
		}

		return false;
	}

	#setupStatements({variables}: CallerSessionState, definition: PreparedStatementDefinition | undefined): readonly ConnectionStatement[] {
		const statements: ConnectionStatement[] = [];
		const missing = definition && this.#statementNames.nameOf(definition) === undefined ? definition : undefined;
		const needsReset = [...this.#variables.keys()].some(name => !variables.has(name)) || (missing !== undefined && this.#mustRemoveStatementsFor(missing));
		if (needsReset) {
			statements.push({kind: 'reset'});
		}

		for (const [name, value] of variables) {
			if (needsReset || this.#variables.get(name) !== value) {
				statements.push({kind: 'set', name, value});
			}
		}

		if (definition && (needsReset || missing)) {
			statements.push({kind: 'prepare', name: this.#statementNames.createName(), shape: definition});
		}

		return statements;
	}
}
