import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {type Customer} from '../customers/types.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {LimitObserver} from '../rate-limit/limit-observer.js';
import {type RateLimitSettings} from '../rate-limit/limit-arithmetic.js';
import {type OperationAdmission, type UsageReport, type UsageResponse} from '../rate-limit/messages.js';
import {OperationLimiter} from '../rate-limit/operation-limiter.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {Instance, Network} from './limit-network-fixture.js';
import {UsageExchange} from './usage-exchange.js';

/** Settings of the deployment that the simulation follows. */
export const simulatedSettings: RateLimitSettings = {window: 5000, overage: 0.1, slack: 20};

const dataCentres = 6;
const controlCount = 5;

/** Delays of the simulated `watch` requests, as in the routing watcher. */
const watchPeriod: Milliseconds = 250;
const watchTimeout: Milliseconds = 600;
const failureDelay: Milliseconds = 100;
const operationsTimeout: Milliseconds = 300;

/** Time step after which pending promises settle. */
const step: Milliseconds = 2;

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
			rateLimitSettings: this.settings,
			controls: {records: Array.from({length: controlCount}, (_, other) => ({name: `control-${other}`, address: `control-${other}`}))},
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
