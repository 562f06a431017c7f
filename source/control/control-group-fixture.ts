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
/** Timestamp of every frame; the test network ignores it. */
const time = {milliseconds: 0, counter: 0};

/** In-memory network for tests, with message loss, partitions and dropped responses. Bodies are encoded as on a link. */
export class TestNetwork {
	/** Request handlers by address and request name. */
	readonly handlers = new Map<string, Map<string, RequestHandler>>();
	/** Addresses of processes that are cut off from all others. */
	readonly isolatedProcesses = new Set<string>();
	/** Pairs of addresses, as `one two`, between which no message is delivered. */
	readonly partitionedPairs = new Set<string>();
	/** Names of requests whose responses are dropped. */
	readonly droppedResponses = new Set<string>();
	/** Probability that a message is lost, from 0 to 1. */
	lossRate = 0;

	constructor(readonly clock: ManualClock, readonly random: SeededRandom) {}

	/** Returns whether a message is delivered. */
	delivers(from: string, to: string): boolean {
		const isPartitioned = this.partitionedPairs.has(`${from} ${to}`) || this.partitionedPairs.has(`${to} ${from}`);
		const isReachable = from === to || (!isPartitioned && !this.isolatedProcesses.has(from) && !this.isolatedProcesses.has(to));
		return isReachable && this.random.fraction() >= this.lossRate;
	}
}

/** Link client of one process on the in-memory network. */
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

/** Control process of a test group; its storage outlives the process. */
export type TestControlProcess = {
	storage: LogStorage;
	process: ControlProcess;
	publisher: TestPublisher;
};

/** Group of control processes on an in-memory network, driven by a manual clock. The address of a process equals its name until the process moves. */
export class TestControlGroup {
	readonly clock = new ManualClock();
	readonly random: SeededRandom;
	readonly network: TestNetwork;
	readonly processes = new Map<string, TestControlProcess>();
	/** Current addresses of processes that moved, by name, as the membership service would report them. */
	readonly currentAddresses = new Map<string, string>();
	readonly client: ControlClient;
	readonly timeline: Timeline;

	constructor(seed: number, readonly names: readonly string[] = ['one', 'two', 'three'], readonly timing: VoterTiming = defaultVoterTiming) {
		this.random = new SeededRandom(seed);
		this.network = new TestNetwork(this.clock, this.random);
		this.client = this.clientFrom('operator');
		this.timeline = new Timeline('test', new HybridClock(this.clock));
	}

	/** Returns a client that sends from the given address. */
	clientFrom(name: string, controls = this.names): ControlClient {
		return new ControlClient(new TestLinkClient(this.network, name), this.clock, controls);
	}

	/** Starts all processes on empty disks, sets their first voter list and waits for a leader. */
	async bootstrap(): Promise<void> {
		for (const name of this.names) {
			await this.start(name, new MemoryStorage(`disk-${name}`));
		}

		await this.settle(this.client.bootstrap());
		await this.advanceUntil(() => this.leader !== undefined);
	}

	/** Starts a process on a storage, by default the one it had before. */
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

	/** Removes a process from the network and stops it; its storage remains. */
	async kill(name: string): Promise<void> {
		this.network.handlers.delete(this.currentAddresses.get(name) ?? name);
		await this.processes.get(name)!.process.stop();
	}

	/** The leader with a valid lease, if there is one. */
	get leader(): ControlProcess | undefined {
		return [...this.processes.values()].find(testProcess => testProcess.process.voter.leaseLive)?.process;
	}

	/** Returns the names of all processes but one. */
	otherNames(name: string): readonly string[] {
		return this.names.filter(other => other !== name);
	}

	/** Advances the clock until the condition holds; fails after a minute of simulated time. */
	async advanceUntil(condition: () => boolean): Promise<void> {
		const end = this.clock.now() + 60_000;
		while (!condition()) {
			if (this.clock.now() > end) {
				throw new Error(`The condition was not met within a minute: ${String(condition)}`);
			}

			await this.#step();
		}
	}

	/** Advances the clock by a duration. */
	async advance(duration: Milliseconds): Promise<void> {
		const end = this.clock.now() + duration;
		while (this.clock.now() < end) {
			await this.#step();
		}
	}

	/** Advances the clock until the promise is settled; resolves or rejects as the promise does. */
	async settle<Result>(promise: Promise<Result>): Promise<Result> {
		let settled = false;
		const markSettled = (): void => {
			settled = true;
		};

		void Promise.allSettled([promise]).then(markSettled);
		await this.advanceUntil(() => settled);
		return promise;
	}

	/** Applies a change that is expected to be accepted; resolves with its revision. */
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

	/** Advances the clock by one step; fails if two processes hold a valid lease at the same time. */
	async #step(): Promise<void> {
		await this.clock.advanceInSteps(timeStep, timeStep);
		const leaseHolders = [...this.processes.values()].filter(testProcess => testProcess.process.voter.leaseLive);
		if (leaseHolders.length > 1) {
			throw new Error(`At ${this.clock.now()} ms, ${leaseHolders.map(testProcess => testProcess.process.voter.self.name).join(' and ')} hold a lease.`);
		}
	}
}

/** Returns the body as it is after encoding and decoding on a link. */
function encodeAndDecode(body: unknown): unknown {
	const [message] = new FrameReader().read(encodeFrame({
		kind: 'notice', name: 'test', body: body ?? null, time,
	}));
	return (message as Extract<LinkMessage, {kind: 'notice'}>).body;
}
