import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberConnection, type ConnectionUse, type StatementScope} from '../statement/member-connection.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {earlierStatementName} from './earlier-statement-names.js';
import {
	type CloseRelayNotice, type OpenRelayResponse, type RelayStatementResponse, type RelayStatementRequest,
} from './messages.js';

/** Time for the gateway's response on top of the statement's own timeout: one round trip between data centres and a short stall of the gateway. */
const gatewayAllowance: Milliseconds = 300;

/** Timeout of statements that have none of their own, such as the rollback before a connection is reused. */
const defaultTimeout: Milliseconds = 6000;

/** Statements that are sent before the gateway has confirmed the relay. Without an answer it is not known whether they ran, but that has no effect: a transaction is rolled back with its relay. A PREPARE waits, since the confirmation says which name the gateway expects. */
const pipelinedKinds: ReadonlySet<MemberStatement['kind']> = new Set(['begin', 'rollback', 'read', 'set', 'reset']);

/** Statements that the gateway does not answer itself. */
const dataKinds: ReadonlySet<MemberStatement['kind']> = new Set(['read', 'write', 'execute']);

/** Dependencies of a relayed connection. */
export type RelayedConnectionOptions = {
	readonly clock: Clock;
	readonly linkClient: LinkClient;
	/** Link address of the entry that relays the statements. */
	readonly gateway: Address;
	/** Name of that entry, for logs; its address if absent. */
	readonly gatewayName?: string;
	/** Number that identifies the relay on the link to the gateway. */
	readonly relay: number;
	/** Whether the priority of the statements is sent. */
	readonly sendsPriority: boolean;
	/** Returns whether a direct connection, or another gateway, should be used instead from now on. */
	readonly isObsolete: () => boolean;
	/** Settles with the answer of the gateway to the request to open the relay; undefined if it has answered before. */
	readonly opening?: Promise<unknown>;
	/** Answer of the gateway, if it has answered before. */
	readonly openResponse?: OpenRelayResponse;
	/** Called with the time in which a data statement outside a transaction was answered. */
	readonly onAnswered?: (time: Milliseconds) => void;
	/** Called when a request to the gateway fails. */
	readonly onFailure: (failure: BuckthornhitchError) => void;
};

/** Connection to a member through a gateway, which is another entry. The gateway holds one of its own connections for the duration of each statement or transaction. */
export class RelayedConnection extends MemberConnection {
	readonly #closeListeners: Array<() => void> = [];
	#nextSequence = 0;
	#pendingCount = 0;
	#isInTransaction = false;
	#isClosed = false;
	#gatewayWait: Milliseconds = 0;
	#use: ConnectionUse | undefined;
	#supportsScopes: boolean;
	#usesSentNames: boolean;
	/** Names of prepared statements at a gateway of an earlier build, by their names on this connection. */
	readonly #earlierNames = new Map<string, string>();
	/** Settles when the gateway has confirmed the relay; undefined afterwards. */
	#opening: Promise<unknown> | undefined;
	/** Resolves when the gateway has answered the request to open the relay, also if it refused. */
	readonly #opened: Promise<void>;
	/** Whether a statement waits until the relay is confirmed, so that later ones must not overtake it. */
	#isConfirmationAwaited = false;

	constructor(private readonly options: RelayedConnectionOptions) {
		super();
		const {opening, openResponse} = options;
		this.#supportsScopes = openResponse?.supportsPrimaryReads === true;
		this.#usesSentNames = openResponse?.usesSentNames === true;
		this.#opening = opening;
		this.#opened = opening ? this.#awaitOpening(opening) : Promise.resolve();
	}

	override get isClosed(): boolean {
		return this.#isClosed || (this.#pendingCount === 0 && !this.#isInTransaction && this.options.isObsolete());
	}

	override get isRelayed(): boolean {
		return true;
	}

	override get supportsScopes(): boolean {
		return this.#supportsScopes && !this.#isClosed;
	}

	override async waitUntilOpen(): Promise<void> {
		return this.#opened;
	}

	override get gateway(): string {
		return this.options.gatewayName ?? this.options.gateway;
	}

	override get gatewayWait(): Milliseconds {
		return this.#gatewayWait;
	}

	override setUse(use: ConnectionUse): void {
		this.#use = use;
	}

	override async execute(statement: MemberStatement, timeout = defaultTimeout, scope?: StatementScope): Promise<StatementReply> {
		if (this.#isClosed || (scope === 'primaryRead' && !this.#supportsScopes)) {
			throw new BuckthornhitchError('linkNotSent', `the relay through ${this.options.gateway} is closed or does not run primary reads`);
		}

		this.#pendingCount++;
		try {
			const startedAt = this.options.clock.now();
			if (this.#opening && (this.#isConfirmationAwaited || !pipelinedKinds.has(statement.kind))) {
				await this.#confirmOpening(this.#opening);
			}

			const known = this.#usesSentNames ? statement : this.#toEarlierNames(statement);
			if (!known) {
				return this.#toReply({
					kind: 'notRun', reason: 'busy', detail: `${this.gateway} runs an earlier build, which would change the statement`, isLost: false,
				});
			}

			const sentAt = this.options.clock.now();
			const response = await this.#sendWhileOpening(known, timeout - (sentAt - startedAt), scope);
			this.#gatewayWait += response.connectionWait ?? 0;
			if (response.kind === 'answered' && !this.#isInTransaction && dataKinds.has(statement.kind)) {
				this.options.onAnswered?.(this.options.clock.now() - sentAt);
			}

			return this.#toReply(response);
		} finally {
			this.#pendingCount--;
		}
	}

	override close(): void {
		if (this.#isClosed) {
			return;
		}

		const {linkClient, gateway, relay} = this.options;
		this.#isClosed = true;
		linkClient.notify(gateway, 'closeRelay', {relay} satisfies CloseRelayNotice);
		for (const listener of this.#closeListeners.splice(0)) {
			listener();
		}
	}

	override onClosed(listener: () => void): void {
		this.#closeListeners.push(listener);
	}

	async #awaitOpening(opening: Promise<unknown>): Promise<void> {
		try {
			const response = await opening as OpenRelayResponse | undefined;
			this.#supportsScopes = response?.supportsPrimaryReads === true;
			this.#usesSentNames = response?.usesSentNames === true;
		} catch (error) {
			this.options.onFailure(toBuckthornhitchError(error));
			this.close();
		}

		this.#opening = undefined;
	}

	/** Waits until the gateway has confirmed the relay. Rejects with linkNotSent if it does not. */
	async #confirmOpening(opening: Promise<unknown>): Promise<void> {
		this.#isConfirmationAwaited = true;
		try {
			await opening;
		} catch (error) {
			throw new BuckthornhitchError('linkNotSent', `the relay through ${this.options.gateway} was not opened: ${toBuckthornhitchError(error).message}`);
		}
	}

	/** Replaces the name of a prepared statement by the one that a gateway of an earlier build works out. Returns undefined if a member would not read that name as one word. */
	#toEarlierNames(statement: MemberStatement): MemberStatement | undefined {
		if (statement.kind === 'prepare') {
			const name = earlierStatementName(statement.shape);
			if (name === undefined) {
				return undefined;
			}

			this.#earlierNames.set(statement.name, name);
			return {...statement, name};
		}

		if (statement.kind === 'reset') {
			this.#earlierNames.clear();
		}

		return statement.kind === 'execute' ? {...statement, name: this.#earlierNames.get(statement.name) ?? statement.name} : statement;
	}

	/** Sends a statement. While the gateway has not confirmed the relay, rejects as soon as the request to open it was not answered in time, without blaming the member. */
	async #sendWhileOpening(statement: MemberStatement, timeout: Milliseconds, scope: StatementScope | undefined): Promise<RelayStatementResponse> {
		const response = this.#send(statement, timeout, scope);
		if (!this.#opening) {
			return response;
		}

		const noAnswer = this.#opening.then(async () => response, async (error: unknown) => {
			const failure = toBuckthornhitchError(error);
			if (failure.codeName === 'linkOutcomeUnknown') {
				throw new BuckthornhitchError('outcomeUnknown', `the relay through ${this.options.gateway} was not opened: ${failure.message}`);
			}

			// The gateway refused the relay, and answers the statement as not run.
			return response;
		});
		response.catch(() => {
			// The rejection is reported through the race, which may have been decided before.
		});
		return Promise.race([response, noAnswer]);
	}

	async #send(statement: MemberStatement, timeout: Milliseconds, scope: StatementScope | undefined): Promise<RelayStatementResponse> {
		const {linkClient, gateway, relay, sendsPriority, onFailure} = this.options;
		const body: RelayStatementRequest = {
			relay,
			sequence: this.#nextSequence++,
			statement,
			timeout,
			...(sendsPriority && this.#useFields()),
			...(this.#supportsScopes && scopeFields(scope)),
		};
		try {
			return await linkClient.request(gateway, 'relayStatement', body, timeout + gatewayAllowance) as RelayStatementResponse;
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			onFailure(failure);
			this.close();
			// The gateway may have relayed the statement, whatever error it reported.
			throw failure.codeName === 'linkNotSent' ? failure : new BuckthornhitchError('linkOutcomeUnknown', failure.message);
		}
	}

	/** Returns the fields by which a gateway near the member orders the statement. */
	#useFields(): Partial<RelayStatementRequest> {
		const {priority, isForTransaction, targetAt} = this.#use ?? {};
		return {
			priority,
			...(targetAt !== undefined && {latencyTarget: Math.round(targetAt - this.options.clock.now())}),
			...(isForTransaction && {isForTransaction: true}),
		};
	}

	#toReply(response: RelayStatementResponse): StatementReply {
		switch (response.kind) {
			case 'answered': {
				this.#isInTransaction = response.reply.transaction !== 'idle';
				return response.reply;
			}

			case 'notRun': {
				if (response.isLost) {
					this.close();
				}

				return {
					outcome: 'refused',
					reason: response.reason,
					detail: response.detail,
					transaction: this.#isInTransaction ? 'failed' : 'idle',
					point: undefined,
					...(response.expectedWait !== undefined && {expectedWait: response.expectedWait}),
				};
			}

			case 'unknown': {
				throw new BuckthornhitchError('linkOutcomeUnknown', response.detail);
			}
		}
	}
}

function scopeFields(scope: StatementScope | undefined): Pick<RelayStatementRequest, 'isPrimaryRead' | 'isInTransaction'> {
	switch (scope) {
		case 'primaryRead': {
			return {isPrimaryRead: true};
		}

		case 'transaction': {
			return {isInTransaction: true};
		}

		case undefined: {
			return {};
		}
	}
}
