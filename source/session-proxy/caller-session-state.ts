import {type PreparedStatementDefinition} from '../statement/types.js';

/** Session variables and prepared statements of a caller. They are set on each pooled connection that executes a statement of the caller. */
export class CallerSessionState {
	/** Values of session variables by name. */
	readonly variables = new Map<string, string>();
	/** Prepared statements by the name that the caller gave them. */
	readonly preparedStatements = new Map<string, PreparedStatementDefinition>();
}

/** Returns the name of a prepared statement on pooled connections. Statements with the same access and shape share one name, whatever names the callers gave them. */
export function pooledStatementName({access, shape}: PreparedStatementDefinition): string {
	return `${access === 'read' ? 'r' : 'w'}_${shape}`;
}
