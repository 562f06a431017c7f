const markPattern = /\/\*caller (?<mark>[\w.\-]+)\*\//v;

/** Returns the comment with which a test caller marks a statement. The mark names its session and, within a transaction, the transaction. */
export function formatCallerMark(mark: string): string {
	return `/*caller ${mark}*/`;
}

/** Returns the mark of a statement; undefined without one, for example for a statement of the proxy itself. */
export function parseCallerMark(text: string): string | undefined {
	return markPattern.exec(text)?.groups?.mark;
}

/** Returns the text without its mark. */
export function withoutCallerMark(text: string): string {
	return text.replace(markPattern, '');
}
