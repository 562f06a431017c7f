import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {encodeFrame} from '../links/framing.js';
import {LinkClient} from '../links/link-client.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Handles the requests to one address; throws to refuse a request. */
export type NarrowLinkHandler = (name: string, body: unknown) => unknown;

/** Link client of an instance whose own link is narrow: all responses, also those that nobody waits for any more, pass through it one after the other. */
export class NarrowLinkClient extends LinkClient {
	readonly handlers = new Map<Address, NarrowLinkHandler>();
	/** Bytes received over the link. */
	receivedBytes = 0;
	unansweredRequests = 0;
	#freeAt: Milliseconds = 0;

	constructor(private readonly clock: Clock, private readonly bytesPerSecond: number, private readonly roundTrip: Milliseconds) {
		super();
	}

	/** Time that a byte which is sent to this instance now waits until it is received. */
	get queueingDelay(): Milliseconds {
		return Math.max(0, this.#freeAt - this.clock.now());
	}

	override async request(address: Address, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		return new Promise((resolve, reject) => {
			const cancelTimeout = this.clock.schedule(timeout, () => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', `${address} did not answer ${name}.`));
			});
			this.clock.schedule(this.roundTrip, () => {
				const answer = this.handlers.get(address)?.(name, body);
				if (answer === undefined) {
					this.unansweredRequests++;
					return;
				}

				this.#receive(encodeFrame({
					kind: 'response', number: 1, code: 0, body: answer, time: {milliseconds: 0, counter: 0},
				}).length, () => {
					cancelTimeout();
					resolve(answer);
				});
			});
		});
	}

	override notify(): void {
		// Nothing here reads notices.
	}

	#receive(byteCount: number, action: () => void): void {
		this.receivedBytes += byteCount;
		this.#freeAt = Math.max(this.#freeAt, this.clock.now()) + (byteCount * 1000 / this.bytesPerSecond);
		this.clock.schedule(this.#freeAt - this.clock.now(), action);
	}
}
