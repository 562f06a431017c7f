import {type Buffer} from 'node:buffer';
import {Clock, type Cancel, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {LinkClient, type RequestHandler} from '../links/link-client.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {DatagramTransport, type DatagramListener} from './datagram-transport.js';

const datagramDelay: Milliseconds = 2;

/** Clock of one process that can be paused; its timers run late, after the pause. */
export class PausableClock extends Clock {
	/** Difference of the wall time in milliseconds, as after a correction. */
	wallTimeOffset: Milliseconds = 0;
	#paused = false;
	#waitingTimers: Array<() => void> = [];
	#waitingDatagrams: Array<() => void> = [];

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

			this.#run(this.#waitingTimers, runUnlessCancelled);
		});
		return () => {
			cancelled = true;
			cancel();
		};
	}

	/** Handles a datagram now, or after the pause and after the timers that became due, as Node.js does. */
	receive(action: () => void): void {
		this.#run(this.#waitingDatagrams, action);
	}

	/** Holds up the process for a duration in milliseconds. */
	pause(duration: Milliseconds): void {
		this.#paused = true;
		this.inner.schedule(duration, () => {
			this.#paused = false;
			const waiting = [...this.#waitingTimers, ...this.#waitingDatagrams];
			this.#waitingTimers = [];
			this.#waitingDatagrams = [];
			for (const action of waiting) {
				action();
			}
		});
	}

	#run(waiting: Array<() => void>, action: () => void): void {
		if (this.#paused) {
			waiting.push(action);
		} else {
			action();
		}
	}
}

type Endpoint = {
	readonly clock: PausableClock;
	readonly handlers: Map<string, RequestHandler>;
	listener: DatagramListener | undefined;
};

/** What a process of a test uses to reach the others. */
export type NetworkEndpoint = {
	readonly clock: PausableClock;
	readonly transport: DatagramTransport;
	readonly linkClient: LinkClient;
	readonly handlers: Map<string, RequestHandler> & {handle(name: string, handler: RequestHandler): void};
};

/** Network between processes of one test: datagrams with delay, loss and partition, and links that only partitions break. */
export class InMemoryNetwork {
	/** Share of datagrams that are lost. */
	loss = 0;
	readonly #endpoints = new Map<Address, Endpoint>();
	#separate: ReadonlySet<Address> = new Set();
	#loses: ((bytes: Buffer) => boolean) | undefined;

	constructor(private readonly clock: Clock, private readonly random: Random) {}

	/** Adds a process; replaces an earlier one at the address. */
	add(address: Address): NetworkEndpoint {
		const clock = new PausableClock(this.clock);
		const handlers = Object.assign(new Map<string, RequestHandler>(), {
			handle(name: string, handler: RequestHandler) {
				handlers.set(name, handler);
			},
		});
		const endpoint: Endpoint = {clock, handlers, listener: undefined};
		this.#endpoints.set(address, endpoint);
		return {
			clock, transport: this.#transport(address, endpoint), linkClient: this.#linkClient(address), handlers,
		};
	}

	/** Removes a process without notice. */
	kill(address: Address): void {
		this.#endpoints.delete(address);
	}

	/** Loses the datagrams for which the function returns true. */
	lose(loses: (bytes: Buffer) => boolean): void {
		this.#loses = loses;
	}

	/** Separates some processes from all others; an empty list ends the partition. */
	partition(separate: readonly Address[]): void {
		this.#separate = new Set(separate);
	}

	#reaches(from: Address, to: Address): Endpoint | undefined {
		return this.#separate.has(from) === this.#separate.has(to) ? this.#endpoints.get(to) : undefined;
	}

	#transport(address: Address, own: Endpoint): DatagramTransport {
		const send = (to: Address, bytes: Buffer): void => {
			const running = this.#endpoints.get(address) === own;
			if (!running || !own.listener || this.random.fraction() < this.loss || this.#loses?.(bytes)) {
				return;
			}

			this.clock.schedule(datagramDelay, () => {
				const endpoint = this.#reaches(address, to);
				endpoint?.clock.receive(() => endpoint.listener?.(bytes, address));
			});
		};

		return new class extends DatagramTransport {
			override async open(listener: DatagramListener): Promise<void> {
				own.listener = listener;
			}

			override send(to: Address, bytes: Buffer): void {
				send(to, bytes);
			}

			override close(): void {
				own.listener = undefined;
			}
		}();
	}

	#linkClient(address: Address): LinkClient {
		const call = async (to: Address, name: string, body: unknown): Promise<unknown> => {
			const handler = this.#reaches(address, to)?.handlers.get(name);
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
