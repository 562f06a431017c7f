import {Clock, type Cancel, type Milliseconds} from '../clock/clock.js';
import {type ManualClock} from '../clock/manual-clock.js';
import {encodeFrame} from '../links/framing.js';
import {LinkClient, type RequestHandler} from '../links/link-client.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

const dataCentresPerRegion = 2;

/** Time until a lost link is noticed when its other end is dead. */
const resetDelay: Milliseconds = 1;

/** Clock of one simulated instance, which can be frozen: its actions run when it is resumed. */
class InstanceClock extends Clock {
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
export class Instance {
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
export class Network {
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
