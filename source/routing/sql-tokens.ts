/** Kinds of tokens of a statement text. */
export type TokenKind = 'word' | 'quotedName' | 'string' | 'number' | 'symbol' | 'parameter';

/** One token; words are in lower case, strings and quoted names without their quotes. */
export type Token = {
	readonly kind: TokenKind;
	readonly text: string;
};

/** Tokens of a text; incomplete when a literal or a comment has no end. */
export type TokenList = {
	readonly tokens: readonly Token[];
	readonly complete: boolean;
};

type Step = {
	readonly end: number;
	readonly token?: Token;
	readonly incomplete?: boolean;
};

// White space and names as the server's lexer defines them: any byte beyond ASCII belongs to a name.
const space = /[ \t\n\r\f\v]+/vy;
const lineComment = /--[^\n\r]*/vy;
const word = /[A-Za-z_\u{80}-\u{10FFFF}][\w$\u{80}-\u{10FFFF}]*/vy;
// Digits only: older servers read "1into" as a number and a word.
const numeral = /\d[\d.]*/vy;
const parameter = /\$\d+/vy;
const dollarTag = /\$(?:[A-Za-z_\u{80}-\u{10FFFF}][\w\u{80}-\u{10FFFF}]*)?\$/vy;
const continuation = /(?:[ \t\f\v]|--[^\n\r]*)*[\n\r](?:[ \t\n\r\f\v]|--[^\n\r]*[\n\r])*'/vy;

/** Splits a statement text into tokens without comments and white space. Backslashes escape only in E'' strings. */
export function tokenize(text: string): TokenList {
	const tokens: Token[] = [];
	let offset = 0;
	while (offset < text.length) {
		const step = nextStep(text, offset);
		if (step.token) {
			tokens.push(step.token);
		}

		if (step.incomplete) {
			return {tokens, complete: false};
		}

		offset = step.end;
	}

	return {tokens, complete: true};
}

function nextStep(text: string, offset: number): Step {
	const skipped = matchAt(space, text, offset) ?? matchAt(lineComment, text, offset);
	if (skipped !== undefined) {
		return {end: offset + skipped.length};
	}

	if (text.startsWith('/*', offset)) {
		return blockComment(text, offset);
	}

	if (text[offset] === '\'') {
		return quoted(text, offset, '\'', 'string');
	}

	if (text[offset] === '"') {
		return quoted(text, offset, '"', 'quotedName');
	}

	return text[offset] === '$' ? dollarStep(text, offset) : plainStep(text, offset);
}

function plainStep(text: string, offset: number): Step {
	const name = matchAt(word, text, offset);
	if (name !== undefined) {
		const end = offset + name.length;
		const isEscapeString = name.length === 1 && name.toLowerCase() === 'e' && text[end] === '\'';
		return isEscapeString ? escapeString(text, end) : {end, token: {kind: 'word', text: lowerCaseAscii(name)}};
	}

	const digits = matchAt(numeral, text, offset);
	if (digits !== undefined) {
		return {end: offset + digits.length, token: {kind: 'number', text: digits}};
	}

	return {end: offset + 1, token: {kind: 'symbol', text: text[offset]}};
}

function dollarStep(text: string, offset: number): Step {
	const number = matchAt(parameter, text, offset);
	if (number !== undefined) {
		return {end: offset + number.length, token: {kind: 'parameter', text: number}};
	}

	const tag = matchAt(dollarTag, text, offset);
	if (tag === undefined) {
		return {end: offset + 1, token: {kind: 'symbol', text: '$'}};
	}

	const start = offset + tag.length;
	const close = text.indexOf(tag, start);
	return close === -1 ? {end: text.length, incomplete: true} : {end: close + tag.length, token: {kind: 'string', text: text.slice(start, close)}};
}

function blockComment(text: string, start: number): Step {
	let depth = 1;
	let offset = start + 2;
	while (depth > 0) {
		const close = text.indexOf('*/', offset);
		if (close === -1) {
			return {end: text.length, incomplete: true};
		}

		const open = text.indexOf('/*', offset);
		const nested = open !== -1 && open < close;
		depth += nested ? 1 : -1;
		offset = (nested ? open : close) + 2;
	}

	return {end: offset};
}

function quoted(text: string, start: number, quote: string, kind: TokenKind): Step {
	let offset = start + 1;
	for (;;) {
		const close = text.indexOf(quote, offset);
		if (close === -1) {
			return {end: text.length, incomplete: true};
		}

		if (text[close + 1] !== quote) {
			return {end: close + 1, token: {kind, text: text.slice(start + 1, close).replaceAll(quote + quote, quote)}};
		}

		offset = close + 2;
	}
}

function escapeString(text: string, start: number): Step {
	for (let offset = start + 1; offset < text.length; offset++) {
		if (text[offset] === '\\') {
			offset++;
		} else if (text[offset] === '\'') {
			if (text[offset + 1] === '\'') {
				offset++;
				continue;
			}

			// A string that goes on after a line break keeps its escapes.
			const joined = matchAt(continuation, text, offset + 1);
			if (joined === undefined) {
				return {end: offset + 1, token: {kind: 'string', text: text.slice(start + 1, offset)}};
			}

			offset += joined.length;
		}
	}

	return {end: text.length, incomplete: true};
}

function matchAt(pattern: RegExp, text: string, offset: number): string | undefined {
	pattern.lastIndex = offset;
	return pattern.exec(text)?.[0];
}

function lowerCaseAscii(text: string): string {
	return text.replaceAll(/[A-Z]+/gv, letters => letters.toLowerCase());
}
