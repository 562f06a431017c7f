import {BackOff} from '../clock/back-off.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {type BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** How long a gateway that refused or failed is avoided for the member concerned. */
export const gatewayAvoidanceTime: Milliseconds = 1500;

/** Delays between the probes of a gateway that does not answer. */
const probeDelays = {shortest: 100, longest: 800} as const;

/** Gateway and member of a relay. */
export type GatewayUse = {
	readonly gateway: EntryRecord;
	/** Id of the member. */
	readonly member: string;
};

/** Dependencies of the availability of gateways. */
export type GatewayAvailabilityOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Resolves when the gateway answers. Rejects with linkNotSent or linkOutcomeUnknown when it does not. */
	readonly probe: (gateway: EntryRecord) => Promise<void>;
	/** Returns whether the gateway is still one of the known entries. */
	readonly isKnown: (gateway: EntryRecord) => boolean;
};

/**
Which gateways may relay to which members.

A gateway that does not answer is unavailable for all members until it answers a probe. Answers half of the entries being lost at once: without a state for the whole gateway, an entry loses one request for each member and lost gateway, and again each time the avoidance ends.
*/
export class GatewayAvailability {
	/** Time until which gateways that refused are avoided, by gateway and member. */
	readonly #avoidedUntil = new Map<string, Milliseconds>();
	/** Names of the gateways that have not answered since a request to them failed. */
	readonly #unavailable = new Set<string>();

	constructor(private readonly options: GatewayAvailabilityOptions) {}

	/** Returns whether the gateway has not answered since a request to it failed. */
	isUnavailable({name}: EntryRecord): boolean {
		return this.#unavailable.has(name);
	}

	/** Returns whether the gateway is not preferred for relays to the member, since it failed recently. */
	isAvoided({gateway, member}: GatewayUse): boolean {
		return this.isUnavailable(gateway) || (this.#avoidedUntil.get(avoidanceKey(gateway, member)) ?? 0) > this.options.clock.now();
	}

	/** Avoids the gateway for the member. */
	avoid({gateway, member}: GatewayUse, reason: string): void {
		const {clock, logger} = this.options;
		const key = avoidanceKey(gateway, member);
		const now = clock.now();
		if ((this.#avoidedUntil.get(key) ?? 0) <= now) {
			logger.info(`${gateway.name} is not used as a gateway to ${member} for ${gatewayAvoidanceTime} ms: ${reason}`);
		}

		this.#avoidedUntil.set(key, now + gatewayAvoidanceTime);
		for (const [other, until] of this.#avoidedUntil) {
			if (until <= now) {
				this.#avoidedUntil.delete(other);
			}
		}
	}

	/** Uses the gateway for no member until it answers a probe. */
	markUnavailable(gateway: EntryRecord, reason: string): void {
		if (this.#unavailable.has(gateway.name)) {
			return;
		}

		this.options.logger.info(`${gateway.name} is not used as a gateway until it answers: ${reason}`);
		this.#unavailable.add(gateway.name);
		void this.#probeUntilAnswered(gateway);
	}

	async #probeUntilAnswered(gateway: EntryRecord): Promise<void> {
		const {clock, random, logger, probe, isKnown} = this.options;
		const since = clock.now();
		const backOff = new BackOff(random, probeDelays);
		let failure: BuckthornhitchError | undefined;
		while (isKnown(gateway)) {
			await clock.sleep(backOff.nextDelay());
			try {
				await probe(gateway);
				failure = undefined;
				break;
			} catch (error) {
				failure = toBuckthornhitchError(error);
				if (!isSilence(failure)) {
					// An answer of any kind; earlier builds do not know the probe.
					failure = undefined;
					break;
				}
			}
		}

		this.#unavailable.delete(gateway.name);
		const duration = Math.round(clock.now() - since);
		logger.info(`${gateway.name} ${failure ? 'is no longer an entry' : 'answers and is used as a gateway again'}`, {duration, ...(failure && {reason: failure.message})});
	}
}

/** Returns whether a failed request means that the other end did not answer at all. */
export function isSilence({codeName}: BuckthornhitchError): boolean {
	return codeName === 'linkNotSent' || codeName === 'linkOutcomeUnknown';
}

function avoidanceKey({name}: EntryRecord, member: string): string {
	return `${name}/${member}`;
}
