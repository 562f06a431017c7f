import {type EntryRecord} from '../registry/messages.js';
import {
	orderByDistance, orderGateways, selectGateways, type ConnectionAllocation,
} from './connection-allocation.js';

/** Dependencies of a gateway selection. */
export type GatewaySelectionOptions = {
	/** Name of this instance. */
	readonly name: string;
	/** Returns the entries of this data centre, this instance included. */
	readonly entries: () => readonly EntryRecord[];
	/** Returns the entries of all data centres; undefined until they are known. Needed where gateways are placed near the members. */
	readonly allEntries?: () => readonly EntryRecord[] | undefined;
	/** Returns the data centre of a member. */
	readonly memberDataCentre?: (member: string) => string | undefined;
};

/** Number of entries that may open direct connections while no gateway answers. A larger number could exceed the member's connection limit, of which 6 connections are reserved. */
const reserveGatewayCount = 2;

type CachedOrder = {
	readonly entries: readonly EntryRecord[];
	readonly dataCentre: string | undefined;
	readonly order: readonly EntryRecord[];
	/** Orders in which the gateways are tried, by their number and the customer. */
	readonly gatewayOrders: Map<string, readonly EntryRecord[]>;
};

const noEntries: readonly EntryRecord[] = [];

/** Selects the gateways to a member. Where gateways are placed near the members, keeps the order of the entries for each member, and that of the gateways for each customer, since hashing for every request would be slow. */
export class GatewaySelection {
	readonly #orders = new Map<string, CachedOrder>();

	constructor(private readonly options: GatewaySelectionOptions) {}

	/** Returns whether direct connections to the member are allocated to this instance. */
	hasDirectConnections(member: string, allocation: ConnectionAllocation): boolean {
		const {name, entries} = this.options;
		if (allocation.gatewaysNearMember !== undefined) {
			return this.#nearMember(member, 0, allocation.gatewaysNearMember).some(entry => entry.name === name);
		}

		const {gatewaysPerDataCentre} = allocation;
		return gatewaysPerDataCentre === undefined || selectGateways(member, entries(), gatewaysPerDataCentre, name).some(entry => entry.name === name);
	}

	/** Returns the gateways to the member in the order in which this instance tries them, this instance included if it is one of them; undefined when every entry has direct connections. */
	gateways(member: string, {gatewaysPerDataCentre, gatewaysNearMember}: ConnectionAllocation, customer: string | undefined): readonly EntryRecord[] | undefined {
		const {name, entries} = this.options;
		if (gatewaysNearMember !== undefined) {
			const gateways = this.#nearMember(member, 0, gatewaysNearMember);
			const {gatewayOrders} = this.#orders.get(member)!;
			const key = `${gatewaysNearMember} ${customer ?? ''}`;
			const order = gatewayOrders.get(key) ?? orderGateways(member, gateways, name, customer);
			gatewayOrders.set(key, order);
			return order;
		}

		return gatewaysPerDataCentre === undefined ? undefined : selectGateways(member, entries(), gatewaysPerDataCentre, name);
	}

	/** Returns whether this instance may open a few direct connections while no gateway near the member answers: the next two entries in the order in which entries become gateways. */
	isReserveGateway(member: string, {gatewaysNearMember = 0}: ConnectionAllocation): boolean {
		return this.#nearMember(member, gatewaysNearMember, gatewaysNearMember + reserveGatewayCount).some(({name}) => name === this.options.name);
	}

	/** Returns the entries from the first to before the last position of the order in which entries become gateways near the member. */
	#nearMember(member: string, first: number, last: number): readonly EntryRecord[] {
		const {allEntries, memberDataCentre} = this.options;
		const entries = allEntries?.() ?? noEntries;
		const dataCentre = memberDataCentre?.(member);
		const known = this.#orders.get(member);
		if (known?.entries === entries && known.dataCentre === dataCentre) {
			return known.order.slice(first, last);
		}

		// Restarted members have new ids; the orders of former members are dropped with the list that they belong to.
		for (const [other, cached] of this.#orders) {
			if (cached.entries !== entries) {
				this.#orders.delete(other);
			}
		}

		const order = orderByDistance(member, dataCentre, entries);
		this.#orders.set(member, {
			entries, dataCentre, order, gatewayOrders: new Map(),
		});
		return order.slice(first, last);
	}
}
