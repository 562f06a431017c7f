import {type Command} from './types.js';

/** Characters of files in one message and in one record; keeps both well within their longest size. */
export const charactersPerBatch = 2 * 1024 * 1024;

/** Returns the characters of files or documents that a command carries, which is nearly all of its size. */
export function fileCharacters(command: Command): number {
	if (command.kind === 'replaceRouting') {
		return command.document.length;
	}

	let characters = 0;
	for (const text of command.kind === 'apply' ? Object.values(command.files) : []) {
		characters += text.length;
	}

	return characters;
}

/** Returns the first commands or entries that fit into one batch; at least one. */
export function firstBatch<Item extends {readonly command: Command}>(items: readonly Item[]): readonly Item[] {
	let characters = 0;
	const end = items.findIndex(({command}, position) => {
		characters += fileCharacters(command);
		return position > 0 && characters > charactersPerBatch;
	});
	return end === -1 ? items : items.slice(0, end);
}
