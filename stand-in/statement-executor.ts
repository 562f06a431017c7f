import {
	type CreateTableStatement, type DeleteStatement, type Expr, type InsertStatement, type SelectFromStatement, type UpdateStatement,
} from 'pgsql-ast-parser';
import {
	compareValues, evaluate, fixedValues, matches, unknownColumn, unsupported, type Condition, type ParameterValues,
} from './expressions.js';
import {typeIds, type ResultColumn} from './postgres-messages.js';
import {SqlError} from './sql-error.js';
import {type ParsedStatement} from './statement-parser.js';
import {
	type Column, type Row, type TableShape, type Transaction, type Value,
} from './tables.js';

/** Result of a statement; one without columns returns no rows. */
export type Result = {
	readonly tag: string;
	readonly columns?: readonly ResultColumn[];
	readonly rows: ReadonlyArray<readonly Value[]>;
};

type FoundRow = readonly [key: string, row: Row];
type OutputColumn = ResultColumn & {readonly expression: Expr};

const integerTypes: Readonly<Record<string, Column['type']>> = {
	int: 'int4', integer: 'int4', int4: 'int4', smallint: 'int4', bigint: 'int8', int8: 'int8',
};

/** Returns whether only a primary may run the statement. */
export function isWrite(statement: ParsedStatement): boolean {
	return ['insert', 'update', 'delete', 'create table'].includes(statement.type)
		|| (statement.type === 'select' && statement.for !== undefined);
}

/** Returns the columns that a statement will return. Throws 42P01 and 42703. */
export function describeStatement(statement: ParsedStatement, transaction: Transaction): readonly ResultColumn[] | undefined {
	if (statement.type === 'select') {
		return outputColumns(statement, sourceShape(statement, transaction));
	}

	return statement.type === 'setting' && statement.tag === 'SHOW' ? [{name: statement.name, typeId: typeIds.text}] : undefined;
}

/** Runs a statement within a transaction. Throws an SqlError. */
export function executeStatement(statement: ParsedStatement, transaction: Transaction, values: ParameterValues): Result {
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
			return executeCreate(statement, transaction);
		}

		case 'setting': {
			const columns = describeStatement(statement, transaction);
			const value = statement.name === 'transaction_read_only' && transaction.term === null ? 'on' : 'off';
			return {tag: statement.tag, columns, rows: columns ? [[value]] : []};
		}

		default: {
			throw unsupported(`statement ${statement.type}`);
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

function findColumn(shape: TableShape | undefined, name: string): Column {
	const found = shape?.columns.find(column => column.name === name);
	if (!found) {
		throw unknownColumn(name);
	}

	return found;
}

function rowKey(shape: TableShape, row: Row): string {
	const values = shape.key.map(name => row[name]);
	if (values.includes(null)) {
		throw new SqlError('23502', `null value in the primary key of "${shape.name}"`);
	}

	return JSON.stringify(values);
}

function findRows(shape: TableShape, condition: Condition, transaction: Transaction, values: ParameterValues): readonly FoundRow[] {
	const fixed = fixedValues(condition, values);
	const hasKey = shape.key.length > 0 && shape.key.every(name => (fixed[name] ?? null) !== null);
	if (!hasKey) {
		return [...transaction.rows(shape.name)].filter(([, row]) => matches(condition, row, values));
	}

	const key = JSON.stringify(shape.key.map(name => toColumnValue(findColumn(shape, name), fixed[name])));
	const row = transaction.row(shape.name, key);
	return row && matches(condition, row, values) ? [[key, row]] : [];
}

function sourceShape({from}: SelectFromStatement, transaction: Transaction): TableShape | undefined {
	if (!from) {
		return undefined;
	}

	if (from[0].type !== 'table' || from.length !== 1) {
		throw unsupported('this source of rows');
	}

	return transaction.shape(from[0].name.name);
}

const isCount = (expression: Expr): boolean => expression.type === 'call' && expression.function.name === 'count';

function expressionType(expression: Expr, shape: TableShape | undefined): number {
	if (expression.type === 'ref') {
		return typeIds[findColumn(shape, expression.name).type];
	}

	if (isCount(expression) || expression.type === 'binary') {
		return typeIds.int8;
	}

	return expression.type === 'integer' ? typeIds.int4 : typeIds.text;
}

function expressionName(expression: Expr): string {
	if (expression.type === 'ref') {
		return expression.name;
	}

	return expression.type === 'call' ? expression.function.name : '?column?';
}

function outputColumns(statement: SelectFromStatement, shape: TableShape | undefined): readonly OutputColumn[] {
	return (statement.columns ?? []).flatMap(({expr: expression, alias}): readonly OutputColumn[] => expression.type === 'ref' && expression.name === '*'
		? (shape?.columns ?? []).map(({name, type}) => ({name, typeId: typeIds[type], expression: {type: 'ref', name}}))
		: [{name: alias?.name ?? expressionName(expression), typeId: expressionType(expression, shape), expression}]);
}

function executeSelect(statement: SelectFromStatement, transaction: Transaction, values: ParameterValues): Result {
	const shape = sourceShape(statement, transaction);
	const columns = outputColumns(statement, shape);
	const found = shape ? findRows(shape, statement.where, transaction, values) : [['', {}] as const];
	if (columns.some(({expression}) => isCount(expression))) {
		return {tag: 'SELECT 1', columns, rows: [columns.map(() => found.length)]};
	}

	const limit = statement.limit?.limit ? Number(evaluate(statement.limit.limit, {}, values)) : found.length;
	const chosen = sortRows(statement, found, values).slice(0, limit);
	if (shape && statement.for) {
		for (const [key] of chosen) {
			transaction.own(shape.name, key);
		}
	}

	const rows = chosen.map(([, row]) => columns.map(({expression}) => evaluate(expression, row, values)));
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

function executeInsert(statement: InsertStatement, transaction: Transaction, values: ParameterValues): Result {
	const shape = transaction.shape(statement.into.name);
	const {insert, onConflict} = statement;
	if (insert.type !== 'values' || statement.returning !== undefined || typeof onConflict?.do === 'object') {
		throw unsupported('this form of INSERT');
	}

	const columns = statement.columns?.map(({name}) => findColumn(shape, name)) ?? shape.columns;
	const defaults = Object.fromEntries(shape.columns.map(column => [column.name, column.defaultValue ? toColumnValue(column, evaluate(column.defaultValue, {}, [])) : null]));
	const inserted = insert.values.filter(expressions => {
		const given = expressions.map((expression, index) => [columns[index].name, toColumnValue(columns[index], evaluate(expression, {}, values))] as const);
		return insertRow(shape, {...defaults, ...Object.fromEntries(given)}, transaction, Boolean(onConflict));
	});
	return {tag: `INSERT 0 ${inserted.length}`, rows: []};
}

function insertRow(shape: TableShape, row: Row, transaction: Transaction, skipExisting: boolean): boolean {
	// The key of a table without a primary key is part of the log, so every member uses the same.
	const key = shape.key.length > 0 ? rowKey(shape, row) : crypto.randomUUID();
	const exists = transaction.row(shape.name, key) !== undefined;
	if (exists && !skipExisting) {
		throw new SqlError('23505', `duplicate key value violates unique constraint "${shape.name}_pkey"`);
	}

	if (!exists) {
		transaction.put(shape.name, key, row);
	}

	return !exists;
}

function executeUpdate(statement: UpdateStatement, transaction: Transaction, values: ParameterValues): Result {
	const shape = transaction.shape(statement.table.name);
	const found = findRows(shape, statement.where, transaction, values);
	if (statement.sets.some(({column}) => shape.key.includes(column.name))) {
		throw unsupported('changing a primary key');
	}

	for (const [key, row] of found) {
		const changed = statement.sets.map(({column, value}) => [column.name, toColumnValue(findColumn(shape, column.name), evaluate(value, row, values))] as const);
		transaction.put(shape.name, key, {...row, ...Object.fromEntries(changed)});
	}

	return {tag: `UPDATE ${found.length}`, rows: []};
}

function executeDelete(statement: DeleteStatement, transaction: Transaction, values: ParameterValues): Result {
	const shape = transaction.shape(statement.from.name);
	const found = findRows(shape, statement.where, transaction, values);
	for (const [key] of found) {
		transaction.put(shape.name, key, null);
	}

	return {tag: `DELETE ${found.length}`, rows: []};
}

function executeCreate(statement: CreateTableStatement, transaction: Transaction): Result {
	const {name} = statement.name;
	if (!transaction.findShape(name)) {
		transaction.create(tableShape(statement));
	} else if (!statement.ifNotExists) {
		throw new SqlError('42P07', `relation "${name}" already exists`);
	}

	return {tag: 'CREATE TABLE', rows: []};
}

function tableShape(statement: CreateTableStatement): TableShape {
	const definitions = statement.columns.filter(column => column.kind === 'column');
	const columns = definitions.map(({name, dataType, constraints}): Column => ({
		name: name.name,
		type: 'name' in dataType ? integerTypes[dataType.name] ?? 'text' : 'text',
		defaultValue: constraints?.find(constraint => constraint.type === 'default')?.default,
	}));
	const ownKeys = definitions.filter(({constraints}) => constraints?.some(({type}) => type === 'primary key')).map(({name}) => name.name);
	const tableKeys = (statement.constraints ?? []).flatMap(constraint => constraint.type === 'primary key' ? constraint.columns.map(({name}) => name) : []);
	return {name: statement.name.name, columns, key: [...new Set([...ownKeys, ...tableKeys])]};
}
