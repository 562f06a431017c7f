import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkHistory, type Violation} from './history-checker.js';
import {
	valueOf, type FinalContent, type HistoryRow, type Operation, type Outcome, type RecordedHistory,
} from './history.js';

const acknowledged: Outcome = {kind: 'acknowledged'};
const abandoned: Outcome = {kind: 'notRun', code: 'requestAbandoned'};
const refused: Outcome = {kind: 'notRun', code: 'noPrimary'};
const unknown: Outcome = {kind: 'unknown', detail: 'outcomeUnknown'};
const row = (key: string, part: string): HistoryRow => ({key, value: valueOf(key, part)});
const rows = (...found: readonly HistoryRow[]): Outcome => ({kind: 'rows', rows: found});

/** Builds operations one after the other, 10 s apart. */
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
	kind: 'insert', key: 'n', value: valueOf('n', 'notice'), outcome,
}) as const;
const transaction = (outcome: Outcome) => ({
	kind: 'transaction', key: 't', value: 't', outcome,
}) as const;
const update = (sequence: number, outcome: Outcome) => ({
	kind: 'update', key: 'r', value: valueOf('r', String(sequence)), outcome,
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

test('a sound history passes, so that a finding means a fault', () => {
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

const plantedFaults: ReadonlyArray<readonly [name: string, rule: Violation['rule'], found: () => ReadonlyArray<Violation['rule']>]> = [
	['an own write that another entry does not show', 'readYourWrites', () => check(operations(insert(acknowledged), {
		kind: 'lookupNotice', key: 'n', entry: 'entry-2', outcome: rows(),
	}), {notice: [notice]})],
	['an own register entry that an older one hides', 'readYourWrites', () => check(operations(update(1, acknowledged), update(2, acknowledged), {
		kind: 'lookupRegister', key: 'r', outcome: rows(row('r', '1')),
	}), {register: [row('r', '2')]})],
	['a lookup older than its stated age', 'staleRead', () => check(operations(insert(acknowledged), {
		kind: 'lookupNotice', key: 'n', session: 's2', maximumAge: 5000, outcome: rows(),
	}), {notice: [notice]})],
	['a lost acknowledged insert, as by a superseded primary', 'lostWrite', () => check(operations(insert(acknowledged)), {})],
	['a lost acknowledged update', 'lostWrite', () => check(operations(update(1, acknowledged), update(2, acknowledged)), {register: [row('r', '1')]})],
	['a doubled insert', 'doubledWrite', () => check(operations(insert(acknowledged)), {notice: [notice, notice]})],
	['a request id that ran twice after an unknown outcome', 'doubledWrite', () => check(operations(insert(unknown), insert(acknowledged)), {notice: [notice, notice]})],
	['a refused insert that ran', 'notRunButRan', () => check(operations(insert(refused)), {notice: [notice]})],
	['an abandoned request id that ran', 'notRunButRan', () => check(operations(insert(unknown), insert(abandoned)), {notice: [notice]})],
	['a refused update that ran', 'notRunButRan', () => check(operations(update(1, acknowledged), update(2, refused)), {register: [row('r', '2')]})],
	['a refused insert that a lookup showed', 'notRunButRan', () => check(operations(insert(refused), {kind: 'lookupNotice', key: 'n', outcome: rows(notice)}), {})],
	['the answer to another request', 'foreignAnswer', () => check(operations(insert(acknowledged), {kind: 'lookupNotice', key: 'n', outcome: rows(row('m', 'notice'))}), {notice: [notice]})],
	['a value that no request wrote', 'foreignAnswer', () => check(operations(update(1, acknowledged)), {register: [row('r', '7')]})],
	['half a transaction in the group', 'splitTransaction', () => check(operations(transaction(unknown)), {pair: [pair[0]]})],
	['half a transaction in a lookup', 'splitTransaction', () => check(operations(transaction(acknowledged), {kind: 'lookupPair', key: 't', outcome: rows(pair[0])}), {pair})],
	['a lost transaction that was acknowledged', 'lostWrite', () => check(operations(transaction(acknowledged)), {})],
	['a row that nobody sent', 'unsentWrite', () => check([], {notice: [notice]})],
	['a configuration revision that falls', 'revisionFell', () => check([], {}, [{process: 'a', revision: 2}, {process: 'a', revision: 1}])],
];

for (const [name, rule, found] of plantedFaults) {
	test(`the checker finds ${name}`, () => {
		assert.ok(found().includes(rule), `${rule} is not among ${found().join(', ')}`);
	});
}
