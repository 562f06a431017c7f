/** Kinds of tokens of a statement text. */
export type TokenKind = 'word' | 'quotedName' | 'string' | 'number' | 'symbol' | 'parameter';

/** One token; words are in lower case, strings and quoted names without their quotes. */
export type Token = {
	readonly kind: TokenKind;
	readonly text: string;
};

const asciiLimit = 128;
const other = 0;
const space = 1;
const letter = 2;
const digit = 3;
const asciiClasses = Uint8Array.from({length: asciiLimit}, (unused, code) => asciiClass(String.fromCodePoint(code)));
const symbolTokens: readonly Token[] = Array.from({length: asciiLimit}, (unused, code) => ({kind: 'symbol', text: String.fromCodePoint(code)}));

const dollarTag = /\$(?:[A-Za-z_\u{80}-\u{10FFFF}][\w\u{80}-\u{10FFFF}]*)?\$/vy;
// A comment before the line break reaches up to it, so there is at most one; a repetition here would take exponential time.
const continuation = /[ \t\f\v]*(?:--[^\n\r]*)?[\n\r](?:[ \t\n\r\f\v]|--[^\n\r]*[\n\r])*'/vy;
const commentMark = /\/\*|\*\//gv;

function asciiClass(character: string): number {
	if (/[ \t\n\r\f\v]/v.test(character)) {
		return space;
	}

	if (/[A-Z_a-z]/v.test(character)) {
		return letter;
	}

	return /\d/v.test(character) ? digit : other;
}

// Anything beyond ASCII belongs to a name, as in the server's lexer.
function classAt(text: string, offset: number): number {
	const code = text.codePointAt(offset);
	return code === undefined || code < asciiLimit ? asciiClasses[code ?? 0] : letter;
}

/**
Splits a statement text into tokens without comments and white space. Backslashes escape only in E'' strings.

The entry scans texts of up to 16 MiB between other callers' requests, so the scanner makes one pass and few objects.
*/
export class SqlScanner {
	#offset = 0;
	#complete = true;

	constructor(private readonly text: string) {}

	/** Whether every literal and comment so far had its end. */
	get complete(): boolean {
		return this.#complete;
	}

	/** Returns the next token, or undefined at the end of the text. */
	next(): Token | undefined {
		while (this.#offset < this.text.length) {
			const token = this.#step();
			if (token) {
				return token;
			}
		}

		return undefined;
	}

	#step(): Token | undefined {
		switch (classAt(this.text, this.#offset)) {
			case space: {
				this.#offset++;
				return undefined;
			}

			case letter: {
				return this.#word();
			}

			case digit: {
				return this.#number();
			}

			default: {
				return this.#other();
			}
		}
	}

	#other(): Token | undefined {
		const start = this.#offset;
		switch (this.text[start]) {
			case '\'': {
				return this.#quoted('\'', 'string');
			}

			case '"': {
				return this.#quoted('"', 'quotedName');
			}

			case '$': {
				return this.#dollar();
			}

			case '-':
			case '/': {
				return this.#commentOrSymbol();
			}

			default: {
				return this.#symbol();
			}
		}
	}

	#commentOrSymbol(): Token | undefined {
		if (this.text.startsWith('--', this.#offset)) {
			this.#skipLineComment();
			return undefined;
		}

		if (this.text.startsWith('/*', this.#offset)) {
			this.#skipBlockComment();
			return undefined;
		}

		return this.#symbol();
	}

	#symbol(): Token {
		return symbolTokens[this.text.codePointAt(this.#offset++) ?? 0];
	}

	#word(): Token | undefined {
		const start = this.#offset;
		let end = start + 1;
		while (classAt(this.text, end) >= letter || this.text[end] === '$') {
			end++;
		}

		this.#offset = end;
		const name = this.text.slice(start, end);
		const isEscapeString = end - start === 1 && (name === 'e' || name === 'E') && this.text[end] === '\'';
		return isEscapeString ? this.#escapeString() : {kind: 'word', text: lowerCaseAscii(name)};
	}

	// Digits and points only: older servers read "1into" as a number and a word.
	#number(): Token {
		const start = this.#offset;
		let end = start + 1;
		while (classAt(this.text, end) === digit || this.text[end] === '.') {
			end++;
		}

		this.#offset = end;
		return {kind: 'number', text: this.text.slice(start, end)};
	}

	#skipLineComment(): void {
		let end = this.#offset;
		while (end < this.text.length && this.text[end] !== '\n' && this.text[end] !== '\r') {
			end++;
		}

		this.#offset = end;
	}

	#skipBlockComment(): void {
		let depth = 0;
		commentMark.lastIndex = this.#offset;
		for (let mark = commentMark.exec(this.text); mark; mark = commentMark.exec(this.text)) {
			depth += mark[0] === '/*' ? 1 : -1;
			if (depth === 0) {
				this.#offset = commentMark.lastIndex;
				return;
			}
		}

		this.#stopIncomplete();
	}

	#quoted(quote: string, kind: TokenKind): Token | undefined {
		const start = this.#offset + 1;
		let close = this.text.indexOf(quote, start);
		let doubled = false;
		while (close !== -1 && this.text[close + 1] === quote) {
			doubled = true;
			close = this.text.indexOf(quote, close + 2);
		}

		if (close === -1) {
			this.#stopIncomplete();
			return undefined;
		}

		this.#offset = close + 1;
		const text = this.text.slice(start, close);
		return {kind, text: doubled ? text.replaceAll(quote + quote, quote) : text};
	}

	#escapeString(): Token | undefined {
		const start = this.#offset + 1;
		let end = start;
		while (end < this.text.length) {
			if (this.text[end] === '\\' || (this.text[end] === '\'' && this.text[end + 1] === '\'')) {
				end += 2;
			} else if (this.text[end] === '\'') {
				// A string that goes on after a line break keeps its escapes.
				continuation.lastIndex = end + 1;
				if (!continuation.test(this.text)) {
					this.#offset = end + 1;
					return {kind: 'string', text: this.text.slice(start, end)};
				}

				end = continuation.lastIndex;
			} else {
				end++;
			}
		}

		this.#stopIncomplete();
	}

	#dollar(): Token | undefined {
		const start = this.#offset;
		if (classAt(this.text, start + 1) === digit) {
			let end = start + 2;
			while (classAt(this.text, end) === digit) {
				end++;
			}

			this.#offset = end;
			return {kind: 'parameter', text: this.text.slice(start, end)};
		}

		dollarTag.lastIndex = start;
		const tag = dollarTag.exec(this.text)?.[0];
		if (tag === undefined) {
			return this.#symbol();
		}

		const close = this.text.indexOf(tag, start + tag.length);
		if (close === -1) {
			this.#stopIncomplete();
			return undefined;
		}

		this.#offset = close + tag.length;
		return {kind: 'string', text: this.text.slice(start + tag.length, close)};
	}

	#stopIncomplete(): void {
		this.#complete = false;
		this.#offset = this.text.length;
	}
}

function lowerCaseAscii(text: string): string {
	return /[A-Z]/v.test(text) ? text.replaceAll(/[A-Z]+/gv, letters => letters.toLowerCase()) : text;
}
