import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {FakeMemberConnector, FakeMemberServer} from '../session-proxy/member-server-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {BackendServerProber} from './backend-server-prober.js';

function createProber(): {readonly clock: ManualClock; readonly member: FakeMemberServer; readonly prober: BackendServerProber} {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	member.role = 'primary';
	return {clock, member, prober: new BackendServerProber(member.server, {connector: new FakeMemberConnector([member]), clock, probePeriod: () => 200})};
}

// A former primary that still counted as confirmed would hide that the service has no primary.
test('a primary confirms its log position, and a replica confirms none', async () => {
	const {clock, member, prober} = createProber();
	await clock.advanceInSteps(50, 10);
	assert.deepEqual(prober.primaryConfirmation?.logPosition, {term: 1, position: 1});
	member.role = 'replica';
	await clock.advanceInSteps(300, 10);
	assert.equal(prober.primaryConfirmation, undefined);
	assert.equal(prober.reachability.failingFor, 0);
	prober.stop();
});

test('a member that does not answer probes is reported as failing', async () => {
	const {clock, member, prober} = createProber();
	await clock.advanceInSteps(50, 10);
	member.isUnresponsive = true;
	await clock.advanceInSteps(1500, 10);
	assert.ok(prober.reachability.failingFor >= 600);
	prober.stop();
});

// The prober has to open a new connection, which the member refuses; treating the refusal as a failure would cause a needless promotion.
test('a member that refuses connections because all are in use does not count as failing', async () => {
	const {clock, member, prober} = createProber();
	member.refusesConnections = true;
	await clock.advanceInSteps(50, 10);
	for (const connection of member.connections) {
		connection.close();
	}

	await clock.advanceInSteps(2000, 10);
	assert.equal(prober.reachability.failingFor, 0);
	prober.stop();
});

// The reply to the next statement was taken for the missing one, for instance that to a probe for the confirmation of a demotion.
test('after a statement without a reply, nothing more is sent on its connection', async () => {
	const {clock, member, prober} = createProber();
	await clock.advanceInSteps(50, 10);
	member.lostReplies.add('status');
	const failure = assert.rejects(prober.execute({kind: 'status'}, () => true), {codeName: 'linkOutcomeUnknown'});
	await clock.advanceInSteps(600, 10);
	await failure;
	assert.equal(member.connections[0].isClosed, true);
	member.lostReplies.clear();
	const reply = await prober.execute({kind: 'status'}, () => true);
	assert.ok(reply.outcome === 'done');
	assert.equal(reply.rows.length, 1);
	prober.stop();
});

// A leader that was frozen after its decision let replicas receive again that its successor had paused.
test('a command that waits for a connection is not sent after the lead is lost', async () => {
	const {clock, member, prober} = createProber();
	let isLeader = true;
	let open = (): void => undefined;
	member.connectBarrier = new Promise(resolve => {
		open = resolve;
	});
	const failure = assert.rejects(prober.execute({kind: 'resume'}, () => isLeader), {codeName: 'notLeader'});
	isLeader = false;
	open();
	await clock.advanceInSteps(50, 10);
	await failure;
	assert.deepEqual(member.receivedKinds.filter(kind => kind === 'resume'), []);
	prober.stop();
});
