import {parse, type Statement} from 'pgsql-ast-parser';
import {SqlError} from './sql-error.js';

/** Statement on settings, which changes nothing. */
export type SettingStatement = {readonly type: 'setting'; readonly tag: string; readonly name: string};

/** Statement that the stand-in may run. */
export type ParsedStatement = Statement | SettingStatement;

/** Number of texts kept: parsing one takes most of a millisecond, far longer than running it, so loads should use parameters. */
const cacheSize = 2000;
const cache = new Map<string, readonly ParsedStatement[]>();

const comments = /\/\*.*?\*\/|--[^\n]*/gsv;
const settingPattern = /^\s*(set|show|reset|discard)\s+([^\s;=]+)[^;]*;?\s*$/iv;
const synonyms: ReadonlyMap<string, string> = new Map([['end', 'commit'], ['abort', 'rollback']]);

/** Parses a text of any number of statements. Throws 42601. */
export function parseStatements(text: string): readonly ParsedStatement[] {
	const known = cache.get(text);
	if (known) {
		return known;
	}

	const statements = parseText(text);
	if (cache.size >= cacheSize) {
		cache.clear();
	}

	cache.set(text, statements);
	return statements;
}

function parseText(text: string): readonly ParsedStatement[] {
	const bare = text.replaceAll(comments, ' ').replaceAll(/^[\s;]+|[\s;]+$/gv, '');
	if (bare === '') {
		return [];
	}

	// The parser does not know settings with a dot in the name.
	const setting = settingPattern.exec(bare);
	if (setting) {
		return [{type: 'setting', tag: setting[1].toUpperCase(), name: setting[2].toLowerCase()}];
	}

	try {
		return parse(synonyms.get(bare.toLowerCase()) ?? text).map(statement => statement.type === 'set'
			? {type: 'setting', tag: 'SET', name: statement.variable.name}
			: statement);
	} catch {
		throw new SqlError('42601', 'syntax error');
	}
}
