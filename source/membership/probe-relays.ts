import {type Clock} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {probePeriod} from './membership-rules.js';

/** Process for which a probe was repeated, and its number for that probe. */
export type ProbeRelay = {
	readonly address: Address;
	readonly to: string;
	readonly sequence: number;
};

/** Probes that this process sent for others, until they are answered or too old to matter. */
export class ProbeRelays {
	readonly #relays = new Map<number, ProbeRelay>();

	constructor(private readonly clock: Clock) {}

	/** Remembers for whom the probe with this process's own number was sent. */
	add(ownSequence: number, relay: ProbeRelay): void {
		this.#relays.set(ownSequence, relay);
		this.clock.schedule(probePeriod, () => {
			this.#relays.delete(ownSequence);
		});
	}

	/** Returns and forgets for whom the answered probe was sent; undefined for a probe of this process itself. */
	take(ownSequence: number): ProbeRelay | undefined {
		const relay = this.#relays.get(ownSequence);
		this.#relays.delete(ownSequence);
		return relay;
	}
}
