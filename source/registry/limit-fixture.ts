import {Clock, type Cancel, type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {type Customer} from '../customers/types.js';
import {LinkClient, type RequestHandler} from '../links/link-client.js';
import {encodeFrame} from '../links/framing.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {LimitObserver} from '../rate-limit/limit-observer.js';
import {type RateLimitSettings} from '../rate-limit/limit-arithmetic.js';
import {type OperationAdmission, type UsageReport, type UsageResponse} from '../rate-limit/messages.js';
import {OperationLimiter} from '../rate-limit/operation-limiter.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {UsageExchange} from './usage-exchange.js';

/** Settings of the deployment that the simulation follows. */
export const simulatedSettings: RateLimitSettings = {window: 5000, overage: 0.1, slack: 20};

const dataCentres = 6;
const dataCentresPerRegion = 2;
const controlCount = 5;

/** Delays of the simulated `watch` requests, as in the routing watcher. */
const watchPeriod: Milliseconds = 250;
const watchTimeout: Milliseconds = 600;
const failureDelay: Milliseconds = 100;
const operationsTimeout: Milliseconds = 300;

/** Time until a lost link is noticed when its other end is dead. */
const resetDelay: Milliseconds = 1;

/** Time step after which pending promises settle. */
const step: Milliseconds = 2;

/** Clock of one simulated instance, which can be frozen: its actions run when it is resumed. */
export class InstanceClock extends Clock {
	isFrozen = false;
	isDead = false;
	#deferred: Array<() => void> = [];

	constructor(private readonly clock: ManualClock) {
		super();
	}

	override now(): Milliseconds {
		return this.clock.now();
	}

	override wallTime(): Milliseconds {
		return this.clock.wallTime();
	}

	override schedule(delay: Milliseconds, action: () => void): Cancel {
		let isCancelled = false;
		const run = (): void => {
			if (isCancelled || this.isDead) {
				return;
			}

			if (this.isFrozen) {
				this.#deferred.push(run);
			} else {
				action();
			}
		};

		const cancel = this.clock.schedule(delay, run);
		return () => {
			isCancelled = true;
			cancel();
		};
	}

	/** Runs the actions that became due while the instance was frozen. */
	resume(): void {
		this.isFrozen = false;
		const deferred = this.#deferred;
		this.#deferred = [];
		for (const action of deferred) {
			this.clock.schedule(0, action);
		}
	}
}

/** Bytes and number of the messages of one kind. */
type Traffic = {count: number; bytes: number; largest: number};

/** A simulated process with a clock of its own, its place and its request handlers. */
class Instance {
	readonly clock: InstanceClock;
	readonly handlers = new Map<string, RequestHandler>();
	readonly link: LinkClient;

	constructor(readonly name: string, readonly dataCentre: number, network: Network) {
		this.clock = new InstanceClock(network.clock);
		this.link = new SimulatedLink(this, network);
	}

	handle(name: string, handler: RequestHandler): void {
		this.handlers.set(name, handler);
	}
}

/** Delays between the instances, and which of them cannot reach each other. */
class Network {
	readonly instances = new Map<string, Instance>();
	readonly traffic = new Map<string, Traffic>();
	isMeasuring = false;
	/** Whether messages between two instances are lost. */
	isCut: (from: string, to: string) => boolean;

	/** Whether a control instance knows no leader, so that entry instances leave it after its answer. */
	knowsNoLeader: (control: string) => boolean;

	constructor(readonly clock: ManualClock) {
		this.isCut = () => false;
		this.knowsNoLeader = () => false;
	}

	delay(from: Instance, to: Instance): Milliseconds {
		if (from.dataCentre === to.dataCentre) {
			return 0.2;
		}

		return Math.floor(from.dataCentre / dataCentresPerRegion) === Math.floor(to.dataCentre / dataCentresPerRegion) ? 1.4 : 12;
	}

	measure(name: string, body: unknown): void {
		if (!this.isMeasuring) {
			return;
		}

		const bytes = encodeFrame({
			kind: 'response', number: 1, code: 0, body, time: {milliseconds: 0, counter: 0},
		}).length;
		const known = this.traffic.get(name) ?? {count: 0, bytes: 0, largest: 0};
		this.traffic.set(name, {count: known.count + 1, bytes: known.bytes + bytes, largest: Math.max(known.largest, bytes)});
	}
}

class SimulatedLink extends LinkClient {
	constructor(private readonly self: Instance, private readonly network: Network) {
		super();
	}

	override async request(address: string, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		const {self, network} = this;
		return new Promise((resolve, reject) => {
			const fail = (): void => {
				reject(new BuckthornhitchError('linkOutcomeUnknown', `${address} did not answer ${name}.`));
			};

			const cancelTimeout = self.clock.schedule(timeout, fail);
			const target = network.instances.get(address);
			if (!target || target.clock.isDead) {
				self.clock.schedule(resetDelay, fail);
				return;
			}

			if (network.isCut(self.name, address)) {
				return;
			}

			const delay = network.delay(self, target);
			network.measure(`${name} request`, body);
			const answer = (response: unknown): void => {
				network.measure(`${name} response`, response);
				network.clock.schedule(delay, () => {
					if (!network.isCut(address, self.name)) {
						self.clock.schedule(0, () => {
							cancelTimeout();
							resolve(response);
						});
					}
				});
			};

			network.clock.schedule(delay, () => {
				target.clock.schedule(0, () => {
					void target.handlers.get(name)?.(body, {linkId: 0}).then(answer);
				});
			});
		});
	}

	override notify(): void {
		// Nothing here sends notices.
	}
}

/** Counts what the limiters do. */
class CountingObserver extends LimitObserver {
	readonly counts = new Map<string, number>();

	override operationAdmitted(_customer: string, kind: string): void {
		this.#add(kind, 1);
	}

	override operationRefused(): void {
		this.#add('refused', 1);
	}

	override operationsRequested(): void {
		this.#add('requests', 1);
	}

	override operationsGranted(count: number): void {
		this.#add('granted', count);
	}

	#add(name: string, count: number): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + count);
	}
}

type Entry = {
	readonly instance: Instance;
	readonly limiter: OperationLimiter;
};

type Control = {
	readonly instance: Instance;
	readonly exchange: UsageExchange;
};

/** An operation as the clients saw it. */
export type ClientOperation = {
	readonly customer: string;
	readonly entry: string;
	readonly sentAt: Milliseconds;
	readonly answeredAt: Milliseconds;
	readonly isAdmitted: boolean;
	readonly retryAfter: Milliseconds;
};

/** Entry and control instances on one manual clock, with a delay on each message and clients that send operations. */
export class LimitSimulation {
	readonly clock = new ManualClock();
	readonly network = new Network(this.clock);
	readonly random: SeededRandom;
	readonly observer = new CountingObserver();
	readonly operations: ClientOperation[] = [];
	/** Factor on the usual rate, by customer. */
	readonly rateFactors = new Map<string, number>();
	readonly controls: Control[] = [];
	entries: Entry[] = [];
	customers: readonly Customer[];
	readonly settings: RateLimitSettings;
	#runs = 0;

	constructor(options: {readonly customers: readonly Customer[]; readonly entryCount?: number; readonly seed?: number; readonly settings?: RateLimitSettings}) {
		const {customers, entryCount = 142, seed = 1, settings = simulatedSettings} = options;
		this.customers = customers;
		this.settings = settings;
		this.random = new SeededRandom(seed);
		for (let index = 0; index < controlCount; index++) {
			this.controls.push(this.#createControl(index));
		}

		this.entries = Array.from({length: entryCount}, (_, index) => this.#createEntry(index));
	}

	/** Runs the instances and the clients for the duration. */
	async run(duration: Milliseconds, usualRates: ReadonlyMap<string, number> = new Map()): Promise<void> {
		const end = this.clock.now() + duration;
		for (const [customer, rate] of usualRates) {
			this.#sendLater(customer, rate, end);
		}

		await this.clock.advanceInSteps(duration, step);
	}

	/** Sends one operation to an entry instance. */
	async send(customer: string, entryIndex: number): Promise<OperationAdmission> {
		const sentAt = this.clock.now();
		const {instance, limiter} = this.entries[entryIndex];
		const admission = await limiter.admitOperation(this.customers.find(({name}) => name === customer)!);
		this.operations.push({
			customer, entry: instance.name, sentAt, answeredAt: this.clock.now(), isAdmitted: admission.admitted, retryAfter: admission.admitted ? 0 : admission.retryAfter,
		});
		return admission;
	}

	/** Replaces the customers at all instances, at each within the delay. */
	replaceCustomers(customers: readonly Customer[], delay: Milliseconds): void {
		this.customers = customers;
		for (const part of [...this.controls.map(({exchange}) => exchange), ...this.entries.map(({limiter}) => limiter)]) {
			this.clock.schedule(this.random.integerBelow(delay + 1), () => {
				part.replaceCustomers(customers);
			});
		}
	}

	/** Kills the entry instances with the given indexes and starts them again after the delay. */
	restartEntries(indexes: readonly number[], delay: Milliseconds): void {
		for (const index of indexes) {
			this.entries[index].instance.clock.isDead = true;
			this.entries[index] = this.entries.find(({instance}) => !instance.clock.isDead)!;
		}

		this.clock.schedule(delay, () => {
			for (const index of indexes) {
				this.entries[index] = this.#createEntry(index);
			}
		});
	}

	#sendLater(customer: string, usualRate: number, end: Milliseconds): void {
		const rate = usualRate * (this.rateFactors.get(customer) ?? 1);
		const delay = -Math.log(1 - this.random.fraction()) * 1000 / rate;
		if (this.clock.now() + delay >= end) {
			return;
		}

		this.clock.schedule(delay, () => {
			void this.send(customer, this.random.integerBelow(this.entries.length));
			this.#sendLater(customer, usualRate, end);
		});
	}

	#createControl(index: number): Control {
		const instance = new Instance(`control-${index}`, index, this.network);
		this.network.instances.set(instance.name, instance);
		const exchange = new UsageExchange({
			name: instance.name,
			runId: `run-${this.#runs++}`,
			clock: instance.clock,
			linkClient: instance.link,
			linkServer: instance,
			logger: silentLogger,
			settings: this.settings,
			controls: () => Array.from({length: controlCount}, (_, other) => ({name: `control-${other}`, address: `control-${other}`})),
			entryCount: () => this.entries.length,
		});
		instance.handle('watch', async body => exchange.answerReport(body as UsageReport));
		exchange.replaceCustomers(this.customers);
		instance.clock.schedule(this.random.integerBelow(200), () => {
			exchange.start();
		});
		return {instance, exchange};
	}

	#createEntry(index: number): Entry {
		const instance = new Instance(`entry-${index}`, index % dataCentres, this.network);
		let target: string | undefined;
		let answeredBy: string | undefined;
		const limiter = new OperationLimiter({
			name: instance.name,
			runId: `run-${this.#runs++}`,
			clock: instance.clock,
			settings: this.settings,
			observer: this.observer,
			async requestOperations(request) {
				const asked = answeredBy ?? target;
				if (asked === undefined) {
					throw new BuckthornhitchError('linkNotSent', 'No control instance is watched.');
				}

				return await instance.link.request(asked, 'requestOperations', request, operationsTimeout) as never;
			},
		});
		limiter.replaceCustomers(this.customers);
		const failed = new Set<string>();
		const selectTarget = (): string => {
			const byDistance = this.controls.map(control => control.instance).toSorted((first, second) => this.network.delay(instance, first) - this.network.delay(instance, second));
			const nearest = byDistance.filter(control => !failed.has(control.name));
			if (nearest.length === 0) {
				failed.clear();
				return byDistance[0].name;
			}

			const distance = this.network.delay(instance, nearest[0]);
			const [selected] = this.random.sample(nearest.filter(control => this.network.delay(instance, control) === distance), 1);
			return selected.name;
		};

		const watch = async (): Promise<void> => {
			const startedAt = this.clock.now();
			target ??= selectTarget();
			const sent = limiter.createReport(target)!;
			const watched = target;
			let delay: Milliseconds;
			try {
				const {usage} = await instance.link.request(target, 'watch', sent.report, watchTimeout) as {readonly usage?: UsageResponse};
				if (usage) {
					limiter.handleResponse(sent, usage, this.entries.length);
				}

				answeredBy = target;
				if (this.network.knowsNoLeader(target)) {
					failed.add(target);
					target = undefined;
				}

				delay = Math.max(1, watchPeriod - (this.clock.now() - startedAt));
			} catch {
				failed.add(watched);
				answeredBy = answeredBy === watched ? undefined : answeredBy;
				instance.clock.schedule(3000, () => {
					failed.clear();
				});
				target = undefined;
				delay = failureDelay + this.random.integerBelow(failureDelay);
			}

			instance.clock.schedule(delay, () => {
				void watch();
			});
		};

		instance.clock.schedule(this.random.integerBelow(watchPeriod), () => {
			void watch();
		});
		return {instance, limiter};
	}
}

/** Returns the usual rates of the customers of the deployment, per second: 492 operations with a Zipf distribution of exponent 1.2. */
export function usualRates(count = 87, total = 492): ReadonlyMap<string, number> {
	const weights = Array.from({length: count}, (_, index) => (index + 1) ** -1.2);
	const sum = weights.reduce((partial, weight) => partial + weight, 0);
	return new Map(weights.map((weight, index) => [`customer-${index}`, total * weight / sum] as const));
}

/** Returns customers whose limits are 1.6 times the usual rates. */
export function customersFor(rates: ReadonlyMap<string, number>): readonly Customer[] {
	return [...rates].map(([name, rate]) => ({
		name, keyDigests: [], priority: 1, rateLimit: {ratePerSecond: rate * 1.6, burst: Math.ceil(rate / 2)},
	}));
}

/** Returns the highest number of times in a window of the length that ends at or after the start. Independent of the classes that it checks. */
export function highestWindowCount(times: readonly Milliseconds[], length: Milliseconds, start = 0): number {
	const sorted = [...times].toSorted((first, second) => first - second);
	let highest = 0;
	let first = 0;
	for (const [last, time] of sorted.entries()) {
		while (sorted[first] <= time - length) {
			first++;
		}

		if (time >= start) {
			highest = Math.max(highest, last - first + 1);
		}
	}

	return highest;
}

/** Returns the operations of a customer per window that members may run, computed from the requirement and not by the code that it checks. */
export function permittedInWindow(customer: Customer, {window, overage, slack}: RateLimitSettings): number {
	const {ratePerSecond, burst} = customer.rateLimit!;
	return (((ratePerSecond * window / 1000) + burst) * (1 + overage)) + slack;
}

/** Longest time from the admission of an operation to its arrival at a member. */
const longestArrivalDelay: Milliseconds = 100;

/** Returns the sliding windows above the limit, as texts, counted at admission and at the arrival at a member. */
export function windowsAboveLimit(simulation: LimitSimulation, customers: readonly Customer[], start: Milliseconds = 0): readonly string[] {
	const {settings, operations} = simulation;
	const random = new SeededRandom(1);
	return customers.flatMap(customer => {
		const admitted = operations.filter(operation => operation.isAdmitted && operation.customer === customer.name).map(({answeredAt}) => answeredAt);
		const arrived = admitted.map(time => time + random.integerBelow(longestArrivalDelay));
		const permitted = permittedInWindow(customer, settings);
		return ([['admitted', admitted], ['arrived', arrived]] as const).flatMap(([when, times]) => {
			const count = highestWindowCount(times, settings.window, start);
			return count > permitted ? [`${customer.name}: ${count} ${when}, ${permitted.toFixed(1)} permitted`] : [];
		});
	});
}

/** Returns the share of the operations sent from the start on that were refused; of all customers except one, if it is given. */
export function refusedShare(simulation: LimitSimulation, start: Milliseconds, exceptCustomer?: string): number {
	const sent = simulation.operations.filter(({customer, sentAt}) => sentAt >= start && customer !== exceptCustomer);
	return sent.filter(({isAdmitted}) => !isAdmitted).length / sent.length;
}

/** Returns the admitted operations of a customer relative to what its limit permits, between two times. */
export function admittedShare(simulation: LimitSimulation, customer: Customer, from: Milliseconds, to: Milliseconds): number {
	const {settings, operations} = simulation;
	const admitted = operations.filter(operation => operation.isAdmitted && operation.customer === customer.name && operation.answeredAt >= from && operation.answeredAt < to);
	return admitted.length / (permittedInWindow(customer, settings) * (to - from) / settings.window);
}
