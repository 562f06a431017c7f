/** Share of the connections to a member that is kept for statements outside transactions. They take milliseconds each, so that a few connections serve many of them. */
const statementShare = 0.1;

/** Smallest number of connections of which one can be kept for statements outside transactions. */
const minimumConnections = 2;

/**
Returns how many connections to a member may be in transactions at the same time.

Answers callers that rest inside transactions: they hold their connections until the idle limit ends them, for seconds, and statements outside transactions would wait as long.
*/
export function maximumTransactions(connectionLimit: number): number {
	if (connectionLimit < minimumConnections) {
		return connectionLimit;
	}

	return connectionLimit - Math.max(1, Math.floor(connectionLimit * statementShare));
}
