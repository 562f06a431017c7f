import {type Access} from '../pool/messages.js';
import {infixWords, readOnlyFunctions, reservedBeforeBracket} from './read-only-functions.js';
import {SqlScanner, type Token} from './sql-tokens.js';

/** What one statement does, as far as routing needs it. */
export type ClassifiedStatement =
	| {readonly kind: 'empty' | 'read' | 'write' | 'savepoint' | 'discardAll'}
	/** End of a transaction; it chains when another one begins at once. */
	| {readonly kind: 'commit' | 'rollback'; readonly chains: boolean}
	| {readonly kind: 'begin'; readonly readOnly: boolean}
	/** Session setting; a value of null restores the default, a name of null all of them. */
	| {readonly kind: 'set'; readonly name: string | null; readonly value: string | null}
	/** Setting that ends with the transaction; it weakens when it may turn a read-only transaction into a writing one. */
	| {readonly kind: 'setLocal'; readonly name: string; readonly weakens: boolean}
	| {readonly kind: 'show'; readonly name: string}
	| {readonly kind: 'deallocate'; readonly name: string | null}
	| {readonly kind: 'unsupported'; readonly feature: string};

/** What the statements of one forwarding unit do together. */
export type UnitClassification = {
	readonly access: Access;
	/** Whether a statement other than transaction control may write. */
	readonly writes: boolean;
	readonly begins: boolean;
	/** Whether the only transaction that the unit begins is read-only. */
	readonly beginsReadOnly: boolean;
	/** Whether the unit may commit something, also by a statement of its own behind a ROLLBACK. */
	readonly commits: boolean;
	/** Whether a block that is open or begun is closed after the unit. */
	readonly ends: boolean;
	/** Whether the unit holds exactly one statement, which begins a transaction. */
	readonly isBeginAlone: boolean;
};

/** Classifies the statements of a query text; what is not surely a read is a write. */
export function classifyStatements(text: string): readonly ClassifiedStatement[] {
	const scanner = new SqlScanner(text);
	const statements: ScannedStatement[] = [];
	let current = new ScannedStatement();
	for (let token = scanner.next(); token; token = scanner.next()) {
		if (token.kind === 'symbol' && token.text === ';') {
			statements.push(current);
			current = new ScannedStatement();
		} else {
			current.add(token);
		}
	}

	if (!scanner.complete) {
		return [{kind: 'write'}];
	}

	const filled = [...statements, current].filter(({tokens}) => tokens.length > 0);
	return filled.length > 0 ? filled.map(statement => classifyStatement(statement)) : [{kind: 'empty'}];
}

// Bounds the memory for a statement with very many values; such a statement counts as a write.
const largestTokenCount = 50_000;

/** Tokens of one statement, up to the limit. */
class ScannedStatement {
	readonly tokens: Token[] = [];
	truncated = false;
	refusedFunction: string | undefined;
	#previous: Token | undefined;

	add(token: Token): void {
		if (isSymbol(token, '(') && this.#previous?.kind !== 'string' && refusedFunctions.has(this.#previous?.text ?? '')) {
			this.refusedFunction = this.#previous?.text;
		}

		this.#previous = token;
		if (this.tokens.length < largestTokenCount) {
			this.tokens.push(token);
		} else {
			this.truncated = true;
		}
	}
}

/** Returns what statements do as one unit; the access is that of the strongest. */
export function classifyUnit(statements: readonly ClassifiedStatement[]): UnitClassification {
	const begins = statements.filter(statement => statement.kind === 'begin');
	const beginsReadOnly = begins.length === 1 && begins[0].readOnly;
	return {
		access: statements.every(statement => isRead(statement, beginsReadOnly)) ? 'read' : 'write',
		writes: statements.some(statement => !controlKinds.has(statement.kind) && !isRead(statement, false)),
		begins: begins.length > 0,
		beginsReadOnly,
		commits: statements.some(({kind}) => kind === 'commit' || (kind === 'rollback' && statements.length > 1)),
		ends: endsBlock(statements),
		isBeginAlone: begins.length === 1 && statements.length === 1,
	};
}

function endsBlock(statements: readonly ClassifiedStatement[]): boolean {
	const last = statements.findLast(({kind}) => kind === 'begin' || kind === 'commit' || kind === 'rollback');
	return (last?.kind === 'commit' || last?.kind === 'rollback') && !last.chains;
}

const controlKinds: ReadonlySet<ClassifiedStatement['kind']> = new Set(['begin', 'commit', 'rollback', 'savepoint']);
const alwaysRead: ReadonlySet<ClassifiedStatement['kind']> = new Set(['read', 'show', 'empty', 'savepoint', 'rollback']);

function isRead(statement: ClassifiedStatement, beginsReadOnly: boolean): boolean {
	if (statement.kind === 'begin') {
		return statement.readOnly;
	}

	if (statement.kind === 'setLocal') {
		return !statement.weakens;
	}

	return alwaysRead.has(statement.kind) || (statement.kind === 'commit' && beginsReadOnly);
}

type Classifier = (tokens: readonly Token[]) => ClassifiedStatement;

const refuse = (feature: string): Classifier => () => ({kind: 'unsupported', feature});
const same = (statement: ClassifiedStatement): Classifier => () => statement;

const classifiers: Readonly<Record<string, Classifier>> = {
	select: classifyRead,
	with: classifyRead,
	values: classifyRead,
	table: classifyRead,
	explain: classifyExplain,
	begin: classifyBegin,
	start: classifyBegin,
	commit: classifyCommit,
	end: classifyCommit,
	rollback: classifyRollback,
	abort: classifyRollback,
	savepoint: same({kind: 'savepoint'}),
	release: same({kind: 'savepoint'}),
	set: classifySet,
	reset: classifyReset,
	show: tokens => ({kind: 'show', name: settingName(tokens.slice(1))}),
	discard: tokens => isWord(tokens[1], 'all') ? {kind: 'discardAll'} : {kind: 'unsupported', feature: 'DISCARD of parts'},
	deallocate: classifyDeallocate,
	declare: classifyDeclare,
	fetch: same({kind: 'read'}),
	move: same({kind: 'read'}),
	close: same({kind: 'read'}),
	copy: refuse('COPY'),
	listen: refuse('LISTEN'),
	unlisten: refuse('UNLISTEN'),
	load: refuse('LOAD'),
	prepare: refuse('PREPARE as a statement'),
	execute: refuse('EXECUTE as a statement'),
	create: classifyCreate,
};

// The first changes the session of a shared connection, the others are how pools control a group.
const refusedFunctions: ReadonlySet<string> = new Set(['set_config', 'group_lease', 'group_release', 'group_promise', 'group_promote', 'group_follow']);

function classifyStatement({tokens, truncated, refusedFunction}: ScannedStatement): ClassifiedStatement {
	if (refusedFunction !== undefined) {
		return {kind: 'unsupported', feature: refusedFunction};
	}

	// A statement may stand in brackets: (SELECT 1) UNION (SELECT 2).
	const first = tokens.find(token => token.text !== '(' || token.kind !== 'symbol');
	const classifier = first?.kind === 'word' && Object.hasOwn(classifiers, first.text) ? classifiers[first.text] : undefined;
	const statement = classifier?.(tokens) ?? {kind: 'write'};
	return truncated && statement.kind === 'read' ? {kind: 'write'} : statement;
}

const writingWords = new Set(['insert', 'update', 'delete', 'merge', 'into', 'truncate', 'copy']);
const lockingWords = new Set(['update', 'share', 'no', 'key']);

function classifyRead(tokens: readonly Token[]): ClassifiedStatement {
	if (intoTemporary(tokens)) {
		return {kind: 'unsupported', feature: 'temporary tables'};
	}

	for (const [index, token] of tokens.entries()) {
		const next = tokens[index + 1];
		const locks = isWord(token, 'for') && next?.kind === 'word' && lockingWords.has(next.text);
		if (locks || (token.kind === 'word' && writingWords.has(token.text)) || maySideEffect(tokens, index)) {
			return {kind: 'write'};
		}
	}

	return {kind: 'read'};
}

function maySideEffect(tokens: readonly Token[], index: number): boolean {
	const token = tokens[index];
	if (!isSymbol(tokens[index + 1], '(') || (token.kind !== 'word' && token.kind !== 'quotedName')) {
		return false;
	}

	const before = tokens[index - 1];
	// A column list or a type follows AS, a column list follows the name of a common table expression.
	if (isWord(before, 'as') || isWord(before, 'recursive') || (isWord(before, 'with') && index === 1)) {
		return false;
	}

	if (token.kind === 'quotedName' || (isSymbol(before, '.') && !isWord(tokens[index - 2], 'pg_catalog'))) {
		return true;
	}

	return !readOnlyFunctions.has(token.text) && !reservedBeforeBracket.has(token.text) && !isInfix(token, before);
}

function isInfix(token: Token, before: Token | undefined): boolean {
	if (isWord(token, 'by')) {
		return isWord(before, 'group') || isWord(before, 'order') || isWord(before, 'partition');
	}

	return infixWords.has(token.text) && before !== undefined && endsOperand(before);
}

function endsOperand(token: Token): boolean {
	return token.kind === 'symbol' ? token.text === ')' : token.kind !== 'word' || (token.text !== 'by' && !reservedBeforeBracket.has(token.text));
}

function intoTemporary(tokens: readonly Token[]): boolean {
	return tokens.some((token, index) => isWord(token, 'into') && isTemporary(tokens[index + 1]));
}

function isTemporary(token: Token | undefined): boolean {
	return isWord(token, 'temp') || isWord(token, 'temporary');
}

function classifyExplain(tokens: readonly Token[]): ClassifiedStatement {
	const runs = tokens.some(token => isWord(token, 'analyze') || isWord(token, 'analyse'));
	return {kind: runs ? 'write' : 'read'};
}

function classifyBegin(tokens: readonly Token[]): ClassifiedStatement {
	const words = tokens.map(token => token.text);
	return {kind: 'begin', readOnly: words.some((text, index) => text === 'read' && words[index + 1] === 'only') && !isReadWrite(tokens)};
}

function isReadWrite(tokens: readonly Token[]): boolean {
	return tokens.some((token, index) => isWord(token, 'read') && isWord(tokens[index + 1], 'write'));
}

function classifyCommit(tokens: readonly Token[]): ClassifiedStatement {
	return isWord(tokens[1], 'prepared') ? {kind: 'unsupported', feature: 'two-phase commit'} : {kind: 'commit', chains: chains(tokens)};
}

function classifyRollback(tokens: readonly Token[]): ClassifiedStatement {
	if (isWord(tokens[1], 'prepared')) {
		return {kind: 'unsupported', feature: 'two-phase commit'};
	}

	return tokens.some(token => isWord(token, 'to')) ? {kind: 'savepoint'} : {kind: 'rollback', chains: chains(tokens)};
}

function chains(tokens: readonly Token[]): boolean {
	return isWord(tokens.at(-1), 'chain') && !isWord(tokens.at(-2), 'no');
}

function classifyDeallocate(tokens: readonly Token[]): ClassifiedStatement {
	const name = isWord(tokens[1], 'prepare') && tokens.length > 2 ? tokens[2] : tokens[1];
	return {kind: 'deallocate', name: !name || isWord(name, 'all') ? null : name.text};
}

function classifyDeclare(tokens: readonly Token[]): ClassifiedStatement {
	const holds = tokens.some((token, index) => isWord(token, 'with') && isWord(tokens[index + 1], 'hold'));
	if (holds) {
		return {kind: 'unsupported', feature: 'cursors WITH HOLD'};
	}

	const query = tokens.findIndex(token => isWord(token, 'for'));
	return query === -1 ? {kind: 'write'} : classifyRead(tokens.slice(query + 1));
}

const wordsBeforeKind = new Set(['or', 'replace', 'local', 'global']);

function classifyCreate(tokens: readonly Token[]): ClassifiedStatement {
	const kind = tokens.slice(1).find(token => !wordsBeforeKind.has(token.text));
	return isTemporary(kind) ? {kind: 'unsupported', feature: 'temporary tables'} : {kind: 'write'};
}

function classifyReset(tokens: readonly Token[]): ClassifiedStatement {
	return {kind: 'set', name: isWord(tokens[1], 'all') ? null : settingName(tokens.slice(1)), value: null};
}

const refusedLocally = new Set(['synchronous_commit', 'session_replication_role']);

function classifySet(tokens: readonly Token[]): ClassifiedStatement {
	const local = isWord(tokens[1], 'local');
	const rest = tokens.slice(local || isWord(tokens[1], 'session') ? 2 : 1);
	if (isWord(rest[0], 'constraints')) {
		return {kind: 'setLocal', name: 'constraints', weakens: false};
	}

	if (isWord(rest[0], 'transaction')) {
		const snapshot = isWord(rest[1], 'snapshot');
		return snapshot ? {kind: 'unsupported', feature: 'SET TRANSACTION SNAPSHOT'} : {kind: 'setLocal', name: 'transaction', weakens: isReadWrite(rest)};
	}

	if (isWord(rest[0], 'characteristics') || isWord(rest[0], 'authorization')) {
		return {kind: 'unsupported', feature: `SET SESSION ${rest[0].text.toUpperCase()}`};
	}

	const {name, value} = settingAssignment(rest);
	if (local && (refusedLocally.has(name) || name.startsWith('buckthornhitch.'))) {
		return {kind: 'unsupported', feature: `SET LOCAL ${name}`};
	}

	return local ? {kind: 'setLocal', name, weakens: name === 'transaction_read_only'} : {kind: 'set', name, value};
}

type Assignment = {
	readonly name: string;
	readonly value: string | null;
};

function settingAssignment(tokens: readonly Token[]): Assignment {
	if (isWord(tokens[0], 'time') && isWord(tokens[1], 'zone')) {
		return {name: 'timezone', value: settingValue(tokens.slice(2))};
	}

	if (isWord(tokens[0], 'names')) {
		return {name: 'client_encoding', value: settingValue(tokens.slice(1))};
	}

	if (isWord(tokens[0], 'role')) {
		return {name: 'role', value: settingValue(tokens.slice(isWord(tokens[1], 'to') || isSymbol(tokens[1], '=') ? 2 : 1))};
	}

	const sign = tokens.findIndex(token => isWord(token, 'to') || isSymbol(token, '='));
	return sign === -1
		? {name: settingName(tokens), value: ''}
		: {name: settingName(tokens.slice(0, sign)), value: settingValue(tokens.slice(sign + 1))};
}

function settingName(tokens: readonly Token[]): string {
	const text = tokens.map(token => token.text).join(isSymbol(tokens[1], '.') ? '' : ' ').toLowerCase();
	return text === 'time zone' ? 'timezone' : text;
}

function settingValue(tokens: readonly Token[]): string | null {
	if (tokens.length === 1 && isWord(tokens[0], 'default')) {
		return null;
	}

	return tokens.map(token => token.text).join('').replaceAll(',', ', ');
}

function isWord(token: Token | undefined, text: string): boolean {
	return token?.kind === 'word' && token.text === text;
}

function isSymbol(token: Token | undefined, text: string): boolean {
	return token?.kind === 'symbol' && token.text === text;
}
