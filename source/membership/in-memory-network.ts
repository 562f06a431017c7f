import {type Buffer} from 'node:buffer';
import {Clock, type Cancel, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {LinkClient, type RequestHandler} from '../links/link-client.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {DatagramTransport, type DatagramListener} from './datagram-transport.js';

const datagramLatency: Milliseconds = 2;

/** Clock of one process that can be paused; timers that become due during a pause run after it. */
export class PausableClock extends Clock {
	/** Offset of the wall clock in milliseconds, as after a clock adjustment. */
	wallTimeOffset: Milliseconds = 0;
	#paused = false;
	#deferredTimers: Array<() => void> = [];
	#deferredDatagrams: Array<() => void> = [];

	constructor(private readonly inner: Clock) {
		super();
	}

	override now(): Milliseconds {
		return this.inner.now();
	}

	override wallTime(): Milliseconds {
		return this.inner.wallTime() + this.wallTimeOffset;
	}

	override schedule(delay: Milliseconds, action: () => void): Cancel {
		let cancelled = false;
		const cancel = this.inner.schedule(delay, () => {
			const runUnlessCancelled = (): void => {
				if (!cancelled) {
					action();
				}
			};

			this.#runOrDefer(this.#deferredTimers, runUnlessCancelled);
		});
		return () => {
			cancelled = true;
			cancel();
		};
	}

	/** Runs the handler of a datagram. During a pause it is deferred, and runs after the deferred timers, as in the Node.js event loop. */
	deliver(action: () => void): void {
		this.#runOrDefer(this.#deferredDatagrams, action);
	}

	/** Pauses the process for a duration in milliseconds. */
	pause(duration: Milliseconds): void {
		this.#paused = true;
		this.inner.schedule(duration, () => {
			this.#paused = false;
			const deferred = [...this.#deferredTimers, ...this.#deferredDatagrams];
			this.#deferredTimers = [];
			this.#deferredDatagrams = [];
			for (const action of deferred) {
				action();
			}
		});
	}

	#runOrDefer(deferred: Array<() => void>, action: () => void): void {
		if (this.#paused) {
			deferred.push(action);
		} else {
			action();
		}
	}
}

/** State that the network keeps for one process. */
type EndpointState = {
	readonly clock: PausableClock;
	readonly handlers: Map<string, RequestHandler>;
	listener: DatagramListener | undefined;
};

/** Clock, transport and links of one process in a test. */
export type NetworkEndpoint = {
	readonly clock: PausableClock;
	readonly transport: DatagramTransport;
	readonly linkClient: LinkClient;
	readonly handlers: Map<string, RequestHandler> & {handle(name: string, handler: RequestHandler): void};
};

/** Simulated network between the processes of a test: datagrams with latency, loss and partitions, and links that fail only in partitions. */
export class InMemoryNetwork {
	/** Fraction of datagrams that are lost, from 0 to 1. */
	lossRate = 0;
	readonly #endpoints = new Map<Address, EndpointState>();
	#isolated: ReadonlySet<Address> = new Set();
	#shouldDrop: ((bytes: Buffer) => boolean) | undefined;

	constructor(private readonly clock: Clock, private readonly random: Random) {}

	/** Adds a process, replacing any process at the same address. */
	add(address: Address): NetworkEndpoint {
		const clock = new PausableClock(this.clock);
		const handlers = Object.assign(new Map<string, RequestHandler>(), {
			handle(name: string, handler: RequestHandler) {
				handlers.set(name, handler);
			},
		});
		const endpoint: EndpointState = {clock, handlers, listener: undefined};
		this.#endpoints.set(address, endpoint);
		return {
			clock, transport: this.#transport(address, endpoint), linkClient: this.#linkClient(address), handlers,
		};
	}

	/** Removes a process abruptly, without announcing that it leaves. */
	kill(address: Address): void {
		this.#endpoints.delete(address);
	}

	/** Drops all datagrams for which the predicate returns true. */
	dropDatagrams(shouldDrop: (bytes: Buffer) => boolean): void {
		this.#shouldDrop = shouldDrop;
	}

	/** Partitions the given processes from all others; an empty list heals the partition. */
	partition(isolated: readonly Address[]): void {
		this.#isolated = new Set(isolated);
	}

	#reachableEndpoint(from: Address, to: Address): EndpointState | undefined {
		return this.#isolated.has(from) === this.#isolated.has(to) ? this.#endpoints.get(to) : undefined;
	}

	#transport(address: Address, ownEndpoint: EndpointState): DatagramTransport {
		const send = (to: Address, bytes: Buffer): void => {
			const running = this.#endpoints.get(address) === ownEndpoint;
			if (!running || !ownEndpoint.listener || this.random.fraction() < this.lossRate || this.#shouldDrop?.(bytes)) {
				return;
			}

			this.clock.schedule(datagramLatency, () => {
				const endpoint = this.#reachableEndpoint(address, to);
				endpoint?.clock.deliver(() => endpoint.listener?.(bytes, address));
			});
		};

		return new class extends DatagramTransport {
			override async open(listener: DatagramListener): Promise<void> {
				ownEndpoint.listener = listener;
			}

			override send(to: Address, bytes: Buffer): void {
				send(to, bytes);
			}

			override close(): void {
				ownEndpoint.listener = undefined;
			}
		}();
	}

	#linkClient(address: Address): LinkClient {
		const call = async (to: Address, name: string, body: unknown): Promise<unknown> => {
			const handler = this.#reachableEndpoint(address, to)?.handlers.get(name);
			if (!handler) {
				throw new BuckthornhitchError('linkNotSent', `${to} cannot be reached.`);
			}

			return handler(body, {linkId: 0});
		};

		return new class extends LinkClient {
			override async request(to: Address, name: string, body: unknown): Promise<unknown> {
				return call(to, name, body);
			}

			override notify(to: Address, name: string, body: unknown): void {
				void call(to, name, body).catch(() => undefined);
			}
		}();
	}
}
