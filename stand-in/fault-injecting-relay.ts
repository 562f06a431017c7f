import {type Buffer} from 'node:buffer';
import {
	createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {SystemClock} from '../source/clock/system-clock.js';
import {parseAddress, type Address} from '../source/links/address.js';
import {SystemRandom, type Random} from '../source/random/random.js';
import {DelayQueue} from './delay-queue.js';

/** Direction of traffic through a relay. */
export type RelayDirection = 'toServer' | 'toClient';

/** Settings of a relay. */
export type FaultInjectingRelayOptions = {
	/** Address to which connections are forwarded. */
	readonly target: Address;
	/** Address to listen on. With port 0 the first start picks a free port, which later starts reuse. */
	readonly address?: Address;
	/** Delay in each direction. The resolution of timers limits its accuracy to about 1 ms. */
	readonly latency?: Milliseconds;
	/** Upper limit of the random delay that is added to the latency. */
	readonly jitter?: Milliseconds;
	readonly clock?: Clock;
	readonly random?: Random;
};

/** One direction of a relayed connection. Forwards nothing more once bytes have been dropped, so that no receiver gets a stream with a gap. */
class RelayedStream {
	#hasDroppedBytes = false;
	#isStalled = false;
	#hasDroppedClose = false;
	readonly #queue: DelayQueue;

	constructor(from: Socket, private readonly to: Socket, private readonly relay: FaultInjectingRelay, private readonly direction: RelayDirection) {
		this.#queue = new DelayQueue(relay.clock);
		from.on('data', (chunk: Buffer) => {
			this.#forward(() => {
				to.write(chunk);
			});
		});
		from.on('close', () => {
			this.#forwardClose();
		});
	}

	/** Delays the first bytes by the given time. */
	delayStart(duration: Milliseconds): void {
		this.#queue.add(duration, () => undefined);
	}

	stall(): void {
		this.#isStalled = true;
		this.#hasDroppedBytes = true;
		this.#queue.clear();
	}

	/** Closes the receiving side if a close was dropped together with the traffic. */
	deliverDroppedClose(): void {
		if (this.#hasDroppedClose) {
			this.to.destroy();
		}
	}

	#forward(action: () => void): void {
		this.#hasDroppedBytes ||= this.relay.dropsTraffic(this.direction);
		this.#queue.add(this.relay.nextDelay(), () => {
			this.#hasDroppedBytes ||= this.relay.dropsTraffic(this.direction);
			if (!this.#hasDroppedBytes) {
				action();
			}
		});
	}

	#forwardClose(): void {
		this.#queue.add(this.relay.nextDelay(), () => {
			this.#hasDroppedClose = !this.#isStalled && this.relay.dropsTraffic(this.direction);
			if (!this.#isStalled && !this.#hasDroppedClose) {
				this.to.destroySoon();
			}
		});
	}
}

/** TCP relay in front of one address that injects network faults: latency, dropped traffic, stalled or refused connections. */
export class FaultInjectingRelay {
	latency: Milliseconds;
	jitter: Milliseconds;
	readonly clock: Clock;
	readonly #random: Random;
	readonly #droppedDirections = new Set<RelayDirection>();
	readonly #sockets = new Set<Socket>();
	readonly #streams = new Set<RelayedStream>();
	#address: Address;
	#server: Server | undefined;

	constructor(private readonly options: FaultInjectingRelayOptions) {
		this.latency = options.latency ?? 0;
		this.jitter = options.jitter ?? 0;
		this.clock = options.clock ?? new SystemClock();
		this.#random = options.random ?? new SystemRandom();
		this.#address = options.address ?? '127.0.0.1:0';
	}

	/** Address that the relay listens on; known after the start. */
	get address(): Address {
		return this.#address;
	}

	/** Starts listening. Rejects if the address is in use. */
	async start(): Promise<void> {
		const {host, port} = parseAddress(this.#address);
		const server = createServer(socket => {
			this.#handleConnection(socket);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		const bound = server.address();
		this.#address = `${host}:${typeof bound === 'object' && bound ? bound.port : port}`;
		this.#server = server;
	}

	/** Drops all traffic in the given directions, by default both. Connections stay open; new connections are accepted but not forwarded. */
	dropTraffic(...directions: readonly RelayDirection[]): void {
		for (const direction of directions.length > 0 ? directions : ['toServer', 'toClient'] as const) {
			this.#droppedDirections.add(direction);
		}
	}

	/** Refuses new connections; open connections are not affected. */
	refuseConnections(): void {
		this.#server?.close();
		this.#server = undefined;
	}

	/** Drops all further traffic of the open connections without closing them; `heal` does not undo this. New connections work. */
	stallOpenConnections(): void {
		for (const stream of this.#streams) {
			stream.stall();
		}
	}

	/** Closes both sides of the open connections. */
	closeOpenConnections(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Stops dropping traffic and refusing connections. A connection of which bytes were dropped stays stalled. */
	async heal(): Promise<void> {
		this.#droppedDirections.clear();
		for (const stream of this.#streams) {
			stream.deliverDroppedClose();
		}

		if (!this.#server) {
			await this.start();
		}
	}

	/** Stops listening and closes all connections. */
	close(): void {
		this.refuseConnections();
		this.stallOpenConnections();
		this.closeOpenConnections();
	}

	dropsTraffic(direction: RelayDirection): boolean {
		return this.#droppedDirections.has(direction);
	}

	/** Returns the delay of the next chunk. */
	nextDelay(): Milliseconds {
		return this.latency + (this.jitter * this.#random.fraction());
	}

	#handleConnection(client: Socket): void {
		this.#track(client);
		if (this.#droppedDirections.size > 0) {
			client.resume();
			return;
		}

		const server = createConnection({...parseAddress(this.options.target), noDelay: true});
		this.#track(server);
		const toServer = new RelayedStream(client, server, this, 'toServer');
		const toClient = new RelayedStream(server, client, this, 'toClient');
		// The relay accepts a connection without delay. On a network with this latency, the TCP handshake takes a round trip before the client can send, so its first bytes arrive after three one-way latencies.
		toServer.delayStart(3 * this.nextDelay());
		this.#streams.add(toServer);
		this.#streams.add(toClient);
		server.on('close', () => {
			this.#removeIfClosed(client, server, toServer, toClient);
		});
		client.on('close', () => {
			this.#removeIfClosed(client, server, toServer, toClient);
		});
	}

	#track(socket: Socket): void {
		this.#sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	#removeIfClosed(client: Socket, server: Socket, ...streams: readonly RelayedStream[]): void {
		if (client.destroyed && server.destroyed) {
			for (const stream of streams) {
				this.#streams.delete(stream);
			}
		}
	}
}
