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
for (const fate of ['alive', 'killed'] as const) {
	test(`a promotion that is carried out late loses no acknowledged commit, its leader ${fate}`, async () => {
		const fixture = await startCommitting();
		await loseAnswer(fixture);
		fixture.members[0].isUnresponsive = false;
		fixture.deafMembers.add(replicaNamed(fixture).server.id);
		if (fate === 'killed') {
			fixture.elect('two');
		}

		fixture.authority.isSilent = false;
		await fixture.advance(4000, 0);
		fixture.authority.carryOut(fixture.authority.requests[0]);
		await fixture.advance(1500, 0);
		fixture.deafMembers.clear();
		await assertRecovered(fixture);
	});
}

// A leader that was frozen between its token and its request sends the request after its successor has settled the matter.
test('a promotion that a frozen leader requests late loses no acknowledged commit', async () => {
	const fixture = await startCommitting();
	let thaw = (): void => undefined;
	fixture.tokenBarrier = new Promise(resolve => {
		thaw = resolve;
	});
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(1500, 10);
	assert.ok(fixture.members.slice(1).every(({minimumAcceptedTerm}) => minimumAcceptedTerm > 0));
	fixture.tokenBarrier = Promise.resolve();
	fixture.members[0].isUnresponsive = false;
	fixture.elect('two');
	await fixture.advance(2500, 0);
	thaw();
	await fixture.advance(1500, 0);
	assert.equal(fixture.authority.requests.at(-1)?.token, 1, 'the request of the frozen leader comes last');
	await assertRecovered(fixture);
});

// With several late requests for different members, a later one rolled back what the member of the earlier one had acknowledged.
test('while the authority answers nothing, all requests name the same member, and the order in which they are carried out does not matter', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(2000, 0);
	fixture.elect('two');
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

// The replicas stayed paused for good after the process that had paused them died, and no commit was acknowledged any more.
test('a new leader lets replicas receive again that its predecessor paused before it died', async () => {
	const fixture = await startCommitting();
	fixture.tokenBarrier = new Promise(() => {
		// The first leader never gets its token.
	});
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(1500, 10);
	fixture.tokenBarrier = Promise.resolve();
	fixture.members[0].isUnresponsive = false;
	fixture.elect('two');
	await fixture.advance(3000, 0);
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

// Replicas that were paused when the operator gave up synchronous replicas were never looked at again.
test('replicas receive again although the service has no synchronous replicas any more', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	fixture.synchronousReplicas = 0;
	fixture.members[0].isUnresponsive = false;
	fixture.authority.isSilent = false;
	fixture.elect('two');
	await fixture.advance(3000, 0);
	await assertRecovered(fixture);
});

// The primary was demoted for a switchover, and neither it nor another member was promoted.
for (const fate of ['alive', 'killed'] as const) {
	test(`a member is promoted after a switchover that stopped after the demotion, its leader ${fate}`, async () => {
		const fixture = await startCommitting();
		fixture.authority.isSilent = true;
		fixture.announce('a');
		await fixture.advance(1000, 0);
		assert.equal(fixture.members[0].role, 'replica');
		fixture.announce('a');
		fixture.authority.isSilent = false;
		if (fate === 'killed') {
			fixture.elect('two');
		}

		await fixture.advance(6000, 0);
		const first = fixture.authority.requests[0];
		fixture.authority.carryOut(first);
		assert.notEqual(first.member, 'a');
		await assertRecovered(fixture);
	});
}

// A RESUME of an earlier leader that arrives after the survey lets a replica acknowledge commits that the chosen one lacks.
test('a new leader surveys replicas only once no command of its predecessor can arrive any more', async () => {
	const fixture = await startCommitting();
	const [primary, replica, lostReplica] = fixture.members;
	primary.isUnresponsive = true;
	lostReplica.isUnresponsive = true;
	await fixture.advance(2000, 10);
	primary.isUnresponsive = false;
	await fixture.advance(1500, 0);
	assert.equal(fixture.authority.requests.length, 0, 'the control log holds no request that could be carried out');
	assert.ok(replica.receivedKinds.includes('resume'));
	// The RESUME is still on its way.
	replica.minimumAcceptedTerm = 9;
	primary.isUnresponsive = true;
	lostReplica.isUnresponsive = false;
	fixture.elect('two');
	const pauseCount = replica.receivedKinds.filter(kind => kind === 'pause').length;
	await fixture.advance(3000, 10);
	assert.equal(replica.receivedKinds.filter(kind => kind === 'pause').length, pauseCount);
	replica.minimumAcceptedTerm = 0;
	await fixture.advance(3000, 10);
	assert.equal(fixture.authority.requests.at(-1)?.member, 'b');
	await assertRecovered(fixture);
});

/** What ends the pause of a replica while the promotion of another one may still be carried out. */
const lostPauses: Readonly<Record<string, (fixture: PromotionFixture, paused: FakeMemberServer) => void>> = {
	'a replica restarts'(fixture, {server}) {
		fixture.restart(server.id);
	},
	'a replica restarts under a new leader'(fixture, {server}) {
		fixture.elect('two');
		fixture.restart(server.id);
	},
	'a replica restarts before the leader changes'(fixture, {server}) {
		fixture.restart(server.id);
		fixture.elect('two');
	},
	'a new member takes over the address of a replica'(fixture, {server}) {
		fixture.takeOver(server.id, 'd');
	},
};

// The leader took the service for repaired once no replica was paused, and the commits that only the restarted replica had were lost with the late promotion.
for (const [event, losePause] of Object.entries(lostPauses)) {
	for (const hasPrimaryReturned of [true, false]) {
		test(`a late promotion loses no acknowledged commit although ${event} ${hasPrimaryReturned ? 'after' : 'before'} the primary is reached again`, async () => {
			const fixture = await startCommitting();
			await loseAnswer(fixture);
			const named = replicaNamed(fixture);
			const paused = fixture.members.find(member => member.role === 'replica' && member !== named)!;
			fixture.slowMembers.add(named.server.id);
			if (hasPrimaryReturned) {
				fixture.members[0].isUnresponsive = false;
				await fixture.advance(1500, 0);
			}

			losePause(fixture, paused);
			await fixture.advance(100, hasPrimaryReturned ? 0 : 10);
			fixture.members[0].isUnresponsive = false;
			await fixture.advance(3000, 0);
			fixture.authority.carryOut(fixture.authority.requests[0]);
			fixture.authority.isSilent = false;
			await fixture.advance(2500, 0);
			fixture.slowMembers.clear();
			await assertRecovered(fixture);
		});
	}
}

// Nothing was paused while the service had no synchronous replicas, so that nothing looked unfinished once it had one.
test('a late promotion loses no acknowledged commit although synchronous replicas are demanded while it is pending', async () => {
	const fixture = await startCommitting();
	fixture.synchronousReplicas = 0;
	await loseAnswer(fixture);
	fixture.members[0].isUnresponsive = false;
	fixture.slowMembers.add(replicaNamed(fixture).server.id);
	await fixture.advance(1000, 0);
	fixture.synchronousReplicas = 1;
	await fixture.advance(3000, 0);
	fixture.authority.carryOut(fixture.authority.requests[0]);
	fixture.authority.isSilent = false;
	await fixture.advance(2500, 0);
	fixture.slowMembers.clear();
	await assertRecovered(fixture);
});

// A replica that was verified to receive without synchronous replicas was not looked at again after they had been demanded and taken back.
test('replicas receive again although synchronous replicas were demanded and taken back under one leader', async () => {
	const fixture = await startCommitting();
	fixture.synchronousReplicas = 0;
	await fixture.advance(2000, 0);
	fixture.synchronousReplicas = 1;
	await fixture.advance(1000, 0);
	await loseAnswer(fixture);
	fixture.synchronousReplicas = 0;
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(2000, 0);
	await assertRecovered(fixture);
});

// While a replica was down, nothing was asked for, so that all waited although the authority answered.
test('replicas receive again within a second of the answer, although the member that was named is down', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	replicaNamed(fixture).isUnresponsive = true;
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(3000, 0);
	fixture.authority.isSilent = false;
	const asked = fixture.authority.requests.length;
	while (fixture.authority.requests.length === asked) {
		await fixture.advance(100, 0);
	}

	await fixture.advance(1000, 0);
	assert.deepEqual(fixture.members.filter(({minimumAcceptedTerm, isUnresponsive}) => minimumAcceptedTerm > 0 && !isUnresponsive), []);
	replicaNamed(fixture).isUnresponsive = false;
	await fixture.advance(2500, 0);
	await assertRecovered(fixture);
});

// The confirmation that the primary had given before the request was taken for one that it still led, and all replicas received although another member led already.
test('a request for the primary settles nothing if a late one was carried out just before it', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	const named = replicaNamed(fixture);
	fixture.deafMembers.add(named.server.id);
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(1000, 0);
	fixture.authority.isSilent = false;
	fixture.authority.beforeRequest = ({member}) => {
		if (member === 'a') {
			fixture.authority.beforeRequest = undefined;
			fixture.authority.carryOut(fixture.authority.requests[0]);
			fixture.deafMembers.clear();
		}
	};

	await fixture.advance(4000, 0);
	await assertRecovered(fixture);
});

// Asking for the member again for hours grew the control log's state with each request.
test('an authority that answers nothing leaves one pending range for each member', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(20_000, 0);
	assert.ok(fixture.authority.requests.length > 10);
	assert.ok(fixture.pendingPromotions.length <= 2);
	fixture.stop();
});

// A request for the primary took the member that may still be promoted for one that must not receive, and paused it when it connected again.
test('the member that may still be promoted is not paused while the primary is requested', async () => {
	const fixture = await startCommitting();
	await loseAnswer(fixture);
	const named = replicaNamed(fixture);
	fixture.members[0].isUnresponsive = false;
	fixture.deafMembers.add(named.server.id);
	await fixture.advance(2000, 0);
	assert.equal(fixture.authority.requests.at(-1)?.member, 'a');
	const before = named.receivedKinds.length;
	fixture.restart(named.server.id);
	await fixture.advance(1000, 0);
	assert.ok(!named.receivedKinds.slice(before).includes('pause'));
	fixture.deafMembers.clear();
	fixture.authority.isSilent = false;
	await fixture.advance(2500, 0);
	await assertRecovered(fixture);
});
