import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {maximumFrontendMessageBytes, type FrontendMessage} from '../postgres-protocol/frontend-messages.js';

/** Messages of a caller that the entry handles together. A Query, or a batch of extended-query messages up to Sync, is executed and answered as one unit; a refusal and Terminate are units of their own. */
export type ForwardingUnit =
	| {readonly kind: 'query'; readonly message: FrontendMessage}
	| {readonly kind: 'batch'; readonly messages: readonly FrontendMessage[]; readonly sync: FrontendMessage}
	/** Refusal of a batch before its end. The remaining messages up to Sync are discarded. The Sync then forms an empty batch, which is answered with ReadyForQuery. */
	| {readonly kind: 'refusedBatch'; readonly error: BuckthornhitchError}
	/** Refusal of a FunctionCall. */
	| {readonly kind: 'refusedCall'; readonly error: BuckthornhitchError}
	| {readonly kind: 'terminate'};

/** Groups the messages of one caller into forwarding units. */
export class ForwardingUnitCollector {
	#messages: FrontendMessage[] = [];
	#bytes = 0;
	#isSkippingToSync = false;

	/** Whether the collector is between batches: no messages are held and none are being discarded. */
	get isEmpty(): boolean {
		return this.#messages.length === 0 && !this.#isSkippingToSync;
	}

	/** Adds a message. Returns the unit that it completes, if any. Throws malformedMessage for a message that the protocol does not allow at this point. */
	add(message: FrontendMessage): ForwardingUnit | undefined {
		switch (message.type) {
			case 'Q': {
				return this.#addQuery(message);
			}

			case 'S': {
				return this.#addSync(message);
			}

			case 'X': {
				return {kind: 'terminate'};
			}

			case 'H': {
				return this.#refuseBatch(new BuckthornhitchError('unsupportedFeature', 'Flush without Sync is not supported.'));
			}

			case 'F': {
				return this.#isSkippingToSync ? undefined : {kind: 'refusedCall', error: new BuckthornhitchError('unsupportedFeature', 'FunctionCall is not supported.')};
			}

			case 'd':
			case 'c':
			case 'f': {
				// Messages of COPY. COPY is refused, so they can only follow a refusal, and the protocol lets the server ignore them.
				return undefined;
			}

			case 'p': {
				throw new BuckthornhitchError('malformedMessage', 'A password came after the start-up.');
			}

			default: {
				return this.#addExtendedMessage(message);
			}
		}
	}

	#addQuery(message: FrontendMessage): ForwardingUnit | undefined {
		if (this.#messages.length > 0) {
			throw new BuckthornhitchError('malformedMessage', 'A Query message came inside of an extended batch.');
		}

		return this.#isSkippingToSync ? undefined : {kind: 'query', message};
	}

	#addSync(sync: FrontendMessage): ForwardingUnit {
		const messages = this.#messages;
		this.#clearBatch();
		this.#isSkippingToSync = false;
		return {kind: 'batch', messages, sync};
	}

	#addExtendedMessage(message: FrontendMessage): ForwardingUnit | undefined {
		if (this.#isSkippingToSync) {
			return undefined;
		}

		this.#messages.push(message);
		this.#bytes += message.bytes.length;
		return this.#bytes > maximumFrontendMessageBytes
			? this.#refuseBatch(new BuckthornhitchError('messageTooLarge', `A batch has more than ${maximumFrontendMessageBytes} bytes.`))
			: undefined;
	}

	#refuseBatch(error: BuckthornhitchError): ForwardingUnit | undefined {
		if (this.#isSkippingToSync) {
			return undefined;
		}

		this.#clearBatch();
		this.#isSkippingToSync = true;
		return {kind: 'refusedBatch', error};
	}

	#clearBatch(): void {
		this.#messages = [];
		this.#bytes = 0;
	}
}
