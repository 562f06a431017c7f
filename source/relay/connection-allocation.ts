import {ownershipOrder} from '../ownership/rendezvous.js';
import {type EntryRecord} from '../registry/messages.js';

/** Connections of a member that are reserved for control instances and for old connections that stay open briefly while new ones replace them. */
const reservedConnections = 6;

/** Factor by which an entry (an instance that accepts callers) may exceed its share of the connections; not all entries are busy at once. */
const oversubscriptionFactor = 2;

/** Smallest useful share of an entry: with a single connection, one open transaction would block all its other statements. */
const minimumConnectionsPerEntry = 2;

/** Maximum number of gateways (entries that relay statements for others) to a member in each data centre; with three, two may fail at once. */
const maximumGateways = 3;

/** Maximum number of relayed connections to a member that an instance without direct connections opens at the same time. */
export const maximumRelayedConnections = 8;

/** The connection limit of a member and the entries among which it is divided. */
export type ConnectionAllocationInput = {
	/** Maximum number of connections that the member accepts. */
	readonly connectionLimit: number;
	readonly entryCount: number;
	/** Number of data centres with entries. */
	readonly dataCentreCount: number;
};

/** Allocation of a member's connections to the entries. */
export type ConnectionAllocation = {
	/** Maximum number of direct connections of an entry that has any. */
	readonly connectionsPerEntry: number;
	/** Number of entries in each data centre that have direct connections and act as gateways; undefined when all entries have direct connections. */
	readonly gatewaysPerDataCentre: number | undefined;
};

/** Allocates the connections of a member to the entries. If there are enough, every entry has direct connections; otherwise a few gateways in each data centre relay statements for the others. */
export function allocateConnections({connectionLimit, entryCount, dataCentreCount}: ConnectionAllocationInput): ConnectionAllocation {
	const available = Math.max(1, connectionLimit - reservedConnections);
	const perEntry = Math.floor(available / Math.max(1, entryCount));
	if (perEntry >= minimumConnectionsPerEntry || entryCount <= 1) {
		return {connectionsPerEntry: Math.max(1, perEntry) * oversubscriptionFactor, gatewaysPerDataCentre: undefined};
	}

	const perDataCentre = available / Math.max(1, dataCentreCount);
	const gatewaysPerDataCentre = Math.max(1, Math.min(maximumGateways, Math.floor(perDataCentre / minimumConnectionsPerEntry)));
	return {connectionsPerEntry: Math.max(1, Math.floor(perDataCentre / gatewaysPerDataCentre)), gatewaysPerDataCentre};
}

/** Returns the gateways of a data centre to the member, in the order in which the requesting entry tries them. The order differs between requesting entries, which spreads the load over the gateways. */
export function selectGateways(member: string, entries: readonly EntryRecord[], count: number, requester: string): readonly EntryRecord[] {
	const gateways = ownershipOrder(member, entries).slice(0, count);
	return ownershipOrder(`${member}\n${requester}`, gateways);
}
