import {type PreparedShape} from '../statement/types.js';

/** Session variables and prepared statements of a caller. */
export class CallerSessionState {
	/** Values of session variables by name. */
	readonly variables = new Map<string, string>();
	/** Prepared statements by the name that the caller gave them. */
	readonly preparedStatements = new Map<string, PreparedShape>();
}

/** Returns the name of a prepared statement on pooled connections. Statements with the same access and shape share one name, whatever callers call them. */
export function pooledStatementName({access, shape}: PreparedShape): string {
	return `${access === 'read' ? 'r' : 'w'}_${shape}`;
}
