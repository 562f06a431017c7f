import assert from 'node:assert/strict';
import {test} from 'node:test';
import {controlLogMutations} from './control-log-cases.js';
import {ControlLogSpecification} from './control-log.js';
import {explore} from './explorer.js';

for (const mutation of controlLogMutations) {
	test(`the specification of the control log does not notice that ${mutation.mutation}`, () => {
		assert.notEqual(mutation.run().violation, undefined);
	});
}

test('the control log breaks an invariant within small bounds', () => {
	const {violation, counterexample} = explore(new ControlLogSpecification('none', {
		terms: 2, changes: ['a'], restarts: false, lostDisks: 1, returnedDisks: false, entriesPerMessage: 9, lostAnswers: false, states: 100_000,
	}));
	assert.deepEqual({violation, counterexample}, {violation: undefined, counterexample: []});
});
