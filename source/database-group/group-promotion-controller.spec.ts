import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {FakeGroup, type FakeGroupMember} from './group-fake.js';
import {createGroupBlackboard} from './group-state.js';
import {MonitorController} from './monitor-controller.js';
import {GroupPromotionController} from './group-promotion-controller.js';

const timeouts = {
	heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
};

function startPromotionController(group: FakeGroup, clock: ManualClock, name: string, rank: number) {
	const board = createGroupBlackboard(3);
	board.write('ownership', {rank, order: []});
	board.write('members', new Map([...group.members.keys()].map(member => [member, {
		member, address: member, dataCentre: 'x', leaving: false,
	}])));
	const options = {
		database: 'd', board, clock, timeouts: () => timeouts, timeline: new Timeline(name, new HybridClock(clock)), logger: silentLogger,
	};
	const monitor = new MonitorController({...options, holder: name, clients: group});
	const promotion = new GroupPromotionController({...options, monitor, random: new SeededRandom(rank + 1)});
	promotion.start();
	return {
		board, monitor, promotion, events: () => options.timeline.events(),
	};
}

function startPool(group: FakeGroup, clock: ManualClock, name: string, rank: number) {
	const pool = startPromotionController(group, clock, name, rank);
	pool.monitor.start();
	return pool;
}

function acceptingPrimaries(group: FakeGroup): readonly FakeGroupMember[] {
	return [...group.members.values()].filter(member => member.status().acceptingWrites);
}

test('a new group gets one primary that all members follow', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	startPool(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(1000, 10);
	const [primary] = acceptingPrimaries(group);
	assert.ok([...group.members.values()].every(member => member.primaryMember === primary.name));
});

test('two pools that coordinate at the same time never create two primaries in one term', async () => {
	await fastCheck.assert(fastCheck.asyncProperty(fastCheck.integer({min: 1, max: 40}), fastCheck.constantFrom('a', 'b', 'c'), async (step, failed) => {
		const clock = new ManualClock();
		const group = new FakeGroup(clock);
		group.setPrimary('a', 1);
		const primaryByTerm = new Map<number, string>();
		startPool(group, clock, 'pool-1', 0);
		await clock.advanceInSteps(step, 1);
		startPool(group, clock, 'pool-2', 0);
		await clock.advanceInSteps(400, step);
		group.member(failed).isUnreachable = true;
		for (let round = 0; round < 200; round++) {
			await clock.advanceInSteps(20, step);
			for (const {primaryTerm, name} of [...group.members.values()].filter(({role}) => role === 'primary')) {
				assert.equal(primaryByTerm.get(primaryTerm) ?? name, name);
				primaryByTerm.set(primaryTerm, name);
			}
		}

		assert.equal(acceptingPrimaries(group).filter(({name}) => name !== failed).length, 1);
	}), {seed: 11, numRuns: 15});
});

test('a pool that reaches no majority promotes no member', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	startPool(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').isUnreachable = true;
	group.member('c').isUnreachable = true;
	await clock.advanceInSteps(5000, 10);
	assert.equal(group.member('b').role, 'replica');
});

test('a pool of rank 1 gives the owner time to promote a member, and promotes one when the owner does not', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {events} = startPool(group, clock, 'pool-2', 1);
	await clock.advanceInSteps(400, 10);
	group.member('a').isUnreachable = true;
	await clock.advanceInSteps(3000, 10);
	const timeOf = (kind: string): number => events().find(event => event.kind === kind)!.time.milliseconds;
	assert.ok(timeOf('promotion started') - timeOf('member suspected') >= 500);
	// The former primary cannot be reached, so it has not yet learned of the new term and still accepts writes itself.
	assert.equal(acceptingPrimaries(group).length, 2);
});

// The additional entries were never acknowledged, so the log of the new term must replace them.
test('a former primary that returns with a longer log follows the new primary', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	startPool(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').isUnreachable = true;
	group.member('a').position = 90;
	await clock.advanceInSteps(3000, 10);
	group.member('a').isUnreachable = false;
	await clock.advanceInSteps(3000, 10);
	assert.equal(acceptingPrimaries(group).length, 1);
	assert.notEqual(group.member('a').role, 'primary');
	assert.equal(group.member('a').primaryMember, acceptingPrimaries(group)[0].name);
});

// The member rejects the log of the primary until the primary starts a later term than the promised one.
test('a promise to a coordinator that failed does not exclude a member permanently', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	startPool(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('c').promise(7);
	await clock.advanceInSteps(3000, 10);
	assert.deepEqual(acceptingPrimaries(group).map(({name}) => name), ['a']);
	assert.ok([...group.members.values()].every(member => member.primaryTerm === group.member('a').primaryTerm));
});

test('a primary that is no longer announced is replaced even if this pool never received its status', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {board} = startPool(group, clock, 'pool-1', 0);
	board.write('members', new Map([...board.read('members')].filter(([name]) => name !== 'a')));
	await clock.advanceInSteps(4000, 10);
	assert.equal(group.member('b').promisedTerm, 1);
	await clock.advanceInSteps(2000, 10);
	assert.ok(acceptingPrimaries(group).some(({primaryTerm}) => primaryTerm === 2));
});

test('a switchover waits until the target has the whole log', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {board, promotion} = startPool(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').position = 9;
	await clock.advanceInSteps(400, 10);
	const switchover = promotion.switchOver('b');
	await clock.advanceInSteps(300, 10);
	assert.equal(board.read('writesPaused'), true);
	assert.equal(group.member('b').role, 'replica');
	group.member('b').position = 9;
	await clock.advanceInSteps(300, 10);
	await switchover;
	assert.deepEqual(acceptingPrimaries(group).map(({name}) => name), ['b']);
	assert.equal(board.read('writesPaused'), false);
});

test('a switchover does not promote a member whose log lacks entries that this pool did not know of', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {promotion} = startPool(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').position = 9;
	const switchover = assert.rejects(promotion.switchOver('b'), {codeName: 'memberRefused'});
	await clock.advanceInSteps(300, 10);
	await switchover;
	assert.deepEqual(acceptingPrimaries(group).map(({name}) => name), ['a']);
});

test('a pool does not promote on statuses of different ages that look like a group without a primary', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const [stale, other] = ['a', 'b'].map(member => group.member(member).status());
	group.setPrimary('a', 2);
	const pool = startPromotionController(group, clock, 'pool-2', 1);
	clock.advance(10);
	pool.board.write('observations', new Map([
		['a', {askedAt: 0, status: {...stale, role: 'replica' as const, acceptingWrites: false}}],
		['b', {askedAt: 0, status: {...other, primaryTerm: 2, primaryMember: 'a'}}],
	]));
	await clock.advanceInSteps(3000, 10);
	assert.deepEqual(pool.events(), []);
});

// The owner may have promoted a member during the staggered delay of this pool.
test('a pool does not promote on statuses from before the end of its staggered delay', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	clock.advance(10);
	const pool = startPromotionController(group, clock, 'pool-2', 1);
	pool.board.write('observations', new Map(['a', 'b', 'c'].map(member => [member, {askedAt: clock.now(), status: group.member(member).status()}])));
	await clock.advanceInSteps(3000, 10);
	assert.deepEqual(pool.events(), []);
});
