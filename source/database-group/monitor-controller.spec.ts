import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {FakeGroup} from './group-fake.js';
import {createGroupBlackboard, holdsLease, mayUseMember} from './group-state.js';
import {MonitorController} from './monitor-controller.js';

const timeouts = {
	heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
};

async function startMonitor(rank = 0, prepare: (group: FakeGroup) => void = () => undefined) {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	prepare(group);
	const board = createGroupBlackboard(3);
	board.write('ownership', {rank, order: []});
	board.write('members', new Map([...group.members.keys()].map(member => [member, {
		member, address: member, dataCentre: 'x', leaving: false,
	}])));
	const timeline = new Timeline('pool-1', new HybridClock(clock));
	const monitor = new MonitorController({
		database: 'd', holder: 'pool-1', board, clock, clients: group, timeouts: () => timeouts, timeline, logger: silentLogger,
	});
	monitor.start();
	await clock.advanceInSteps(400, 10);
	return {
		clock, group, board, monitor, kinds: () => timeline.events().map(({kind}) => kind),
	};
}

// A single broken connection must not cause a promotion.
test('a member is not suspected when its connection stops responding but a new connection works', async () => {
	const {clock, group, board, kinds} = await startMonitor();
	group.member('a').timesOutUsedConnections = true;
	await clock.advanceInSteps(3000, 10);
	assert.equal(board.read('suspects').size, 0);
	assert.ok(kinds().includes('connection discarded'));
	assert.ok(!kinds().includes('lease lost'));
});

test('a member is suspected when a new connection fails too, and no longer once it responds', async () => {
	const {clock, group, board} = await startMonitor();
	group.member('a').isUnreachable = true;
	await clock.advanceInSteps(1200, 10);
	assert.deepEqual([...board.read('suspects')], ['a']);
	group.member('a').isUnreachable = false;
	await clock.advanceInSteps(1200, 10);
	assert.equal(board.read('suspects').size, 0);
});

test('a member is not suspected when a poll and one new connection fail but another new connection responds', async () => {
	const {clock, group, board, kinds} = await startMonitor();
	group.member('a').nextCallTimeouts.push(true, false, true);
	await clock.advanceInSteps(2000, 10);
	assert.equal(group.member('a').nextCallTimeouts.length, 0);
	assert.ok(!kinds().includes('member suspected'));
	assert.ok(!kinds().includes('lease lost'));
	assert.equal(mayUseMember(board, 'a', clock.now()), true);
});

// The lease starts when the request is sent: counted from the response, it could outlast the lease on the member.
test('a member is not used once the lease duration has passed since the last renewal was sent', async () => {
	const {clock, group, board, kinds} = await startMonitor();
	const until = board.read('leases').get('b') ?? 0;
	assert.deepEqual([until - 1, until].map(time => mayUseMember(board, 'b', time)), [true, false]);
	group.member('b').isUnreachable = true;
	await clock.advanceInSteps(until - clock.now() + 200, 10);
	assert.equal(mayUseMember(board, 'b', clock.now()), false);
	assert.ok(clock.now() <= group.member('b').leaseUntil + 200);
	assert.ok(kinds().includes('lease lost'));
});

test('a pool that is not the owner acquires a free lease only after a delay that grows with its rank', async () => {
	const {clock, board} = await startMonitor(3);
	assert.equal(holdsLease(board, 'a', clock.now()), false);
	await clock.advanceInSteps(600, 10);
	assert.equal(holdsLease(board, 'a', clock.now()), true);
});

test('a lease that another pool holds is not requested', async () => {
	const {clock, group, board} = await startMonitor(0, ({members}) => {
		for (const member of members.values()) {
			member.lease('pool-2', 60_000);
		}
	});
	await clock.advanceInSteps(3000, 10);
	assert.equal(board.read('leases').size, 0);
	assert.ok(!group.member('a').calls.includes('lease'));
});

test('an isolated primary alone does not raise the freshness floor', async () => {
	const {clock, group, board} = await startMonitor();
	group.member('b').isUnreachable = true;
	group.member('c').isUnreachable = true;
	const isolatedAt = clock.now();
	group.member('a').position = 50;
	await clock.advanceInSteps(3000, 10);
	assert.ok(board.read('floors').every(({startedAt, logPosition}) => startedAt <= isolatedAt && logPosition.position < 50));
});

test('extra polls run only while a write waits for confirmation', async () => {
	const {clock, group, board} = await startMonitor();
	const callsDuring = async (): Promise<number> => {
		const before = group.member('b').calls.length;
		await clock.advanceInSteps(200, 1);
		return group.member('b').calls.length - before;
	};

	const callsWhileIdle = await callsDuring();
	board.write('unconfirmedWritePosition', {term: 1, position: 9});
	const callsWhileWaiting = await callsDuring();
	board.write('unconfirmedWritePosition', undefined);
	assert.ok(callsWhileIdle <= 2);
	assert.ok(callsWhileWaiting > 50);
	assert.ok(await callsDuring() <= 2);
});

/** Hands the leases over while the renewal of every lease waits for its response. */
async function releaseDuringRenewal({clock, group, board, monitor}: Awaited<ReturnType<typeof startMonitor>>): Promise<void> {
	for (const member of group.members.values()) {
		member.responseDelay = 30;
	}

	monitor.pollNow();
	await clock.advanceInSteps(10, 10);
	board.write('isReleasingLeases', true);
	const released = monitor.releaseLeases();
	await clock.advanceInSteps(60, 10);
	await released;
}

// Guards against a pool that believes after a handover that it still holds the leases: the requests that it accepted were interrupted when the next renewal was refused.
test('the response to a renewal that was sent before the leases were released does not restore them', async () => {
	const fixture = await startMonitor();
	await releaseDuringRenewal(fixture);
	assert.equal(fixture.board.read('leases').size, 0);
	assert.equal(fixture.kinds().filter(kind => kind === 'lease taken').length, 3);
});

// Guards against a lease that blocks the successor until it expires, because the pool asked for it just before the handover.
test('a lease that was requested but not granted yet is released as well', async () => {
	const fixture = await startMonitor(0, ({members}) => {
		for (const member of members.values()) {
			member.lease('pool-2', 60_000);
		}
	});
	for (const member of fixture.group.members.values()) {
		member.leaseUntil = 0;
		member.responseDelay = 30;
	}

	fixture.monitor.pollNow();
	await fixture.clock.advanceInSteps(50, 10);
	assert.ok(fixture.group.member('a').calls.includes('lease'));
	fixture.board.write('isReleasingLeases', true);
	const released = fixture.monitor.releaseLeases();
	await fixture.clock.advanceInSteps(60, 10);
	await released;
	assert.deepEqual([...fixture.group.members.values()].map(({leaseUntil}) => leaseUntil), [0, 0, 0]);
	assert.equal(fixture.board.read('leases').size, 0);
});
