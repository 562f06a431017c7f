import {type Clock} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {probePeriod} from './membership-rules.js';

/** Process that requested an indirect probe, and the sequence number that it expects in the acknowledgement. */
export type ProbeRequester = {
	readonly address: Address;
	/** Name of the requester, to which the acknowledgement is sent. */
	readonly to: string;
	readonly sequence: number;
};

/** Indirect probes that this process relays for others, kept until they are answered or a probe period has passed. */
export class RelayedProbes {
	readonly #requesters = new Map<number, ProbeRequester>();

	constructor(private readonly clock: Clock) {}

	/** Stores the requester of an indirect probe under the sequence number with which this process sent the probe. */
	add(ownSequence: number, requester: ProbeRequester): void {
		this.#requesters.set(ownSequence, requester);
		this.clock.schedule(probePeriod, () => {
			this.#requesters.delete(ownSequence);
		});
	}

	/** Removes and returns the requester of an indirect probe; undefined when no indirect probe with this sequence number is pending. */
	take(ownSequence: number): ProbeRequester | undefined {
		const requester = this.#requesters.get(ownSequence);
		this.#requesters.delete(ownSequence);
		return requester;
	}
}
