import {Registry} from 'prom-client';
import {ManualClock} from '../clock/manual-clock.js';
import {type Milliseconds} from '../clock/clock.js';
import {MemoryStorage} from '../control-log/memory-storage.js';
import {type LogStorage} from '../control-log/storage.js';
import {defaultVoterTiming, type VoterTiming} from '../control-log/voter-options.js';
import {type ConfigurationFiles} from '../configuration/types.js';
import {encodeFrame, FrameReader} from '../links/framing.js';
import {LinkClient, type RequestHandler} from '../links/link-client.js';
import {type LinkMessage} from '../links/messages.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {BuckthornhitchError, errorFromCode, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {ConfigurationValidator} from './configuration-validator.js';
import {ControlClient} from './control-client.js';
import {ControlProcess} from './control-process.js';
import {RevisionPublisher} from './revision-publisher.js';

const latency: Milliseconds = 1;
const timeStep: Milliseconds = 5;
const time = {milliseconds: 0, counter: 0};

/** Network in memory for tests, with loss, partitions and lost answers; bodies are encoded as on a link. */
export class TestNetwork {
	readonly handlers = new Map<string, Map<string, RequestHandler>>();
	/** Names of processes that receive nothing and whose messages do not arrive. */
	readonly isolatedProcesses = new Set<string>();
	/** Pairs of processes, as `one two`, between which no message arrives. */
	readonly partitionedPairs = new Set<string>();
	/** Requests whose answers are dropped, by name. */
	readonly droppedResponses = new Set<string>();
	/** Share of the messages that are lost. */
	lossRate = 0;

	constructor(readonly clock: ManualClock, readonly random: SeededRandom) {}

	/** Returns whether one message arrives. */
	delivers(from: string, to: string): boolean {
		const isCut = this.partitionedPairs.has(`${from} ${to}`) || this.partitionedPairs.has(`${to} ${from}`);
		const open = from === to || (!isCut && !this.isolatedProcesses.has(from) && !this.isolatedProcesses.has(to));
		return open && this.random.fraction() >= this.lossRate;
	}
}

/** Link client of one process on the network in memory. */
export class TestLinkClient extends LinkClient {
	constructor(private readonly network: TestNetwork, private readonly from: string) {
		super();
	}

	override async request(address: string, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		const {clock, handlers} = this.network;
		if (!handlers.has(address)) {
			throw new BuckthornhitchError('linkNotSent', address);
		}

		return new Promise((resolve, reject) => {
			const cancel = clock.schedule(timeout, () => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', address));
			});
			if (!this.network.delivers(this.from, address)) {
				return;
			}

			clock.schedule(latency, () => {
				void this.#deliver(address, name, body).then(message => {
					if (!this.network.delivers(address, this.from) || this.network.droppedResponses.has(name)) {
						return;
					}

					clock.schedule(latency, () => {
						cancel();
						if (message instanceof BuckthornhitchError) {
							reject(errorFromCode(message.code, message.detail));
						} else {
							resolve(message);
						}
					});
				});
			});
		});
	}

	override notify(): void {
		throw new Error('The control processes send no notices.');
	}

	async #deliver(address: string, name: string, body: unknown): Promise<unknown> {
		try {
			const handler = this.network.handlers.get(address)?.get(name);
			if (!handler) {
				return new BuckthornhitchError('linkOutcomeUnknown', address);
			}

			return encodeAndDecode(await handler(encodeAndDecode(body), {linkId: 1}));
		} catch (error) {
			return toBuckthornhitchError(error);
		}
	}
}

/** Accepts all files except those with the text `invalid`; every database has three members. */
class TestValidator extends ConfigurationValidator {
	override validate(files: ConfigurationFiles): void {
		if (Object.values(files).includes('invalid')) {
			throw new BuckthornhitchError('configurationInvalid', 'base:1');
		}
	}

	override memberCount(files: ConfigurationFiles, database: string): number | undefined {
		return database === 'missing' ? undefined : 3;
	}
}

/** Records the published revisions. */
class TestPublisher extends RevisionPublisher {
	readonly revisions: number[] = [];

	override publish(revision: number): void {
		this.revisions.push(revision);
	}
}

/** One control process of a test group; its storage outlives it. */
export type TestControlProcess = {
	storage: LogStorage;
	process: ControlProcess;
	publisher: TestPublisher;
};

/** Control processes on a network in memory, moved by a manual clock. Addresses equal names until a process moves. */
export class TestControlGroup {
	readonly clock = new ManualClock();
	readonly random: SeededRandom;
	readonly network: TestNetwork;
	readonly processes = new Map<string, TestControlProcess>();
	/** Addresses of processes that moved, as the membership knows them. */
	readonly currentAddresses = new Map<string, string>();
	readonly client: ControlClient;
	readonly timeline: Timeline;

	constructor(seed: number, readonly names: readonly string[] = ['one', 'two', 'three'], readonly timing: VoterTiming = defaultVoterTiming) {
		this.random = new SeededRandom(seed);
		this.network = new TestNetwork(this.clock, this.random);
		this.client = this.clientFrom('operator');
		this.timeline = new Timeline('test', new HybridClock(this.clock));
	}

	/** Returns a client whose messages come from the named place. */
	clientFrom(name: string, controls = this.names): ControlClient {
		return new ControlClient(new TestLinkClient(this.network, name), this.clock, controls);
	}

	/** Starts all processes on empty disks and gives them their first list. */
	async bootstrap(): Promise<void> {
		for (const name of this.names) {
			await this.start(name, new MemoryStorage(`disk-${name}`));
		}

		await this.settle(this.client.bootstrap());
		await this.advanceUntil(() => this.leader !== undefined);
	}

	/** Starts a process on a storage, by default the one it had. */
	async start(name: string, storage = this.processes.get(name)!.storage): Promise<ControlProcess> {
		const address = this.currentAddresses.get(name) ?? name;
		const handlers = new Map<string, RequestHandler>();
		const publisher = new TestPublisher();
		const process = new ControlProcess({
			settings: {name, linkAddress: address},
			clock: this.clock,
			random: this.random,
			registry: new Registry(),
			timeline: this.timeline,
			linkServer: {
				handle(request, handler) {
					handlers.set(request, handler);
				},
			},
			linkClient: new TestLinkClient(this.network, address),
			logger: () => silentLogger,
		}, {
			storage, validator: new TestValidator(), publisher, timing: this.timing, addressOf: other => this.currentAddresses.get(other),
		});
		this.processes.set(name, {storage, process, publisher});
		await process.open();
		this.network.handlers.set(address, handlers);
		return process;
	}

	/** Ends a process at once; what it stored remains. */
	async kill(name: string): Promise<void> {
		this.network.handlers.delete(this.currentAddresses.get(name) ?? name);
		await this.processes.get(name)!.process.stop();
	}

	/** The process that may speak for the group. */
	get leader(): ControlProcess | undefined {
		return [...this.processes.values()].find(member => member.process.voter.leaseLive)?.process;
	}

	/** Names of all processes but one. */
	otherNames(name: string): readonly string[] {
		return this.names.filter(other => other !== name);
	}

	/** Moves time until the condition holds; fails after a minute of manual time. */
	async advanceUntil(condition: () => boolean): Promise<void> {
		const end = this.clock.now() + 60_000;
		while (!condition()) {
			if (this.clock.now() > end) {
				throw new Error(`The condition did not come true: ${String(condition)}`);
			}

			await this.#step();
		}
	}

	/** Moves time by a duration. */
	async advance(duration: Milliseconds): Promise<void> {
		const end = this.clock.now() + duration;
		while (this.clock.now() < end) {
			await this.#step();
		}
	}

	/** Moves time until the promise is settled. */
	async settle<Result>(promise: Promise<Result>): Promise<Result> {
		let settled = false;
		const settle = (): void => {
			settled = true;
		};

		void Promise.allSettled([promise]).then(settle);
		await this.advanceUntil(() => settled);
		return promise;
	}

	/** Applies one change that is expected to be accepted. */
	async applyChange(changeId: string, expectedRevision: number, text = changeId): Promise<number> {
		const request = {
			changeId, expectedRevision, files: {base: text}, operator: 'test',
		};
		const {code, revision, detail} = await this.settle(this.client.apply(request, 30_000));
		if (code !== 0) {
			throw errorFromCode(code, detail);
		}

		return revision;
	}

	/** Moves time by one step; fails when two processes may speak for the group. */
	async #step(): Promise<void> {
		await this.clock.advanceInSteps(timeStep, timeStep);
		const live = [...this.processes.values()].filter(member => member.process.voter.leaseLive);
		if (live.length > 1) {
			throw new Error(`At ${this.clock.now()} ms, ${live.map(member => member.process.voter.self.name).join(' and ')} hold a lease.`);
		}
	}
}

function encodeAndDecode(body: unknown): unknown {
	const [message] = new FrameReader().read(encodeFrame({
		kind: 'notice', name: 'test', body: body ?? null, time,
	}));
	return (message as Extract<LinkMessage, {kind: 'notice'}>).body;
}
