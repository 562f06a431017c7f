import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type SessionStatement} from '../statement/types.js';
import {NearMemberFixture} from './near-member-fixture.js';

const write: SessionStatement = {kind: 'write', id: 'w', text: 'WRITE item x'};

// The entry resets a relay for the next session; what the gateway kept would be set for that one.
test('a relay keeps neither variables nor definitions of the session before', async () => {
	const fixture = new NearMemberFixture();
	const first = await fixture.sessions.open();
	await fixture.sessions.run(first, {
		kind: 'set', id: 's', name: 'x', value: '1',
	});
	await fixture.sessions.run(first, write);
	const second = await fixture.sessions.open();
	await fixture.sessions.run(second, {
		kind: 'set', id: 's', name: 'y', value: '2',
	});
	await fixture.sessions.run(second, write);
	const variables = new Map<number, Map<string, string>>();
	const seen: unknown[] = [];
	for (const {connectionNumber, statement} of fixture.primary.received) {
		const values = variables.get(connectionNumber) ?? new Map<string, string>();
		variables.set(connectionNumber, values);
		if (statement.kind === 'set') {
			values.set(statement.name, statement.value);
		}

		if (statement.kind === 'reset') {
			values.clear();
		}

		if (statement.kind === 'write') {
			seen.push(Object.fromEntries(values));
		}
	}

	assert.deepEqual(seen, [{x: '1'}, {y: '2'}]);
});
