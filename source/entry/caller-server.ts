import {Buffer} from 'node:buffer';
import {createServer, type Server, type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {listenOn} from '../links/listen.js';
import {buildNumberedErrorResponse} from '../postgres-protocol/backend-messages.js';
import {FrontendMessageSplitter} from '../postgres-protocol/frontend-messages.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {CallerStartup, type AcceptedCaller, type StartupPolicy} from './caller-startup.js';
import {CallerOutput, EntrySession} from './entry-session.js';
import {type SessionExecutor} from './session-executor.js';

/** A caller must complete its start-up within this many milliseconds. */
export const startupTimeout: Milliseconds = 10_000;

const sweepPeriod: Milliseconds = 1000;
// Dead callers are found by the operating system; a timer for each caller would cost memory.
const keepAliveDelay: Milliseconds = 60_000;
// Connections that may be in their start-up beyond the limit on callers, so that they get a proper refusal.
const startupAllowance = 100;
const noBytes = Buffer.alloc(0);

/** What the caller server needs. */
export type CallerServerOptions = {
	readonly clock: Clock;
	readonly policy: StartupPolicy;
	readonly createExecutor: (caller: AcceptedCaller, callerNumber: number) => SessionExecutor;
	/** Callers that may be connected; read for each new connection. */
	readonly callerLimit: () => number;
	readonly onCallerCount: (count: number) => void;
};

/** Accepts callers over TCP. */
export class CallerServer {
	readonly #server: Server;
	readonly #connections = new Set<CallerConnection>();
	readonly #starting = new Map<CallerConnection, Milliseconds>();
	#cancelSweep: Cancel | undefined;
	#nextCallerNumber = 1;
	#draining = false;

	constructor(private readonly options: CallerServerOptions) {
		this.#server = createServer({noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveDelay}, socket => {
			this.#accept(socket);
		});
	}

	/** Open connections, those in their start-up included. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Callers that completed their start-up. */
	get callerCount(): number {
		return this.#connections.size - this.#starting.size;
	}

	/** Listens on the address and resolves with the address in use. Rejects when it is in use already. */
	async listen(address: Address): Promise<Address> {
		this.#cancelSweep = this.options.clock.repeat(sweepPeriod, () => {
			this.#sweep();
		});
		return listenOn(this.#server, address);
	}

	/** Ends idle callers now and the others when their transaction and requests are done. */
	drain(): void {
		this.#draining = true;
		for (const connection of this.#connections) {
			connection.drain();
		}
	}

	/** Closes all connections and stops listening. */
	async close(): Promise<void> {
		this.#cancelSweep?.();
		for (const connection of this.#connections) {
			connection.shutDown();
		}

		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#accept(socket: Socket): void {
		if (this.#connections.size >= this.options.callerLimit() + startupAllowance) {
			socket.destroy();
			return;
		}

		const number = this.#nextCallerNumber++;
		const connection: CallerConnection = new CallerConnection(socket, this.options, number, {
			onStarted: () => {
				this.#starting.delete(connection);
				this.options.onCallerCount(this.callerCount);
				if (this.#draining) {
					connection.drain();
				}
			},
			onClosed: () => {
				this.#starting.delete(connection);
				this.#connections.delete(connection);
				this.options.onCallerCount(this.callerCount);
			},
		});
		this.#connections.add(connection);
		this.#starting.set(connection, this.options.clock.now());
	}

	#sweep(): void {
		const oldest = this.options.clock.now() - startupTimeout;
		for (const [connection, startedAt] of this.#starting) {
			if (startedAt <= oldest) {
				connection.destroy();
			}
		}
	}
}

type ConnectionEvents = {
	readonly onStarted: () => void;
	readonly onClosed: () => void;
};

/** One caller's socket. */
class CallerConnection extends CallerOutput {
	#startup: CallerStartup | undefined;
	#session: EntrySession | undefined;
	#reader: FrontendMessageSplitter | undefined;
	#ended = false;

	constructor(private readonly socket: Socket, private readonly options: CallerServerOptions, private readonly number: number, private readonly events: ConnectionEvents) {
		super();
		this.#startup = new CallerStartup(this, options.policy, number);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#ended = true;
			this.#session?.close();
			events.onClosed();
		});
	}

	override send(bytes: Buffer): Promise<void> | undefined {
		if (this.#ended || this.socket.write(bytes)) {
			return undefined;
		}

		return new Promise(resolve => {
			const done = (): void => {
				this.socket.off('drain', done);
				this.socket.off('close', done);
				resolve();
			};

			this.socket.on('drain', done);
			this.socket.on('close', done);
		});
	}

	override setReading(reading: boolean): void {
		if (reading) {
			this.socket.resume();
		} else {
			this.socket.pause();
		}
	}

	override end(bytes?: Buffer): void {
		if (!this.#ended) {
			this.#ended = true;
			this.socket.end(bytes ?? noBytes);
			// Bytes that still arrive are dropped, so that the close of the caller is seen.
			this.socket.resume();
		}
	}

	drain(): void {
		this.#session?.drain();
	}

	shutDown(): void {
		this.#session?.shutDown();
		this.socket.destroySoon();
	}

	destroy(): void {
		this.socket.destroy();
	}

	#receive(chunk: Buffer): void {
		if (this.#ended) {
			return;
		}

		if (this.#startup) {
			this.socket.pause();
			void this.#start(this.#startup, chunk);
		} else {
			this.#read(chunk);
		}
	}

	async #start(startup: CallerStartup, chunk: Buffer): Promise<void> {
		const progress = await startup.receive(chunk);
		if (progress.kind === 'done' && !this.socket.destroyed) {
			this.#startup = undefined;
			this.#session = new EntrySession(this.options.createExecutor(progress.caller, this.number), this);
			this.events.onStarted();
			this.#read(progress.rest);
		}

		this.socket.resume();
	}

	#read(chunk: Buffer): void {
		if (chunk.length === 0) {
			return;
		}

		try {
			this.#reader ??= new FrontendMessageSplitter();
			this.#session?.receive(this.#reader.push(chunk));
			if (this.#reader.bufferedLength === 0) {
				this.#reader = undefined;
			}
		} catch (error) {
			this.#session?.close();
			this.end(buildNumberedErrorResponse(toBuckthornhitchError(error), 'FATAL'));
		}
	}
}
