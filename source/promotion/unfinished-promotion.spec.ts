import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type FakeMemberServer} from '../session-proxy/member-server-fake.js';
import {PromotionFixture} from './promotion-fixture.js';

/** Returns a fixture with one synchronous replica in which transactions are committed and acknowledged. */
async function startCommitting(): Promise<PromotionFixture> {
	const fixture = new PromotionFixture({synchronousReplicas: 1});
	fixture.isCommitting = true;
	await fixture.advance(1000, 0);
	assert.ok(fixture.acknowledged.position > 0);
	return fixture;
}

/** Makes the primary `a` dark until a promotion has been requested, which gets no answer. */
async function loseAnswer(fixture: PromotionFixture): Promise<void> {
	fixture.authority.isSilent = true;
	fixture.members[0].isUnresponsive = true;
	for (let passed = 0; fixture.authority.requests.length === 0 && passed < 4000; passed += 100) {
		await fixture.advance(100, 10);
	}

	assert.equal(fixture.authority.requests.length, 1);
}

/** Asserts that commits are acknowledged again, all replicas receive, and no commit was lost. */
async function assertRecovered(fixture: PromotionFixture): Promise<void> {
	fixture.stop();
	const before = fixture.acknowledged;
	await fixture.advance(500, 0);
	assert.ok(fixture.acknowledged.position > before.position, 'commits are acknowledged');
	assert.deepEqual(fixture.members.filter(({role, minimumAcceptedTerm, status}) => role === 'replica' && minimumAcceptedTerm > status.term), [], 'no replica is paused');
	assert.deepEqual(fixture.promotedWithLoss, []);
}

function replicaNamed(fixture: PromotionFixture): FakeMemberServer {
	return fixture.members.find(({server}) => server.id === fixture.authority.requests[0].member)!;
}

// The replicas received again while a request without an answer could still be carried out: the promoted replica lacked the commits that were acknowledged meanwhile.
for (const fate of ['alive'] as const) {
	test(`a promotion that is carried out late loses no acknowledged commit, its leader ${fate}`, async () => {
		const fixture = await startCommitting();
		await loseAnswer(fixture);
		fixture.members[0].isUnresponsive = false;
		fixture.deafMembers.add(replicaNamed(fixture).server.id);
		fixture.authority.isSilent = false;
		await fixture.advance(4000, 0);
		fixture.authority.carryOut(fixture.authority.requests[0]);
		await fixture.advance(1500, 0);
		fixture.deafMembers.clear();
		await assertRecovered(fixture);
	});
}

// With several late requests for different members, a later one rolled back what the member of the earlier one had acknowledged.
test('while the authority answers nothing, all requests name the same member, and the order in which they are carried out does not matter', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(2000, 0);
	const {requests} = fixture.authority;
	assert.ok(requests.length > 2);
	assert.deepEqual(new Set(requests.map(({member}) => member)).size, 1);
	for (const request of requests) {
		fixture.authority.carryOut(request);
		await fixture.advance(100, 0);
	}

	fixture.authority.isSilent = false;
	await fixture.advance(2500, 0);
	await assertRecovered(fixture);
});

// Without an answer of the authority no commit would be acknowledged, although the primary and all replicas are up.
test('while the authority answers nothing, commits are acknowledged through the member that it may still promote', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	const before = fixture.acknowledged;
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(3000, 0);
	assert.ok(fixture.acknowledged.position > before.position);
	const paused = fixture.members.filter(({minimumAcceptedTerm}) => minimumAcceptedTerm > 0);
	assert.equal(paused.length, 1, 'the other replica stays paused');
	fixture.authority.carryOut(fixture.authority.requests[0]);
	fixture.authority.isSilent = false;
	await fixture.advance(2500, 0);
	await assertRecovered(fixture);
});

// A token that was not issued ended the attempt with the replicas paused.
test('replicas receive again after a failover for which no token was issued', async () => {
	const fixture = await startCommitting();
	fixture.tokenBarrier = Promise.reject(new Error('no quorum'));
	fixture.tokenBarrier.catch(() => undefined);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(1500, 10);
	assert.ok(fixture.members[1].minimumAcceptedTerm > 0);
	fixture.members[0].isUnresponsive = false;
	fixture.tokenBarrier = Promise.resolve();
	await fixture.advance(2500, 0);
	await assertRecovered(fixture);
});
