import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PromotionFixture} from './promotion-fixture.js';

// A network fault between the leader and the primary alone must not cause a promotion: the primary may still acknowledge writes.
test('a primary that most entry processes reach is not replaced, although the leader does not reach it', async () => {
	const fixture = new PromotionFixture();
	await fixture.advance(1000, 0);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(3000, 1);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests, []);
});

// Promoting a replica that is further behind would lose writes.
test('a lost primary is replaced by the replica with the highest received log position', async () => {
	const fixture = new PromotionFixture();
	await fixture.advance(1000, 0);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(2500, 10);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests.map(request => request.member), ['c']);
});

// An unanswered request may be carried out late; a higher token in the repeated request invalidates it.
test('a promotion request without an answer is repeated soon with a higher fencing token', async () => {
	const fixture = new PromotionFixture({outcomes: ['unknown', 'unknown']});
	await fixture.advance(1000, 0);
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(3000, 10);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests.map(request => request.token), [1, 2, 3]);
});

// Writes that the old primary still accepted after the choice of its successor would be lost.
test('a leaving primary is demoted before another member is promoted', async () => {
	const fixture = new PromotionFixture();
	await fixture.advance(1000, 0);
	fixture.announce('a');
	await fixture.advance(4000, 0);
	fixture.stop();
	assert.deepEqual(fixture.authority.requests.map(request => request.member), ['c']);
	assert.ok(fixture.members[0].receivedKinds.includes('demote'));
});

// A replica that was leaving was passed over, and the one that lacked the acknowledged commits was promoted.
test('with synchronous replicas, a lost primary is replaced by the replica that holds all commits, although it is leaving', async () => {
	const fixture = new PromotionFixture({synchronousReplicas: 1});
	fixture.members[2].point = {term: 1, position: 9};
	await fixture.advance(1000, 0);
	fixture.announce('c');
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(2500, 10);
	fixture.stop();
	assert.equal(fixture.authority.requests.at(0)?.member, 'c');
});

// The replica that left may alone hold an acknowledged commit, until a successor at its address has its log.
test('with synchronous replicas, no replica is promoted while the log of another one is not known', async () => {
	const fixture = new PromotionFixture({synchronousReplicas: 1});
	await fixture.advance(1000, 0);
	fixture.markGone('c');
	fixture.members[0].isUnresponsive = true;
	await fixture.advance(2500, 10);
	assert.deepEqual(fixture.authority.requests, []);
	fixture.members[0].isUnresponsive = false;
	await fixture.advance(1500, 0);
	fixture.stop();
	assert.equal(fixture.authority.requests.length, 0, 'the control log holds no request that could be carried out');
	assert.ok(fixture.members[1].receivedKinds.includes('resume'));
	assert.equal(fixture.members[1].minimumAcceptedTerm, 0, 'the replica receives again once the primary is back');
});

// A primary that did not answer the demotion was replaced by the highest log that happened to answer.
test('with synchronous replicas, a leaving primary that no replica has caught up with stays the primary', async () => {
	const fixture = new PromotionFixture({synchronousReplicas: 1});
	await fixture.advance(1000, 0);
	fixture.announce('a');
	await fixture.advance(3000, 0);
	assert.deepEqual([...new Set(fixture.authority.requests.map(({member}) => member))], ['a']);
	fixture.members[1].point = {term: 1, position: 9};
	await fixture.advance(3000, 0);
	fixture.stop();
	assert.equal(fixture.authority.requests.at(-1)?.member, 'b');
});

// The term of the last log entry was taken for that of the primary. A promoted member leads a later one, so that its replicas ignored PAUSE and went on receiving, and it ignored DEMOTE and went on writing.
test('replicas are paused and a leaving primary is demoted in a term above the one that the primary leads', async () => {
	for (const isLeaving of [false, true]) {
		const fixture = new PromotionFixture({synchronousReplicas: 1});
		for (const member of fixture.members) {
			member.point = {term: 1, position: 9};
			member.knownTerm = 7;
		}

		await fixture.advance(1000, 0);
		if (isLeaving) {
			fixture.announce('a');
		} else {
			fixture.members[0].isUnresponsive = true;
		}

		await fixture.advance(2500, isLeaving ? 0 : 10);
		fixture.stop();
		const statements = fixture.members.flatMap(({received}) => received).flatMap(({statement}) => statement.kind === 'pause' || statement.kind === 'demote' ? [statement] : []);
		assert.deepEqual(statements[0], {kind: isLeaving ? 'demote' : 'pause', term: 8});
		assert.equal(fixture.authority.requests.length, 1);
	}
});

// A dark former primary was chosen by the position that it had reported before its rollback, and the commits of its successor were rolled back.
test('a switchover does not promote a former primary whose log is not known', async () => {
	const fixture = new PromotionFixture({synchronousReplicas: 1});
	await fixture.advance(1000, 0);
	const [former] = fixture.members;
	former.isUnresponsive = true;
	await fixture.advance(3000, 10);
	const successor = fixture.authority.requests[0].member;
	assert.notEqual(successor, 'a');
	fixture.announce(successor);
	await fixture.advance(3000, 10);
	assert.ok(fixture.authority.requests.length > 1);
	assert.deepEqual(fixture.authority.requests.filter(({member}) => member === 'a'), []);
	fixture.stop();
});
