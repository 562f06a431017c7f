import assert from 'node:assert/strict';
import {test} from 'node:test';
import {controlLogMutationCases} from './control-log-cases.js';
import {ControlLogSpecification} from './control-log.js';
import {explore} from './explorer.js';

// Guards against a model that is too weak: if it misses a broken rule, its explorations prove nothing about the real rules.
for (const mutation of controlLogMutationCases) {
	test(`the exploration of the control log finds a violation when ${mutation.mutation}`, () => {
		assert.notEqual(mutation.run().violation, undefined);
	});
}

// Guards against committed entries that are lost, or changes that are applied twice, when a voter loses its disk.
test('the control log keeps every invariant within small bounds', () => {
	const {violation, counterexample} = explore(new ControlLogSpecification('none', {
		highestTerm: 2, changes: ['a'], votersMayRestart: false, lostDiskLimit: 1, disksMayReturn: false, entriesPerMessage: 9, answersMayBeLost: false, stateLimit: 100_000,
	}));
	assert.deepEqual({violation, counterexample}, {violation: undefined, counterexample: []});
});
