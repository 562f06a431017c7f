import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
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

function startCoordinator(group: FakeGroup, clock: ManualClock, name: string, rank: number) {
	const coordinator = startPromotionController(group, clock, name, rank);
	coordinator.monitor.start();
	return coordinator;
}

function primaries(group: FakeGroup): readonly FakeGroupMember[] {
	return [...group.members.values()].filter(member => member.status().acceptingWrites);
}

test('a new group gets one primary and two followers', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	startCoordinator(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(1000, 10);
	const [primary] = primaries(group);
	assert.ok([...group.members.values()].every(member => member.primaryMember === primary.name));
});

test('two coordinators that start at once never have two primaries in one term', async () => {
	await fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 40}), fc.constantFrom('a', 'b', 'c'), async (step, failed) => {
		const clock = new ManualClock();
		const group = new FakeGroup(clock);
		group.setPrimary('a', 1);
		const byTerm = new Map<number, string>();
		startCoordinator(group, clock, 'pool-1', 0);
		await clock.advanceInSteps(step, 1);
		startCoordinator(group, clock, 'pool-2', 0);
		await clock.advanceInSteps(400, step);
		group.member(failed).isUnreachable = true;
		for (let round = 0; round < 200; round++) {
			await clock.advanceInSteps(20, step);
			for (const {primaryTerm, name} of [...group.members.values()].filter(({role}) => role === 'primary')) {
				assert.equal(byTerm.get(primaryTerm) ?? name, name);
				byTerm.set(primaryTerm, name);
			}
		}

		assert.equal(primaries(group).filter(({name}) => name !== failed).length, 1);
	}), {seed: 11, numRuns: 15});
});

test('a coordinator without a majority promotes nobody', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	startCoordinator(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').isUnreachable = true;
	group.member('c').isUnreachable = true;
	await clock.advanceInSteps(5000, 10);
	assert.equal(group.member('b').role, 'replica');
});

test('a coordinator of rank 1 leaves the owner time to promote, and promotes when the owner does not', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {events} = startCoordinator(group, clock, 'pool-2', 1);
	await clock.advanceInSteps(400, 10);
	group.member('a').isUnreachable = true;
	await clock.advanceInSteps(3000, 10);
	const timeOf = (kind: string): number => events().find(event => event.kind === kind)!.time.milliseconds;
	assert.ok(timeOf('promotion started') - timeOf('member suspected') >= 500);
	assert.equal(primaries(group).length, 2);
});

test('a returned old primary with a longer log follows the new primary', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	startCoordinator(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').isUnreachable = true;
	group.member('a').position = 90;
	await clock.advanceInSteps(3000, 10);
	group.member('a').isUnreachable = false;
	await clock.advanceInSteps(3000, 10);
	assert.equal(primaries(group).length, 1);
	assert.notEqual(group.member('a').role, 'primary');
	assert.equal(group.member('a').primaryMember, primaries(group)[0].name);
});

test('a promise left by a coordinator that failed does not shut a member out for good', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	startCoordinator(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('c').promise(7);
	await clock.advanceInSteps(3000, 10);
	assert.deepEqual(primaries(group).map(({name}) => name), ['a']);
	assert.ok([...group.members.values()].every(member => member.primaryTerm === group.member('a').primaryTerm));
});

test('a primary that nobody announces any more is replaced even if this coordinator never saw it', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {board} = startCoordinator(group, clock, 'pool-1', 0);
	board.write('members', new Map([...board.read('members')].filter(([name]) => name !== 'a')));
	await clock.advanceInSteps(4000, 10);
	assert.equal(group.member('b').promisedTerm, 1);
	await clock.advanceInSteps(2000, 10);
	assert.ok(primaries(group).some(({primaryTerm}) => primaryTerm === 2));
});

test('a planned change waits until the target has the whole log', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {board, promotion} = startCoordinator(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').position = 9;
	await clock.advanceInSteps(400, 10);
	const change = promotion.switchOver('b');
	await clock.advanceInSteps(300, 10);
	assert.equal(board.read('writesPaused'), true);
	assert.equal(group.member('b').role, 'replica');
	group.member('b').position = 9;
	await clock.advanceInSteps(300, 10);
	await change;
	assert.deepEqual(primaries(group).map(({name}) => name), ['b']);
	assert.equal(board.read('writesPaused'), false);
});

test('a planned change does not promote a member without the end of a log that this pool did not know', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const {promotion} = startCoordinator(group, clock, 'pool-1', 0);
	await clock.advanceInSteps(400, 10);
	group.member('a').position = 9;
	const change = assert.rejects(promotion.switchOver('b'), {codeName: 'memberRefused'});
	await clock.advanceInSteps(300, 10);
	await change;
	assert.deepEqual(primaries(group).map(({name}) => name), ['a']);
});

test('a candidate does not promote because of statuses of different age', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const [stale, other] = ['a', 'b'].map(member => group.member(member).status());
	group.setPrimary('a', 2);
	const candidate = startPromotionController(group, clock, 'pool-2', 1);
	clock.advance(10);
	candidate.board.write('observations', new Map([
		['a', {askedAt: 0, status: {...stale, role: 'replica' as const, acceptingWrites: false}}],
		['b', {askedAt: 0, status: {...other, primaryTerm: 2, primaryMember: 'a'}}],
	]));
	await clock.advanceInSteps(3000, 10);
	assert.deepEqual(candidate.events(), []);
});

test('a candidate does not promote on statuses from before its stagger, in which the first pool may have promoted', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	clock.advance(10);
	const candidate = startPromotionController(group, clock, 'pool-2', 1);
	candidate.board.write('observations', new Map(['a', 'b', 'c'].map(member => [member, {askedAt: clock.now(), status: group.member(member).status()}])));
	await clock.advanceInSteps(3000, 10);
	assert.deepEqual(candidate.events(), []);
});
