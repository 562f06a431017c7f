/* eslint-disable @typescript-eslint/switch-exhaustiveness-check -- The default cases reject the many expressions and statements that the parser knows and the stand-in does not support. */
import {
	type CreateTableStatement, type DeleteStatement, type Expr, type InsertStatement, type SelectFromStatement, type UpdateStatement,
} from 'pgsql-ast-parser';
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

type ParameterValues = readonly Value[];
type FoundRow = readonly [key: string, row: Row];

const integerTypes: Readonly<Record<string, Column['type']>> = {
	int: 'int4', integer: 'int4', int4: 'int4', smallint: 'int4', bigint: 'int8', int8: 'int8',
};

function unsupported(what: string): SqlError {
	return new SqlError('0A000', `${what} is not supported`);
}

/** Returns whether only a primary may run the statement. */
export function isWrite(statement: ParsedStatement): boolean {
	return ['insert', 'update', 'delete', 'create table'].includes(statement.type)
		|| (statement.type === 'select' && statement.for !== undefined);
}

/** Returns the call that a statement of the form `SELECT * FROM name(...)` or `SELECT name(...)` makes. */
export function calledFunction(statement: ParsedStatement, parameters: ParameterValues): {readonly name: string; readonly values: readonly Value[]} | undefined {
	if (statement.type !== 'select') {
		return undefined;
	}

	const source = statement.from?.[0];
	const call = source ?? statement.columns?.[0]?.expr;
	return call?.type === 'call'
		? {name: call.function.name, values: call.args.map(argument => argument.type === 'ref' ? null : evaluate(argument, {}, parameters))}
		: undefined;
}

/** Evaluates an expression on a row. Throws 42703 and 0A000. */
export function evaluate(expression: Expr, row: Row, parameters: ParameterValues): Value {
	switch (expression.type) {
		case 'integer':
		case 'numeric':
		case 'string': {
			return expression.value;
		}

		case 'boolean': {
			return expression.value ? 't' : 'f';
		}

		case 'null': {
			return null;
		}

		case 'parameter': {
			return parameters[Number(expression.name.slice(1)) - 1] ?? null;
		}

		case 'cast': {
			return evaluate(expression.operand, row, parameters);
		}

		case 'ref': {
			if (!(expression.name in row)) {
				throw new SqlError('42703', `column "${expression.name}" does not exist`);
			}

			return row[expression.name];
		}

		case 'binary': {
			const left = Number(evaluate(expression.left, row, parameters));
			const right = Number(evaluate(expression.right, row, parameters));
			if (expression.op !== '+' && expression.op !== '-') {
				throw unsupported(`operator ${expression.op}`);
			}

			return expression.op === '+' ? left + right : left - right;
		}

		case 'call': {
			return callScalar(expression.function.name);
		}

		default: {
			throw unsupported(`expression ${expression.type}`);
		}
	}
}

function callScalar(name: string): Value {
	switch (name) {
		case 'now': {
			return new Date().toISOString();
		}

		case 'pg_sleep': {
			return '';
		}

		default: {
			throw unsupported(`function ${name}`);
		}
	}
}

function matches(condition: Expr | null | undefined, row: Row, parameters: ParameterValues): boolean {
	if (!condition) {
		return true;
	}

	if (condition.type !== 'binary') {
		throw unsupported(`condition ${condition.type}`);
	}

	if (condition.op === 'AND') {
		return matches(condition.left, row, parameters) && matches(condition.right, row, parameters);
	}

	const left = evaluate(condition.left, row, parameters);
	if (condition.op === 'IN' && condition.right.type === 'list') {
		return condition.right.expressions.some(expression => compareValues(left, evaluate(expression, row, parameters)) === 0);
	}

	const order = compareValues(left, evaluate(condition.right, row, parameters));
	switch (condition.op) {
		case '=': {
			return order === 0;
		}

		case '<': {
			return order < 0;
		}

		case '>': {
			return order > 0;
		}

		default: {
			throw unsupported(`operator ${condition.op}`);
		}
	}
}

/** Orders two values; not a number when one of them is null. */
function compareValues(left: Value, right: Value): number {
	if (left === null || right === null) {
		return Number.NaN;
	}

	if (typeof left === 'number' || typeof right === 'number') {
		return Number(left) - Number(right);
	}

	return Number(left > right) - Number(left < right);
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

function rowKey(shape: TableShape, row: Row): string {
	const values = shape.key.map(name => row[name]);
	if (values.includes(null)) {
		throw new SqlError('23502', `null value in the primary key of "${shape.name}"`);
	}

	return JSON.stringify(values);
}

/** Returns the key when the condition fixes every column of the primary key to a constant. */
function conditionKey(shape: TableShape, condition: Expr | null | undefined, parameters: ParameterValues): string | undefined {
	const fixed: Record<string, Value> = {};
	const collect = (expression: Expr | null | undefined): void => {
		if (expression?.type === 'binary' && expression.op === 'AND') {
			collect(expression.left);
			collect(expression.right);
		} else if (expression?.type === 'binary' && expression.op === '=' && expression.left.type === 'ref' && expression.right.type !== 'ref') {
			fixed[expression.left.name] = evaluate(expression.right, {}, parameters);
		}
	};

	collect(condition);
	const columns = shape.key.map(name => shape.columns.find(column => column.name === name)!);
	return columns.length > 0 && columns.every(({name}) => name in fixed && fixed[name] !== null)
		? JSON.stringify(columns.map(column => toColumnValue(column, fixed[column.name])))
		: undefined;
}

function findRows(shape: TableShape, condition: Expr | null | undefined, transaction: Transaction, parameters: ParameterValues): readonly FoundRow[] {
	const key = conditionKey(shape, condition, parameters);
	const row = key === undefined ? undefined : transaction.row(shape.name, key);
	const candidates = key === undefined ? [...transaction.rows(shape.name)] : (row ? [[key, row] as const] : []);
	return candidates.filter(candidate => matches(condition, candidate[1], parameters));
}

function sourceShape(statement: SelectFromStatement, transaction: Transaction): TableShape | undefined {
	const source = statement.from?.[0];
	if (!source) {
		return undefined;
	}

	if (source.type !== 'table' || statement.from?.length !== 1) {
		throw unsupported('this source of rows');
	}

	return transaction.shape(source.name.name);
}

function expressionType(expression: Expr, shape: TableShape | undefined): number {
	switch (expression.type) {
		case 'ref': {
			const column = shape?.columns.find(({name}) => name === expression.name);
			if (!column) {
				throw new SqlError('42703', `column "${expression.name}" does not exist`);
			}

			return typeIds[column.type];
		}

		case 'integer': {
			return typeIds.int4;
		}

		case 'boolean': {
			return typeIds.boolean;
		}

		case 'binary': {
			return typeIds.int8;
		}

		default: {
			return expression.type === 'call' && expression.function.name === 'count' ? typeIds.int8 : typeIds.text;
		}
	}
}

const isStar = (expression: Expr): boolean => expression.type === 'ref' && expression.name === '*';

function expressionName(expression: Expr): string {
	if (expression.type === 'ref') {
		return expression.name;
	}

	return expression.type === 'call' ? expression.function.name : '?column?';
}

type OutputColumn = ResultColumn & {readonly expression: Expr};

function outputColumns(statement: SelectFromStatement, shape: TableShape | undefined): readonly OutputColumn[] {
	return (statement.columns ?? []).flatMap(({expr: expression, alias}): readonly OutputColumn[] => isStar(expression)
		? (shape?.columns ?? []).map(({name, type}) => ({name, typeId: typeIds[type], expression: {type: 'ref', name}}))
		: [{name: alias?.name ?? expressionName(expression), typeId: expressionType(expression, shape), expression}]);
}

/** Returns the columns that a statement on tables will return. Throws 42P01 and 42703. */
export function describeStatement(statement: ParsedStatement, transaction: Transaction): readonly ResultColumn[] | undefined {
	if (statement.type === 'setting' || statement.type === 'show') {
		return isShow(statement) ? [{name: settingName(statement), typeId: typeIds.text}] : undefined;
	}

	return statement.type === 'select' ? outputColumns(statement, sourceShape(statement, transaction)) : undefined;
}

const isShow = (statement: ParsedStatement): boolean => statement.type === 'show' || (statement.type === 'setting' && statement.tag === 'SHOW');

function settingName(statement: ParsedStatement): string {
	if (statement.type === 'setting') {
		return statement.name;
	}

	return statement.type === 'show' ? statement.variable.name : '';
}

/** Runs a statement within a transaction. Throws an SqlError. */
export function executeStatement(statement: ParsedStatement, transaction: Transaction, parameters: ParameterValues): Result {
	switch (statement.type) {
		case 'select': {
			return executeSelect(statement, transaction, parameters);
		}

		case 'insert': {
			return executeInsert(statement, transaction, parameters);
		}

		case 'update': {
			return executeUpdate(statement, transaction, parameters);
		}

		case 'delete': {
			return executeDelete(statement, transaction, parameters);
		}

		case 'create table': {
			return executeCreate(statement, transaction);
		}

		case 'setting':
		case 'set':
		case 'show': {
			const value = settingName(statement) === 'transaction_read_only' && transaction.term === null ? 'on' : 'off';
			return isShow(statement)
				? {tag: 'SHOW', columns: describeStatement(statement, transaction), rows: [[value]]}
				: {tag: statement.type === 'setting' ? statement.tag : 'SET', rows: []};
		}

		default: {
			throw unsupported(`statement ${statement.type}`);
		}
	}
}

function executeSelect(statement: SelectFromStatement, transaction: Transaction, parameters: ParameterValues): Result {
	const shape = sourceShape(statement, transaction);
	const columns = outputColumns(statement, shape);
	const found = shape ? findRows(shape, statement.where, transaction, parameters) : [['', {}] as const];
	const isCount = columns.some(({expression}) => expression.type === 'call' && expression.function.name === 'count');
	if (isCount) {
		return {tag: 'SELECT 1', columns, rows: [columns.map(() => found.length)]};
	}

	const limit = statement.limit?.limit ? Number(evaluate(statement.limit.limit, {}, parameters)) : found.length;
	const chosen = sortRows(statement, found, parameters).slice(0, limit);
	if (shape && statement.for) {
		for (const [key] of chosen) {
			transaction.own(shape.name, key);
		}
	}

	const rows = chosen.map(([, row]) => columns.map(({expression}) => evaluate(expression, row, parameters)));
	return {tag: `SELECT ${rows.length}`, columns, rows};
}

function sortRows(statement: SelectFromStatement, rows: readonly FoundRow[], parameters: ParameterValues): readonly FoundRow[] {
	return rows.toSorted(([, first], [, second]) => {
		for (const {by, order} of statement.orderBy ?? []) {
			const difference = compareValues(evaluate(by, first, parameters), evaluate(by, second, parameters));
			if (difference) {
				return order === 'DESC' ? -difference : difference;
			}
		}

		return 0;
	});
}

function executeInsert(statement: InsertStatement, transaction: Transaction, parameters: ParameterValues): Result {
	const shape = transaction.shape(statement.into.name);
	if (statement.insert.type !== 'values' || statement.returning) {
		throw unsupported('this form of INSERT');
	}

	const names = statement.columns?.map(({name}) => name) ?? shape.columns.map(({name}) => name);
	const unknown = names.find(name => !shape.columns.some(column => column.name === name));
	if (unknown !== undefined) {
		throw new SqlError('42703', `column "${unknown}" does not exist`);
	}

	let inserted = 0;
	for (const expressions of statement.insert.values) {
		const row = Object.fromEntries(shape.columns.map(column => {
			const expression = expressions[names.indexOf(column.name)];
			return [column.name, expression ? toColumnValue(column, evaluate(expression, {}, parameters)) : null];
		}));
		inserted += Number(insertRow(shape, row, transaction, statement.onConflict !== undefined));
	}

	return {tag: `INSERT 0 ${inserted}`, rows: []};
}

function insertRow(shape: TableShape, row: Row, transaction: Transaction, skipExisting: boolean): boolean {
	// The key of a table without a primary key is part of the log, so every member uses the same.
	const key = shape.key.length > 0 ? rowKey(shape, row) : crypto.randomUUID();
	if (transaction.row(shape.name, key)) {
		if (skipExisting) {
			return false;
		}

		throw new SqlError('23505', `duplicate key value violates unique constraint "${shape.name}_pkey"`);
	}

	transaction.own(shape.name, key);
	transaction.put(shape.name, key, row);
	return true;
}

function executeUpdate(statement: UpdateStatement, transaction: Transaction, parameters: ParameterValues): Result {
	const shape = transaction.shape(statement.table.name);
	const found = findRows(shape, statement.where, transaction, parameters);
	for (const [key, row] of found) {
		const changed = {...row};
		for (const {column: {name}, value} of statement.sets) {
			const column = shape.columns.find(candidate => candidate.name === name);
			if (!column || shape.key.includes(name)) {
				throw column ? unsupported('changing a primary key') : new SqlError('42703', `column "${name}" does not exist`);
			}

			changed[name] = toColumnValue(column, evaluate(value, row, parameters));
		}

		transaction.own(shape.name, key);
		transaction.put(shape.name, key, changed);
	}

	return {tag: `UPDATE ${found.length}`, rows: []};
}

function executeDelete(statement: DeleteStatement, transaction: Transaction, parameters: ParameterValues): Result {
	const shape = transaction.shape(statement.from.name);
	const found = findRows(shape, statement.where, transaction, parameters);
	for (const [key] of found) {
		transaction.own(shape.name, key);
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
	const columns = definitions.map(({name, dataType}): Column => ({
		name: name.name,
		type: 'name' in dataType ? integerTypes[dataType.name] ?? 'text' : 'text',
	}));
	const ownKeys = definitions.filter(({constraints}) => constraints?.some(({type}) => type === 'primary key')).map(({name}) => name.name);
	const tableKeys = (statement.constraints ?? []).flatMap(constraint => constraint.type === 'primary key' ? constraint.columns.map(({name}) => name) : []);
	return {name: statement.name.name, columns, key: [...new Set([...ownKeys, ...tableKeys])]};
}
