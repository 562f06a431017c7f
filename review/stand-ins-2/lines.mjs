/** Splits the bytes of a socket into lines that end with CR LF. */
export class Lines {
	#rest = '';

	/** Adds bytes as Latin-1 text; returns the complete lines. */
	add(text) {
		const parts = (this.#rest + text).split('\r\n');
		this.#rest = parts.pop();
		return parts;
	}
}

/** Splits a text at blanks into at most `count` fields; the last one holds the rest. */
export function fieldsOf(text, count) {
	const fields = [];
	let rest = text;
	while (fields.length < count - 1 && rest.includes(' ')) {
		const end = rest.indexOf(' ');
		fields.push(rest.slice(0, end));
		rest = rest.slice(end + 1);
	}

	fields.push(rest);
	return fields;
}
