import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnection, MemberRefusedError} from '../statement/member-connection.js';
import {type MemberStatement, type PreparedStatementDefinition, type StatementReply} from '../statement/types.js';
import {pooledStatementName, type CallerSessionState} from './caller-session-state.js';

/** Pooled connection to a member, with the session variables and prepared statements set on it. */
export class PooledConnection {
	/** Time at which the connection was last released to the pool. */
	releasedAt: Milliseconds = 0;
	readonly #variables = new Map<string, string>();
	readonly #preparedNames = new Set<string>();
	#pendingCount = 0;
	#lastReply: Promise<unknown> = Promise.resolve();

	constructor(readonly memberConnection: MemberConnection, private readonly clock: Clock, private readonly onReply: (reply: StatementReply) => void) {}

	/** Whether a statement is waiting for its reply. */
	get hasPendingStatement(): boolean {
		return this.#pendingCount > 0;
	}

	/** Returns whether exactly the variables of the session are set on the connection. */
	matchesVariables({variables}: CallerSessionState): boolean {
		return variables.size === this.#variables.size && [...variables].every(([name, value]) => this.#variables.get(name) === value);
	}

	/** Resolves once no statement is waiting for its reply, because all were answered or the connection ended. */
	async waitUntilAnswered(): Promise<void> {
		while (this.hasPendingStatement) {
			await this.#lastReply;
		}
	}

	/** Sends a statement and resolves with its reply. Rejects with linkOutcomeUnknown after the timeout in milliseconds or when the connection ends, and with linkNotSent when it had ended before. */
	async execute(statement: MemberStatement, timeout: Milliseconds): Promise<StatementReply> {
		this.#pendingCount++;
		return new Promise((resolve, reject) => {
			const cancel = this.clock.schedule(Math.max(0, timeout), () => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', `no answer within ${Math.round(timeout)} ms`));
			});
			this.#lastReply = this.memberConnection.execute(statement, timeout).then(reply => {
				this.#pendingCount--;
				cancel();
				// A gateway answers some statements itself; such a reply does not show that the member is reachable.
				if (!this.memberConnection.isRelayed || reply.point) {
					this.onReply(reply);
				}

				resolve(reply);
			}, (error: unknown) => {
				this.#pendingCount--;
				cancel();
				reject(toBuckthornhitchError(error));
			});
		});
	}

	/** Sets the variables of a session on the connection, and prepares the statement that is about to be executed. The connection must not be used if this rejects because a statement was refused or not answered. */
	async applySession(session: CallerSessionState, preparedStatement: PreparedStatementDefinition | undefined, timeout: Milliseconds): Promise<void> {
		const statements = this.#setupStatements(session, preparedStatement);
		const replies = await Promise.all(statements.map(async statement => this.execute(statement, timeout)));
		const refused = replies.find(reply => reply.outcome === 'refused');
		if (refused?.outcome === 'refused') {
			throw new MemberRefusedError(refused.reason, refused.detail);
		}
	}

	#setupStatements({variables}: CallerSessionState, shape: PreparedStatementDefinition | undefined): readonly MemberStatement[] {
		const statements: MemberStatement[] = [];
		if ([...this.#variables.keys()].some(name => !variables.has(name))) {
			statements.push({kind: 'reset'});
			this.#variables.clear();
			this.#preparedNames.clear();
		}

		for (const [name, value] of variables) {
			if (this.#variables.get(name) !== value) {
				statements.push({kind: 'set', name, value});
				this.#variables.set(name, value);
			}
		}

		if (shape && !this.#preparedNames.has(pooledStatementName(shape))) {
			statements.push({kind: 'prepare', name: pooledStatementName(shape), shape});
			this.#preparedNames.add(pooledStatementName(shape));
		}

		return statements;
	}
}
