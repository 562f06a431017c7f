import {type Milliseconds} from '../clock/clock.js';
import {type LinkClient} from '../links/link-client.js';
import {type Random} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {type BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	MemberConnector, type ConnectionPath, type MemberConnection, MemberRefusedError, type MemberTarget,
} from '../statement/member-connection.js';
import {type ConnectionPlacement} from '../session-proxy/connection-placement.js';
import {gatewayProbeName, type OpenRelayRequest, type OpenRelayResponse} from './messages.js';
import {maximumRelayedConnections, type ConnectionAllocation} from './connection-allocation.js';
import {GatewayAvailability, isSilence} from './gateway-availability.js';
import {GatewayLoad} from './gateway-load.js';
import {GatewayPlacement} from './gateway-placement.js';
import {GatewaySelection, type GatewaySelectionOptions} from './gateway-selection.js';
import {ConnectionCounts} from './connection-counts.js';
import {RelayedConnection, type RelayedConnectionOptions} from './relayed-connection.js';
import {UnreachableMembers, type UnreachableMembersOptions} from './unreachable-members.js';

/** Timeout of the request to open a relay: a round trip within a data centre, the time to open a new link and a short stall of the gateway. */
const openRelayTimeout: Milliseconds = 300;

/** Maximum number of gateways that are tried for one connection. */
const maximumGatewayAttempts = 3;

/** Maximum number of direct connections to a member that a reserve gateway opens while no gateway answers. */
const maximumReserveConnections = 2;

/** Dependencies of the connector. */
export type RelayingConnectorOptions = GatewaySelectionOptions & UnreachableMembersOptions & {
	readonly random: Random;
	readonly linkClient: LinkClient;
	readonly connectionAllocation: (service: string) => ConnectionAllocation;
};

/** Result of trying the gateways to a member. */
type GatewayAttempts = {
	readonly failures: readonly BuckthornhitchError[];
	readonly connection: RelayedConnection | undefined;
};

/** Connects to members directly, or through a gateway (another entry) if this instance has no direct connections allocated or does not reach the member. */
export class RelayingConnector extends MemberConnector {
	readonly #unreachable: UnreachableMembers;
	readonly #availability: GatewayAvailability;
	/** Gateway used last for each member; it is preferred, and changes are logged. */
	readonly #lastGateway = new Map<string, string>();
	/** Direct connections that this instance opened as a reserve gateway, by member. */
	readonly #reserveConnections = new ConnectionCounts();
	/** Reply times of the gateways near a member, by member. */
	readonly #loads = new Map<string, GatewayLoad>();
	readonly #selection: GatewaySelection;
	#nextRelay = 1;

	constructor(private readonly options: RelayingConnectorOptions) {
		super();
		this.#selection = new GatewaySelection(options);
		this.#unreachable = new UnreachableMembers(options);
		const {clock, random, logger, linkClient} = options;
		this.#availability = new GatewayAvailability({
			clock,
			random,
			logger,
			async probe({address}, timeout) {
				await linkClient.request(address, gatewayProbeName, null, timeout);
			},
			isKnown: ({name}) => (options.allEntries?.() ?? options.entries()).some(entry => entry.name === name),
		});
	}

	/** Returns the maximum number of connections of this instance to a member. */
	maximumConnections({id, service}: Pick<MemberTarget, 'id' | 'service'>): number {
		const allocation = this.options.connectionAllocation(service);
		return this.#selection.hasDirectConnections(id, allocation) ? allocation.connectionsPerEntry : maximumRelayedConnections;
	}

	/** Returns whether this instance relays statements to the member for other entries. */
	isGateway({id, service}: Pick<MemberTarget, 'id' | 'service'>): boolean {
		const allocation = this.options.connectionAllocation(service);
		return allocation.gatewaysNearMember === undefined || this.#selection.hasDirectConnections(id, allocation);
	}

	/** Returns whether this instance does not reach the member directly. */
	isDirectlyUnreachable(member: string): boolean {
		return this.#unreachable.has(member);
	}

	/** Returns the placement of this instance's connections to a member. */
	placementOf(member: Pick<MemberTarget, 'id' | 'service'>): ConnectionPlacement {
		return new GatewayPlacement(this, member);
	}

	/** Returns the allocation of the connections to the members of a service. */
	allocationOf(service: string): ConnectionAllocation {
		return this.options.connectionAllocation(service);
	}

	/** Returns whether this instance has direct connections to the member, either its share or as a reserve gateway. */
	isDirectConnectionAllowed({id, service}: Pick<MemberTarget, 'id' | 'service'>, connection: MemberConnection): boolean {
		return this.#selection.hasDirectConnections(id, this.allocationOf(service)) || this.#reserveConnections.has(id, connection);
	}

	/** Returns how connections of the customer are opened; undefined unless each customer has a gateway. */
	pathFor(target: Pick<MemberTarget, 'id' | 'service' | 'customer'>): ConnectionPath | undefined {
		const allocation = this.allocationOf(target.service);
		if (!allocation.isByCustomer) {
			return undefined;
		}

		const isGateway = this.#selection.hasDirectConnections(target.id, allocation) && !this.#unreachable.has(target.id);
		return isGateway && this.#rankedGateways(target, allocation).at(0)?.name === this.options.name ? 'own' : 'gateway';
	}

	override async connect(target: MemberTarget, timeout: Milliseconds): Promise<MemberConnection> {
		const allocation = this.allocationOf(target.service);
		if (target.path === 'gateway') {
			return this.#connectThroughGatewayNearMember(target, timeout, allocation);
		}

		const spare = this.#unreachable.takeConnection(target);
		if (spare) {
			return spare;
		}

		if (target.path === 'own') {
			return this.#connectAsGateway(target, timeout);
		}

		const isDirect = this.#selection.hasDirectConnections(target.id, allocation);
		if (isDirect && !this.#unreachable.has(target.id)) {
			return this.#connectDirectly(target, timeout, allocation);
		}

		if (isDirect || allocation.gatewaysNearMember === undefined) {
			return await this.#connectThroughGateway(target, allocation) ?? this.options.direct.connect(target, timeout);
		}

		return this.#connectThroughGatewayNearMember(target, timeout, allocation);
	}

	/** Connects through a gateway near the member. While none relays, reserve gateways open a few direct connections; other entries do not, so that a fault of the gateways does not make all entries connect at once. */
	async #connectThroughGatewayNearMember(target: MemberTarget, timeout: Milliseconds, allocation: ConnectionAllocation): Promise<MemberConnection> {
		const pipelined = this.#openPipelined(target, allocation);
		if (pipelined) {
			return pipelined;
		}

		// All gateways failed recently.
		if (this.#selection.isReserveGateway(target.id, allocation) && this.#reserveConnections.countOf(target.id) < maximumReserveConnections) {
			return this.#reserveConnections.open(target.id, async () => this.options.direct.connect(target, timeout));
		}

		const {failures, connection} = await this.#tryGateways(target, allocation);
		if (connection) {
			return connection;
		}

		// Only a gateway that answers shows that the member has failed. Entries that report a replica as unreachable keep it from being promoted.
		throw failures.find(({codeName}) => codeName === 'memberUnreachable') ?? new MemberRefusedError('busy', `no gateway to ${target.id} relays`);
	}

	/** Connects directly, because this instance is the customer's gateway or relays for others. Never leads through another gateway. */
	async #connectAsGateway(target: MemberTarget, timeout: Milliseconds): Promise<MemberConnection> {
		try {
			return await this.options.direct.connect(target, timeout);
		} catch (error) {
			if (!(error instanceof MemberRefusedError)) {
				this.#unreachable.add(target, toBuckthornhitchError(error).message);
			}

			throw error;
		}
	}

	async #connectDirectly(target: MemberTarget, timeout: Milliseconds, allocation: ConnectionAllocation): Promise<MemberConnection> {
		try {
			return await this.options.direct.connect(target, timeout);
		} catch (error) {
			if (error instanceof MemberRefusedError) {
				throw error;
			}

			this.#unreachable.add(target, toBuckthornhitchError(error).message);
			const relayed = await this.#connectThroughGateway(target, allocation);
			if (!relayed) {
				throw error;
			}

			return relayed;
		}
	}

	/** Resolves with a connection through a gateway, or with undefined when none of the gateways tried relays. */
	async #connectThroughGateway(target: MemberTarget, allocation: ConnectionAllocation): Promise<MemberConnection | undefined> {
		const {connection} = await this.#tryGateways(target, allocation);
		return connection;
	}

	/** Tries the gateways in order until one relays. Resolves with its connection, if there is one, and with the failures of those tried before. */
	async #tryGateways(target: MemberTarget, allocation: ConnectionAllocation): Promise<GatewayAttempts> {
		const failures: BuckthornhitchError[] = [];
		const gateways = this.#orderedGateways(target, allocation).filter(gateway => !this.#availability.isUnavailable(gateway));
		for (const gateway of gateways.slice(0, allocation.gatewaysNearMember ?? maximumGatewayAttempts)) {
			const relay = this.#nextRelay++;
			try {
				const openResponse = await this.#requestRelay(target, gateway, relay);
				return {failures, connection: this.#createRelayedConnection(target, gateway, relay, {openResponse})};
			} catch (error) {
				const failure = toBuckthornhitchError(error);
				failures.push(failure);
				this.#handleGatewayFailure(gateway, target, failure);
			}
		}

		return {failures, connection: undefined};
	}

	/** Returns a connection through the first gateway whose statements do not wait until the gateway has confirmed the relay, which saves a round trip; undefined if the gateway failed recently. */
	#openPipelined(target: MemberTarget, allocation: ConnectionAllocation): RelayedConnection | undefined {
		const gateway = this.#orderedGateways(target, allocation).at(0);
		if (!gateway || this.#isAvoided(gateway, target.id)) {
			return undefined;
		}

		const relay = this.#nextRelay++;
		return this.#createRelayedConnection(target, gateway, relay, {opening: this.#requestRelay(target, gateway, relay)});
	}

	async #requestRelay(target: MemberTarget, gateway: EntryRecord, relay: number): Promise<OpenRelayResponse> {
		const {id, service, customer} = target;
		if (this.allocationOf(service).gatewaysNearMember !== undefined) {
			this.options.linkClient.allowSilence(gateway.address);
		}

		const request: OpenRelayRequest = {
			relay, service, member: id, ...(customer !== undefined && {customer}),
		};
		const response = await this.options.linkClient.request(gateway.address, 'openRelay', request, openRelayTimeout) as OpenRelayResponse;
		this.#recordGateway(target, gateway);
		return response;
	}

	#createRelayedConnection(target: MemberTarget, gateway: EntryRecord, relay: number, answer: Pick<RelayedConnectionOptions, 'opening' | 'openResponse'>): RelayedConnection {
		const {id, service, path} = target;
		const hasDirectConnections = (): boolean => this.#selection.hasDirectConnections(id, this.allocationOf(service)) && !this.#unreachable.has(id);
		const isOtherPreferred = (): boolean => this.#orderedGateways(target, this.allocationOf(service)).at(0)?.name !== gateway.name;
		const {gatewaysNearMember} = this.allocationOf(service);
		const mayMoveOn = gatewaysNearMember !== undefined && path === undefined;
		// The same rule as for new connections; with another one, a connection would be obsolete at once and be opened again without end.
		const hasMovedOn = (): boolean => mayMoveOn && isOtherPreferred();
		return new RelayedConnection({
			clock: this.options.clock,
			linkClient: this.options.linkClient,
			gateway: gateway.address,
			gatewayName: gateway.name,
			relay,
			...answer,
			sendsPriority: gatewaysNearMember !== undefined,
			isObsolete: path === 'gateway' ? isOtherPreferred : () => hasDirectConnections() || hasMovedOn(),
			onAnswered: mayMoveOn
				? time => {
					this.#recordReplyTime(target, gateway, time);
				}
				: undefined,
			onFailure: failure => {
				this.#handleGatewayFailure(gateway, target, failure);
			},
		});
	}

	/** Records the reply time of a statement, and moves on to another gateway if statements queue at this one. */
	#recordReplyTime(target: MemberTarget, gateway: EntryRecord, time: Milliseconds): void {
		const {id, service} = target;
		const load = this.#loadOf(id);
		load.record(gateway.name, time);
		if (this.#lastGateway.get(id) === gateway.name) {
			const candidates = this.#orderedGateways(target, this.allocationOf(service)).filter(other => !this.#isAvoided(other, id));
			const faster = load.chooseFaster(gateway.name, candidates.map(({name}) => name));
			const chosen = candidates.find(({name}) => name === faster);
			if (chosen) {
				this.#recordGateway(target, chosen);
			}
		}
	}

	#loadOf(member: string): GatewayLoad {
		const known = this.#loads.get(member);
		if (known) {
			return known;
		}

		// Members that restarted have new ids.
		for (const other of [...this.#loads.keys()].filter(id => !this.options.isKnownMember(id))) {
			this.#loads.delete(other);
		}

		const load = new GatewayLoad(this.options.clock);
		this.#loads.set(member, load);
		return load;
	}

	/** Returns the other gateways in the order in which to try them. */
	#orderedGateways(target: Pick<MemberTarget, 'id' | 'customer'>, allocation: ConnectionAllocation): readonly EntryRecord[] {
		return this.#rankedGateways(target, allocation).filter(entry => entry.name !== this.options.name);
	}

	/** Returns the gateways, this instance included if it is one of them: the one used last comes first unless each customer has its own order, those that failed recently come last. */
	#rankedGateways({id: member, customer}: Pick<MemberTarget, 'id' | 'customer'>, allocation: ConnectionAllocation): readonly EntryRecord[] {
		const {entries, random} = this.options;
		const known = entries();
		const chosen = this.#selection.gateways(member, allocation, customer) ?? random.sample(known, known.length);
		const preferred = allocation.isByCustomer ? undefined : this.#lastGateway.get(member);
		const rank = (entry: EntryRecord): number => this.#isAvoided(entry, member) ? 1 : (entry.name === preferred ? -1 : 0);

		return chosen.toSorted((first, second) => rank(first) - rank(second));
	}

	/** Returns whether the gateway to the member failed recently. */
	#isAvoided(gateway: EntryRecord, member: string): boolean {
		return this.#availability.isAvoided({gateway, member});
	}

	/** Avoids a gateway after a failed request. Where gateways are near the members, one that does not answer at all is not used for any member. */
	#handleGatewayFailure(gateway: EntryRecord, {id, service}: Pick<MemberTarget, 'id' | 'service'>, failure: BuckthornhitchError): void {
		this.#availability.avoid({gateway, member: id}, failure.message);
		if (isSilence(failure) && this.allocationOf(service).gatewaysNearMember !== undefined) {
			void this.#availability.suspect(gateway, failure.message);
		}
	}

	#recordGateway({id, path}: MemberTarget, {name}: EntryRecord): void {
		if (path === undefined && this.#lastGateway.get(id) !== name) {
			this.options.logger.info(`${id} is reached through gateway ${name} (previously ${this.#lastGateway.get(id) ?? 'none'})`);
			this.#lastGateway.set(id, name);
		}
	}
}
