import {type PreparedShape} from '../statement/types.js';

/** What a caller has set up in its session, or what a member connection holds of it. */
export class CallerSessionState {
	readonly variables = new Map<string, string>();
	readonly preparedStatements = new Map<string, PreparedShape>();
}

/** Returns the name under which connections hold a prepared statement; statements of one shape share it. */
export function pooledStatementName({access, shape}: PreparedShape): string {
	return `${access === 'read' ? 'r' : 'w'}_${shape}`;
}
