import {sessionStatementLimit, sessionVariableLimit, type TextLimit} from '../statement/statement-limits.js';
import {type PreparedStatementDefinition} from '../statement/types.js';
import {BoundedMap} from './bounded-map.js';

/** Session variables and prepared statements of a caller. They are set on each pooled connection that executes a statement of the caller. */
export class CallerSessionState {
	/** Values of session variables by name. */
	readonly variables: BoundedMap<string>;
	/** Prepared statements by the name that the caller gave them. */
	readonly preparedStatements: BoundedMap<PreparedStatementDefinition>;

	/** The limits are those of a caller's session unless the function changes them. */
	constructor(limitOf = (sessionLimit: TextLimit): TextLimit => sessionLimit) {
		this.variables = new BoundedMap(limitOf(sessionVariableLimit), value => value.length);
		this.preparedStatements = new BoundedMap(limitOf(sessionStatementLimit), ({shape}) => shape.length);
	}
}
