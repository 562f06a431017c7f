import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Random} from '../random/random.js';

/** How a model server ends a request: answered, failed after its service time, or refused because its queue is full. */
export type ModelOutcome = 'done' | 'failed' | 'busy';

/** Properties of a model server; functions take the current time. */
export type ModelServerOptions = {
	readonly slots: number;
	readonly queueLimit: number;
	readonly serviceTime: (now: Milliseconds) => Milliseconds;
	readonly failureShare?: (now: Milliseconds) => number;
};

/** Backend server with a fixed number of slots and a bounded queue, to play loads on the manual clock. */
export class ModelServer {
	/** Requests that have arrived. */
	arrivals = 0;
	/** Requests refused as busy. */
	refusals = 0;
	#busySlots = 0;
	readonly #queue: Array<() => void> = [];

	constructor(private readonly clock: Clock, private readonly random: Random, private readonly options: ModelServerOptions) {}

	/** Number of requests that run or wait. */
	get load(): number {
		return this.#busySlots + this.#queue.length;
	}

	/** Runs a request in a slot, or refuses it at once if the queue is full. */
	run(onEnd: (outcome: ModelOutcome) => void): void {
		this.arrivals++;
		const {slots, queueLimit, serviceTime, failureShare} = this.options;
		if (this.#busySlots >= slots && this.#queue.length >= queueLimit) {
			this.refusals++;
			onEnd('busy');
			return;
		}

		this.#queue.push(() => {
			const now = this.clock.now();
			const isFailure = this.random.fraction() < (failureShare?.(now) ?? 0);
			this.clock.schedule(serviceTime(now), () => {
				this.#busySlots--;
				this.#startNext();
				onEnd(isFailure ? 'failed' : 'done');
			});
		});
		this.#startNext();
	}

	#startNext(): void {
		if (this.#busySlots < this.options.slots && this.#queue.length > 0) {
			this.#busySlots++;
			this.#queue.shift()!();
		}
	}
}

/** Returns the service time of a server that is slower by the factor until it has warmed up, with the factor falling steadily. */
export function warmingServiceTime(usual: Milliseconds, coldFactor: number, startedAt: Milliseconds, coldTime: Milliseconds): (now: Milliseconds) => Milliseconds {
	return now => {
		const remaining = Math.max(0, 1 - ((now - startedAt) / coldTime));
		return usual * (1 + (remaining * (coldFactor - 1)));
	};
}
