import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {CallerSessionState, pooledStatementName} from '../session-proxy/caller-session-state.js';
import {refusalReasonOf} from '../session-proxy/statement-attempt.js';
import {type MemberPool} from '../session-proxy/member-pool.js';
import {type PooledConnection} from '../session-proxy/pooled-connection.js';
import {localReply, refusal} from '../session-proxy/replies.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {type RelayAnswer, type RelayStatement} from './messages.js';

/** Priority of relayed statements among those that wait for a connection; the asking entry has ordered its own already. */
const relayPriority = 1;

type HeldLink = {
	readonly pool: MemberPool;
	readonly link: PooledConnection;
};

/** Statements of one connection that another entry has through this one. They run in their order; a connection to the member is held only while a transaction is open. */
export class RelaySession {
	readonly #state = new CallerSessionState();
	#held: HeldLink | undefined;
	#expected = 0;
	#last: Promise<unknown> = Promise.resolve();
	#busy = 0;
	#closed = false;

	constructor(
		readonly member: string,
		private readonly clock: Clock,
		/** Returns the connections of this instance to the member, if it may be used. */
		private readonly pool: () => MemberPool | undefined,
	) {}

	/** Whether a statement runs or a transaction is open. */
	get isActive(): boolean {
		return this.#busy > 0 || this.#held !== undefined;
	}

	/** Whether a transaction is open. */
	get isInTransaction(): boolean {
		return this.#held !== undefined;
	}

	/** Runs a statement after those before it. */
	async execute(request: RelayStatement): Promise<RelayAnswer> {
		if (request.sequence !== this.#expected || this.#closed) {
			return lost(`statement ${request.sequence} of a relay that expects ${this.#expected}`);
		}

		this.#expected++;
		this.#busy++;
		const deadline = this.clock.now() + request.timeout;
		const answer = this.#last.then(async () => this.#run(request.statement, deadline)).finally(() => {
			this.#busy--;
		});
		this.#last = answer;
		return answer;
	}

	/** Rolls back an open transaction; the relay is of no more use. */
	close(): void {
		this.#closed = true;
		this.#retire();
	}

	async #run(statement: MemberStatement, deadline: Milliseconds): Promise<RelayAnswer> {
		if (this.#closed) {
			return lost('the relay was closed');
		}

		switch (statement.kind) {
			case 'reset': {
				this.#state.variables.clear();
				this.#state.preparedStatements.clear();
				return this.#settled(deadline);
			}

			case 'set': {
				this.#state.variables.set(statement.name, statement.value);
				return this.#settled(deadline);
			}

			case 'prepare': {
				this.#state.preparedStatements.set(pooledStatementName(statement.shape), statement.shape);
				return this.#settled(deadline);
			}

			case 'rollback': {
				return this.#held ? this.#runAtMember(statement, deadline) : {kind: 'answered', reply: localReply('idle')};
			}

			case 'commit': {
				return this.#held ? this.#runAtMember(statement, deadline) : {kind: 'answered', reply: refusal('aborted', 'the gateway rolled the transaction back', 'idle')};
			}

			case 'begin':
			case 'read':
			case 'write':
			case 'execute':
			case 'status':
			case 'pause':
			case 'resume':
			case 'demote': {
				return this.#runAtMember(statement, deadline);
			}
		}
	}

	/** A value that was set within a transaction reaches its connection at once, others with the next statement. */
	async #settled(deadline: Milliseconds): Promise<RelayAnswer> {
		const held = this.#held;
		if (held) {
			try {
				await held.link.applySession(this.#state, undefined, deadline - this.clock.now());
			} catch (error) {
				this.#retire();
				return {kind: 'unknown', detail: toBuckthornhitchError(error).message};
			}
		}

		return {kind: 'answered', reply: localReply(held ? 'open' : 'idle')};
	}

	async #runAtMember(statement: MemberStatement, deadline: Milliseconds): Promise<RelayAnswer> {
		const shape = statement.kind === 'execute' ? this.#state.preparedStatements.get(statement.name) : undefined;
		try {
			this.#held ??= await this.#acquire(deadline);
		} catch (error) {
			const isLost = toBuckthornhitchError(error).codeName === 'memberUnreachable';
			return {
				kind: 'notRun', reason: refusalReasonOf(error), detail: toBuckthornhitchError(error).message, isLost,
			};
		}

		const {pool, link} = this.#held;
		const startedAt = this.clock.now();
		let isSent = false;
		try {
			await link.applySession(this.#state, shape, deadline - this.clock.now());
			isSent = true;
			const reply = await link.execute(statement, deadline - this.clock.now());
			this.#giveBackAfter(reply);
			return {kind: 'answered', reply};
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			if (failure.codeName === 'linkOutcomeUnknown') {
				pool.reportFailure(startedAt);
			}

			this.#retire();
			return isSent
				? {kind: 'unknown', detail: failure.message}
				: {
					kind: 'notRun', reason: refusalReasonOf(error), detail: failure.message, isLost: false,
				};
		}
	}

	async #acquire(deadline: Milliseconds): Promise<HeldLink> {
		const pool = this.pool();
		if (!pool) {
			throw new BuckthornhitchError('memberUnreachable', `${this.member} is not reached from here`);
		}

		const link = await pool.acquire(deadline - this.clock.now(), relayPriority, this.#state);
		if (this.#closed || link.memberConnection.isRelayed) {
			// A statement that was passed on twice could go round in a circle.
			pool.release(link);
			throw new BuckthornhitchError('memberUnreachable', `${this.member} has no connection of its own here`);
		}

		return {pool, link};
	}

	#giveBackAfter({transaction}: StatementReply): void {
		if (transaction === 'idle' && this.#held) {
			this.#held.pool.release(this.#held.link);
			this.#held = undefined;
		}
	}

	#retire(): void {
		const held = this.#held;
		this.#held = undefined;
		held?.pool.releaseAfterRollback(held.link);
	}
}

function lost(detail: string): RelayAnswer {
	return {
		kind: 'notRun', reason: 'busy', detail, isLost: true,
	};
}
