/** Maximum number of prepared statements of a caller's session, which idle sessions keep in memory. */
export const maximumPreparedStatements = 1000;

/** Maximum total length of the names and definitions of a session's prepared statements, in characters: two of the longest messages of a caller. */
export const maximumPreparedLength = 2 * 1024 * 1024;

/** Numbers and total lengths of prepared statements, in characters. */
export type PreparedStatementLimit = {
	readonly count: number;
	readonly length: number;
};

/** What a connection to a member holds before its prepared statements are removed. */
export const connectionLimit: PreparedStatementLimit = {count: 100, length: 256 * 1024};

/** What a connection holds while a transaction is open, in which no prepared statements are removed: the limit outside of one, and another hundred statements or the longest definition. Less than a session may have, so that a gateway accepts all that an entry prepares on a relay. */
export const transactionLimit: PreparedStatementLimit = {count: 200, length: connectionLimit.length + (1024 * 1024)};
