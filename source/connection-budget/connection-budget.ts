/** Control instances keep at most one of so many connections of a member, so that most of a small limit serves callers. */
const connectionsForEachControlConnection = 4;

/** Smallest connection limit of which one connection is left for old ones that stay open briefly while new ones replace them. */
const smallestLimitWithReplacement = 4;

/** The connection limit of a member and the fleet that shares it. */
export type ConnectionBudgetInput = {
	/** Maximum number of connections that the member accepts from all instances together. */
	readonly connectionLimit: number;
	/** Number of control instances. */
	readonly controlCount: number;
};

/** Division of the connections of a member. The parts never exceed the limit together. */
export type ConnectionBudget = {
	/** Control instances that keep a connection. With 0, the leader connects briefly, in the pauses of the entries' last connection. */
	readonly controlConnections: number;
	/** Connections left for old ones that stay open briefly while new ones replace them. */
	readonly replacementConnections: number;
	/** Connections of all entries; at least one. */
	readonly entryConnections: number;
	/** Whether not all control instances keep a connection. */
	readonly isScarce: boolean;
};

/** Divides the connections of a member between control instances and entries. All instances that open connections follow this division. */
export function divideConnections({connectionLimit, controlCount}: ConnectionBudgetInput): ConnectionBudget {
	const mostControls = connectionLimit < 2 ? 0 : Math.max(1, Math.floor(connectionLimit / connectionsForEachControlConnection));
	const controlConnections = Math.min(controlCount, mostControls);
	const replacementConnections = connectionLimit < smallestLimitWithReplacement ? 0 : 1;
	return {
		controlConnections,
		replacementConnections,
		entryConnections: Math.max(1, connectionLimit - controlConnections - replacementConnections),
		isScarce: controlConnections < controlCount,
	};
}

/** Returns the least connection limit with which all control instances keep a connection and each entry has two, so that no statement waits for another instance. */
export function leastAmpleLimit(controlCount: number, entryCount: number): number {
	return Math.max(controlCount * connectionsForEachControlConnection, controlCount + 1 + (2 * entryCount));
}
