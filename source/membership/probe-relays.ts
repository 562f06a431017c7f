import {type Clock} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {probePeriod} from './membership-rules.js';

/** Process on whose behalf a probe was sent, and its sequence number for that probe. */
export type ProbeRelay = {
	readonly address: Address;
	readonly to: string;
	readonly sequence: number;
};

/** Indirect probes that this process relays for others, kept until they are answered or a probe period has passed. */
export class ProbeRelays {
	readonly #relays = new Map<number, ProbeRelay>();

	constructor(private readonly clock: Clock) {}

	/** Records on whose behalf the probe with this process's own sequence number was sent. */
	add(ownSequence: number, relay: ProbeRelay): void {
		this.#relays.set(ownSequence, relay);
		this.clock.schedule(probePeriod, () => {
			this.#relays.delete(ownSequence);
		});
	}

	/** Removes and returns the process on whose behalf the probe was sent; undefined for a probe that is not a pending relay. */
	take(ownSequence: number): ProbeRelay | undefined {
		const relay = this.#relays.get(ownSequence);
		this.#relays.delete(ownSequence);
		return relay;
	}
}
