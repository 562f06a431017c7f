import {type BinaryOperator, type Expr} from 'pgsql-ast-parser';
import {SqlError} from './sql-error.js';
import {type ParsedStatement} from './statement-parser.js';
import {type Row, type Value} from './tables.js';

/** Values of the parameters of a statement. */
export type ParameterValues = readonly Value[];

/** Condition of a statement; without one all rows match. */
export type Condition = Expr | null | undefined;

/** Returns the error for something that the stand-in does not know. */
export function unsupported(what: string): SqlError {
	return new SqlError('0A000', `${what} is not supported`);
}

/** Returns the error for a column that a table does not have. */
export function unknownColumn(name: string): SqlError {
	return new SqlError('42703', `column "${name}" does not exist`);
}

const scalarFunctions: Readonly<Record<string, () => Value>> = {
	now: () => new Date().toISOString(),
	pg_sleep: () => '',
};

/** Evaluates an expression on a row. Throws 42703 and 0A000. */
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

	throw expression.type === 'ref' ? unknownColumn(expression.name) : unsupported(`expression ${expression.type}`);
}

const comparisons: Partial<Readonly<Record<BinaryOperator, (order: number) => boolean>>> = {
	'=': order => order === 0,
	'<': order => order < 0,
	'>': order => order > 0,
};

/** Returns whether a row fulfils a condition. Throws 42703 and 0A000. */
export function matches(condition: Condition, row: Row, values: ParameterValues): boolean {
	if (!condition) {
		return true;
	}

	if (condition.type !== 'binary') {
		throw unsupported(`condition ${condition.type}`);
	}

	if (condition.op === 'AND') {
		return matches(condition.left, row, values) && matches(condition.right, row, values);
	}

	const comparison = comparisons[condition.op];
	if (!comparison) {
		throw unsupported(`operator ${condition.op}`);
	}

	return comparison(compareValues(evaluate(condition.left, row, values), evaluate(condition.right, row, values)));
}

/** Orders two values; not a number when one of them is null. */
export function compareValues(left: Value, right: Value): number {
	if (left === null || right === null) {
		return Number.NaN;
	}

	if (typeof left === 'number' || typeof right === 'number') {
		return Number(left) - Number(right);
	}

	return Number(left > right) - Number(left < right);
}

/** Returns the values to which a condition fixes columns by equality. */
export function fixedValues(condition: Condition, values: ParameterValues): Row {
	if (condition?.type !== 'binary') {
		return {};
	}

	if (condition.op === 'AND') {
		return {...fixedValues(condition.left, values), ...fixedValues(condition.right, values)};
	}

	return condition.op === '=' && condition.left.type === 'ref' && condition.right.type !== 'ref'
		? {[condition.left.name]: evaluate(condition.right, {}, values)}
		: {};
}

/** Returns the call that a statement of the form `SELECT * FROM name(...)` or `SELECT name(...)` makes. */
export function calledFunction(statement: ParsedStatement): {readonly name: string; readonly values: (parameters: ParameterValues) => readonly Value[]} | undefined {
	const call = statement.type === 'select' ? statement.from?.[0] ?? statement.columns?.[0]?.expr : undefined;
	return call?.type === 'call'
		? {name: call.function.name, values: parameters => call.args.map(argument => evaluate(argument, {}, parameters))}
		: undefined;
}
