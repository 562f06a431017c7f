import {type PreparedStatementDefinition} from '../statement/types.js';

/** Texts that a member reads as one word, also those that split lines at other white space than blanks. */
const wordPattern = /^[!-~]{1,256}$/v;

/** Returns the name that a gateway of an earlier build gives to a prepared statement, whatever name the entry sends; undefined if a member would not read it as one word. */
export function earlierStatementName({access, shape}: PreparedStatementDefinition): string | undefined {
	const name = `${access === 'read' ? 'r' : 'w'}_${shape}`;
	return wordPattern.test(name) ? name : undefined;
}
