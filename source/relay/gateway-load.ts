import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Weight of the latest sample in the moving average of reply times. */
const sampleWeight = 0.2;

/** Half-life of the average of a gateway that is not used, so that it is tried again. */
const halfLife: Milliseconds = 3000;

/** Multiple of the lowest average of the member's gateways above which statements count as queueing. */
const queueingFactor = 3;

/** Reply time that never counts as queueing; a few statements of the member that happen to be slow take as long. */
const minimumQueueingTime: Milliseconds = 40;

/** Time for which an instance stays with a gateway after moving to it; long enough for its reply times to become known. */
const minimumStay: Milliseconds = 1000;

type Average = {
	readonly time: Milliseconds;
	readonly updatedAt: Milliseconds;
};

/** Reply times of the gateways to one member, as seen by an instance that relays through them. */
export class GatewayLoad {
	readonly #averages = new Map<string, Average>();
	#lowest = Number.POSITIVE_INFINITY;
	#movedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock) {}

	/** Records the reply time of a statement through the gateway. */
	record(gateway: string, time: Milliseconds): void {
		const previous = this.#averageOf(gateway);
		const average = previous === 0 ? time : previous + (sampleWeight * (time - previous));
		this.#averages.set(gateway, {time: average, updatedAt: this.clock.now()});
		this.#lowest = Math.min(this.#lowest, average);
	}

	/** Returns the gateway to move on to if statements queue at the current one and another one is expected to answer faster; undefined otherwise. */
	chooseFaster(current: string, candidates: readonly string[]): string | undefined {
		const now = this.clock.now();
		const average = this.#averageOf(current);
		if (average <= Math.max(minimumQueueingTime, queueingFactor * this.#lowest) || now - this.#movedAt < minimumStay) {
			return undefined;
		}

		const others = candidates.filter(candidate => candidate !== current).toSorted((first, second) => this.#averageOf(first) - this.#averageOf(second));
		const fastest = others.at(0);
		if (fastest === undefined || this.#averageOf(fastest) * 2 > average) {
			return undefined;
		}

		this.#movedAt = now;
		return fastest;
	}

	/** Average reply time, decayed by its age; 0 for a gateway that was not used recently. */
	#averageOf(gateway: string): Milliseconds {
		const known = this.#averages.get(gateway);
		return known ? known.time * (0.5 ** ((this.clock.now() - known.updatedAt) / halfLife)) : 0;
	}
}
