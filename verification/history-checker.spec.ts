import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkHistory, type Violation} from './history-checker.js';
import {
	writtenValue, type FinalContent, type HistoryRow, type Operation, type Outcome, type RecordedHistory,
} from './history.js';

const acknowledged: Outcome = {kind: 'acknowledged'};
const abandoned: Outcome = {kind: 'notRun', code: 'requestAbandoned'};
const refused: Outcome = {kind: 'notRun', code: 'noPrimary'};
const unknown: Outcome = {kind: 'unknown', detail: 'outcomeUnknown'};
const row = (key: string, part: string): HistoryRow => ({key, value: writtenValue(key, part)});
const rows = (...given: readonly HistoryRow[]): Outcome => ({kind: 'rows', rows: given});

/** Returns operations that follow one another at intervals of 10 s. */
function operations(...given: ReadonlyArray<Pick<Operation, 'kind' | 'key' | 'outcome'> & Partial<Operation>>): readonly Operation[] {
	return given.map((operation, index) => ({
		session: 's1',
		entry: 'entry-1',
		value: '',
		requestId: null,
		maximumAge: null,
		startOrder: 2 * index,
		endOrder: (2 * index) + 1,
		startedAt: index * 10_000,
		endedAt: (index * 10_000) + 1,
		...operation,
	}));
}

const insert = (outcome: Outcome) => ({
	kind: 'insert', key: 'n', value: writtenValue('n', 'notice'), outcome,
}) as const;
const transaction = (outcome: Outcome) => ({
	kind: 'transaction', key: 't', value: 't', outcome,
}) as const;
const update = (sequence: number, outcome: Outcome) => ({
	kind: 'update', key: 'r', value: writtenValue('r', String(sequence)), outcome,
}) as const;
const notice = row('n', 'notice');
const pair = [row('t', 'first'), row('t', 'second')];

function check(history: readonly Operation[], finalContent: Partial<FinalContent>, revisions: RecordedHistory['revisions'] = []): ReadonlyArray<Violation['rule']> {
	return checkHistory({
		operations: history, revisions, finalContent: {
			notice: [], register: [], pair: [], ...finalContent,
		},
	}).map(({rule}) => rule);
}

// Guards against false positives: outcomes that are allowed, such as an unknown one that took effect, must not be reported.
test('a correct history has no violations', () => {
	const history = operations(
		insert(unknown),
		insert(acknowledged),
		update(1, acknowledged),
		update(2, refused),
		update(3, unknown),
		transaction(acknowledged),
		{kind: 'lookupNotice', key: 'n', outcome: rows(notice)},
		{kind: 'lookupRegister', key: 'r', outcome: rows(row('r', '1'))},
		{kind: 'lookupPair', key: 't', outcome: rows(...pair)},
	);
	assert.deepEqual(check(history, {notice: [notice], register: [row('r', '3')], pair}, [{process: 'a', revision: 2}, {process: 'b', revision: 1}, {process: 'a', revision: 2}]), []);
});

const faultyHistories: ReadonlyArray<readonly [name: string, rule: Violation['rule'], findRules: () => ReadonlyArray<Violation['rule']>]> = [
	['a session\'s own write that another entry does not show', 'readYourWrites', () => check(operations(insert(acknowledged), {
		kind: 'lookupNotice', key: 'n', entry: 'entry-2', outcome: rows(),
	}), {notice: [notice]})],
	['a lookup that shows an older value than the session wrote last', 'readYourWrites', () => check(operations(update(1, acknowledged), update(2, acknowledged), {
		kind: 'lookupRegister', key: 'r', outcome: rows(row('r', '1')),
	}), {register: [row('r', '2')]})],
	['a lookup that lacks a write older than the stated maximum age', 'staleRead', () => check(operations(insert(acknowledged), {
		kind: 'lookupNotice', key: 'n', session: 's2', maximumAge: 5000, outcome: rows(),
	}), {notice: [notice]})],
	['an acknowledged insert that is lost, for example on a superseded primary', 'lostWrite', () => check(operations(insert(acknowledged)), {})],
	['an acknowledged update that is lost', 'lostWrite', () => check(operations(update(1, acknowledged), update(2, acknowledged)), {register: [row('r', '1')]})],
	['an insert that ran twice', 'doubledWrite', () => check(operations(insert(acknowledged)), {notice: [notice, notice]})],
	['a request id whose insert ran twice after an unknown outcome', 'doubledWrite', () => check(operations(insert(unknown), insert(acknowledged)), {notice: [notice, notice]})],
	['a refused insert that ran', 'notRunButRan', () => check(operations(insert(refused)), {notice: [notice]})],
	['an insert that ran although its request id was abandoned', 'notRunButRan', () => check(operations(insert(unknown), insert(abandoned)), {notice: [notice]})],
	['a refused update that ran', 'notRunButRan', () => check(operations(update(1, acknowledged), update(2, refused)), {register: [row('r', '2')]})],
	['a refused insert that a lookup showed', 'notRunButRan', () => check(operations(insert(refused), {kind: 'lookupNotice', key: 'n', outcome: rows(notice)}), {})],
	['a lookup that gets the answer to another request', 'foreignAnswer', () => check(operations(insert(acknowledged), {
		kind: 'lookupNotice', key: 'n', outcome: rows(row('m', 'notice')),
	}), {notice: [notice]})],
	['a value that no request wrote', 'foreignAnswer', () => check(operations(update(1, acknowledged)), {register: [row('r', '7')]})],
	['a transaction of which the group holds only one row', 'splitTransaction', () => check(operations(transaction(unknown)), {pair: [pair[0]]})],
	['a transaction of which a lookup shows only one row', 'splitTransaction', () => check(operations(transaction(acknowledged), {kind: 'lookupPair', key: 't', outcome: rows(pair[0])}), {pair})],
	['an acknowledged transaction that is lost', 'lostWrite', () => check(operations(transaction(acknowledged)), {})],
	['a row that no caller sent', 'unsentWrite', () => check([], {notice: [notice]})],
	['a configuration revision that decreases', 'revisionFell', () => check([], {}, [{process: 'a', revision: 2}, {process: 'a', revision: 1}])],
];

// Guards against a checker that misses a violation, which would let the failure scenarios pass.
for (const [name, rule, findRules] of faultyHistories) {
	test(`the checker finds ${name}`, () => {
		assert.ok(findRules().includes(rule), `${rule} is not among ${findRules().join(', ')}`);
	});
}
