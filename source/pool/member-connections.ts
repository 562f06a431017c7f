import {serialize} from 'pg-protocol';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type BackendConnection, type BackendConnector} from '../postgres-protocol/backend-connection.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** What the connections of one member need. */
export type MemberConnectionsOptions = {
	readonly address: Address;
	readonly database: string;
	readonly applicationName: string;
	readonly connector: BackendConnector;
	readonly clock: Clock;
	readonly random: Random;
	/** Returns how many connections may be open. */
	readonly limit: () => number;
	readonly connectTimeout: () => Milliseconds;
	readonly verifyTimeout: () => Milliseconds;
	/** Called for each connection that is closed because it failed. */
	readonly onDiscarded: (reason: string) => void;
	/** Called when a new connection could not be opened. */
	readonly onConnectFailed: (reason: string) => void;
};

type Waiter = {
	readonly resolve: (connection: BackendConnection) => void;
	readonly reject: (error: BuckthornhitchError) => void;
};

type IdleConnection = {
	readonly connection: BackendConnection;
	readonly since: Milliseconds;
};

/** A connection idle for longer is checked by a round trip before use: it may have stopped responding in the meantime. */
const verifyAfter: Milliseconds = 5000;

/** New connections to one member under way at the same time; more would load a member that is just starting. */
const parallelConnects = 4;

const firstBackoff: Milliseconds = 20;
const longestBackoff: Milliseconds = 1000;

/** Connections to one member that carry statements. A connection is handed out to one user at a time. */
export class MemberConnections {
	readonly #idle: IdleConnection[] = [];
	readonly #open = new Set<BackendConnection>();
	readonly #waiters: Waiter[] = [];
	#connecting = 0;
	#failures = 0;
	#connectNotBefore: Milliseconds = 0;
	#generation = 0;
	/** Connections idle since an earlier time are checked before use. */
	#trustedSince: Milliseconds = 0;

	constructor(private readonly options: MemberConnectionsOptions) {}

	/** Number of open connections. */
	get open(): number {
		return this.#open.size;
	}

	/** Returns an idle, verified or new connection. Rejects with linkNotSent or deadlinePassed. */
	async acquire(deadlineAt: Milliseconds): Promise<BackendConnection> {
		for (;;) {
			const idle = this.#takeIdle();
			const connection = idle?.connection ?? await this.#wait(deadlineAt);
			const isTrusted = !idle || (idle.since >= this.#trustedSince && this.options.clock.now() - idle.since <= verifyAfter);
			if (isTrusted || await this.#verify(connection)) {
				return connection;
			}
		}
	}

	/** Takes a connection back; one with an unfinished exchange or an open transaction is closed. */
	release(connection: BackendConnection): void {
		if (connection.closed || connection.transactionStatus !== 'idle' || !this.#open.has(connection)) {
			this.discard(connection, 'it was not idle after use');
			return;
		}

		const waiter = this.#waiters.shift();
		if (waiter) {
			waiter.resolve(connection);
		} else {
			this.#idle.push({connection, since: this.options.clock.now()});
		}
	}

	/** Closes a connection that must not be used again. */
	discard(connection: BackendConnection, reason: string): void {
		if (this.#open.delete(connection)) {
			this.options.onDiscarded(reason);
		}

		connection.close();
		this.#connectForWaiters();
	}

	/** Closes a connection whose user has gone; this is not a failure. */
	closeUnused(connection: BackendConnection): void {
		this.#open.delete(connection);
		connection.close();
		this.#connectForWaiters();
	}

	/** Opens connections ahead of need until the number is open. */
	warm(count: number): void {
		const missing = Math.min(count, this.options.limit()) - this.#open.size - this.#connecting;
		for (let index = 0; index < missing && this.#mayConnect(); index++) {
			void this.#connect();
		}
	}

	/** Has the idle connections checked by a round trip before their next use, and closes those that do not finish the exchange in progress within the time that a check may take. */
	distrust(): void {
		const {clock, verifyTimeout} = this.options;
		const since = clock.now();
		this.#trustedSince = since;
		clock.schedule(verifyTimeout(), () => {
			for (const connection of this.#open) {
				if (connection.busySince !== undefined && connection.busySince < since) {
					this.discard(connection, 'it stopped responding together with another connection');
				}
			}
		});
	}

	/** Closes all connections; exchanges in progress fail. */
	closeAll(reason: string): void {
		this.#generation++;
		const open = [...this.#open];
		this.#open.clear();
		this.#idle.length = 0;
		for (const connection of open) {
			connection.close();
		}

		this.#rejectWaiters(reason);
	}

	#takeIdle(): IdleConnection | undefined {
		for (let idle = this.#idle.pop(); idle; idle = this.#idle.pop()) {
			if (!idle.connection.closed) {
				return idle;
			}

			this.#open.delete(idle.connection);
		}

		return undefined;
	}

	async #verify(connection: BackendConnection): Promise<boolean> {
		try {
			await connection.exchange(serialize.sync(), 1, this.options.verifyTimeout());
			return true;
		} catch (error) {
			this.discard(connection, `it did not answer after a time without use: ${toBuckthornhitchError(error).detail}`);
			return false;
		}
	}

	async #wait(deadlineAt: Milliseconds): Promise<BackendConnection> {
		const {clock} = this.options;
		if (clock.now() < this.#connectNotBefore && this.#open.size === 0) {
			throw new BuckthornhitchError('linkNotSent', `${this.options.address}: waiting before the next attempt to connect.`);
		}

		return new Promise((resolve, reject) => {
			const waiter: Waiter = {
				resolve(connection) {
					cancelDeadline();
					resolve(connection);
				},
				reject(error) {
					cancelDeadline();
					reject(error);
				},
			};
			const cancelDeadline = clock.schedule(Math.max(0, deadlineAt - clock.now()), () => {
				this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
				reject(new BuckthornhitchError('deadlinePassed', `No connection to ${this.options.address} became free in time.`));
			});
			this.#waiters.push(waiter);
			this.#connectForWaiters();
		});
	}

	#connectForWaiters(): void {
		while (this.#waiters.length > this.#connecting && this.#mayConnect()) {
			void this.#connect();
		}
	}

	#mayConnect(): boolean {
		return this.#connecting < parallelConnects
			&& this.#open.size + this.#connecting < this.options.limit()
			&& this.options.clock.now() >= this.#connectNotBefore;
	}

	async #connect(): Promise<void> {
		const {address, database, applicationName, connector, connectTimeout} = this.options;
		const generation = this.#generation;
		this.#connecting++;
		try {
			const connection = await connector.connect(address, database, applicationName, connectTimeout());
			this.#connecting--;
			this.#failures = 0;
			this.#accept(connection, generation);
		} catch (error) {
			this.#connecting--;
			this.#connectFailed(toBuckthornhitchError(error).detail);
		}
	}

	#accept(connection: BackendConnection, generation: number): void {
		if (generation !== this.#generation) {
			connection.close();
			return;
		}

		this.#open.add(connection);
		connection.onClose(() => {
			if (this.#open.delete(connection)) {
				this.options.onDiscarded('it was closed');
				this.#connectForWaiters();
			}
		});
		this.release(connection);
	}

	#connectFailed(reason: string): void {
		const {clock, random, onConnectFailed} = this.options;
		const backoff = Math.min(longestBackoff, firstBackoff * (2 ** this.#failures));
		this.#failures++;
		this.#connectNotBefore = clock.now() + (backoff * (0.5 + (random.fraction() / 2)));
		onConnectFailed(reason);
		this.#rejectWaiters(reason);
	}

	#rejectWaiters(reason: string): void {
		for (const waiter of this.#waiters.splice(0)) {
			waiter.reject(new BuckthornhitchError('linkNotSent', `${this.options.address}: ${reason}`));
		}
	}
}
