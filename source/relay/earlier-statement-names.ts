import {type PreparedStatementDefinition} from '../statement/types.js';

/** Maximum length of a name that a gateway of an earlier build makes, since its line holds the definition twice. */
const maximumNameLength = 500_000;

/** Returns the name that a gateway of an earlier build gives to a prepared statement, whatever name the entry sends; undefined if a member would not read it as one word. */
export function earlierStatementName({access, shape}: PreparedStatementDefinition): string | undefined {
	const name = `${access === 'read' ? 'r' : 'w'}_${shape}`;
	return name.includes(' ') || name.length > maximumNameLength ? undefined : name;
}
