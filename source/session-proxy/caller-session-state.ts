import {preparedStatementLimit, variableLimit} from '../statement/statement-limits.js';
import {type PreparedStatementDefinition} from '../statement/types.js';
import {BoundedMap} from './bounded-map.js';

/** Session variables and prepared statements of a caller. They are set on each pooled connection that executes a statement of the caller. */
export class CallerSessionState {
	/** Values of session variables by name. */
	readonly variables = new BoundedMap<string>(variableLimit, value => value.length);
	/** Prepared statements by the name that the caller gave them. */
	readonly preparedStatements = new BoundedMap<PreparedStatementDefinition>(preparedStatementLimit, ({shape}) => shape.length);
}
