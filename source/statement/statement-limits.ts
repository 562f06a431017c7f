/** Number of texts, and their total length in characters. */
export type TextLimit = {
	readonly count: number;
	readonly length: number;
};

/** Length of the longest message of a caller. */
const maximumMessageLength = 1024 * 1024;

/** Prepared statements of a session with their names, which idle sessions keep in memory: two of the longest definitions. */
export const sessionStatementLimit: TextLimit = {count: 1000, length: 2 * maximumMessageLength};

/** Variables of a session with their names, which are set anew on each connection that a session uses. */
export const sessionVariableLimit: TextLimit = {count: 100, length: maximumMessageLength};

/** Returns the limit of a relay in place of that of a session. An entry changes the variables of a relay one after the other, so that the old value of one and the new value of another one add up. */
export function relayLimit({count, length}: TextLimit): TextLimit {
	return {count: 2 * count, length: 2 * length};
}

/** Definitions that a connection to a member holds before they are removed. Callers share a connection, and each removal costs a round trip for every definition that is still in use. */
export const connectionStatementLimit: TextLimit = {count: 256, length: 512 * 1024};

/** Definitions that a connection holds while a transaction is open, in which none are removed: the limit outside of one, and further ones of the transaction or the longest definition. Fewer than a session may have, so that a gateway accepts all that an entry prepares on a relay. */
export const transactionStatementLimit: TextLimit = {count: 400, length: connectionStatementLimit.length + maximumMessageLength};
