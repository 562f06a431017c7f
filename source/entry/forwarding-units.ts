import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {maximumFrontendMessageBytes, type FrontendMessage} from '../postgres-protocol/frontend-messages.js';

/** What is answered together: one Query, one batch up to Sync, or a refusal. */
export type ForwardingUnit =
	| {readonly kind: 'query'; readonly message: FrontendMessage}
	| {readonly kind: 'batch'; readonly messages: readonly FrontendMessage[]; readonly sync: FrontendMessage}
	/** Refusal before the end of a batch; the rest of the batch is dropped and its Sync follows as an empty batch. */
	| {readonly kind: 'refusedBatch'; readonly error: BuckthornhitchError}
	| {readonly kind: 'refusedCall'; readonly error: BuckthornhitchError}
	| {readonly kind: 'terminate'};

/** Collects the messages of one caller into forwarding units. */
export class UnitCollector {
	#messages: FrontendMessage[] = [];
	#bytes = 0;
	#skipping = false;

	/** Whether no part of a batch is held or being dropped. */
	get empty(): boolean {
		return this.#messages.length === 0 && !this.#skipping;
	}

	/** Adds a message and returns the unit that it completes. Throws malformedMessage for one that does not belong here. */
	add(message: FrontendMessage): ForwardingUnit | undefined {
		switch (message.type) {
			case 'Q': {
				return this.#query(message);
			}

			case 'S': {
				return this.#sync(message);
			}

			case 'X': {
				return {kind: 'terminate'};
			}

			case 'H': {
				return this.#refuse(new BuckthornhitchError('unsupportedFeature', 'Flush without Sync is not supported.'));
			}

			case 'F': {
				return this.#skipping ? undefined : {kind: 'refusedCall', error: new BuckthornhitchError('unsupportedFeature', 'FunctionCall is not supported.')};
			}

			case 'd':
			case 'c':
			case 'f': {
				// COPY is refused, so these can only follow a refusal; the protocol lets the server ignore them.
				return undefined;
			}

			case 'p': {
				throw new BuckthornhitchError('malformedMessage', 'A password came after the start-up.');
			}

			default: {
				return this.#extended(message);
			}
		}
	}

	#query(message: FrontendMessage): ForwardingUnit | undefined {
		if (this.#messages.length > 0) {
			throw new BuckthornhitchError('malformedMessage', 'A Query message came inside of an extended batch.');
		}

		return this.#skipping ? undefined : {kind: 'query', message};
	}

	#sync(sync: FrontendMessage): ForwardingUnit {
		const messages = this.#messages;
		this.#reset();
		this.#skipping = false;
		return {kind: 'batch', messages, sync};
	}

	#extended(message: FrontendMessage): ForwardingUnit | undefined {
		if (this.#skipping) {
			return undefined;
		}

		this.#messages.push(message);
		this.#bytes += message.bytes.length;
		return this.#bytes > maximumFrontendMessageBytes
			? this.#refuse(new BuckthornhitchError('messageTooLarge', `A batch has more than ${maximumFrontendMessageBytes} bytes.`))
			: undefined;
	}

	#refuse(error: BuckthornhitchError): ForwardingUnit | undefined {
		if (this.#skipping) {
			return undefined;
		}

		this.#reset();
		this.#skipping = true;
		return {kind: 'refusedBatch', error};
	}

	#reset(): void {
		this.#messages = [];
		this.#bytes = 0;
	}
}
