import assert from 'node:assert/strict';
import {test} from 'node:test';
import {limitMutationCases, limitProtocolCases} from './rate-limit-cases.js';

// Guards against a model that is too weak: if it misses a broken rule, its explorations prove nothing about the real rules.
for (const mutation of limitMutationCases) {
	test(`the exploration of the limits finds a violation when ${mutation.mutation}`, () => {
		assert.notEqual(mutation.run().violation, undefined);
	});
}

// Guards against limits that are exceeded because a message is lost or because instances grant at the same time.
test('the limits hold within the smallest bounds', () => {
	const {violation, counterexample} = limitProtocolCases[0].run();
	assert.equal(violation, undefined, counterexample.join(' '));
});
