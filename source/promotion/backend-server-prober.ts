import {type BackendServer} from '../backend-directory/types.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {describeTimeout} from '../clock/describe-timeout.js';
import {type LogPosition} from '../database-group/types.js';
import {type BackendReachability} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnector, type MemberConnection, MemberRefusedError} from '../statement/member-connection.js';
import {provesPrimary} from '../statement/primary-proof.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {type ProbeMode} from './probe-assignment.js';

/** Timeout for the reply to a statement that needs no execution slot; allows for two round trips between regions and a short pause of the member's instance. */
const replyTimeout: Milliseconds = 500;

/** Timeout for opening a connection, which waits for an execution slot of the member. */
const connectTimeout: Milliseconds = 600;

/** Delay before another attempt to connect to a member that gets a command first. Until then, a replica that has restarted receives log entries. */
const reconnectDelay: Milliseconds = 50;

/** Period of the checks for whether a member that is not probed has to be probed. */
const modeCheckPeriod: Milliseconds = 100;

/** How long a brief connection stays open after its last statement, for the next one of a series of commands. */
const briefConnectionLifetime: Milliseconds = 300;

/** Period of the probes on brief connections. */
const briefProbePeriod: Milliseconds = 1000;

/** Delay before another probe of, or command to, a member that had no connection free. */
const fullMemberRetryDelay: Milliseconds = 100;

/** How long a command waits for a free connection of a member whose connections are all in use. The last connection is free from time to time (see `ConnectionAllocation.isYielding`). */
const freeConnectionTimeout: Milliseconds = 2500;

/** Dependencies of a prober. */
export type BackendServerProberOptions = {
	readonly connector: MemberConnector;
	readonly clock: Clock;
	/** Returns how this instance probes the member; it may change at any time. */
	readonly mode?: () => ProbeMode;
	/** Returns the period of the probes, which depends on the roles of the member and of this instance. */
	readonly probePeriod: (isPrimary: boolean) => Milliseconds;
	/** Returns the statement to send first on each new connection, if there is one. */
	readonly openingStatement?: () => MemberStatement | undefined;
};

/** Last confirmation of a member that it is the primary. */
export type PrimaryConfirmation = {
	/** Undefined if the reply did not state it. */
	readonly logPosition: LogPosition | undefined;
	/** Time at which the probe was sent. */
	readonly sentAt: Milliseconds;
};

/** Periodically probes one backend server for whether it is reachable and whether it is the primary. */
export class BackendServerProber {
	/** Last confirmation that the member is the primary; undefined while it is not. */
	primaryConfirmation: PrimaryConfirmation | undefined;
	/** Last log position that the member reported; undefined before the first one. */
	logPosition: LogPosition | undefined;
	#connection: MemberConnection | undefined;
	#answeredAt: Milliseconds | undefined;
	#failingSince: Milliseconds | undefined;
	#pendingStatements: Promise<unknown> = Promise.resolve();
	#isStopped = false;
	#isProbing = false;
	/** Time of the last command, which is no probe. */
	#lastCommandAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Time of the last reply to a probe. */
	#repliedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Connection that is being opened. */
	#opening: Promise<MemberConnection> | undefined;
	#cancelNextProbe: Cancel | undefined;

	constructor(readonly server: BackendServer, private readonly options: BackendServerProberOptions) {
		void this.#probeAndReschedule();
	}

	/** How long ago the member answered and for how long it has been failing. */
	get reachability(): BackendReachability {
		const now = this.options.clock.now();
		return {
			id: this.server.id,
			answeredAgo: this.#answeredAt === undefined ? null : Math.round(now - this.#answeredAt),
			failingFor: this.#failingSince === undefined ? 0 : Math.max(1, Math.round(now - this.#failingSince)),
		};
	}

	/** Stops probing and closes the connection. */
	stop(): void {
		this.#isStopped = true;
		this.#cancelNextProbe?.();
		this.#connection?.close();
	}

	/** Sends a statement on the prober's connection. No probe is sent until it is answered. `mayBeSent` is called immediately before the statement is sent. Rejects when it returns false, no connection can be opened or no reply arrives within the timeout. */
	async execute(statement: MemberStatement, mayBeSent: () => boolean): Promise<StatementReply> {
		const reply = this.#executeStatement(statement, mayBeSent);
		this.#pendingStatements = Promise.allSettled([this.#pendingStatements, reply]);
		return reply;
	}

	async #executeStatement(statement: MemberStatement, mayBeSent: () => boolean): Promise<StatementReply> {
		const connection = await this.#connectForCommand();
		this.#lastCommandAt = this.options.clock.now();
		if (!mayBeSent()) {
			throw new BuckthornhitchError('notLeader', `${statement.kind} was not sent to ${this.server.id}.`);
		}

		try {
			return await this.#withTimeout(connection.execute(statement), replyTimeout);
		} catch (error) {
			// Replies are matched by their order, so that none that follows a missing one can be trusted. A command that is still on its way must not arrive after later ones.
			connection.reset();
			this.#disconnect(connection);
			throw error;
		}
	}

	async #probeAndReschedule(): Promise<void> {
		this.#cancelNextProbe?.();
		this.#cancelNextProbe = undefined;
		const startedAt = this.options.clock.now();
		this.#isProbing = true;
		if (this.#mode === 'none') {
			this.#forget();
		} else {
			await this.#probe();
		}

		this.#isProbing = false;
		if (!this.#isStopped) {
			this.#cancelNextProbe = this.options.clock.schedule(Math.max(1, this.#nextProbeDelay() - (this.options.clock.now() - startedAt)), () => {
				void this.#probeAndReschedule();
			});
		}
	}

	#nextProbeDelay(): Milliseconds {
		if (this.#mode === 'none') {
			return modeCheckPeriod;
		}

		if (this.#failingSince !== undefined && this.#openingStatement) {
			return reconnectDelay;
		}

		const isReplyRecent = this.options.clock.now() - this.#repliedAt < briefProbePeriod;
		if (this.#mode === 'brief' && this.#failingSince === undefined) {
			return isReplyRecent ? briefProbePeriod : fullMemberRetryDelay;
		}

		// A member that did not answer is probed as often as a primary, to tell a lost answer from a lost member.
		return this.options.probePeriod(this.primaryConfirmation !== undefined || this.#failingSince !== undefined);
	}

	get #mode(): ProbeMode {
		return this.options.mode?.() ?? 'kept';
	}

	/** Closes the connection and drops what is known of the member, which another instance probes. */
	#forget(): void {
		if (this.#connection) {
			this.#disconnect(this.#connection);
		}

		this.primaryConfirmation = undefined;
		this.logPosition = undefined;
		this.#answeredAt = undefined;
		this.#failingSince = undefined;
	}

	get #openingStatement(): MemberStatement | undefined {
		return this.options.openingStatement?.();
	}

	/** Connects again at once if the member gets a command first: a lost connection may be the first sign of a restart. */
	#handleClosed(): void {
		if (!this.#isStopped && !this.#isProbing && this.#openingStatement) {
			void this.#probeAndReschedule();
		}
	}

	async #probe(): Promise<void> {
		const startedAt = this.options.clock.now();
		try {
			await this.#pendingStatements;
			const connection = await this.#connect();
			const sentAt = this.options.clock.now();
			const reply = await this.#withTimeout(this.#sendProbe(connection), replyTimeout);
			this.#recordReply(reply, sentAt);
			this.#closeIfBrief();
		} catch (error) {
			if (error instanceof MemberRefusedError && error.reason !== 'wrongServer') {
				// A refusal proves that the member is reachable; for example, all its connections may be in use.
				this.#answeredAt = this.options.clock.now();
				this.#failingSince = undefined;
				return;
			}

			this.#recordFailure(startedAt);
		}
	}

	/** Begins and rolls back a read-write transaction: only a primary accepts it, and it takes no execution slot. */
	async #sendProbe(connection: MemberConnection): Promise<StatementReply> {
		const reply = await connection.execute({kind: 'begin', isReadOnly: false});
		if (reply.transaction !== 'idle') {
			void connection.execute({kind: 'rollback'}).catch(() => undefined);
		}

		return reply;
	}

	#recordReply(reply: StatementReply, sentAt: Milliseconds): void {
		this.#answeredAt = this.options.clock.now();
		this.#repliedAt = this.#answeredAt;
		this.#failingSince = undefined;
		this.logPosition = reply.point ?? this.logPosition;
		if (provesPrimary(reply)) {
			this.primaryConfirmation = {logPosition: reply.point, sentAt};
		} else if (reply.outcome === 'refused' && reply.reason === 'readOnly') {
			this.primaryConfirmation = undefined;
		}
	}

	#recordFailure(startedAt: Milliseconds): void {
		this.#failingSince ??= startedAt;
		if (this.#connection) {
			this.#disconnect(this.#connection);
		}
	}

	#disconnect(connection: MemberConnection): void {
		connection.close();
		if (this.#connection === connection) {
			this.#connection = undefined;
		}
	}

	async #connect(): Promise<MemberConnection> {
		if (this.#connection && !this.#connection.isClosed) {
			return this.#connection;
		}

		this.#opening ??= this.#open().finally(() => {
			this.#opening = undefined;
		});
		return this.#opening;
	}

	/** Resolves with a connection, also if the member has none free at first. */
	async #connectForCommand(): Promise<MemberConnection> {
		const {clock} = this.options;
		const deadline = clock.now() + freeConnectionTimeout;
		for (;;) {
			try {
				return await this.#connect();
			} catch (error) {
				const isFull = error instanceof MemberRefusedError && error.reason === 'connectionLimit';
				if (!isFull || clock.now() >= deadline || this.#isStopped) {
					throw error;
				}
			}

			await clock.sleep(fullMemberRetryDelay);
		}
	}

	/** Closes a connection that must not be kept once no command has been sent on it for a moment. */
	#closeIfBrief(): void {
		const isInUse = this.options.clock.now() - this.#lastCommandAt < briefConnectionLifetime;
		if (this.#connection && this.#mode === 'brief' && !isInUse) {
			this.#disconnect(this.#connection);
		}
	}

	async #open(): Promise<MemberConnection> {
		const {id, service, address} = this.server;
		const connection = await this.options.connector.connect({id, service, address}, connectTimeout);
		try {
			if (this.#isStopped) {
				throw new BuckthornhitchError('linkNotSent', 'The prober was stopped.');
			}

			await this.#sendOpeningStatement(connection);
		} catch (error) {
			connection.close();
			throw error;
		}

		this.#connection = connection;
		connection.onClosed(() => {
			this.#handleClosed();
		});
		return connection;
	}

	/** Sends the opening statement until it is carried out: a member whose slots are all in use refuses it. */
	async #sendOpeningStatement(connection: MemberConnection): Promise<void> {
		const deadline = this.options.clock.now() + connectTimeout;
		for (let statement = this.#openingStatement; statement; statement = this.#openingStatement) {
			const reply = await this.#withTimeout(connection.execute(statement), replyTimeout);
			if (reply.outcome === 'done' || this.options.clock.now() >= deadline) {
				return;
			}

			await this.options.clock.sleep(reconnectDelay);
		}
	}

	async #withTimeout(pendingReply: Promise<StatementReply>, timeout: Milliseconds): Promise<StatementReply> {
		return new Promise((resolve, reject) => {
			const cancel = this.options.clock.schedule(timeout, () => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', `${this.server.id} did not answer ${describeTimeout(timeout)}.`));
			});
			pendingReply.then(reply => {
				cancel();
				resolve(reply);
			}, (error: unknown) => {
				cancel();
				reject(toBuckthornhitchError(error));
			});
		});
	}
}
