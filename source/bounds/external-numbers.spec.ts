import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	amountSchema, boundDuration, countSchema, durationSchema, exactNumberSchema, largestCount, longestDuration, parseWholeNumber, portSchema, rankSchema, secondsSchema,
} from './external-numbers.js';

// Numbers without an upper end overflowed timers and sums; a configuration that sets one stays valid.
test('allowed numbers above the bounds are lowered to them', () => {
	assert.equal(durationSchema().parse(1e300), longestDuration);
	assert.equal(secondsSchema().parse(1e300) * 1000, longestDuration);
	assert.equal(boundDuration(Number.POSITIVE_INFINITY), longestDuration);
	assert.deepEqual([amountSchema(), countSchema(), rankSchema()].map(schema => schema.parse(1e300)), [largestCount, largestCount, largestCount]);
	assert.equal(rankSchema().parse(-1e300), -largestCount);
	assert.deepEqual([durationSchema().parse(0.5), countSchema().parse(0), exactNumberSchema().parse(Number.MAX_SAFE_INTEGER)], [0.5, 0, Number.MAX_SAFE_INTEGER]);
});

test('numbers that are not allowed are refused', () => {
	const refusals = [
		[durationSchema(), -1],
		[durationSchema(), Number.NaN],
		[secondsSchema(), -1],
		[amountSchema(), -0.1],
		[countSchema(), 1.5],
		[countSchema(), -1],
		[exactNumberSchema(), 2 ** 53],
		[exactNumberSchema(), 0.5],
		[portSchema(), 0],
		[portSchema(), 65_536],
	] as const;
	for (const [schema, value] of refusals) {
		assert.equal(schema.safeParse(value).success, false, String(value));
	}
});

test('a text is a whole number only if it is exact and consists of digits', () => {
	const texts = ['0', '0012', '9007199254740991', '9007199254740992', '9'.repeat(400), '1e3', '-1', '1.5', ' 1', '', undefined];
	assert.deepEqual(texts.map(text => parseWholeNumber(text)), [0, 12, 9_007_199_254_740_991, ...Array.from({length: 8}, () => undefined)]);
});
