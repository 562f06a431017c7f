import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {FakeMemberConnector, FakeMemberServer} from '../session-proxy/member-server-fake.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {BackendServerProber} from './backend-server-prober.js';
import {type ProbeMode} from './probe-assignment.js';

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

/** Returns a prober whose mode the test sets. */
function createProberInMode(mode: ProbeMode): ReturnType<typeof createProber> & {readonly state: {mode: ProbeMode}; readonly openCount: () => number} {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	member.role = 'primary';
	const state = {mode};
	const prober = new BackendServerProber(member.server, {
		connector: new FakeMemberConnector([member]), clock, mode: () => state.mode, probePeriod: () => 200,
	});
	return {
		clock, member, prober, state, openCount: () => member.connections.filter(({isClosed}) => !isClosed).length,
	};
}

// Each control instance kept a connection, which left none for the entries.
test('a member that another instance probes gets no connection, and counts neither as reached nor as failing', async () => {
	const {clock, prober, state, openCount} = createProberInMode('kept');
	await clock.advanceInSteps(500, 10);
	assert.equal(openCount(), 1);
	state.mode = 'none';
	await clock.advanceInSteps(500, 10);
	assert.equal(openCount(), 0);
	assert.equal(prober.primaryConfirmation, undefined);
	assert.deepEqual(prober.reachability, {id: 'a', answeredAgo: null, failingFor: 0});
	state.mode = 'kept';
	await clock.advanceInSteps(200, 10);
	assert.ok(prober.primaryConfirmation);
	prober.stop();
});

// The leader shares the last connection of a member with an entry, which needs it nearly all the time.
test('a brief connection is closed after each probe, and kept for a series of commands', async () => {
	const {clock, member, prober, openCount} = createProberInMode('brief');
	await clock.advanceInSteps(5000, 10);
	assert.equal(openCount(), 0);
	assert.ok(prober.primaryConfirmation);
	assert.ok(member.connections.length <= 6);
	const before = member.connections.length;
	for (let command = 0; command < 5; command++) {
		await prober.execute({kind: 'status'}, () => true);
		await clock.advanceInSteps(50, 10);
	}

	assert.equal(member.connections.length, before + 1);
	await clock.advanceInSteps(3000, 10);
	assert.equal(openCount(), 0);
	prober.stop();
});

// A failover ended because the replica had no connection free for the STATUS of the leader.
test('a command waits until a full member has a connection free', async () => {
	const {clock, member, prober} = createProberInMode('brief');
	member.refusesConnections = true;
	await clock.advanceInSteps(500, 10);
	assert.equal(prober.reachability.failingFor, 0, 'a refusal proves that the member is reachable');
	assert.equal(prober.primaryConfirmation, undefined, 'a refusal does not prove that the member leads');
	const pendingReply = prober.execute({kind: 'status'}, () => true);
	await clock.advanceInSteps(1000, 10);
	member.refusesConnections = false;
	await clock.advanceInSteps(200, 10);
	const reply = await pendingReply;
	assert.equal(reply.outcome, 'done');
	prober.stop();
});

// PAUSE was refused while all slots were in use, and the replica received until the next repair.
test('the opening statement is sent again until the member carries it out', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('b'), isGone: false});
	member.refusedKinds.add('pause');
	const prober = new BackendServerProber(member.server, {
		connector: new FakeMemberConnector([member]), clock, probePeriod: () => 200, openingStatement: () => ({kind: 'pause', term: 2}),
	});
	await clock.advanceInSteps(200, 10);
	assert.equal(member.minimumAcceptedTerm, 0);
	member.refusedKinds.clear();
	await clock.advanceInSteps(100, 10);
	assert.equal(member.minimumAcceptedTerm, 2);
	prober.stop();
});
