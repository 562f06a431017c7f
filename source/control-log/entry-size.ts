import {type Command} from './types.js';

/** Limit on the characters of configuration files and routing documents in one batch, that is, in one message or log record; well below the size limits of a message and of a record. */
export const maximumBatchCharacters = 2 * 1024 * 1024;

/** Returns the number of characters of the files or the document in a command, which make up nearly all of its size. */
export function commandCharacters(command: Command): number {
	if (command.kind === 'replaceRouting') {
		return command.document.length;
	}

	let characters = 0;
	for (const text of command.kind === 'apply' ? Object.values(command.files) : []) {
		characters += text.length;
	}

	return characters;
}

/** Returns the longest prefix that fits into one batch, but at least one item. */
export function firstBatch<Item extends {readonly command: Command}>(items: readonly Item[]): readonly Item[] {
	let characters = 0;
	const end = items.findIndex(({command}, offset) => {
		characters += commandCharacters(command);
		return offset > 0 && characters > maximumBatchCharacters;
	});
	return end === -1 ? items : items.slice(0, end);
}
