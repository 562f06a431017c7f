import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {type RequestHandler} from '../links/link-client.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {encodeGossipRecord} from './datagram-codec.js';
import {InMemoryNetwork, type PausableClock} from './in-memory-network.js';
import {type ProcessState} from './process-record.js';
import {MembershipController} from './membership-controller.js';
import {recordsNoticeName} from './record-exchange.js';

type TestProcess = {
	readonly membership: MembershipController;
	readonly timeline: Timeline;
	readonly clock: PausableClock;
	readonly handlers: ReadonlyMap<string, RequestHandler>;
};

const clockStep = 10;

class Fleet {
	readonly clock = new ManualClock();
	readonly network: InMemoryNetwork;
	readonly processes = new Map<string, TestProcess>();
	readonly #random: SeededRandom;

	constructor(seed: number) {
		this.#random = new SeededRandom(seed);
		this.network = new InMemoryNetwork(this.clock, this.#random);
	}

	start(name: string, wallTimeOffset = 0): MembershipController {
		const {clock, transport, linkClient, handlers} = this.network.add(name);
		clock.wallTimeOffset = wallTimeOffset;
		const timeline = new Timeline(name, new HybridClock(clock));
		const membership = new MembershipController({
			self: {
				name, role: 'entry', instance: name, dataCentre: 'chc-a', region: 'canterbury', linkAddress: name, gossipAddress: name,
			},
			seeds: ['p0', 'p1'], clock, random: this.#random, transport, linkClient, handlers, logger: silentLogger, timeline,
		});
		void membership.open();
		membership.start();
		this.processes.set(name, {
			membership, timeline, clock, handlers,
		});
		return membership;
	}

	async startMany(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			this.start(`p${index}`);
		}

		await this.advance(15_000);
		this.assertAliveCount(count);
	}

	kill(name: string): void {
		this.network.kill(name);
		this.processes.get(name)?.membership.stop();
		this.processes.delete(name);
	}

	async advance(duration: number): Promise<void> {
		await this.clock.advanceInSteps(duration, clockStep);
	}

	stateOf(observer: string, name: string): ProcessState | undefined {
		return this.processes.get(observer)?.membership.records().find(record => record.name === name)?.state;
	}

	statesOf(name: string): ReadonlySet<ProcessState | undefined> {
		return new Set([...this.processes.keys()].map(observer => this.stateOf(observer, name)));
	}

	/** Asserts that every process holds exactly this many records as alive. */
	assertAliveCount(count: number): void {
		for (const [name, {membership}] of this.processes) {
			assert.deepEqual(membership.records().filter(record => record.state === 'alive').length, count, `records of ${name}`);
		}
	}

	countEvents(state: ProcessState): number {
		return [...this.processes.values()].flatMap(({timeline}) => timeline.events()).filter(event => event.kind === state).length;
	}
}

test('all processes detect the failure of a killed process', async () => {
	const fleet = new Fleet(1);
	await fleet.startMany(20);
	fleet.kill('p7');
	await fleet.advance(15_000);
	assert.deepEqual(fleet.statesOf('p7'), new Set(['failed']));
	assert.equal(fleet.countEvents('failed'), 19);
});

for (const seed of [2, 3, 4]) {
	test(`no live process is reported failed under 5% datagram loss and process pauses of 300 ms (seed ${seed})`, async () => {
		const fleet = new Fleet(seed);
		fleet.network.lossRate = 0.05;
		await fleet.startMany(20);
		for (let round = 0; round < 60; round++) {
			fleet.processes.get(`p${round % 20}`)?.clock.pause(300);
			await fleet.advance(1000);
		}

		assert.equal(fleet.countEvents('failed'), 0);
	});
}

// The process already suspects peers when the pause begins. On resume the suspicion timeouts must start again, since refutations sent during the pause were lost.
test('a process that was paused for 20 s reports no peer as failed when it resumes', async () => {
	const fleet = new Fleet(5);
	await fleet.startMany(10);
	const resumed = fleet.processes.get('p3')!;
	fleet.network.partition(['p3']);
	await fleet.advance(2500);
	assert.ok(resumed.timeline.events().some(event => event.kind === 'suspect'));
	resumed.clock.pause(20_000);
	await fleet.advance(20_500);
	fleet.network.partition([]);
	await fleet.advance(5000);
	assert.equal(resumed.timeline.events().filter(event => event.kind === 'failed').length, 0);
	await fleet.advance(20_000);
	fleet.assertAliveCount(10);
});

test('the sides of a healed partition see each other as alive again, even after each has reported the other as failed', async () => {
	const fleet = new Fleet(6);
	await fleet.startMany(12);
	fleet.network.partition(['p0', 'p1', 'p2', 'p3', 'p4', 'p5']);
	await fleet.advance(40_000);
	assert.equal(fleet.stateOf('p0', 'p9'), 'failed');
	assert.equal(fleet.stateOf('p9', 'p0'), 'failed');
	fleet.network.partition([]);
	await fleet.advance(40_000);
	fleet.assertAliveCount(12);
});

// Guards against a suspicion that hides the draining flag, after which peers would send the process new work.
test('all processes see a draining process as draining, even while it is suspected', async () => {
	const fleet = new Fleet(7);
	await fleet.startMany(20);
	fleet.processes.get('p4')!.membership.markDraining();
	await fleet.advance(600);
	assert.deepEqual(fleet.statesOf('p4'), new Set(['draining']));
	fleet.network.partition(['p4']);
	await fleet.advance(4500);
	assert.equal(fleet.stateOf('p5', 'p4'), 'draining');
	fleet.network.partition([]);
	await fleet.advance(20_000);
	assert.deepEqual(fleet.statesOf('p4'), new Set(['draining']));
});

test('a process that left is not reported as failed, and can rejoin after a restart', async () => {
	const fleet = new Fleet(8);
	await fleet.startMany(10);
	fleet.processes.get('p2')!.membership.stop();
	fleet.processes.delete('p2');
	await fleet.advance(10_000);
	assert.deepEqual(fleet.statesOf('p2'), new Set(['left']));
	assert.equal(fleet.countEvents('failed'), 0);
	fleet.start('p2');
	await fleet.advance(5000);
	fleet.assertAliveCount(10);
});

// A process starts with the wall-clock time as its incarnation. After the clock was set back, the new incarnation is lower than the one that the peers still hold.
test('a process killed and restarted under the same name rejoins, even when its wall clock went backwards', async () => {
	const fleet = new Fleet(9);
	await fleet.startMany(10);
	for (const wallTimeOffset of [0, -20_000]) {
		fleet.kill('p2');
		await fleet.advance(15_000);
		assert.equal(fleet.stateOf('p5', 'p2'), 'failed');
		fleet.start('p2', wallTimeOffset);
		await fleet.advance(15_000);
		fleet.assertAliveCount(10);
	}
});

test('a joining process receives all 4,000 records', async () => {
	const fleet = new Fleet(10);
	const first = fleet.start('p0');
	const records = Array.from({length: 4000}, (_, index) => encodeGossipRecord({
		name: `entry-${index}`,
		role: 'entry',
		instance: `i-${index}`,
		dataCentre: 'chc-a',
		region: 'canterbury',
		linkAddress: `10.0.0.1:${index}`,
		gossipAddress: `10.0.0.1:${index}`,
		incarnation: 1,
		health: 'alive',
		draining: false,
		state: 'alive',
		configurationRevision: 0,
	}));
	await fleet.processes.get('p0')!.handlers.get(recordsNoticeName)!(records, {linkId: 0});
	assert.equal(first.records().length, 4001);
	const joining = fleet.start('p1');
	await fleet.advance(1000);
	assert.equal(joining.records().length, 4002);
	assert.equal(first.records().length, 4002);
});
