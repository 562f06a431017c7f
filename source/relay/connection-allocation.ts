import {ownershipOrder} from '../ownership/rendezvous.js';
import {type EntryRecord} from '../registry/messages.js';

/** Connections of a member that are left to control instances and to brief overlaps. */
const reservedConnections = 6;

/** An instance may exceed its share by this factor for a moment, since not all are busy at once. */
const surplusFactor = 2;

/** With a smaller share than this, one open transaction would keep an instance from the member. */
const smallestOwnShare = 2;

/** Gateways to a member in each data centre; two of them may be lost at once. */
const mostGateways = 3;

/** Connections that an instance without connections of its own may ask a gateway for at the same time. */
export const relayedConnections = 8;

/** What the connections of a member are shared by. */
export type ConnectionDemand = {
	/** Connections that the member accepts. */
	readonly connectionLimit: number;
	readonly entryCount: number;
	/** Data centres with entries. */
	readonly dataCentreCount: number;
};

/** How the entries share the connections of a member. */
export type ConnectionAllocation = {
	/** Connections of an entry that has its own. */
	readonly connections: number;
	/** Entries of each data centre that have connections of their own; undefined when all have. */
	readonly gateways: number | undefined;
};

/** Returns how the entries share the connections of a member: each has its own while they suffice, otherwise a few entries of each data centre pass statements on for the others. */
export function allocateConnections({connectionLimit, entryCount, dataCentreCount}: ConnectionDemand): ConnectionAllocation {
	const available = Math.max(1, connectionLimit - reservedConnections);
	const own = Math.floor(available / Math.max(1, entryCount));
	if (own >= smallestOwnShare || entryCount <= 1) {
		return {connections: Math.max(1, own) * surplusFactor, gateways: undefined};
	}

	const perDataCentre = available / Math.max(1, dataCentreCount);
	const gateways = Math.max(1, Math.min(mostGateways, Math.floor(perDataCentre / smallestOwnShare)));
	return {connections: Math.max(1, Math.floor(perDataCentre / gateways)), gateways};
}

/** Returns the entries of a data centre that have connections to the member, in an order in which the asking entry tries them; each one asks another gateway first, so that they share the load. */
export function gatewaysTo(member: string, entries: readonly EntryRecord[], count: number, asking: string): readonly EntryRecord[] {
	const gateways = ownershipOrder(member, entries).slice(0, count);
	return ownershipOrder(`${member}\n${asking}`, gateways);
}
