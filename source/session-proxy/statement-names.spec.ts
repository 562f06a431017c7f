import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck, {type Arbitrary} from 'fast-check';
import {type PreparedStatementDefinition} from '../statement/types.js';
import {StatementNames} from './statement-names.js';

const anyDefinition: Arbitrary<PreparedStatementDefinition> = fastCheck.record({
	access: fastCheck.constantFrom('read', 'write'),
	// Some differ only at their end or in their length.
	shape: fastCheck.oneof(
		fastCheck.string({unit: 'binary', maxLength: 12}),
		fastCheck.tuple(fastCheck.nat(40), fastCheck.constantFrom('', ' ', '1', '2')).map(([length, end]) => `${'q7 READ muthfnwx '.repeat(3).slice(0, length)}${end}`),
	),
});

// Two definitions under one name would let a caller execute the statement of another one.
test('different definitions have different names without text of the caller, and each is found again', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(anyDefinition, {maxLength: 30}), definitions => {
		const names = new StatementNames();
		const expected = new Map<string, string>();
		for (const definition of definitions) {
			const key = JSON.stringify(definition);
			assert.equal(names.nameOf(definition), expected.get(key));
			if (!expected.has(key)) {
				const name = names.createName();
				names.add(name, definition);
				expected.set(key, name);
			}
		}

		assert.equal(new Set(expected.values()).size, expected.size);
		assert.ok([...expected.values()].every(name => /^s\d{1,16}$/v.test(name)));
		assert.equal(names.size, expected.size);
	}));
});

// A PREPARE may be under way while a RESET removes all names.
test('a name is not given again after all statements were removed', () => {
	const names = new StatementNames();
	const definition: PreparedStatementDefinition = {access: 'read', shape: 'q'};
	const first = names.createName();
	names.add(first, definition);
	names.clear();
	assert.equal(names.nameOf(definition), undefined);
	assert.notEqual(names.createName(), first);
});

test('the limit counts definitions and their length, and never excludes the first definition', () => {
	const names = new StatementNames();
	const limit = {count: 2, length: 10};
	const long: PreparedStatementDefinition = {access: 'read', shape: 'x'.repeat(11)};
	assert.equal(names.isFullFor(long, limit), false);
	names.add(names.createName(), {access: 'read', shape: 'abc'});
	assert.equal(names.isFullFor({access: 'read', shape: 'x'.repeat(7)}, limit), false);
	assert.equal(names.isFullFor({access: 'read', shape: 'x'.repeat(8)}, limit), true);
	names.add(names.createName(), {access: 'write', shape: 'abc'});
	assert.equal(names.isFullFor({access: 'read', shape: ''}, limit), true);
});
