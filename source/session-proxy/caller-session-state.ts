import {maximumPreparedLength, maximumPreparedStatements} from '../statement/statement-limits.js';
import {type PreparedStatementDefinition} from '../statement/types.js';

/** Session variables and prepared statements of a caller. They are set on each pooled connection that executes a statement of the caller. */
export class CallerSessionState {
	/** Values of session variables by name. */
	readonly variables = new Map<string, string>();
	readonly #definitions = new Map<string, PreparedStatementDefinition>();
	#preparedLength = 0;

	/** Returns the definition of the prepared statement to which the caller gave the name. */
	definitionOf(name: string): PreparedStatementDefinition | undefined {
		return this.#definitions.get(name);
	}

	/** Adds or replaces a prepared statement. Returns false, and changes nothing, if the session would have too many or too long ones. */
	prepare(name: string, definition: PreparedStatementDefinition): boolean {
		const replaced = this.#definitions.get(name);
		const count = this.#definitions.size + (replaced ? 0 : 1);
		const length = this.#preparedLength + preparedLength(name, definition) - (replaced ? preparedLength(name, replaced) : 0);
		if (count > maximumPreparedStatements || length > maximumPreparedLength) {
			return false;
		}

		this.#definitions.set(name, definition);
		this.#preparedLength = length;
		return true;
	}

	/** Removes a prepared statement. Returns whether there was one. */
	deallocate(name: string): boolean {
		const definition = this.#definitions.get(name);
		if (!definition) {
			return false;
		}

		this.#preparedLength -= preparedLength(name, definition);
		return this.#definitions.delete(name);
	}

	/** Removes all variables and prepared statements. */
	clear(): void {
		this.variables.clear();
		this.#definitions.clear();
		this.#preparedLength = 0;
	}
}

function preparedLength(name: string, {shape}: PreparedStatementDefinition): number {
	return name.length + shape.length;
}
