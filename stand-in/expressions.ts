import {type BinaryOperator, type Expr} from 'pgsql-ast-parser';
import {SqlError} from './sql-error.js';
import {type ParsedStatement} from './statement-parser.js';
import {type Row, type Value} from './tables.js';

/** Parameter values of a statement; `$1` is the first. */
export type ParameterValues = readonly Value[];

/** WHERE condition of a statement; all rows match if it is absent. */
export type Condition = Expr | null | undefined;

/** Returns the error for an SQL construct that the stand-in does not support. */
export function unsupportedError(construct: string): SqlError {
	return new SqlError('0A000', `${construct} is not supported`);
}

/** Returns the error for a column that does not exist. */
export function unknownColumnError(name: string): SqlError {
	return new SqlError('42703', `column "${name}" does not exist`);
}

const scalarFunctions: Readonly<Record<string, () => Value>> = {
	now: () => new Date().toISOString(),
	pg_sleep: () => '',
};

/** Evaluates an expression for a row. Throws 42703 for an unknown column and 0A000 for an unsupported expression. */
export function evaluate(expression: Expr, row: Row, values: ParameterValues): Value {
	if (expression.type === 'integer' || expression.type === 'numeric' || expression.type === 'string') {
		return expression.value;
	}

	if (expression.type === 'ref' && expression.name in row) {
		return row[expression.name];
	}

	if (expression.type === 'parameter') {
		return values[Number(expression.name.slice(1)) - 1] ?? null;
	}

	if (expression.type === 'cast') {
		return evaluate(expression.operand, row, values);
	}

	if (expression.type === 'binary' && (expression.op === '+' || expression.op === '-')) {
		const [left, right] = [expression.left, expression.right].map(operand => Number(evaluate(operand, row, values)));
		return expression.op === '+' ? left + right : left - right;
	}

	if (expression.type === 'call' && expression.function.name in scalarFunctions) {
		return scalarFunctions[expression.function.name]();
	}

	if (expression.type === 'null') {
		return null;
	}

	throw expression.type === 'ref' ? unknownColumnError(expression.name) : unsupportedError(`expression ${expression.type}`);
}

const comparisons: Partial<Readonly<Record<BinaryOperator, (order: number) => boolean>>> = {
	'=': order => order === 0,
	'<': order => order < 0,
	'>': order => order > 0,
};

/** Returns whether a row satisfies a condition. Throws 42703 for an unknown column and 0A000 for an unsupported condition. */
export function matchesCondition(condition: Condition, row: Row, values: ParameterValues): boolean {
	if (!condition) {
		return true;
	}

	if (condition.type !== 'binary') {
		throw unsupportedError(`condition ${condition.type}`);
	}

	if (condition.op === 'AND') {
		return matchesCondition(condition.left, row, values) && matchesCondition(condition.right, row, values);
	}

	const comparison = comparisons[condition.op];
	if (!comparison) {
		throw unsupportedError(`operator ${condition.op}`);
	}

	return comparison(compareValues(evaluate(condition.left, row, values), evaluate(condition.right, row, values)));
}

/** Compares two values as a sort callback does. Returns NaN if one of them is null. */
export function compareValues(left: Value, right: Value): number {
	if (left === null || right === null) {
		return Number.NaN;
	}

	if (typeof left === 'number' || typeof right === 'number') {
		return Number(left) - Number(right);
	}

	return Number(left > right) - Number(left < right);
}

/** Returns, by column name, the values that a condition requires with `=`. If they include the primary key, the row can be looked up by it. */
export function equalityValues(condition: Condition, values: ParameterValues): Row {
	if (condition?.type !== 'binary') {
		return {};
	}

	if (condition.op === 'AND') {
		return {...equalityValues(condition.left, values), ...equalityValues(condition.right, values)};
	}

	return condition.op === '=' && condition.left.type === 'ref' && condition.right.type !== 'ref'
		? {[condition.left.name]: evaluate(condition.right, {}, values)}
		: {};
}

/** Returns the function call in a statement of the form `SELECT * FROM name(...)` or `SELECT name(...)`, or undefined for other statements. */
export function findFunctionCall(statement: ParsedStatement): {readonly name: string; readonly values: (parameters: ParameterValues) => readonly Value[]} | undefined {
	const call = statement.type === 'select' ? statement.from?.[0] ?? statement.columns?.[0]?.expr : undefined;
	return call?.type === 'call'
		? {name: call.function.name, values: parameters => call.args.map(argument => evaluate(argument, {}, parameters))}
		: undefined;
}
