import {parse, type Statement} from 'pgsql-ast-parser';
import {SqlError} from './sql-error.js';

/** SET, SHOW, RESET or DISCARD statement, which changes nothing. */
export type SettingStatement = {readonly type: 'setting'; readonly tag: string; readonly name: string};

/** Parsed statement. The executor rejects those that it does not support. */
export type ParsedStatement = Statement | SettingStatement;

/** Maximum number of cached statement texts. Parsing takes most of a millisecond, far longer than execution, so load generators should use parameters. */
const maximumCachedTexts = 2000;
const cache = new Map<string, readonly ParsedStatement[]>();

const commentPattern = /\/\*.*?\*\/|--[^\n]*/gsv;
const settingPattern = /^\s*(set|show|reset|discard)\s+([^\s;=]+)[^;]*;?\s*$/iv;
const synonyms: ReadonlyMap<string, string> = new Map([['end', 'commit'], ['abort', 'rollback']]);

/** Parses any number of statements, separated by semicolons. Throws 42601. */
export function parseStatements(text: string): readonly ParsedStatement[] {
	const cached = cache.get(text);
	if (cached) {
		return cached;
	}

	const statements = parseText(text);
	if (cache.size >= maximumCachedTexts) {
		cache.clear();
	}

	cache.set(text, statements);
	return statements;
}

function parseText(text: string): readonly ParsedStatement[] {
	const withoutComments = text.replaceAll(commentPattern, ' ').replaceAll(/^[\s;]+|[\s;]+$/gv, '');
	if (withoutComments === '') {
		return [];
	}

	// Settings are matched here, since the parser does not support names with a dot.
	const setting = settingPattern.exec(withoutComments);
	if (setting) {
		return [{type: 'setting', tag: setting[1].toUpperCase(), name: setting[2].toLowerCase()}];
	}

	try {
		return parse(synonyms.get(withoutComments.toLowerCase()) ?? text).map(statement => statement.type === 'set'
			? {type: 'setting', tag: 'SET', name: statement.variable.name}
			: statement);
	} catch {
		throw new SqlError('42601', 'syntax error');
	}
}
