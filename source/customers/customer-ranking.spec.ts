import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CustomerRanking, otherCustomersLabel} from './customer-ranking.js';

test('the customers with the most operations have labels of their own, and there are at most 10', () => {
	const ranking = new CustomerRanking();
	const labels = new Set<string>();
	for (let round = 0; round < 50; round++) {
		for (let index = 0; index < 100; index++) {
			const {label, replaced} = ranking.count(`customer-${index}`);
			labels.add(label);
			labels.delete(replaced ?? '');
		}
	}

	assert.ok(labels.size <= 11 && labels.has(otherCustomersLabel), `${labels.size} labels`);
	const answers = Array.from({length: 100}, () => ranking.count('late'));
	assert.equal(answers[0].label, otherCustomersLabel);
	assert.equal(answers.at(-1)?.label, 'late');
	assert.equal(answers.filter(({replaced}) => replaced !== undefined).length, 1);
});

// The label of all others must not be shared with one customer, whatever its name.
test('a customer with the name of the label of all others has no label of its own', () => {
	const ranking = new CustomerRanking();
	ranking.count(otherCustomersLabel);
	for (let index = 0; index < 10; index++) {
		assert.equal(ranking.count(`customer-${index}`).label, `customer-${index}`);
	}
});
