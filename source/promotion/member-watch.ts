import {type BackendServer} from '../backend-directory/types.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {type BackendReachability} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnector, type MemberConnection, MemberRefusedError} from '../statement/member-connection.js';
import {type StatementReply} from '../statement/types.js';

/** Time for a question that needs no slot; two inter-region round trips and a stall of the member's instance. */
const answerTimeout: Milliseconds = 500;

/** Time for a new connection, which waits for a slot of the member. */
const connectTimeout: Milliseconds = 600;

/** What the primary confirmed last. */
export type PrimaryConfirmation = {
	readonly point: LogPosition;
	/** Time at which the question was sent. */
	readonly askedAt: Milliseconds;
};

/** Asks one backend server at a steady pace whether it lives and leads. */
export class MemberWatch {
	/** Last confirmation that the member leads; undefined while it does not. */
	primary: PrimaryConfirmation | undefined;
	/** Last point that the member named. */
	point: LogPosition | undefined;
	#link: MemberConnection | undefined;
	#answeredAt: Milliseconds | undefined;
	#failingSince: Milliseconds | undefined;
	#stopped = false;
	#cancel: Cancel | undefined;

	constructor(
		readonly server: BackendServer,
		private readonly connector: MemberConnector,
		private readonly clock: Clock,
		/** Returns the pace of the questions, which depends on the roles of both sides. */
		private readonly period: (isPrimary: boolean) => Milliseconds,
	) {
		void this.#work();
	}

	/** Time since the last answer; null when there was none. */
	get contact(): BackendReachability {
		const now = this.clock.now();
		return {
			id: this.server.id,
			answeredAgo: this.#answeredAt === undefined ? null : Math.round(now - this.#answeredAt),
			failingFor: this.#failingSince === undefined ? 0 : Math.max(1, Math.round(now - this.#failingSince)),
		};
	}

	/** Ends the watch and closes its connection. */
	stop(): void {
		this.#stopped = true;
		this.#cancel?.();
		this.#link?.close();
	}

	/** Sends a group function on the watch's connection. Rejects when there is none or no answer comes in time. */
	async execute(statement: Parameters<MemberConnection['execute']>[0]): Promise<StatementReply> {
		const link = await this.#open();
		return this.#within(link.execute(statement), answerTimeout);
	}

	async #work(): Promise<void> {
		const startedAt = this.clock.now();
		await this.#ask();
		if (!this.#stopped) {
			// A member that does not answer is asked again soon, to tell a lost answer from a lost member.
			const pace = this.period(this.primary !== undefined || this.#failingSince !== undefined);
			this.#cancel = this.clock.schedule(Math.max(1, pace - (this.clock.now() - startedAt)), () => {
				void this.#work();
			});
		}
	}

	async #ask(): Promise<void> {
		const startedAt = this.clock.now();
		try {
			const link = await this.#open();
			const askedAt = this.clock.now();
			const reply = await this.#within(this.#probe(link), answerTimeout);
			this.#answered(reply, askedAt);
		} catch (error) {
			if (error instanceof MemberRefusedError && error.reason !== 'wrongServer') {
				// The member lives, but all its connections are in use.
				this.#answeredAt = this.clock.now();
				this.#failingSince = undefined;
				return;
			}

			this.#failed(startedAt);
		}
	}

	/** Only a primary opens a transaction that may write; it takes no slot. */
	async #probe(link: MemberConnection): Promise<StatementReply> {
		const reply = await link.execute({kind: 'begin', isReadOnly: false});
		if (reply.transaction !== 'idle') {
			void link.execute({kind: 'rollback'}).catch(() => undefined);
		}

		return reply;
	}

	#answered(reply: StatementReply, askedAt: Milliseconds): void {
		this.#answeredAt = this.clock.now();
		this.#failingSince = undefined;
		this.point = reply.point ?? this.point;
		const leads = reply.outcome === 'done' && reply.point !== undefined;
		if (leads) {
			this.primary = {point: reply.point, askedAt};
		} else if (reply.outcome === 'refused' && reply.reason === 'readOnly') {
			this.primary = undefined;
		}
	}

	#failed(startedAt: Milliseconds): void {
		this.#failingSince ??= startedAt;
		this.#link?.close();
		this.#link = undefined;
	}

	async #open(): Promise<MemberConnection> {
		if (this.#link && !this.#link.isClosed) {
			return this.#link;
		}

		const {id, service, address} = this.server;
		const link = await this.connector.connect({id, service, address}, connectTimeout);
		if (this.#stopped) {
			link.close();
			throw new BuckthornhitchError('linkNotSent', 'The watch has ended.');
		}

		this.#link = link;
		return link;
	}

	async #within(answer: Promise<StatementReply>, timeout: Milliseconds): Promise<StatementReply> {
		return new Promise((resolve, reject) => {
			const cancel = this.clock.schedule(timeout, () => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', `${this.server.id} did not answer within ${timeout} ms.`));
			});
			answer.then(reply => {
				cancel();
				resolve(reply);
			}, (error: unknown) => {
				cancel();
				reject(toBuckthornhitchError(error));
			});
		});
	}
}
