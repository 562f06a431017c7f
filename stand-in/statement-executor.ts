import {
	type CreateTableStatement, type DeleteStatement, type Expr, type InsertStatement, type SelectFromStatement, type UpdateStatement,
} from 'pgsql-ast-parser';
import {
	compareValues, evaluate, equalityValues, matchesCondition, unknownColumnError, unsupportedError, type Condition, type ParameterValues,
} from './expressions.js';
import {typeOids, type ResultColumn} from './postgres-messages.js';
import {SqlError} from './sql-error.js';
import {type ParsedStatement} from './statement-parser.js';
import {
	type Column, type Row, type TableSchema, type Transaction, type Value,
} from './tables.js';

/** Result of a statement. `columns` is absent for a statement that returns no rows. */
export type StatementResult = {
	readonly tag: string;
	readonly columns?: readonly ResultColumn[];
	readonly rows: ReadonlyArray<readonly Value[]>;
};

type FoundRow = readonly [key: string, row: Row];
type OutputColumn = ResultColumn & {readonly expression: Expr};

const integerTypes: Readonly<Record<string, Column['type']>> = {
	int: 'int4', integer: 'int4', int4: 'int4', smallint: 'int4', bigint: 'int8', int8: 'int8',
};

/** Returns whether only a primary may execute the statement; this includes SELECT ... FOR UPDATE. */
export function isWrite(statement: ParsedStatement): boolean {
	return ['insert', 'update', 'delete', 'create table'].includes(statement.type)
		|| (statement.type === 'select' && statement.for !== undefined);
}

/** Returns the result columns of a statement. Throws 42P01 for an unknown table and 42703 for an unknown column. */
export function describeStatement(statement: ParsedStatement, transaction: Transaction): readonly ResultColumn[] | undefined {
	if (statement.type === 'select') {
		return outputColumns(statement, findSourceSchema(statement, transaction));
	}

	return statement.type === 'setting' && statement.tag === 'SHOW' ? [{name: statement.name, typeOid: typeOids.text}] : undefined;
}

/** Executes a statement within a transaction. Throws an SqlError. */
export function executeStatement(statement: ParsedStatement, transaction: Transaction, values: ParameterValues): StatementResult {
	// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- The default case rejects the other statements that the parser knows.
	switch (statement.type) {
		case 'select': {
			return executeSelect(statement, transaction, values);
		}

		case 'insert': {
			return executeInsert(statement, transaction, values);
		}

		case 'update': {
			return executeUpdate(statement, transaction, values);
		}

		case 'delete': {
			return executeDelete(statement, transaction, values);
		}

		case 'create table': {
			return executeCreateTable(statement, transaction);
		}

		case 'setting': {
			const columns = describeStatement(statement, transaction);
			const value = statement.name === 'transaction_read_only' && transaction.primaryTerm === null ? 'on' : 'off';
			return {tag: statement.tag, columns, rows: columns ? [[value]] : []};
		}

		default: {
			throw unsupportedError(`statement ${statement.type}`);
		}
	}
}

function toColumnValue(column: Column, value: Value): Value {
	if (value === null || column.type === 'text') {
		return value === null ? null : String(value);
	}

	const number = Number(value);
	if (!Number.isSafeInteger(number)) {
		throw new SqlError('22P02', `invalid input for integer column "${column.name}"`);
	}

	return number;
}

function findColumn(schema: TableSchema | undefined, name: string): Column {
	const found = schema?.columns.find(column => column.name === name);
	if (!found) {
		throw unknownColumnError(name);
	}

	return found;
}

function rowKey(schema: TableSchema, row: Row): string {
	const values = schema.key.map(name => row[name]);
	if (values.includes(null)) {
		throw new SqlError('23502', `null value in the primary key of "${schema.name}"`);
	}

	return JSON.stringify(values);
}

function findRows(schema: TableSchema, condition: Condition, transaction: Transaction, values: ParameterValues): readonly FoundRow[] {
	const equalities = equalityValues(condition, values);
	const hasKey = schema.key.length > 0 && schema.key.every(name => (equalities[name] ?? null) !== null);
	if (!hasKey) {
		return [...transaction.rows(schema.name)].filter(([, row]) => matchesCondition(condition, row, values));
	}

	const key = JSON.stringify(schema.key.map(name => toColumnValue(findColumn(schema, name), equalities[name])));
	const row = transaction.row(schema.name, key);
	return row && matchesCondition(condition, row, values) ? [[key, row]] : [];
}

function findSourceSchema({from}: SelectFromStatement, transaction: Transaction): TableSchema | undefined {
	if (!from) {
		return undefined;
	}

	if (from[0].type !== 'table' || from.length !== 1) {
		throw unsupportedError('this source of rows');
	}

	return transaction.schema(from[0].name.name);
}

const isCount = (expression: Expr): boolean => expression.type === 'call' && expression.function.name === 'count';

function expressionTypeOid(expression: Expr, schema: TableSchema | undefined): number {
	if (expression.type === 'ref') {
		return typeOids[findColumn(schema, expression.name).type];
	}

	if (isCount(expression) || expression.type === 'binary') {
		return typeOids.int8;
	}

	return expression.type === 'integer' ? typeOids.int4 : typeOids.text;
}

function expressionName(expression: Expr): string {
	if (expression.type === 'ref') {
		return expression.name;
	}

	return expression.type === 'call' ? expression.function.name : '?column?';
}

function outputColumns(statement: SelectFromStatement, schema: TableSchema | undefined): readonly OutputColumn[] {
	return (statement.columns ?? []).flatMap(({expr: expression, alias}): readonly OutputColumn[] => expression.type === 'ref' && expression.name === '*'
		? (schema?.columns ?? []).map(({name, type}) => ({name, typeOid: typeOids[type], expression: {type: 'ref', name}}))
		: [{name: alias?.name ?? expressionName(expression), typeOid: expressionTypeOid(expression, schema), expression}]);
}

function executeSelect(statement: SelectFromStatement, transaction: Transaction, values: ParameterValues): StatementResult {
	const schema = findSourceSchema(statement, transaction);
	const columns = outputColumns(statement, schema);
	const found = schema ? findRows(schema, statement.where, transaction, values) : [['', {}] as const];
	if (columns.some(({expression}) => isCount(expression))) {
		return {tag: 'SELECT 1', columns, rows: [columns.map(() => found.length)]};
	}

	const limit = statement.limit?.limit ? Number(evaluate(statement.limit.limit, {}, values)) : found.length;
	const selected = sortRows(statement, found, values).slice(0, limit);
	if (schema && statement.for) {
		for (const [key] of selected) {
			transaction.lockRow(schema.name, key);
		}
	}

	const rows = selected.map(([, row]) => columns.map(({expression}) => evaluate(expression, row, values)));
	return {tag: `SELECT ${rows.length}`, columns, rows};
}

function sortRows(statement: SelectFromStatement, rows: readonly FoundRow[], values: ParameterValues): readonly FoundRow[] {
	return rows.toSorted(([, first], [, second]) => {
		for (const {by, order} of statement.orderBy ?? []) {
			const difference = compareValues(evaluate(by, first, values), evaluate(by, second, values));
			if (difference) {
				return order === 'DESC' ? -difference : difference;
			}
		}

		return 0;
	});
}

function executeInsert(statement: InsertStatement, transaction: Transaction, values: ParameterValues): StatementResult {
	const schema = transaction.schema(statement.into.name);
	const {insert, onConflict} = statement;
	if (insert.type !== 'values' || statement.returning !== undefined || typeof onConflict?.do === 'object') {
		throw unsupportedError('this form of INSERT');
	}

	const columns = statement.columns?.map(({name}) => findColumn(schema, name)) ?? schema.columns;
	const defaults = Object.fromEntries(schema.columns.map(column => [column.name, column.defaultValue ? toColumnValue(column, evaluate(column.defaultValue, {}, [])) : null]));
	const inserted = insert.values.filter(expressions => {
		const given = expressions.map((expression, index) => [columns[index].name, toColumnValue(columns[index], evaluate(expression, {}, values))] as const);
		return insertRow(schema, {...defaults, ...Object.fromEntries(given)}, transaction, Boolean(onConflict));
	});
	return {tag: `INSERT 0 ${inserted.length}`, rows: []};
}

function insertRow(schema: TableSchema, row: Row, transaction: Transaction, skipExisting: boolean): boolean {
	// A random key can be used for a table without a primary key, since the log carries it to the other members.
	const key = schema.key.length > 0 ? rowKey(schema, row) : crypto.randomUUID();
	const exists = transaction.row(schema.name, key) !== undefined;
	if (exists && !skipExisting) {
		throw new SqlError('23505', `duplicate key value violates unique constraint "${schema.name}_pkey"`);
	}

	if (!exists) {
		transaction.put(schema.name, key, row);
	}

	return !exists;
}

function executeUpdate(statement: UpdateStatement, transaction: Transaction, values: ParameterValues): StatementResult {
	const schema = transaction.schema(statement.table.name);
	const found = findRows(schema, statement.where, transaction, values);
	if (statement.sets.some(({column}) => schema.key.includes(column.name))) {
		throw unsupportedError('changing a primary key');
	}

	for (const [key, row] of found) {
		const changed = statement.sets.map(({column, value}) => [column.name, toColumnValue(findColumn(schema, column.name), evaluate(value, row, values))] as const);
		transaction.put(schema.name, key, {...row, ...Object.fromEntries(changed)});
	}

	return {tag: `UPDATE ${found.length}`, rows: []};
}

function executeDelete(statement: DeleteStatement, transaction: Transaction, values: ParameterValues): StatementResult {
	const schema = transaction.schema(statement.from.name);
	const found = findRows(schema, statement.where, transaction, values);
	for (const [key] of found) {
		transaction.put(schema.name, key, null);
	}

	return {tag: `DELETE ${found.length}`, rows: []};
}

function executeCreateTable(statement: CreateTableStatement, transaction: Transaction): StatementResult {
	const {name} = statement.name;
	if (!transaction.findSchema(name)) {
		transaction.create(toTableSchema(statement));
	} else if (!statement.ifNotExists) {
		throw new SqlError('42P07', `relation "${name}" already exists`);
	}

	return {tag: 'CREATE TABLE', rows: []};
}

function toTableSchema(statement: CreateTableStatement): TableSchema {
	const definitions = statement.columns.filter(column => column.kind === 'column');
	const columns = definitions.map(({name, dataType, constraints}): Column => ({
		name: name.name,
		type: 'name' in dataType ? integerTypes[dataType.name] ?? 'text' : 'text',
		defaultValue: constraints?.find(constraint => constraint.type === 'default')?.default,
	}));
	const columnKeys = definitions.filter(({constraints}) => constraints?.some(({type}) => type === 'primary key')).map(({name}) => name.name);
	const tableKeys = (statement.constraints ?? []).flatMap(constraint => constraint.type === 'primary key' ? constraint.columns.map(({name}) => name) : []);
	return {name: statement.name.name, columns, key: [...new Set([...columnKeys, ...tableKeys])]};
}
