import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {classifyStatements, classifyUnit} from './statement-classification.js';

function accessOf(text: string): string {
	return classifyUnit(classifyStatements(text)).access;
}

const reads = [
	'SELECT 1',
	'  select a from b where c = $1',
	'(SELECT 1) UNION (SELECT 2)',
	'VALUES (1), (2)',
	'TABLE notices',
	'SELECT 1; SELECT 2',
	'WITH q(a) AS (SELECT count(*) FROM t) SELECT * FROM q AS r(b)',
	'SELECT max(a) FILTER (WHERE a > 1) OVER (PARTITION BY (b)) FROM t',
	'EXPLAIN UPDATE t SET a = 1',
	'SELECT a FROM t JOIN (SELECT 1) AS s ON true WHERE a IN (1, 2) AND b LIKE (\'x\')',
	'SELECT pg_catalog.lower(a) FROM t',
	'SHOW server_version',
	'SELECT \'DELETE FROM t\', $$ nextval( $$, $a$ $$ $a$, "update" FROM t -- for update',
	String.raw`SELECT E'\'' /* insert /* nested */ into */`,
	'BEGIN READ ONLY',
	'START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY',
	'BEGIN READ ONLY; SELECT 1; COMMIT',
	'SAVEPOINT a',
	'ROLLBACK TO a',
];
const writes = [
	'INSERT INTO t VALUES (1)',
	'SELECT a FROM t FOR UPDATE',
	'SELECT a FROM t FOR NO KEY UPDATE',
	'SELECT a FROM t FOR SHARE',
	'SELECT a INTO b FROM t',
	'WITH d AS (DELETE FROM t RETURNING a) SELECT * FROM d',
	'SELECT nextval(\'s\')',
	'SELECT pg_advisory_lock (1)',
	'SELECT lo_create(1)',
	'SELECT "lower"(a) FROM t',
	'SELECT own.lower(a) FROM t',
	'SELECT raise_notice(1)',
	'SELECT join(1)',
	'SELECT 1; DROP TABLE t',
	'SELECT 1into t',
	'VALUES (nextval(\'s\'))',
	'EXPLAIN ANALYZE DELETE FROM t',
	'CALL p()',
	'DO $$ $$',
	'BEGIN',
	'BEGIN READ ONLY; COMMIT; BEGIN',
	'COMMIT',
	'SELECT \'open',
	'SELECT /* open',
	'SELECT $a$ open',
	'SELECT E\'a\'\n\'\\\'\'; DELETE FROM t --\'',
	'SELECT nextval/* */(\'s\')',
	'SET TRANSACTION READ WRITE',
	'anything',
	'BEGIN READ ONLY, READ WRITE',
];

// A write that is classified as a read may run on a replica, or twice.
test('every statement that may write is classified as a write', () => {
	for (const text of writes) {
		assert.equal(accessOf(text), 'write', text);
	}
});

// A read that is classified as a write puts load on the primary.
test('statements that only read are classified as reads', () => {
	for (const text of reads) {
		assert.equal(accessOf(text), 'read', text);
	}
});

// These features need a connection of their own; on a shared one they would change the session of other callers.
test('features that need a dedicated connection are unsupported', () => {
	const unsupported = [
		'COPY t FROM STDIN',
		'LISTEN a',
		'PREPARE p AS SELECT 1',
		'EXECUTE p',
		'SELECT set_config(\'a\', \'b\', false)',
		'UPDATE t SET a = set_config(\'a\', \'b\', false)',
		'CREATE TEMP TABLE t ()',
		'CREATE OR REPLACE TEMPORARY VIEW v AS SELECT 1',
		'SELECT 1 INTO TEMP t',
		'DECLARE c CURSOR WITH HOLD FOR SELECT 1',
		'COMMIT PREPARED \'a\'',
		'SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY',
		'SET LOCAL synchronous_commit = off',
		'DISCARD PLANS',
	];
	for (const text of unsupported) {
		assert.equal(classifyStatements(text)[0].kind, 'unsupported', text);
	}

	assert.equal(classifyStatements('CREATE TABLE temp ()')[0].kind, 'write');
});

// If the end of a transaction block fails, the statements sent after it must not run outside of the transaction, so the proxy has to recognize units that end a block.
test('a unit ends a transaction block if its last transaction control statement does', () => {
	const cases: ReadonlyArray<readonly [string, boolean]> = [
		['COMMIT', true],
		['ROLLBACK', true],
		['BEGIN; INSERT; END', true],
		['COMMIT AND NO CHAIN', true],
		['BEGIN', false],
		['COMMIT; BEGIN', false],
		['COMMIT AND CHAIN', false],
		['ROLLBACK TO a', false],
		['INSERT', false],
	];
	for (const [text, ends] of cases) {
		assert.equal(classifyUnit(classifyStatements(text)).ends, ends, text);
	}
});

test('the names and values of changed settings are recognized', () => {
	const settings: ReadonlyArray<readonly [string, string | null, string | null]> = [
		['SET buckthornhitch.max_age = \'5s\'', 'buckthornhitch.max_age', '5s'],
		['SET SESSION TimeZone TO UTC', 'timezone', 'utc'],
		['SET TIME ZONE \'UTC\'', 'timezone', 'UTC'],
		['SET NAMES \'utf8\'', 'client_encoding', 'utf8'],
		['set datestyle = ISO, MDY', 'datestyle', 'iso, mdy'],
		['RESET ALL', null, null],
		['SET a TO DEFAULT', 'a', null],
	];
	for (const [text, name, value] of settings) {
		assert.deepEqual(classifyStatements(text), [{kind: 'set', name, value}], text);
	}
});

const delimiterRichText = fastCheck.array(fastCheck.constantFrom('a', 'b', '\'', '"', '$', '\\', ';', '/', '*', '-', ' ', '\n', 'into', 'e\''), {maxLength: 12}).map(parts => parts.join(''));
const literalOrComment = fastCheck.oneof(
	delimiterRichText.map(text => `'${text.replaceAll('\'', '\'\'')}'`),
	delimiterRichText.map(text => `E'${text.replaceAll('\\', '\\\\').replaceAll('\'', String.raw`\'`)}'`),
	delimiterRichText.map(text => `"${text.replaceAll('"', '""')}"`),
	delimiterRichText.map(text => `$q$${text.replaceAll('$', '')}$q$`),
	delimiterRichText.map(text => `/*${text.replaceAll(/[\/*]/gv, '')}*/`),
	delimiterRichText.map(text => `--${text.replaceAll('\n', '')}\n`),
);
const literalsAndComments = fastCheck.array(literalOrComment, {maxLength: 4}).map(parts => parts.join(', '));

// If the scanner placed the end of a literal or comment too late, it would miss the write that follows.
test('literals and comments do not hide a write that follows them', () => {
	const write = fastCheck.constantFrom('; DELETE FROM t', ', nextval(1)', ' INTO t', ' FOR UPDATE', '; COMMIT', '; COPY t TO STDOUT');
	fastCheck.assert(fastCheck.property(literalsAndComments, write, literalsAndComments, (before, writeText, after) => {
		const statements = classifyStatements(`SELECT 0, ${before}${writeText} ${after}`);
		assert.equal(classifyUnit(statements).access, 'write');
	}), {seed: 1, numRuns: 2000});
});

test('keywords in literals and comments do not make a statement a write', () => {
	fastCheck.assert(fastCheck.property(literalsAndComments, text => {
		assert.equal(accessOf(`SELECT 0, ${text}`), 'read');
	}), {seed: 2, numRuns: 2000});
});

test('the scanner terminates without an error on any text', () => {
	fastCheck.assert(fastCheck.property(fastCheck.string({unit: 'binary'}), text => {
		classifyStatements(text);
	}), {seed: 3, numRuns: 2000});
});

// A scanner that needed quadratic or exponential time for such texts would exceed the test timeout.
test('the scanner takes time in proportion to the length of adversarial texts', () => {
	const count = 50_000;
	const texts = [`E'a'${' --'.repeat(count)}`, `${'/*'.repeat(count)}${'*/'.repeat(count)}`, '$a$'.repeat(count + 1), '\'\''.repeat(count), `SELECT ${'('.repeat(count)}`];
	for (const text of texts) {
		classifyStatements(text);
	}

	const values = '(1, \'a\'), '.repeat(count);
	assert.equal(accessOf(`VALUES ${values}(nextval(1))`), 'write');
	assert.equal(classifyStatements(`INSERT INTO t VALUES ${values}(set_config('a', 'b', false))`)[0].kind, 'unsupported');
});
