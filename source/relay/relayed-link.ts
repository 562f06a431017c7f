import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {MemberConnection} from '../statement/member-connection.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {type CloseRelay, type RelayAnswer, type RelayStatement} from './messages.js';

/** Time for the answer of the gateway on top of the time for that of the member; one round trip between data centres and a stall. */
const answerAllowance: Milliseconds = 300;

/** Time for a statement that states none, such as the rollback of a retired connection. */
const standardTimeout: Milliseconds = 6000;

/** What a relayed connection needs. */
export type RelayedLinkOptions = {
	readonly linkClient: LinkClient;
	/** Link address of the entry that passes statements on. */
	readonly gateway: Address;
	readonly relay: number;
	/** Returns whether a connection of this instance's own is to be used from now on. */
	readonly isObsolete: () => boolean;
	/** Called when the gateway did not answer. */
	readonly onFailure: (reason: string) => void;
};

/** Connection to a member through another entry. The gateway uses one of its own connections for each statement outside a transaction, and one for as long as a transaction is open. */
export class RelayedLink extends MemberConnection {
	readonly #listeners: Array<() => void> = [];
	#sequence = 0;
	#pending = 0;
	#isInTransaction = false;
	#closed = false;

	constructor(private readonly options: RelayedLinkOptions) {
		super();
	}

	override get isClosed(): boolean {
		return this.#closed || (this.#pending === 0 && !this.#isInTransaction && this.options.isObsolete());
	}

	override get isRelayed(): boolean {
		return true;
	}

	override async execute(statement: MemberStatement, timeout = standardTimeout): Promise<StatementReply> {
		if (this.#closed) {
			throw new BuckthornhitchError('linkNotSent', `the relay through ${this.options.gateway} is closed`);
		}

		this.#pending++;
		try {
			return this.#replyOf(await this.#send(statement, timeout));
		} finally {
			this.#pending--;
		}
	}

	override close(): void {
		if (this.#closed) {
			return;
		}

		const {linkClient, gateway, relay} = this.options;
		this.#closed = true;
		linkClient.notify(gateway, 'closeRelay', {relay} satisfies CloseRelay);
		for (const listener of this.#listeners.splice(0)) {
			listener();
		}
	}

	override onClosed(listener: () => void): void {
		this.#listeners.push(listener);
	}

	async #send(statement: MemberStatement, timeout: Milliseconds): Promise<RelayAnswer> {
		const {linkClient, gateway, relay, onFailure} = this.options;
		const body: RelayStatement = {
			relay, sequence: this.#sequence++, statement, timeout,
		};
		try {
			return await linkClient.request(gateway, 'relayStatement', body, timeout + answerAllowance) as RelayAnswer;
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			onFailure(failure.message);
			this.close();
			// The gateway may have passed the statement on, whatever its own error says.
			throw failure.codeName === 'linkNotSent' ? failure : new BuckthornhitchError('linkOutcomeUnknown', failure.message);
		}
	}

	#replyOf(answer: RelayAnswer): StatementReply {
		switch (answer.kind) {
			case 'answered': {
				this.#isInTransaction = answer.reply.transaction !== 'idle';
				return answer.reply;
			}

			case 'notRun': {
				if (answer.isLost) {
					this.close();
				}

				return {
					outcome: 'refused', reason: answer.reason, detail: answer.detail, transaction: this.#isInTransaction ? 'failed' : 'idle', point: undefined,
				};
			}

			case 'unknown': {
				throw new BuckthornhitchError('linkOutcomeUnknown', answer.detail);
			}
		}
	}
}
