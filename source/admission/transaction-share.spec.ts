import assert from 'node:assert/strict';
import {test} from 'node:test';
import {maximumTransactions} from './transaction-share.js';

// With all connections in transactions, statements outside transactions wait until the idle limit of a transaction passes.
test('one connection in ten, and at least one, is kept for statements outside transactions', () => {
	assert.equal(maximumTransactions(1), 1);
	assert.equal(maximumTransactions(2), 1);
	assert.equal(maximumTransactions(10), 9);
	assert.equal(maximumTransactions(26), 24);
});
