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

/** Timeout of the probe that confirms that a gateway does not answer. A gateway that is only slow, such as one that has just started, answers in this time. */
const confirmTimeout: Milliseconds = 500;

/** Timeout of later probes: a round trip between regions and a short stall of the gateway. */
const probeTimeout: Milliseconds = 300;

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
	/** Resolves when the gateway answers. Rejects with linkNotSent or linkOutcomeUnknown when it does not within the timeout in milliseconds. */
	readonly probe: (gateway: EntryRecord, timeout: Milliseconds) => Promise<void>;
	/** Returns whether the gateway is still one of the known entries. */
	readonly isKnown: (gateway: EntryRecord) => boolean;
};

/**
Which gateways may relay to which members.

A gateway that does not answer a request is avoided for its member, and probed; if it does not answer the probe either, it is unavailable for all members until it answers one. Answers half of the entries being lost at once: without a state for the whole gateway, an entry loses one request for each member and lost gateway, and again each time the avoidance ends.
*/
export class GatewayAvailability {
	/** Time until which gateways that refused are avoided, by gateway and member. */
	readonly #avoidedUntil = new Map<string, Milliseconds>();
	/** Names of the gateways that are probed after a request to them was not answered. */
	readonly #suspected = new Set<string>();
	/** Names of the gateways that did not answer a probe either, and have not answered since. */
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

	/** Probes a gateway that did not answer a request. Unless it answers, it is used for no member until it does. */
	async suspect(gateway: EntryRecord, reason: string): Promise<void> {
		if (this.#suspected.has(gateway.name)) {
			return;
		}

		this.#suspected.add(gateway.name);
		if (!await this.#answers(gateway, confirmTimeout)) {
			this.options.logger.info(`${gateway.name} is not used as a gateway until it answers: ${reason}`);
			this.#unavailable.add(gateway.name);
			await this.#probeUntilAnswered(gateway);
			this.#unavailable.delete(gateway.name);
		}

		this.#suspected.delete(gateway.name);
	}

	async #probeUntilAnswered(gateway: EntryRecord): Promise<void> {
		const {clock, random, logger, isKnown} = this.options;
		const since = clock.now();
		const backOff = new BackOff(random, probeDelays);
		while (isKnown(gateway)) {
			await clock.sleep(backOff.nextDelay());
			if (await this.#answers(gateway, probeTimeout)) {
				logger.info(`${gateway.name} answers and is used as a gateway again`, {duration: Math.round(clock.now() - since)});
				return;
			}
		}

		logger.info(`${gateway.name} is no longer an entry`);
	}

	/** Resolves with whether the gateway answers a probe. An error is an answer as well, since earlier builds do not know the probe. */
	async #answers(gateway: EntryRecord, timeout: Milliseconds): Promise<boolean> {
		try {
			await this.options.probe(gateway, timeout);
			return true;
		} catch (error) {
			return !isSilence(toBuckthornhitchError(error));
		}
	}
}

/** Returns whether a failed request means that the other end did not answer at all. */
export function isSilence({codeName}: BuckthornhitchError): boolean {
	return codeName === 'linkNotSent' || codeName === 'linkOutcomeUnknown';
}

function avoidanceKey({name}: EntryRecord, member: string): string {
	return `${name}/${member}`;
}
