import {divideConnections} from '../connection-budget/connection-budget.js';
import {ownershipOrder} from '../ownership/rendezvous.js';
import {type EntryRecord} from '../registry/messages.js';

/** Factor by which an entry (an instance that accepts callers) may exceed its share of the connections; not all entries are busy at once. */
const oversubscriptionFactor = 2;

/** Smallest useful share of an entry: with a single connection, one open transaction would block all its other statements. */
const minimumConnectionsPerEntry = 2;

/** Maximum number of gateways (entries that relay statements for others) to a member in each data centre; with three, two may fail at once. */
const maximumGateways = 3;

/** Connections of a gateway in every data centre below which the gateways are placed near the member instead: with fewer, a short burst or one open transaction occupies a gateway. */
const minimumConnectionsPerGateway = 4;

/** Number of gateways near a member; two may fail at once while two others still share the load. */
const gatewaysNearMember = 4;

/** Maximum number of relayed connections to a member that an instance without direct connections opens at the same time. */
export const maximumRelayedConnections = 8;

/** The connection limit of a member and the entries among which it is divided. */
export type ConnectionAllocationInput = {
	/** Maximum number of connections that the member accepts. */
	readonly connectionLimit: number;
	readonly controlCount: number;
	readonly entryCount: number;
	/** Number of data centres with entries. */
	readonly dataCentreCount: number;
	/** Whether customers are configured, so that every connection belongs to one customer. */
	readonly hasCustomers?: boolean;
};

/** Allocation of a member's connections to the entries. */
export type ConnectionAllocation = {
	/** Maximum number of direct connections of an entry that has any. */
	readonly connectionsPerEntry: number;
	/** Number of entries in each data centre that have direct connections and act as gateways; undefined when all entries have direct connections. */
	readonly gatewaysPerDataCentre: number | undefined;
	/** Number of entries near the member that have direct connections and act as gateways for all data centres; absent when the gateways are in every data centre or all entries have direct connections. */
	readonly gatewaysNearMember?: number;
	/** Whether each customer has its own order of the gateways near the member; absent otherwise. */
	readonly isByCustomer?: true;
	/** Whether the only connection of the member must be closed from time to time, so that the leader of the control log can send commands; absent otherwise. */
	readonly isYielding?: true;
};

/** Allocates the connections of a member to the entries. If there are enough, every entry has direct connections; otherwise a few gateways relay statements for the others. The gateways are in each data centre, or near the member where customers are configured or a gateway in each data centre would have too few connections. */
export function allocateConnections({connectionLimit, controlCount, entryCount, dataCentreCount, hasCustomers = false}: ConnectionAllocationInput): ConnectionAllocation {
	const {entryConnections: available, controlConnections, isScarce} = divideConnections({connectionLimit, controlCount});
	const perEntry = Math.floor(available / Math.max(1, entryCount));
	if (perEntry >= minimumConnectionsPerEntry || (entryCount <= 1 && controlConnections > 0)) {
		// Where control instances have given up connections for the entries, these leave theirs to the leader.
		const factor = isScarce ? 1 : oversubscriptionFactor;
		return {connectionsPerEntry: Math.max(1, perEntry) * factor, gatewaysPerDataCentre: undefined};
	}

	const perDataCentre = available / Math.max(1, dataCentreCount);
	const gatewaysPerDataCentre = Math.max(1, Math.min(maximumGateways, Math.floor(perDataCentre / minimumConnectionsPerEntry)));
	const connectionsPerGateway = Math.max(1, Math.floor(perDataCentre / gatewaysPerDataCentre));
	if (!hasCustomers && connectionsPerGateway >= minimumConnectionsPerGateway) {
		return {connectionsPerEntry: connectionsPerGateway, gatewaysPerDataCentre};
	}

	const gatewayCount = Math.max(1, Math.min(gatewaysNearMember, Math.floor(available / minimumConnectionsPerEntry)));
	return {
		connectionsPerEntry: Math.max(1, Math.floor(available / gatewayCount)),
		gatewaysPerDataCentre: undefined,
		gatewaysNearMember: gatewayCount,
		...(hasCustomers && {isByCustomer: true}),
		...(controlConnections === 0 && {isYielding: true}),
	};
}

/** Returns the gateways of a data centre to the member, in the order in which the requesting entry tries them. The order differs between requesting entries, which spreads the load over the gateways. */
export function selectGateways(member: string, entries: readonly EntryRecord[], count: number, requester: string): readonly EntryRecord[] {
	const gateways = ownershipOrder(member, entries).slice(0, count);
	return ownershipOrder(`${member}\n${requester}`, gateways);
}

/** Returns the entries in the order in which they become gateways near a member: those in the member's data centre first, then those in its region, then the others; in rendezvous order at the same distance. The order is the same for all requesting entries. */
export function orderByDistance(member: string, dataCentre: string | undefined, entries: readonly EntryRecord[]): readonly EntryRecord[] {
	const region = entries.find(entry => entry.dataCentre === dataCentre && entry.region !== undefined)?.region;
	const distance = (entry: EntryRecord): number => {
		if (entry.dataCentre === dataCentre) {
			return 0;
		}

		return region !== undefined && entry.region === region ? 1 : 2;
	};

	return ownershipOrder(member, entries).toSorted((first, second) => distance(first) - distance(second));
}

/** Returns gateways near a member in the order in which the requesting entry tries them. Customers have an order each, so that their connections are concentrated in one gateway; without a customer, the order differs between requesting entries. */
export function orderGateways(member: string, gateways: readonly EntryRecord[], requester: string, customer: string | undefined): readonly EntryRecord[] {
	return ownershipOrder(customer === undefined ? `${member}\n${requester}` : `${member}\n\n${customer}`, gateways);
}
