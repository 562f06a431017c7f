import {Buffer} from 'node:buffer';
import {createServer, type Server, type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {listenOn} from '../links/listen.js';
import {buildProxyErrorResponse} from '../postgres-protocol/backend-messages.js';
import {FrontendMessageSplitter} from '../postgres-protocol/frontend-messages.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {CallerStartup, type AcceptedCaller, type StartupPolicy} from './caller-startup.js';
import {CallerOutput, EntrySession} from './entry-session.js';
import {type SessionExecutor} from './session-executor.js';

/** Time within which a caller must complete its start-up, in milliseconds. */
export const startupTimeout: Milliseconds = 10_000;

const startupCheckPeriod: Milliseconds = 1000;
// TCP keep-alive detects dead callers; a timer for each caller would cost memory.
const keepAliveDelay: Milliseconds = 60_000;
// Connections accepted beyond the limit on callers, so that start-up can refuse them with an error instead of a closed socket.
const maximumExtraStartups = 100;
const emptyBuffer = Buffer.alloc(0);

/** Dependencies of a {@link CallerServer}. */
export type CallerServerOptions = {
	readonly clock: Clock;
	readonly policy: StartupPolicy;
	readonly createExecutor: (caller: AcceptedCaller, callerNumber: number) => SessionExecutor;
	/** Returns the maximum number of callers; read for each new connection, since the configuration may change it. */
	readonly callerLimit: () => number;
	readonly onCallerCount: (count: number) => void;
};

/** Accepts callers over TCP in the PostgreSQL protocol. */
export class CallerServer {
	readonly #server: Server;
	readonly #connections = new Set<CallerConnection>();
	readonly #connectionsInStartup = new Map<CallerConnection, Milliseconds>();
	#cancelStartupCheck: Cancel | undefined;
	#nextCallerNumber = 1;
	#isDraining = false;

	constructor(private readonly options: CallerServerOptions) {
		this.#server = createServer({noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveDelay}, socket => {
			this.#accept(socket);
		});
	}

	/** Number of open connections, including those in their start-up. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Number of callers that have completed their start-up. */
	get callerCount(): number {
		return this.#connections.size - this.#connectionsInStartup.size;
	}

	/** Listens on the address and resolves with the address that was bound, which contains the actual port. Rejects if the address is in use. */
	async listen(address: Address): Promise<Address> {
		this.#cancelStartupCheck = this.options.clock.repeat(startupCheckPeriod, () => {
			this.#closeStalledStartups();
		});
		return listenOn(this.#server, address);
	}

	/** Disconnects idle callers at once and the others as soon as their transaction and requests are completed. */
	drain(): void {
		this.#isDraining = true;
		for (const connection of this.#connections) {
			connection.drain();
		}
	}

	/** Stops listening and closes all connections. */
	async close(): Promise<void> {
		this.#cancelStartupCheck?.();
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
		if (this.#connections.size >= this.options.callerLimit() + maximumExtraStartups) {
			socket.destroy();
			return;
		}

		const callerNumber = this.#nextCallerNumber++;
		const connection: CallerConnection = new CallerConnection(socket, this.options, callerNumber, {
			onStarted: () => {
				this.#connectionsInStartup.delete(connection);
				this.options.onCallerCount(this.callerCount);
				if (this.#isDraining) {
					connection.drain();
				}
			},
			onClosed: () => {
				this.#connectionsInStartup.delete(connection);
				this.#connections.delete(connection);
				this.options.onCallerCount(this.callerCount);
			},
		});
		this.#connections.add(connection);
		this.#connectionsInStartup.set(connection, this.options.clock.now());
	}

	#closeStalledStartups(): void {
		const latestExpiredStart = this.options.clock.now() - startupTimeout;
		for (const [connection, startedAt] of this.#connectionsInStartup) {
			if (startedAt <= latestExpiredStart) {
				connection.destroy();
			}
		}
	}
}

type ConnectionEvents = {
	readonly onStarted: () => void;
	readonly onClosed: () => void;
};

/** The connection of one caller: first its start-up, then its session. */
class CallerConnection extends CallerOutput {
	#startup: CallerStartup | undefined;
	#session: EntrySession | undefined;
	#splitter: FrontendMessageSplitter | undefined;
	#isEnded = false;

	constructor(private readonly socket: Socket, private readonly options: CallerServerOptions, private readonly callerNumber: number, private readonly events: ConnectionEvents) {
		super();
		this.#startup = new CallerStartup(this, options.policy, callerNumber);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#isEnded = true;
			this.#session?.close();
			events.onClosed();
		});
	}

	override send(bytes: Buffer): Promise<void> | undefined {
		if (this.#isEnded || this.socket.write(bytes)) {
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
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.socket.end(bytes ?? emptyBuffer);
			// Reading continues, because a paused socket would not detect that the caller has closed the connection. Received bytes are discarded.
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

	// Reading is paused while a chunk of the start-up is processed, because CallerStartup.receive must not be called concurrently.
	#receive(chunk: Buffer): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#startup) {
			this.socket.pause();
			void this.#continueStartup(this.#startup, chunk);
		} else {
			this.#receiveMessages(chunk);
		}
	}

	async #continueStartup(startup: CallerStartup, chunk: Buffer): Promise<void> {
		const progress = await startup.receive(chunk);
		if (progress.kind === 'done' && !this.socket.destroyed) {
			this.#startup = undefined;
			this.#session = new EntrySession(this.options.createExecutor(progress.caller, this.callerNumber), this);
			this.events.onStarted();
			this.#receiveMessages(progress.remainingBytes);
		}

		this.socket.resume();
	}

	#receiveMessages(chunk: Buffer): void {
		if (chunk.length === 0) {
			return;
		}

		try {
			this.#splitter ??= new FrontendMessageSplitter();
			this.#session?.receive(this.#splitter.push(chunk));
			if (this.#splitter.bufferedLength === 0) {
				this.#splitter = undefined;
			}
		} catch (error) {
			this.#session?.close();
			this.end(buildProxyErrorResponse(toBuckthornhitchError(error), 'FATAL'));
		}
	}
}
