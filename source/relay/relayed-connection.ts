import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberConnection, type ConnectionUse} from '../statement/member-connection.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {type CloseRelayNotice, type RelayStatementResponse, type RelayStatementRequest} from './messages.js';

/** Time for the gateway's response on top of the statement's own timeout: one round trip between data centres and a short stall of the gateway. */
const gatewayAllowance: Milliseconds = 300;

/** Timeout of statements that have none of their own, such as the rollback before a connection is reused. */
const defaultTimeout: Milliseconds = 6000;

/** Dependencies of a relayed connection. */
export type RelayedConnectionOptions = {
	readonly linkClient: LinkClient;
	/** Link address of the entry that relays the statements. */
	readonly gateway: Address;
	/** Number that identifies the relay on the link to the gateway. */
	readonly relay: number;
	/** Whether the priority of the statements is sent. */
	readonly sendsPriority: boolean;
	/** Returns whether a direct connection, or another gateway, should be used instead from now on. */
	readonly isObsolete: () => boolean;
	/** Called when a request to the gateway fails. */
	readonly onFailure: (reason: string) => void;
};

/** Connection to a member through a gateway, which is another entry. The gateway holds one of its own connections for the duration of each statement or transaction. */
export class RelayedConnection extends MemberConnection {
	readonly #closeListeners: Array<() => void> = [];
	#nextSequence = 0;
	#pendingCount = 0;
	#isInTransaction = false;
	#isClosed = false;
	#use: ConnectionUse | undefined;

	constructor(private readonly options: RelayedConnectionOptions) {
		super();
	}

	override get isClosed(): boolean {
		return this.#isClosed || (this.#pendingCount === 0 && !this.#isInTransaction && this.options.isObsolete());
	}

	override get isRelayed(): boolean {
		return true;
	}

	override setUse(use: ConnectionUse): void {
		this.#use = use;
	}

	override async execute(statement: MemberStatement, timeout = defaultTimeout): Promise<StatementReply> {
		if (this.#isClosed) {
			throw new BuckthornhitchError('linkNotSent', `the relay through ${this.options.gateway} is closed`);
		}

		this.#pendingCount++;
		try {
			return this.#toReply(await this.#send(statement, timeout));
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

	async #send(statement: MemberStatement, timeout: Milliseconds): Promise<RelayStatementResponse> {
		const {linkClient, gateway, relay, sendsPriority, onFailure} = this.options;
		const body: RelayStatementRequest = {
			relay, sequence: this.#nextSequence++, statement, timeout, ...(sendsPriority && {priority: this.#use?.priority, ...(this.#use?.isForTransaction && {isForTransaction: true})}),
		};
		try {
			return await linkClient.request(gateway, 'relayStatement', body, timeout + gatewayAllowance) as RelayStatementResponse;
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			onFailure(failure.message);
			this.close();
			// The gateway may have relayed the statement, whatever error it reported.
			throw failure.codeName === 'linkNotSent' ? failure : new BuckthornhitchError('linkOutcomeUnknown', failure.message);
		}
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
					outcome: 'refused', reason: response.reason, detail: response.detail, transaction: this.#isInTransaction ? 'failed' : 'idle', point: undefined,
				};
			}

			case 'unknown': {
				throw new BuckthornhitchError('linkOutcomeUnknown', response.detail);
			}
		}
	}
}
