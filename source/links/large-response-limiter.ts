import {type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

// A link does not report when a response has been sent, so the send time is estimated from the size of the response.
const minimumSendTime: Milliseconds = 20;
const assumedBytesPerMillisecond = 2000;

/** Limits the number of large responses that are sent at the same time; peers that are refused ask another instance. */
export class LargeResponseLimiter {
	#activeResponses = 0;

	constructor(private readonly clock: Clock, private readonly limit: number) {}

	/** Creates a response and counts it as active for the estimated time to send its size in bytes. Throws queueFull. */
	respond<Body>(createBody: () => Body, sizeOf: (body: Body) => number): Body {
		if (this.#activeResponses >= this.limit) {
			throw new BuckthornhitchError('queueFull', `${this.limit} peers are being served.`);
		}

		const body = createBody();
		this.#activeResponses++;
		this.clock.schedule(minimumSendTime + (sizeOf(body) / assumedBytesPerMillisecond), () => {
			this.#activeResponses--;
		});
		return body;
	}
}
