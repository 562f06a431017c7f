/** Kinds of tokens of a statement text. */
export type TokenKind = 'word' | 'quotedName' | 'string' | 'number' | 'symbol' | 'parameter';

/** One token. Words are in lower case; strings and quoted names are without their quotes. */
export type Token = {
	readonly kind: TokenKind;
	readonly text: string;
};

const asciiCharacterCount = 128;
const otherClass = 0;
const whitespaceClass = 1;
const letterClass = 2;
const digitClass = 3;
const asciiClasses = Uint8Array.from({length: asciiCharacterCount}, (unused, code) => classifyAsciiCharacter(String.fromCodePoint(code)));
const symbolTokens: readonly Token[] = Array.from({length: asciiCharacterCount}, (unused, code) => ({kind: 'symbol', text: String.fromCodePoint(code)}));

const dollarQuoteTag = /\$(?:[A-Za-z_\u{80}-\u{10FFFF}][\w\u{80}-\u{10FFFF}]*)?\$/vy;
// White space with a line break, and comments, between the parts of a continued string. The comment before the first line break is optional, not repeated: a repetition would make matching take exponential time.
const stringContinuation = /[ \t\f\v]*(?:--[^\n\r]*)?[\n\r](?:[ \t\n\r\f\v]|--[^\n\r]*[\n\r])*'/vy;
const commentDelimiter = /\/\*|\*\//gv;

function classifyAsciiCharacter(character: string): number {
	if (/[ \t\n\r\f\v]/v.test(character)) {
		return whitespaceClass;
	}

	if (/[A-Z_a-z]/v.test(character)) {
		return letterClass;
	}

	return /\d/v.test(character) ? digitClass : otherClass;
}

// Characters beyond ASCII are letters of names, as in the database server's lexer.
function characterClassAt(text: string, offset: number): number {
	const code = text.codePointAt(offset);
	return code === undefined || code < asciiCharacterCount ? asciiClasses[code ?? 0] : letterClass;
}

/**
Splits a statement text into tokens without comments and white space. Backslashes escape only in E'' strings.

The entry process scans texts of up to 16 MiB on its event loop, between the requests of other callers, so the scanner makes a single pass and allocates few objects.
*/
export class SqlScanner {
	#offset = 0;
	#isComplete = true;

	constructor(private readonly text: string) {}

	/** Whether every literal and comment scanned so far was terminated. */
	get isComplete(): boolean {
		return this.#isComplete;
	}

	/** Returns the next token, or undefined at the end of the text. */
	next(): Token | undefined {
		while (this.#offset < this.text.length) {
			const token = this.#scanToken();
			if (token) {
				return token;
			}
		}

		return undefined;
	}

	#scanToken(): Token | undefined {
		switch (characterClassAt(this.text, this.#offset)) {
			case whitespaceClass: {
				this.#offset++;
				return undefined;
			}

			case letterClass: {
				return this.#scanWord();
			}

			case digitClass: {
				return this.#scanNumber();
			}

			default: {
				return this.#scanOther();
			}
		}
	}

	#scanOther(): Token | undefined {
		const start = this.#offset;
		switch (this.text[start]) {
			case '\'': {
				return this.#scanQuoted('\'', 'string');
			}

			case '"': {
				return this.#scanQuoted('"', 'quotedName');
			}

			case '$': {
				return this.#scanParameterOrDollarQuote();
			}

			case '-':
			case '/': {
				return this.#scanCommentOrSymbol();
			}

			default: {
				return this.#scanSymbol();
			}
		}
	}

	#scanCommentOrSymbol(): Token | undefined {
		if (this.text.startsWith('--', this.#offset)) {
			this.#skipLineComment();
			return undefined;
		}

		if (this.text.startsWith('/*', this.#offset)) {
			this.#skipBlockComment();
			return undefined;
		}

		return this.#scanSymbol();
	}

	#scanSymbol(): Token {
		return symbolTokens[this.text.codePointAt(this.#offset++) ?? 0];
	}

	#scanWord(): Token | undefined {
		const start = this.#offset;
		let end = start + 1;
		while (characterClassAt(this.text, end) >= letterClass || this.text[end] === '$') {
			end++;
		}

		this.#offset = end;
		const name = this.text.slice(start, end);
		const isEscapeString = end - start === 1 && (name === 'e' || name === 'E') && this.text[end] === '\'';
		return isEscapeString ? this.#scanEscapeString() : {kind: 'word', text: lowerCaseAscii(name)};
	}

	// Consumes digits and points only: older database servers read "1into" as a number and a word.
	#scanNumber(): Token {
		const start = this.#offset;
		let end = start + 1;
		while (characterClassAt(this.text, end) === digitClass || this.text[end] === '.') {
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
		commentDelimiter.lastIndex = this.#offset;
		for (let delimiter = commentDelimiter.exec(this.text); delimiter; delimiter = commentDelimiter.exec(this.text)) {
			depth += delimiter[0] === '/*' ? 1 : -1;
			if (depth === 0) {
				this.#offset = commentDelimiter.lastIndex;
				return;
			}
		}

		this.#stopAtUnterminatedToken();
	}

	#scanQuoted(quote: string, kind: TokenKind): Token | undefined {
		const start = this.#offset + 1;
		let close = this.text.indexOf(quote, start);
		let doubled = false;
		while (close !== -1 && this.text[close + 1] === quote) {
			doubled = true;
			close = this.text.indexOf(quote, close + 2);
		}

		if (close === -1) {
			this.#stopAtUnterminatedToken();
			return undefined;
		}

		this.#offset = close + 1;
		const text = this.text.slice(start, close);
		return {kind, text: doubled ? text.replaceAll(quote + quote, quote) : text};
	}

	#scanEscapeString(): Token | undefined {
		const start = this.#offset + 1;
		let end = start;
		while (end < this.text.length) {
			if (this.text[end] === '\\' || (this.text[end] === '\'' && this.text[end + 1] === '\'')) {
				end += 2;
			} else if (this.text[end] === '\'') {
				// A string that is continued after a line break remains an escape string.
				stringContinuation.lastIndex = end + 1;
				if (!stringContinuation.test(this.text)) {
					this.#offset = end + 1;
					return {kind: 'string', text: this.text.slice(start, end)};
				}

				end = stringContinuation.lastIndex;
			} else {
				end++;
			}
		}

		this.#stopAtUnterminatedToken();
	}

	#scanParameterOrDollarQuote(): Token | undefined {
		const start = this.#offset;
		if (characterClassAt(this.text, start + 1) === digitClass) {
			let end = start + 2;
			while (characterClassAt(this.text, end) === digitClass) {
				end++;
			}

			this.#offset = end;
			return {kind: 'parameter', text: this.text.slice(start, end)};
		}

		dollarQuoteTag.lastIndex = start;
		const tag = dollarQuoteTag.exec(this.text)?.[0];
		if (tag === undefined) {
			return this.#scanSymbol();
		}

		const close = this.text.indexOf(tag, start + tag.length);
		if (close === -1) {
			this.#stopAtUnterminatedToken();
			return undefined;
		}

		this.#offset = close + tag.length;
		return {kind: 'string', text: this.text.slice(start + tag.length, close)};
	}

	#stopAtUnterminatedToken(): void {
		this.#isComplete = false;
		this.#offset = this.text.length;
	}
}

function lowerCaseAscii(text: string): string {
	return /[A-Z]/v.test(text) ? text.replaceAll(/[A-Z]+/gv, letters => letters.toLowerCase()) : text;
}
