import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {type ConfigurationSinceResponse} from '../control/messages.js';
import {decodeDatagram} from '../membership/datagram-codec.js';
import {InMemoryNetwork, type NetworkEndpoint} from '../membership/in-memory-network.js';
import {MembershipController} from '../membership/membership-controller.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {ConfigurationController, configurationFromPeerRequestName, maximumConcurrentPeerResponses} from './configuration-controller.js';
import {ConfigurationOrigin} from './configuration-origin.js';
import {ConfigurationStore} from './configuration-store.js';

class FakeControl extends ConfigurationOrigin {
	isConfirming = true;
	requestCount = 0;
	readonly #committed = new ConfigurationStore('', silentLogger);

	constructor() {
		super();
		this.#committed.accept({kind: 'snapshot', configuration: {revision: 0, files: {}, memberSets: {}}});
	}

	commit(count: number): void {
		for (let index = 0; index < count; index++) {
			const revision = this.#committed.revision! + 1;
			this.#committed.accept({kind: 'deltas', deltas: [{revision, files: {}, memberSets: {[`db-${revision % 50}`]: [`m-${revision}`]}}]});
		}
	}

	override async changesSince(revision: number): Promise<ConfigurationSinceResponse> {
		this.requestCount++;
		if (!this.isConfirming) {
			throw new BuckthornhitchError('notConfirmed', '');
		}

		return this.#committed.changesSince(revision);
	}
}

class Fleet {
	readonly clock = new ManualClock();
	readonly control = new FakeControl();
	readonly network: InMemoryNetwork;
	readonly stores = new Map<string, ConfigurationStore>();
	readonly controllers = new Map<string, ConfigurationController>();
	readonly #random: SeededRandom;

	constructor(seed: number) {
		this.#random = new SeededRandom(seed);
		this.network = new InMemoryNetwork(this.clock, this.#random);
	}

	start(name: string, origin: ConfigurationOrigin = this.control): NetworkEndpoint {
		const endpoint = this.network.add(name);
		const common = {
			...endpoint, random: this.#random, logger: silentLogger, timeline: new Timeline(name, new HybridClock(endpoint.clock)),
		};
		const membership = new MembershipController({
			self: {
				name, role: 'entry', instance: name, dataCentre: 'chc-a', region: 'canterbury', linkAddress: name, gossipAddress: name,
			},
			seeds: ['p0', 'p1'], ...common,
		});
		const store = new ConfigurationStore('chc-a', silentLogger);
		const controller = new ConfigurationController({
			store, origin, gossip: membership, ...common,
		});
		void membership.open();
		membership.start();
		controller.start();
		this.stores.set(name, store);
		this.controllers.set(name, controller);
		return endpoint;
	}

	async startMany(count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			this.start(`p${index}`);
		}

		await this.advance(12_000);
	}

	async advance(duration: number): Promise<void> {
		await this.clock.advanceInSteps(duration, 10);
	}

	revisions(): ReadonlySet<number | undefined> {
		return new Set([...this.stores.values()].map(store => store.revision));
	}
}

// Guards against every process requesting missed changes from the control instances instead of from its peers.
test('a process that missed 300 changes in a partition catches up, and the control instances receive only one request per change', async () => {
	const fleet = new Fleet(31);
	await fleet.startMany(20);
	assert.deepEqual(fleet.revisions(), new Set([0]));
	fleet.network.partition(['p9']);
	await fleet.advance(2000);
	const requestsBefore = fleet.control.requestCount;
	for (let change = 0; change < 300; change++) {
		fleet.control.commit(1);
		fleet.controllers.get('p0')!.refresh();
		await fleet.advance(20);
	}

	await fleet.advance(3000);
	assert.equal(fleet.stores.get('p9')!.revision, 0);
	assert.equal(fleet.stores.get('p8')!.revision, 300);
	fleet.network.partition([]);
	await fleet.advance(15_000);
	assert.deepEqual(fleet.revisions(), new Set([300]));
	assert.equal(fleet.control.requestCount - requestsBefore, 300);
	assert.deepEqual(fleet.stores.get('p9')!.accepted(), fleet.stores.get('p0')!.accepted());
});

// The limit of 600 ms is below the probe period, so that a change that spreads only with the probes fails the test.
test('without datagram loss, a change reaches all processes by gossip within 600 ms', async () => {
	const fleet = new Fleet(36);
	await fleet.startMany(20);
	fleet.control.commit(1);
	fleet.controllers.get('p0')!.refresh();
	await fleet.advance(600);
	assert.deepEqual(fleet.revisions(), new Set([1]));
});

// The revisions carried by probes and their answers must make up for the lost gossip.
test('all processes catch up even when the announcement of a change is lost', async () => {
	const fleet = new Fleet(32);
	await fleet.startMany(12);
	fleet.network.dropDatagrams(bytes => decodeDatagram(bytes)?.kind === 'notice');
	fleet.control.commit(1);
	fleet.controllers.get('p0')!.refresh();
	await fleet.advance(10_000);
	assert.deepEqual(fleet.revisions(), new Set([1]));
});

// Guards against an unconfirmed configuration that spreads from a control process without a quorum.
test('a control process without a quorum serves no configuration, and no process takes its first configuration from a peer', async () => {
	const fleet = new Fleet(33);
	await fleet.startMany(3);
	const isolated = new FakeControl();
	isolated.isConfirming = false;
	isolated.commit(5);
	const {handlers} = fleet.start('control', isolated);
	fleet.control.commit(2);
	fleet.controllers.get('p0')!.refresh();
	await fleet.advance(8000);
	assert.equal(fleet.stores.get('p2')!.revision, 2);
	assert.equal(fleet.stores.get('control')!.revision, undefined);
	await assert.rejects(async () => handlers.get(configurationFromPeerRequestName)!({revision: 0}, {linkId: 0}), /BH5002/v);
});

test('a process serves at most four peers at a time, and refused peers still catch up', async () => {
	const fleet = new Fleet(34);
	const {handlers} = fleet.start('p0');
	await fleet.advance(500);
	const answers = await Promise.allSettled(Array.from({length: 10}, async () => handlers.get(configurationFromPeerRequestName)!({revision: 0}, {linkId: 0})));
	assert.equal(answers.filter(answer => answer.status === 'fulfilled').length, maximumConcurrentPeerResponses);
	fleet.control.commit(1);
	await fleet.startMany(20);
	assert.deepEqual(fleet.revisions(), new Set([1]));
});

test('a process catches up even when a peer dies after announcing a revision', async () => {
	const fleet = new Fleet(35);
	await fleet.startMany(3);
	fleet.control.commit(1);
	fleet.network.partition(['p2']);
	fleet.controllers.get('p2')!.refresh();
	await fleet.advance(50);
	const {handlers} = fleet.network.add('p2');
	handlers.clear();
	fleet.network.partition([]);
	fleet.control.commit(1);
	fleet.controllers.get('p1')!.refresh();
	await fleet.advance(8000);
	assert.equal(fleet.stores.get('p0')!.revision, 2);
});
