import {type Buffer} from 'node:buffer';
import {
	createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {SystemClock} from '../source/clock/system-clock.js';
import {parseAddress, type Address} from '../source/links/address.js';
import {SystemRandom, type Random} from '../source/random/random.js';
import {DelayLine} from './delay-line.js';

/** Way of the bytes through a relay. */
export type RelayDirection = 'toServer' | 'toClient';

/** Settings of a relay. */
export type FaultInjectingRelayOptions = {
	/** Address that connections are passed on to. */
	readonly target: Address;
	/** Address to listen on; port 0 takes a free one, which is kept. */
	readonly address?: Address;
	/** Delay of bytes in each direction; timers make it exact to about 1 ms. */
	readonly latency?: Milliseconds;
	/** Upper limit of a random addition to the latency. */
	readonly jitter?: Milliseconds;
	readonly clock?: Clock;
	readonly random?: Random;
};

/** One direction of a connection. Once bytes are lost, none follow, so that no receiver sees a stream with a gap. */
class RelayedDirection {
	#hasLostBytes = false;
	#isSilenced = false;
	#hasLostClose = false;
	readonly #line: DelayLine;

	constructor(from: Socket, private readonly to: Socket, private readonly relay: FaultInjectingRelay, private readonly direction: RelayDirection) {
		this.#line = new DelayLine(relay.clock);
		from.on('data', (chunk: Buffer) => {
			this.#forward(() => {
				to.write(chunk);
			});
		});
		from.on('close', () => {
			this.#forwardClose();
		});
	}

	/** Delays the first bytes. */
	hold(duration: Milliseconds): void {
		this.#line.add(duration, () => undefined);
	}

	silence(): void {
		this.#isSilenced = true;
		this.#hasLostBytes = true;
		this.#line.clear();
	}

	/** Delivers a close that a cut had held back. */
	heal(): void {
		if (this.#hasLostClose) {
			this.to.destroy();
		}
	}

	#forward(action: () => void): void {
		this.#hasLostBytes ||= this.relay.dropsTraffic(this.direction);
		this.#line.add(this.relay.nextDelay(), () => {
			this.#hasLostBytes ||= this.relay.dropsTraffic(this.direction);
			if (!this.#hasLostBytes) {
				action();
			}
		});
	}

	#forwardClose(): void {
		this.#line.add(this.relay.nextDelay(), () => {
			this.#hasLostClose = !this.#isSilenced && this.relay.dropsTraffic(this.direction);
			if (!this.#isSilenced && !this.#hasLostClose) {
				this.to.destroySoon();
			}
		});
	}
}

/** TCP relay in front of one address that delays, loses or refuses traffic on demand. */
export class FaultInjectingRelay {
	latency: Milliseconds;
	jitter: Milliseconds;
	readonly clock: Clock;
	readonly #random: Random;
	readonly #cuts = new Set<RelayDirection>();
	readonly #sockets = new Set<Socket>();
	readonly #directions = new Set<RelayedDirection>();
	#address: Address;
	#server: Server | undefined;

	constructor(private readonly options: FaultInjectingRelayOptions) {
		this.latency = options.latency ?? 0;
		this.jitter = options.jitter ?? 0;
		this.clock = options.clock ?? new SystemClock();
		this.#random = options.random ?? new SystemRandom();
		this.#address = options.address ?? '127.0.0.1:0';
	}

	/** Address that the relay listens on; known once it has started. */
	get address(): Address {
		return this.#address;
	}

	/** Opens the address. Rejects when it is in use. */
	async start(): Promise<void> {
		const {host, port} = parseAddress(this.#address);
		const server = createServer(socket => {
			this.#accept(socket);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		const bound = server.address();
		this.#address = `${host}:${typeof bound === 'object' && bound ? bound.port : port}`;
		this.#server = server;
	}

	/** Loses all bytes of the directions; connections stay open and new ones get no answer. */
	dropTraffic(...directions: readonly RelayDirection[]): void {
		for (const direction of directions.length > 0 ? directions : ['toServer', 'toClient'] as const) {
			this.#cuts.add(direction);
		}
	}

	/** Refuses new connections; open ones go on. */
	refuseConnections(): void {
		this.#server?.close();
		this.#server = undefined;
	}

	/** Silences the open connections for good; new ones work. */
	stallOpenConnections(): void {
		for (const direction of this.#directions) {
			direction.silence();
		}
	}

	/** Closes the open connections on both sides. */
	closeOpenConnections(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Ends cuts and refusal. A connection that has lost bytes stays silent. */
	async heal(): Promise<void> {
		this.#cuts.clear();
		for (const direction of this.#directions) {
			direction.heal();
		}

		if (!this.#server) {
			await this.start();
		}
	}

	/** Closes everything. */
	close(): void {
		this.refuseConnections();
		this.stallOpenConnections();
		this.closeOpenConnections();
	}

	dropsTraffic(direction: RelayDirection): boolean {
		return this.#cuts.has(direction);
	}

	/** Returns the delay of the next bytes. */
	nextDelay(): Milliseconds {
		return this.latency + (this.jitter * this.#random.fraction());
	}

	#accept(client: Socket): void {
		this.#track(client);
		if (this.#cuts.size > 0) {
			client.resume();
			return;
		}

		const server = createConnection({...parseAddress(this.options.target), noDelay: true});
		this.#track(server);
		const toServer = new RelayedDirection(client, server, this, 'toServer');
		const toClient = new RelayedDirection(server, client, this, 'toClient');
		// Without the relay the first bytes would arrive one round trip and one way after the client began to connect.
		toServer.hold(3 * this.nextDelay());
		this.#directions.add(toServer);
		this.#directions.add(toClient);
		server.on('close', () => {
			this.#forgetClosed(client, server, toServer, toClient);
		});
		client.on('close', () => {
			this.#forgetClosed(client, server, toServer, toClient);
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

	#forgetClosed(client: Socket, server: Socket, ...directions: readonly RelayedDirection[]): void {
		if (client.destroyed && server.destroyed) {
			for (const direction of directions) {
				this.#directions.delete(direction);
			}
		}
	}
}
