import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SessionFixture} from './session-fixture.js';

// Without it, a replica that lags behind answers a prepared read with old data.
test('a prepared read is sent with the log position that a read is sent with', async () => {
	const fixture = new SessionFixture();
	const session = await fixture.open();
	await fixture.run(session, {kind: 'write', id: 'w', text: 'WRITE item x'});
	await fixture.run(session, {
		kind: 'prepare', id: 'p', name: 'mine', shape: {access: 'read', shape: 'q'},
	});
	await fixture.run(session, {kind: 'read', id: 'r', text: 'READ item'});
	await fixture.run(session, {
		kind: 'execute', id: 'e', name: 'mine', parameters: 'item',
	});
	const positions = fixture.members.flatMap(({received}) => received.flatMap(({statement}) => statement.kind === 'read' || statement.kind === 'execute' ? [statement.after] : []));
	assert.deepEqual(positions, [fixture.primary.point, fixture.primary.point]);
});
