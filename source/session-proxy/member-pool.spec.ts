import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {FakeMemberConnector, FakeMemberServer} from './member-server-fake.js';
import {MemberPool} from './member-pool.js';
import {testAnnouncement} from './session-fixture.js';

test('idle connections of a member that answers nothing are closed, so that none of them takes another request', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	const pool = new MemberPool(member.server, {
		connector: new FakeMemberConnector([member]), clock, logger: silentLogger, maximumConnections: () => 4,
	});
	pool.release(await pool.acquire(1000, 1));
	clock.advance(100);
	pool.reportFailure(clock.now());
	assert.equal(member.links[0].isClosed, true);
	const next = await pool.acquire(1000, 1);
	assert.notEqual(next.memberConnection, member.links[0]);
});

test('a statement without an answer says nothing against a member that answered others since', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	const pool = new MemberPool(member.server, {
		connector: new FakeMemberConnector([member]), clock, logger: silentLogger, maximumConnections: () => 4,
	});
	const sentAt = clock.now();
	clock.advance(100);
	const link = await pool.acquire(1000, 1);
	await link.execute({kind: 'read', id: 'r', text: 'READ 1'}, 100);
	pool.release(link);
	pool.reportFailure(sentAt);
	assert.equal(pool.isFailing, false);
	assert.equal(member.links[0].isClosed, false);
});
