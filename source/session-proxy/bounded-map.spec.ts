import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {BoundedMap} from './bounded-map.js';

const limit = {count: 3, length: 12};
const shortText = fastCheck.string({maxLength: 8});
const anyChange = fastCheck.record({name: fastCheck.constantFrom('a', 'b', 'cc', 'ddd'), value: fastCheck.option(shortText)});

// A length that is counted wrongly would let a map grow without limit, or refuse what fits.
test('a map holds what a plain map holds, up to its number and length', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(anyChange, {maxLength: 40}), changes => {
		const map = new BoundedMap<string>(limit, value => value.length);
		const expected = new Map<string, string>();
		for (const {name, value} of changes) {
			if (value === null) {
				assert.equal(map.delete(name), expected.delete(name));
			} else {
				const changed = new Map(expected).set(name, value);
				const fits = changed.size <= limit.count && [...changed].flat().join('').length <= limit.length;
				assert.equal(map.set(name, value), fits);
				if (fits) {
					expected.set(name, value);
				}
			}

			assert.deepEqual([...map], [...expected]);
			assert.equal(map.size, expected.size);
		}

		map.clear();
		assert.equal(map.set('a', 'x'.repeat(limit.length - 1)), true);
	}));
});
