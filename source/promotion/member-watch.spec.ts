import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {FakeMemberConnector, FakeMemberServer} from '../session-proxy/member-server-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {MemberWatch} from './member-watch.js';

function watched(): {readonly clock: ManualClock; readonly member: FakeMemberServer; readonly watch: MemberWatch} {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	member.role = 'primary';
	return {clock, member, watch: new MemberWatch(member.server, new FakeMemberConnector([member]), clock, () => 200)};
}

test('a primary confirms its point, and a replica confirms none', async () => {
	const {clock, member, watch} = watched();
	await clock.advanceInSteps(50, 10);
	assert.deepEqual(watch.primary?.point, {term: 1, position: 1});
	member.role = 'replica';
	await clock.advanceInSteps(300, 10);
	assert.equal(watch.primary, undefined);
	assert.equal(watch.contact.failingFor, 0);
	watch.stop();
});

test('a member that answers nothing is failing', async () => {
	const {clock, member, watch} = watched();
	await clock.advanceInSteps(50, 10);
	member.isUnresponsive = true;
	await clock.advanceInSteps(1500, 10);
	assert.ok(watch.contact.failingFor >= 600);
	watch.stop();
});

test('a member whose connections are all in use is not taken for lost', async () => {
	const {clock, member, watch} = watched();
	member.refusesConnections = true;
	await clock.advanceInSteps(50, 10);
	for (const link of member.links) {
		link.close();
	}

	await clock.advanceInSteps(2000, 10);
	assert.equal(watch.contact.failingFor, 0);
	watch.stop();
});
