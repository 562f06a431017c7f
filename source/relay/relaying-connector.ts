import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	MemberConnector, type MemberConnection, MemberRefusedError, type MemberTarget,
} from '../statement/member-connection.js';
import {type OpenRelay} from './messages.js';
import {gatewaysTo, relayedConnections, type ConnectionAllocation} from './connection-allocation.js';
import {RelayedLink} from './relayed-link.js';

/** Time for a gateway to say whether it reaches the member; a round trip within a data centre, a new link and a stall. */
const openTimeout: Milliseconds = 300;

/** A gateway that failed or refused is passed over for this long. */
const gatewayPause: Milliseconds = 1500;

/** Gateways that are asked for one connection. */
const mostTries = 3;

/** Pause between two attempts to reach a member that this instance is cut off from. */
const reconnectPause: Milliseconds = 1000;

/** Time for such an attempt, which nobody waits for. */
const reconnectTimeout: Milliseconds = 700;

/** What the connector needs. */
export type RelayingConnectorOptions = {
	/** Name of this instance. */
	readonly name: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	/** Opens connections of this instance's own. */
	readonly direct: MemberConnector;
	/** Returns the entries of this data centre, this instance included. */
	readonly entries: () => readonly EntryRecord[];
	readonly connectionAllocation: (service: string) => ConnectionAllocation;
	/** Returns whether a member is still known under the id. */
	readonly isPresent: (member: string) => boolean;
};

/** Connects to members directly, or through another entry where connections are scarce or this instance is cut off from the member. */
export class RelayingConnector extends MemberConnector {
	/** Members that this instance is cut off from. */
	readonly #cutOff = new Set<string>();
	/** Connections that were opened to find out whether a cut has ended. */
	readonly #spares = new Map<string, MemberConnection>();
	/** Gateways that failed, and until when they are passed over. */
	readonly #avoidedUntil = new Map<string, Milliseconds>();
	/** Gateway used last for each member, for the logs. */
	readonly #lastGateway = new Map<string, string>();
	#nextRelay = 1;

	constructor(private readonly options: RelayingConnectorOptions) {
		super();
	}

	/** Returns how many connections this instance may have to a member. */
	maximumConnections({id, service}: Pick<MemberTarget, 'id' | 'service'>): number {
		const share = this.options.connectionAllocation(service);
		return this.#mayConnect(id, share) ? share.connections : relayedConnections;
	}

	/** Returns whether this instance does not reach the member itself. */
	isDirectlyUnreachable(member: string): boolean {
		return this.#cutOff.has(member);
	}

	override async connect(target: MemberTarget, timeout: Milliseconds): Promise<MemberConnection> {
		const spare = this.#spares.get(target.id);
		this.#spares.delete(target.id);
		if (spare && !spare.isClosed) {
			return spare;
		}

		const share = this.options.connectionAllocation(target.service);
		if (this.#mayConnect(target.id, share) && !this.#cutOff.has(target.id)) {
			return this.#connectDirectly(target, timeout, share);
		}

		return await this.#relay(target, share) ?? this.options.direct.connect(target, timeout);
	}

	async #connectDirectly(target: MemberTarget, timeout: Milliseconds, share: ConnectionAllocation): Promise<MemberConnection> {
		try {
			return await this.options.direct.connect(target, timeout);
		} catch (error) {
			if (error instanceof MemberRefusedError) {
				throw error;
			}

			this.#markCutOff(target, toBuckthornhitchError(error).message);
			const relayed = await this.#relay(target, share);
			if (!relayed) {
				throw error;
			}

			return relayed;
		}
	}

	/** Resolves with a connection through another entry, or with undefined when none of those asked reaches the member. */
	async #relay(target: MemberTarget, share: ConnectionAllocation): Promise<MemberConnection | undefined> {
		for (const gateway of this.#gateways(target.id, share).slice(0, mostTries)) {
			const relay = this.#nextRelay++;
			try {
				await this.options.linkClient.request(gateway.address, 'openRelay', {relay, service: target.service, member: target.id} satisfies OpenRelay, openTimeout);
				this.#noteGateway(target, gateway);
				return this.#relayedLink(target, gateway, relay);
			} catch (error) {
				this.#avoid(gateway, target, toBuckthornhitchError(error).message);
			}
		}

		return undefined;
	}

	#relayedLink({id, service}: MemberTarget, gateway: EntryRecord, relay: number): RelayedLink {
		return new RelayedLink({
			linkClient: this.options.linkClient,
			gateway: gateway.address,
			relay,
			isObsolete: () => this.#mayConnect(id, this.options.connectionAllocation(service)) && !this.#cutOff.has(id),
			onFailure: reason => {
				this.#avoid(gateway, {id}, reason);
			},
		});
	}

	/** Whether this instance has connections of its own to the member. */
	#mayConnect(member: string, {gateways}: ConnectionAllocation): boolean {
		const {name, entries} = this.options;
		return gateways === undefined || gatewaysTo(member, entries(), gateways, name).some(entry => entry.name === name);
	}

	/** Returns the entries to ask: the one that was used last comes first, those that failed lately come last. */
	#gateways(member: string, {gateways}: ConnectionAllocation): readonly EntryRecord[] {
		const {name, entries, random, clock} = this.options;
		const known = entries();
		const chosen = gateways === undefined ? random.sample(known, known.length) : gatewaysTo(member, known, gateways, name);
		const others = chosen.filter(entry => entry.name !== name);
		const rank = (entry: EntryRecord): number => {
			const isAvoided = (this.#avoidedUntil.get(avoidanceKey(entry, member)) ?? 0) > clock.now();
			return isAvoided ? 1 : (entry.name === this.#lastGateway.get(member) ? -1 : 0);
		};

		return others.toSorted((first, second) => rank(first) - rank(second));
	}

	#avoid(gateway: EntryRecord, {id}: Pick<MemberTarget, 'id'>, reason: string): void {
		const {clock, logger} = this.options;
		const key = avoidanceKey(gateway, id);
		const now = clock.now();
		if ((this.#avoidedUntil.get(key) ?? 0) <= now) {
			logger.info(`${gateway.name} is not used as a gateway to ${id} for ${gatewayPause} ms: ${reason}`);
		}

		this.#avoidedUntil.set(key, now + gatewayPause);
		for (const [other, until] of this.#avoidedUntil) {
			if (until <= now) {
				this.#avoidedUntil.delete(other);
			}
		}
	}

	#noteGateway({id}: MemberTarget, {name}: EntryRecord): void {
		if (this.#lastGateway.get(id) !== name) {
			this.options.logger.info(`${id} is reached through ${name}, before ${this.#lastGateway.get(id) ?? 'none'}`);
			this.#lastGateway.set(id, name);
		}
	}

	#markCutOff(target: MemberTarget, reason: string): void {
		if (this.#cutOff.has(target.id)) {
			return;
		}

		this.options.logger.warn(`${target.id} of ${target.service} at ${target.address} is not reached directly: ${reason}`);
		this.#cutOff.add(target.id);
		this.#reconnectLater(target);
	}

	#reconnectLater(target: MemberTarget): void {
		this.options.clock.schedule(reconnectPause, () => {
			void this.#reconnect(target);
		});
	}

	async #reconnect(target: MemberTarget): Promise<void> {
		const {direct, logger, isPresent} = this.options;
		if (!isPresent(target.id)) {
			this.#cutOff.delete(target.id);
			return;
		}

		try {
			const link = await direct.connect(target, reconnectTimeout);
			this.#keepSpare(target, link);
		} catch (error) {
			if (!(error instanceof MemberRefusedError)) {
				this.#reconnectLater(target);
				return;
			}
		}

		this.#cutOff.delete(target.id);
		logger.info(`${target.id} of ${target.service} is reached directly again`);
	}

	/** A connection that nobody takes until the next attempt would be due is closed. */
	#keepSpare({id}: MemberTarget, link: MemberConnection): void {
		this.#spares.get(id)?.close();
		this.#spares.set(id, link);
		this.options.clock.schedule(reconnectPause, () => {
			if (this.#spares.get(id) === link) {
				this.#spares.delete(id);
				link.close();
			}
		});
	}
}

function avoidanceKey({name}: EntryRecord, member: string): string {
	return `${name}/${member}`;
}
