import {
	registerSequence, writtenValue, type HistoryRow, type Operation, type OperationKind, type RecordedHistory,
} from './history.js';

/** One violation of a guarantee that the proxy gives. */
export type Violation = {
	readonly rule: 'readYourWrites' | 'staleRead' | 'lostWrite' | 'doubledWrite' | 'notRunButRan' | 'foreignAnswer' | 'splitTransaction' | 'unsentWrite' | 'revisionFell';
	readonly detail: string;
};

/** The `part` argument of `writtenValue` for each row that a write inserts. */
const expectedParts: Readonly<Record<'insert' | 'transaction', readonly string[]>> = {insert: ['notice'], transaction: ['first', 'second']};
const lookups: ReadonlySet<OperationKind> = new Set(['lookupNotice', 'lookupRegister', 'lookupPair']);

/** Returns every violation that the history shows. */
export function checkHistory(history: RecordedHistory): readonly Violation[] {
	const {operations, finalContent, revisions} = history;
	const index = new WriteIndex(operations);
	return [
		...checkRows(index, 'insert', finalContent.notice),
		...checkRows(index, 'transaction', finalContent.pair),
		...checkRegisters(index, finalContent.register),
		...operations.filter(({kind}) => lookups.has(kind)).flatMap(operation => checkLookup(index, operation)),
		...checkRevisions(revisions),
	];
}

/** Index of the attempts of each write by kind and key. */
class WriteIndex {
	readonly #attempts = new Map<string, Operation[]>();

	constructor(operations: readonly Operation[]) {
		for (const operation of operations) {
			if (!lookups.has(operation.kind)) {
				const name = `${operation.kind} ${operation.key}`;
				this.#attempts.set(name, [...this.#attempts.get(name) ?? [], operation]);
			}
		}
	}

	attempts(kind: OperationKind, key: string): readonly Operation[] {
		return this.#attempts.get(`${kind} ${key}`) ?? [];
	}

	* writes(kind: OperationKind): Generator<readonly [key: string, attempts: readonly Operation[]]> {
		for (const attempts of this.#attempts.values()) {
			if (attempts[0].kind === kind) {
				yield [attempts[0].key, attempts];
			}
		}
	}
}

function valuesByKey(rows: readonly HistoryRow[]): ReadonlyMap<string, readonly string[]> {
	const found = new Map<string, string[]>();
	for (const {key, value} of rows) {
		found.set(key, [...found.get(key) ?? [], value]);
	}

	return found;
}

const isAcknowledged = ({outcome}: Operation): boolean => outcome.kind === 'acknowledged';

/** Returns whether the answers say that the write did not run. A retry with the same request id may be refused although an earlier attempt ran, so every attempt must have been refused or rolled back. The code `requestAbandoned` suffices alone, since it applies to all attempts. */
function hasNotRun(attempts: readonly Operation[]): boolean {
	return attempts.every(({outcome}) => outcome.kind === 'notRun' || outcome.kind === 'error')
		|| attempts.some(({outcome}) => outcome.kind === 'notRun' && outcome.code === 'requestAbandoned');
}

/** Returns whether the answers say that the write ran. The code `requestIdReused`, which refuses a transaction whose request id was used before, means that the earlier attempt committed. */
function hasRun(attempts: readonly Operation[]): boolean {
	return attempts.some(operation => isAcknowledged(operation) || (operation.outcome.kind === 'notRun' && operation.outcome.code === 'requestIdReused'));
}

function checkRows(index: WriteIndex, kind: 'insert' | 'transaction', rows: readonly HistoryRow[]): readonly Violation[] {
	const violations: Violation[] = [];
	const finalValues = valuesByKey(rows);
	for (const [key, attempts] of index.writes(kind)) {
		const values = finalValues.get(key) ?? [];
		if (hasRun(attempts) && values.length < expectedParts[kind].length) {
			violations.push({rule: 'lostWrite', detail: `${kind} ${key} was acknowledged; the group holds ${values.length} of its rows`});
		}

		if (hasNotRun(attempts) && !hasRun(attempts) && values.length > 0) {
			violations.push({rule: 'notRunButRan', detail: `${kind} ${key} was refused as not run; the group holds it`});
		}

		violations.push(...checkParts(kind, key, values));
	}

	for (const key of finalValues.keys()) {
		if (index.attempts(kind, key).length === 0) {
			violations.push({rule: 'unsentWrite', detail: `${kind} ${key} was never sent; the group holds it`});
		}
	}

	return violations;
}

/** Checks the rows of one write: all or none, and each part only once. */
function checkParts(kind: 'insert' | 'transaction', key: string, values: readonly string[]): readonly Violation[] {
	const expectedValues = expectedParts[kind].map(part => writtenValue(key, part));
	const violations: Violation[] = [];
	if (values.some(value => !expectedValues.includes(value))) {
		violations.push({rule: 'foreignAnswer', detail: `${kind} ${key} has the values ${values.join(', ')}`});
	}

	if (new Set(values).size < values.length) {
		violations.push({rule: 'doubledWrite', detail: `${kind} ${key} has ${values.length} rows`});
	}

	if (values.length > 0 && expectedValues.some(value => !values.includes(value))) {
		violations.push({rule: 'splitTransaction', detail: `${kind} ${key} has only ${values.join(', ')}`});
	}

	return violations;
}

function checkRegisters(index: WriteIndex, rows: readonly HistoryRow[]): readonly Violation[] {
	const finalValues = valuesByKey(rows);
	return [...index.writes('update')].flatMap(([key, attempts]) => {
		const values = finalValues.get(key) ?? [];
		const lastAcknowledged = Math.max(0, ...attempts.filter(attempt => isAcknowledged(attempt)).map(({value}) => registerSequence(key, value)));
		return [
			...values.length > 1 ? [{rule: 'doubledWrite', detail: `register ${key} has ${values.length} rows`} as const] : [],
			...checkRegisterValue(attempts, values[0], lastAcknowledged, {subject: `register ${key} after repair`, rule: 'lostWrite'}),
		];
	});
}

/** Subject with which the detail of a violation begins, and the rule that a missing write violates. */
type ViolationContext = {readonly subject: string; readonly rule: Violation['rule']};

/** Checks that a register holds a write that may have run and has at least the given sequence number. */
function checkRegisterValue(attempts: readonly Operation[], value: string | undefined, minimumSequence: number, {subject, rule}: ViolationContext): readonly Violation[] {
	const {key} = attempts[0];
	const sequence = value === undefined ? 0 : registerSequence(key, value);
	const matchingAttempts = attempts.filter(attempt => attempt.value === value);
	if (sequence === -1 || (sequence > 0 && matchingAttempts.length === 0)) {
		return [{rule: 'foreignAnswer', detail: `${subject}: ${value} was never written`}];
	}

	if (sequence < minimumSequence) {
		return [{rule, detail: `${subject}: holds write ${sequence}, write ${minimumSequence} was acknowledged`}];
	}

	const isRefused = matchingAttempts.length > 0 && hasNotRun(matchingAttempts) && !hasRun(matchingAttempts);
	return isRefused ? [{rule: 'notRunButRan', detail: `${subject}: holds ${value}, which was refused as not run`}] : [];
}

function checkLookup(index: WriteIndex, lookup: Operation): readonly Violation[] {
	if (lookup.outcome.kind !== 'rows') {
		return [];
	}

	const {rows} = lookup.outcome;
	const subject = `${lookup.kind} ${lookup.key} of ${lookup.session} at ${lookup.entry}`;
	if (rows.some(({key}) => key !== lookup.key)) {
		return [{rule: 'foreignAnswer', detail: `${subject} got rows of ${rows.map(({key}) => key).join(', ')}`}];
	}

	const values = rows.map(({value}) => value);
	return lookup.kind === 'lookupRegister' ? checkRegisterLookup(index, lookup, values, subject) : checkRowLookup(index, lookup, values, subject);
}

/** Returns whether the lookup must show the write. Without a maximum age, it must show the earlier acknowledged writes of its own session; with one, every write that was acknowledged longer ago than that age. */
function mustShow(write: Operation, lookup: Operation): boolean {
	if (!isAcknowledged(write)) {
		return false;
	}

	return lookup.maximumAge === null
		? write.session === lookup.session && write.endOrder < lookup.startOrder
		: write.endedAt < lookup.startedAt - lookup.maximumAge;
}

const missingWriteRule = (lookup: Operation): 'readYourWrites' | 'staleRead' => lookup.maximumAge === null ? 'readYourWrites' : 'staleRead';

function checkRowLookup(index: WriteIndex, lookup: Operation, values: readonly string[], subject: string): readonly Violation[] {
	const kind = lookup.kind === 'lookupNotice' ? 'insert' : 'transaction';
	const attempts = index.attempts(kind, lookup.key);
	if (attempts.some(write => mustShow(write, lookup)) && values.length === 0) {
		return [{rule: missingWriteRule(lookup), detail: `${subject} does not show an acknowledged write`}];
	}

	// A visible row proves that a write ran although it was refused, whatever the final content is.
	const showsRefused = values.length > 0 && hasNotRun(attempts) && !hasRun(attempts);
	return [
		...showsRefused ? [{rule: 'notRunButRan', detail: `${subject} shows a write that was refused as not run`} as const] : [],
		...checkParts(kind, lookup.key, values),
	];
}

function checkRegisterLookup(index: WriteIndex, lookup: Operation, values: readonly string[], subject: string): readonly Violation[] {
	const attempts = index.attempts('update', lookup.key);
	if (attempts.length === 0) {
		return [];
	}

	const minimumSequence = Math.max(0, ...attempts.filter(write => mustShow(write, lookup)).map(({value}) => registerSequence(lookup.key, value)));
	return checkRegisterValue(attempts, values[0], minimumSequence, {subject, rule: missingWriteRule(lookup)});
}

function checkRevisions(samples: RecordedHistory['revisions']): readonly Violation[] {
	const highest = new Map<string, number>();
	const violations: Violation[] = [];
	for (const {process, revision} of samples) {
		const highestBefore = highest.get(process) ?? 0;
		if (revision < highestBefore) {
			violations.push({rule: 'revisionFell', detail: `${process} went from revision ${highestBefore} to ${revision}`});
		}

		highest.set(process, Math.max(highestBefore, revision));
	}

	return violations;
}
