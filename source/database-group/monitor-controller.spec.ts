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

test('a connection that stopped responding does not make its member suspected while a fresh one works', async () => {
	const {clock, group, board, kinds} = await startMonitor();
	group.member('a').isSilent = true;
	await clock.advanceInSteps(3000, 10);
	assert.equal(board.read('suspects').size, 0);
	assert.ok(kinds().includes('connection discarded'));
	assert.ok(!kinds().includes('lease lost'));
});

test('a member is suspected when a fresh connection fails too, and trusted again when it answers', async () => {
	const {clock, group, board} = await startMonitor();
	group.member('a').isUnreachable = true;
	await clock.advanceInSteps(1200, 10);
	assert.deepEqual([...board.read('suspects')], ['a']);
	group.member('a').isUnreachable = false;
	await clock.advanceInSteps(1200, 10);
	assert.equal(board.read('suspects').size, 0);
});

test('a member is not suspected when a heartbeat and one fresh connection are lost but another one is answered', async () => {
	const {clock, group, board, kinds} = await startMonitor();
	group.member('a').nextLost.push(true, false, true);
	await clock.advanceInSteps(2000, 10);
	assert.equal(group.member('a').nextLost.length, 0);
	assert.ok(!kinds().includes('member suspected'));
	assert.ok(!kinds().includes('lease lost'));
	assert.equal(mayUseMember(board, 'a', clock.now()), true);
});

test('a member is not used after the lease time has passed since the last renewal was sent', async () => {
	const {clock, group, board, kinds} = await startMonitor();
	const until = board.read('leases').get('b') ?? 0;
	assert.deepEqual([until - 1, until].map(time => mayUseMember(board, 'b', time)), [true, false]);
	group.member('b').isUnreachable = true;
	await clock.advanceInSteps(until - clock.now() + 200, 10);
	assert.equal(mayUseMember(board, 'b', clock.now()), false);
	assert.ok(clock.now() <= group.member('b').leaseUntil + 200);
	assert.ok(kinds().includes('lease lost'));
});

test('a pool that is not the owner takes a free lease only after its stagger', async () => {
	const {clock, board} = await startMonitor(3);
	assert.equal(holdsLease(board, 'a', clock.now()), false);
	await clock.advanceInSteps(600, 10);
	assert.equal(holdsLease(board, 'a', clock.now()), true);
});

test('a lease that another pool holds is not asked for', async () => {
	const {clock, group, board} = await startMonitor(0, ({members}) => {
		for (const member of members.values()) {
			member.lease('pool-2', 60_000);
		}
	});
	await clock.advanceInSteps(3000, 10);
	assert.equal(board.read('leases').size, 0);
	assert.ok(!group.member('a').calls.includes('lease'));
});

test('an isolated primary alone raises no freshness floor', async () => {
	const {clock, group, board} = await startMonitor();
	group.member('b').isUnreachable = true;
	group.member('c').isUnreachable = true;
	const isolatedAt = clock.now();
	group.member('a').position = 50;
	await clock.advanceInSteps(3000, 10);
	assert.ok(board.read('floors').every(({startedAt, point}) => startedAt <= isolatedAt && point.position < 50));
});

test('extra polls run only while a write waits for its confirmation', async () => {
	const {clock, group, board} = await startMonitor();
	const callsDuring = async (): Promise<number> => {
		const before = group.member('b').calls.length;
		await clock.advanceInSteps(200, 1);
		return group.member('b').calls.length - before;
	};

	const quiet = await callsDuring();
	board.write('awaitedPoint', {term: 1, position: 9});
	const busy = await callsDuring();
	board.write('awaitedPoint', undefined);
	assert.ok(quiet <= 2);
	assert.ok(busy > 50);
	assert.ok(await callsDuring() <= 2);
});
