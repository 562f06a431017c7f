import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

// A link does not report when a response has been sent, so the time is estimated from its size.
const shortestServing: Milliseconds = 20;
const bytesPerMillisecond = 2000;

/** Limits how many peers are served large responses at a time; the others ask somebody else. */
export class LargeResponseLimiter {
	#serving = 0;

	constructor(private readonly clock: Clock, private readonly limit: number) {}

	/** Counts one response of the given size in bytes as being served for the time that it takes to send. Throws queueFull. */
	serve<Body>(answer: () => Body, sizeOf: (body: Body) => number): Body {
		if (this.#serving >= this.limit) {
			throw new BuckthornhitchError('queueFull', `${this.limit} peers are being served.`);
		}

		const body = answer();
		this.#serving++;
		this.clock.schedule(shortestServing + (sizeOf(body) / bytesPerMillisecond), () => {
			this.#serving--;
		});
		return body;
	}
}
