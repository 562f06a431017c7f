import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnection, MemberRefusedError} from '../statement/member-connection.js';
import {type MemberStatement, type PreparedShape, type StatementReply} from '../statement/types.js';
import {pooledStatementName, type CallerSessionState} from './caller-session-state.js';

/** A connection to a member with what its session holds. */
export class PooledConnection {
	/** Time of the last release. */
	releasedAt: Milliseconds = 0;
	readonly #values = new Map<string, string>();
	readonly #prepared = new Set<string>();
	#pending = 0;
	#lastAnswer: Promise<unknown> = Promise.resolve();

	constructor(readonly memberConnection: MemberConnection, private readonly clock: Clock, private readonly onAnswer: (reply: StatementReply) => void) {}

	/** Whether a statement has not been answered yet. */
	get isPending(): boolean {
		return this.#pending > 0;
	}

	/** Returns whether the connection holds exactly the values of the session. */
	matches({variables}: CallerSessionState): boolean {
		return variables.size === this.#values.size && [...variables].every(([name, value]) => this.#values.get(name) === value);
	}

	/** Resolves once every statement sent so far was answered or lost with the connection. */
	async settled(): Promise<void> {
		while (this.isPending) {
			await this.#lastAnswer;
		}
	}

	/** Sends a statement; resolves with its answer. Rejects with linkOutcomeUnknown after the timeout in milliseconds, or when the connection ends. */
	async execute(statement: MemberStatement, timeout: Milliseconds): Promise<StatementReply> {
		this.#pending++;
		return new Promise((resolve, reject) => {
			const cancel = this.clock.schedule(Math.max(0, timeout), () => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', `no answer within ${Math.round(timeout)} ms`));
			});
			this.#lastAnswer = this.memberConnection.execute(statement, timeout).then(reply => {
				this.#pending--;
				cancel();
				// A gateway answers some statements itself, which says nothing of the member.
				if (!this.memberConnection.isRelayed || reply.point) {
					this.onAnswer(reply);
				}

				resolve(reply);
			}, (error: unknown) => {
				this.#pending--;
				cancel();
				reject(toBuckthornhitchError(error));
			});
		});
	}

	/** Gives the connection the values of a session, and the prepared statement that it is about to run. Rejects when a step is refused or not answered; the connection must not be used then. */
	async applySession(session: CallerSessionState, shape: PreparedShape | undefined, timeout: Milliseconds): Promise<void> {
		const steps = this.#stepsTo(session, shape);
		const replies = await Promise.all(steps.map(async step => this.execute(step, timeout)));
		const refused = replies.find(reply => reply.outcome === 'refused');
		if (refused?.outcome === 'refused') {
			throw new MemberRefusedError(refused.reason, refused.detail);
		}
	}

	#stepsTo({variables}: CallerSessionState, shape: PreparedShape | undefined): readonly MemberStatement[] {
		const steps: MemberStatement[] = [];
		if ([...this.#values.keys()].some(name => !variables.has(name))) {
			steps.push({kind: 'reset'});
			this.#values.clear();
			this.#prepared.clear();
		}

		for (const [name, value] of variables) {
			if (this.#values.get(name) !== value) {
				steps.push({kind: 'set', name, value});
				this.#values.set(name, value);
			}
		}

		if (shape && !this.#prepared.has(pooledStatementName(shape))) {
			steps.push({kind: 'prepare', name: pooledStatementName(shape), shape});
			this.#prepared.add(pooledStatementName(shape));
		}

		return steps;
	}
}
