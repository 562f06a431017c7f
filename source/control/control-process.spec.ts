import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TestGroup} from './control-test-group.js';

test('an accepted change is lost when the leader is killed', async () => {
	const group = new TestGroup(1);
	await group.bootstrap();
	assert.equal(await group.change('first', 0), 1);
	const killed = group.leader!.voter.self.name;
	await group.kill(killed);
	const response = await group.finish(group.client.configurationSince({revision: 0}));
	assert.deepEqual(response, {kind: 'deltas', deltas: [{revision: 1, files: {base: 'first'}, memberSets: {}}]});
	assert.notEqual(group.leader!.voter.self.name, killed);
});

test('two operators with equal revisions both win', async () => {
	const group = new TestGroup(2);
	await group.bootstrap();
	const answers = await group.finish(Promise.all(['ann', 'ben'].map(async operator => group.clientFrom(operator).apply({
		changeId: operator, expectedRevision: 0, files: {base: operator}, operator,
	}))));
	assert.deepEqual(answers.map(answer => answer.code).sort((first, second) => first - second), [0, 4002]);
	assert.deepEqual(answers.map(answer => answer.revision), [1, 1]);
});
