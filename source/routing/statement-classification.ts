import {type Access} from '../pool/messages.js';
import {infixKeywords, readOnlyFunctions, nonFunctionWords} from './read-only-functions.js';
import {SqlScanner, type Token} from './sql-scanner.js';

/** What one SQL statement does, as far as routing needs to know. */
export type ClassifiedStatement =
	| {readonly kind: 'empty' | 'read' | 'write' | 'savepoint' | 'discardAll'}
	/** End of a transaction; with AND CHAIN another one begins at once. */
	| {readonly kind: 'commit' | 'rollback'; readonly chains: boolean}
	| {readonly kind: 'begin'; readonly readOnly: boolean}
	/** Change of a session setting; a value of null restores the default, a name of null restores the defaults of all settings. */
	| {readonly kind: 'set'; readonly name: string | null; readonly value: string | null}
	/** Change of a setting until the end of the transaction; some settings may turn a read-only transaction into a read-write one. */
	| {readonly kind: 'setLocal'; readonly name: string; readonly mayEnableWrites: boolean}
	| {readonly kind: 'show'; readonly name: string}
	| {readonly kind: 'deallocate'; readonly name: string | null}
	| {readonly kind: 'unsupported'; readonly feature: string};

/** Classification of a unit, that is, of the statements that are forwarded together. */
export type UnitClassification = {
	readonly access: Access;
	/** Whether a statement other than transaction control may write. */
	readonly writes: boolean;
	readonly begins: boolean;
	/** Whether the unit begins exactly one transaction and it is read-only. */
	readonly beginsReadOnly: boolean;
	/** Whether the unit may commit something: by a COMMIT, or because statements after a ROLLBACK commit on their own. */
	readonly commits: boolean;
	/** Whether the last transaction control statement of the unit ends the transaction block, so that none is open after the unit. */
	readonly ends: boolean;
	/** Whether the unit consists of exactly one statement, which begins a transaction. */
	readonly isBeginAlone: boolean;
};

/** Classifies the statements of a query text. Everything that is not certainly a read counts as a write. */
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

	if (!scanner.isComplete) {
		return [{kind: 'write'}];
	}

	const nonEmpty = [...statements, current].filter(({tokens}) => tokens.length > 0);
	return nonEmpty.length > 0 ? nonEmpty.map(statement => classifyStatement(statement)) : [{kind: 'empty'}];
}

// Bounds the memory for statements with very many values; a longer statement counts as a write.
const maximumTokenCount = 50_000;

/** Tokens of one statement, up to the maximum count. */
class ScannedStatement {
	readonly tokens: Token[] = [];
	isTruncated = false;
	unsupportedFunction: string | undefined;
	#previous: Token | undefined;

	add(token: Token): void {
		if (isSymbol(token, '(') && this.#previous?.kind !== 'string' && unsupportedFunctions.has(this.#previous?.text ?? '')) {
			this.unsupportedFunction = this.#previous?.text;
		}

		this.#previous = token;
		if (this.tokens.length < maximumTokenCount) {
			this.tokens.push(token);
		} else {
			this.isTruncated = true;
		}
	}
}

/** Classifies statements as one unit; the unit is a read only if every statement is one. */
export function classifyUnit(statements: readonly ClassifiedStatement[]): UnitClassification {
	const begins = statements.filter(statement => statement.kind === 'begin');
	const beginsReadOnly = begins.length === 1 && begins[0].readOnly;
	return {
		access: statements.every(statement => isRead(statement, beginsReadOnly)) ? 'read' : 'write',
		writes: statements.some(statement => !transactionControlKinds.has(statement.kind) && !isRead(statement, false)),
		begins: begins.length > 0,
		beginsReadOnly,
		commits: statements.some(({kind}) => kind === 'commit' || (kind === 'rollback' && statements.length > 1)),
		ends: endsBlock(statements),
		isBeginAlone: begins.length === 1 && statements.length === 1,
	};
}

function endsBlock(statements: readonly ClassifiedStatement[]): boolean {
	const lastControl = statements.findLast(({kind}) => kind === 'begin' || kind === 'commit' || kind === 'rollback');
	return (lastControl?.kind === 'commit' || lastControl?.kind === 'rollback') && !lastControl.chains;
}

const transactionControlKinds: ReadonlySet<ClassifiedStatement['kind']> = new Set(['begin', 'commit', 'rollback', 'savepoint']);
const alwaysReadKinds: ReadonlySet<ClassifiedStatement['kind']> = new Set(['read', 'show', 'empty', 'savepoint', 'rollback']);

function isRead(statement: ClassifiedStatement, beginsReadOnly: boolean): boolean {
	if (statement.kind === 'begin') {
		return statement.readOnly;
	}

	if (statement.kind === 'setLocal') {
		return !statement.mayEnableWrites;
	}

	return alwaysReadKinds.has(statement.kind) || (statement.kind === 'commit' && beginsReadOnly);
}

type Classifier = (tokens: readonly Token[]) => ClassifiedStatement;

const unsupported = (feature: string): Classifier => () => ({kind: 'unsupported', feature});
const always = (statement: ClassifiedStatement): Classifier => () => statement;

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
	savepoint: always({kind: 'savepoint'}),
	release: always({kind: 'savepoint'}),
	set: classifySet,
	reset: classifyReset,
	show: tokens => ({kind: 'show', name: settingName(tokens.slice(1))}),
	discard: tokens => isWord(tokens[1], 'all') ? {kind: 'discardAll'} : {kind: 'unsupported', feature: 'DISCARD of parts'},
	deallocate: classifyDeallocate,
	declare: classifyDeclare,
	fetch: always({kind: 'read'}),
	move: always({kind: 'read'}),
	close: always({kind: 'read'}),
	copy: unsupported('COPY'),
	listen: unsupported('LISTEN'),
	unlisten: unsupported('UNLISTEN'),
	load: unsupported('LOAD'),
	prepare: unsupported('PREPARE as a statement'),
	execute: unsupported('EXECUTE as a statement'),
	create: classifyCreate,
};

// The function `set_config` changes the session of a connection that callers share. The other functions control a database group and are meant for pools.
const unsupportedFunctions: ReadonlySet<string> = new Set(['set_config', 'group_lease', 'group_release', 'group_promise', 'group_promote', 'group_follow']);

function classifyStatement({tokens, isTruncated, unsupportedFunction}: ScannedStatement): ClassifiedStatement {
	if (unsupportedFunction !== undefined) {
		return {kind: 'unsupported', feature: unsupportedFunction};
	}

	// A statement may start with parentheses: (SELECT 1) UNION (SELECT 2).
	const first = tokens.find(token => token.text !== '(' || token.kind !== 'symbol');
	const classifier = first?.kind === 'word' && Object.hasOwn(classifiers, first.text) ? classifiers[first.text] : undefined;
	const statement = classifier?.(tokens) ?? {kind: 'write'};
	return isTruncated && statement.kind === 'read' ? {kind: 'write'} : statement;
}

const writeKeywords = new Set(['insert', 'update', 'delete', 'merge', 'into', 'truncate', 'copy']);
const lockingClauseKeywords = new Set(['update', 'share', 'no', 'key']);

function classifyRead(tokens: readonly Token[]): ClassifiedStatement {
	if (selectsIntoTemporaryTable(tokens)) {
		return {kind: 'unsupported', feature: 'temporary tables'};
	}

	for (const [index, token] of tokens.entries()) {
		const next = tokens[index + 1];
		const isLockingClause = isWord(token, 'for') && next?.kind === 'word' && lockingClauseKeywords.has(next.text);
		if (isLockingClause || (token.kind === 'word' && writeKeywords.has(token.text)) || mayCallWritingFunction(tokens, index)) {
			return {kind: 'write'};
		}
	}

	return {kind: 'read'};
}

function mayCallWritingFunction(tokens: readonly Token[], index: number): boolean {
	const token = tokens[index];
	if (!isSymbol(tokens[index + 1], '(') || (token.kind !== 'word' && token.kind !== 'quotedName')) {
		return false;
	}

	const before = tokens[index - 1];
	// Not function calls: a name after AS is an alias with a column list or a type with modifiers, and a name after WITH or RECURSIVE is a common table expression with a column list.
	if (isWord(before, 'as') || isWord(before, 'recursive') || (isWord(before, 'with') && index === 1)) {
		return false;
	}

	if (token.kind === 'quotedName' || (isSymbol(before, '.') && !isWord(tokens[index - 2], 'pg_catalog'))) {
		return true;
	}

	return !readOnlyFunctions.has(token.text) && !nonFunctionWords.has(token.text) && !isInfixKeyword(token, before);
}

function isInfixKeyword(token: Token, before: Token | undefined): boolean {
	if (isWord(token, 'by')) {
		return isWord(before, 'group') || isWord(before, 'order') || isWord(before, 'partition');
	}

	return infixKeywords.has(token.text) && before !== undefined && endsOperand(before);
}

function endsOperand(token: Token): boolean {
	return token.kind === 'symbol' ? token.text === ')' : token.kind !== 'word' || (token.text !== 'by' && !nonFunctionWords.has(token.text));
}

function selectsIntoTemporaryTable(tokens: readonly Token[]): boolean {
	return tokens.some((token, index) => isWord(token, 'into') && isTemporary(tokens[index + 1]));
}

function isTemporary(token: Token | undefined): boolean {
	return isWord(token, 'temp') || isWord(token, 'temporary');
}

function classifyExplain(tokens: readonly Token[]): ClassifiedStatement {
	const executesStatement = tokens.some(token => isWord(token, 'analyze') || isWord(token, 'analyse'));
	return {kind: executesStatement ? 'write' : 'read'};
}

function classifyBegin(tokens: readonly Token[]): ClassifiedStatement {
	const words = tokens.map(token => token.text);
	return {kind: 'begin', readOnly: words.some((text, index) => text === 'read' && words[index + 1] === 'only') && !containsReadWrite(tokens)};
}

function containsReadWrite(tokens: readonly Token[]): boolean {
	return tokens.some((token, index) => isWord(token, 'read') && isWord(tokens[index + 1], 'write'));
}

function classifyCommit(tokens: readonly Token[]): ClassifiedStatement {
	return isWord(tokens[1], 'prepared') ? {kind: 'unsupported', feature: 'two-phase commit'} : {kind: 'commit', chains: endsWithChain(tokens)};
}

function classifyRollback(tokens: readonly Token[]): ClassifiedStatement {
	if (isWord(tokens[1], 'prepared')) {
		return {kind: 'unsupported', feature: 'two-phase commit'};
	}

	return tokens.some(token => isWord(token, 'to')) ? {kind: 'savepoint'} : {kind: 'rollback', chains: endsWithChain(tokens)};
}

function endsWithChain(tokens: readonly Token[]): boolean {
	return isWord(tokens.at(-1), 'chain') && !isWord(tokens.at(-2), 'no');
}

function classifyDeallocate(tokens: readonly Token[]): ClassifiedStatement {
	const name = isWord(tokens[1], 'prepare') && tokens.length > 2 ? tokens[2] : tokens[1];
	return {kind: 'deallocate', name: !name || isWord(name, 'all') ? null : name.text};
}

function classifyDeclare(tokens: readonly Token[]): ClassifiedStatement {
	const isWithHold = tokens.some((token, index) => isWord(token, 'with') && isWord(tokens[index + 1], 'hold'));
	if (isWithHold) {
		return {kind: 'unsupported', feature: 'cursors WITH HOLD'};
	}

	const forIndex = tokens.findIndex(token => isWord(token, 'for'));
	return forIndex === -1 ? {kind: 'write'} : classifyRead(tokens.slice(forIndex + 1));
}

const createModifiers = new Set(['or', 'replace', 'local', 'global']);

function classifyCreate(tokens: readonly Token[]): ClassifiedStatement {
	const objectKind = tokens.slice(1).find(token => !createModifiers.has(token.text));
	return isTemporary(objectKind) ? {kind: 'unsupported', feature: 'temporary tables'} : {kind: 'write'};
}

function classifyReset(tokens: readonly Token[]): ClassifiedStatement {
	return {kind: 'set', name: isWord(tokens[1], 'all') ? null : settingName(tokens.slice(1)), value: null};
}

const unsupportedLocalSettings = new Set(['synchronous_commit', 'session_replication_role']);

function classifySet(tokens: readonly Token[]): ClassifiedStatement {
	const isLocal = isWord(tokens[1], 'local');
	const rest = tokens.slice(isLocal || isWord(tokens[1], 'session') ? 2 : 1);
	if (isWord(rest[0], 'constraints')) {
		return {kind: 'setLocal', name: 'constraints', mayEnableWrites: false};
	}

	if (isWord(rest[0], 'transaction')) {
		const isSnapshot = isWord(rest[1], 'snapshot');
		return isSnapshot ? {kind: 'unsupported', feature: 'SET TRANSACTION SNAPSHOT'} : {kind: 'setLocal', name: 'transaction', mayEnableWrites: containsReadWrite(rest)};
	}

	if (isWord(rest[0], 'characteristics') || isWord(rest[0], 'authorization')) {
		return {kind: 'unsupported', feature: `SET SESSION ${rest[0].text.toUpperCase()}`};
	}

	const {name, value} = parseSettingAssignment(rest);
	if (isLocal && (unsupportedLocalSettings.has(name) || name.startsWith('buckthornhitch.'))) {
		return {kind: 'unsupported', feature: `SET LOCAL ${name}`};
	}

	return isLocal ? {kind: 'setLocal', name, mayEnableWrites: name === 'transaction_read_only'} : {kind: 'set', name, value};
}

type SettingAssignment = {
	readonly name: string;
	readonly value: string | null;
};

function parseSettingAssignment(tokens: readonly Token[]): SettingAssignment {
	if (isWord(tokens[0], 'time') && isWord(tokens[1], 'zone')) {
		return {name: 'timezone', value: settingValue(tokens.slice(2))};
	}

	if (isWord(tokens[0], 'names')) {
		return {name: 'client_encoding', value: settingValue(tokens.slice(1))};
	}

	if (isWord(tokens[0], 'role')) {
		return {name: 'role', value: settingValue(tokens.slice(isWord(tokens[1], 'to') || isSymbol(tokens[1], '=') ? 2 : 1))};
	}

	const assignmentIndex = tokens.findIndex(token => isWord(token, 'to') || isSymbol(token, '='));
	return assignmentIndex === -1
		? {name: settingName(tokens), value: ''}
		: {name: settingName(tokens.slice(0, assignmentIndex)), value: settingValue(tokens.slice(assignmentIndex + 1))};
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
