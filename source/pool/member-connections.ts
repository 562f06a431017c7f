import {serialize} from 'pg-protocol';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type BackendConnector} from '../postgres-protocol/backend-connection.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {PooledBackendConnection} from './pooled-backend-connection.js';

/** Dependencies and settings of MemberConnections. */
export type MemberConnectionsOptions = {
	readonly address: Address;
	readonly database: string;
	readonly applicationName: string;
	readonly connector: BackendConnector;
	readonly clock: Clock;
	readonly random: Random;
	/** Returns the maximum number of open connections. */
	readonly maximumConnections: () => number;
	readonly connectTimeout: () => Milliseconds;
	/** Returns how long a connection may take to respond to a verification or to the removal of its prepared statements. */
	readonly verifyTimeout: () => Milliseconds;
	/** Called for each connection that was closed because of a failure. */
	readonly onDiscarded: (reason: string) => void;
	/** Called for each attempt to connect that failed. */
	readonly onConnectFailed: (reason: string) => void;
};

/** A request that waits for a connection. */
type Waiter = {
	readonly resolve: (connection: PooledBackendConnection) => void;
	readonly reject: (error: BuckthornhitchError) => void;
};

type IdleConnection = {
	readonly connection: PooledBackendConnection;
	readonly idleSince: Milliseconds;
};

/** A connection that was idle for longer is verified with a round trip before use, because it may have stopped responding. */
const verifyIdleAfter: Milliseconds = 5000;

/** Limits the load that connection attempts put on a member that is just starting. */
const maximumParallelConnects = 4;

/** Delays between attempts after failures to connect; the delay doubles with each failure. */
const initialBackoff: Milliseconds = 20;
const maximumBackoff: Milliseconds = 1000;

/** Reusable connections to one member, which carry statements. Each connection is used by at most one request or transaction at a time. */
export class MemberConnections {
	readonly #idleConnections: IdleConnection[] = [];
	readonly #openConnections = new Set<PooledBackendConnection>();
	readonly #waiters: Waiter[] = [];
	#connectingCount = 0;
	#connectFailures = 0;
	#connectNotBefore: Milliseconds = 0;
	/** Incremented by closeAll, so that connections opened by earlier attempts are not kept. */
	#generation = 0;
	/** Connections that have been idle since before this time are verified before use. */
	#verifyIdleBefore: Milliseconds = 0;

	constructor(private readonly options: MemberConnectionsOptions) {}

	/** Number of open connections. */
	get openCount(): number {
		return this.#openConnections.size;
	}

	/** Returns a recently used, verified or new connection. Rejects with linkNotSent or deadlinePassed. */
	async acquire(deadlineAt: Milliseconds): Promise<PooledBackendConnection> {
		for (;;) {
			const idle = this.#takeIdle();
			const connection = idle?.connection ?? await this.#waitForConnection(deadlineAt);
			const needsNoVerification = !idle || (idle.idleSince >= this.#verifyIdleBefore && this.options.clock.now() - idle.idleSince <= verifyIdleAfter);
			if (needsNoVerification || await this.#verify(connection)) {
				return connection;
			}
		}
	}

	/** Makes a connection available for reuse, without its prepared statements if there are too many; one with an unfinished exchange or an open transaction is closed instead. */
	release(connection: PooledBackendConnection): void {
		if (connection.isClosed || connection.transactionStatus !== 'idle' || !this.#openConnections.has(connection)) {
			this.discard(connection, 'it was not idle after use');
			return;
		}

		if (connection.hasTooManyStatements) {
			void this.#removeStatements(connection);
			return;
		}

		const waiter = this.#waiters.shift();
		if (waiter) {
			waiter.resolve(connection);
		} else {
			this.#idleConnections.push({connection, idleSince: this.options.clock.now()});
		}
	}

	/** Closes a connection because of a failure. */
	discard(connection: PooledBackendConnection, reason: string): void {
		if (this.#openConnections.delete(connection)) {
			this.options.onDiscarded(reason);
		}

		connection.close();
		this.#connectForWaiters();
	}

	/** Closes a connection whose transaction was given up, without reporting a failure. */
	closeWithoutReporting(connection: PooledBackendConnection): void {
		this.#openConnections.delete(connection);
		connection.close();
		this.#connectForWaiters();
	}

	/** Opens connections in advance until the given number is open, as far as the limits allow. */
	prewarm(count: number): void {
		const missing = Math.min(count, this.options.maximumConnections()) - this.#openConnections.size - this.#connectingCount;
		for (let index = 0; index < missing && this.#mayConnect(); index++) {
			void this.#connect();
		}
	}

	/** Verifies all connections after one to the same member stopped responding. Idle connections are verified with a round trip before their next use. Busy connections are closed unless their exchange finishes within the verification timeout. */
	revalidate(): void {
		const {clock, verifyTimeout} = this.options;
		const startedAt = clock.now();
		this.#verifyIdleBefore = startedAt;
		clock.schedule(verifyTimeout(), () => {
			for (const connection of this.#openConnections) {
				if (connection.busySince !== undefined && connection.busySince < startedAt) {
					this.discard(connection, 'it stopped responding together with another connection');
				}
			}
		});
	}

	/** Closes all connections; exchanges in progress and waiting requests fail. */
	closeAll(reason: string): void {
		this.#generation++;
		const open = [...this.#openConnections];
		this.#openConnections.clear();
		this.#idleConnections.length = 0;
		for (const connection of open) {
			connection.close();
		}

		this.#rejectWaiters(reason);
	}

	#takeIdle(): IdleConnection | undefined {
		for (let idle = this.#idleConnections.pop(); idle; idle = this.#idleConnections.pop()) {
			if (!idle.connection.isClosed) {
				return idle;
			}

			this.#openConnections.delete(idle.connection);
		}

		return undefined;
	}

	async #verify(connection: PooledBackendConnection): Promise<boolean> {
		try {
			await connection.exchange(serialize.sync(), 1, this.options.verifyTimeout());
			return true;
		} catch (error) {
			this.discard(connection, `it did not answer after a time without use: ${toBuckthornhitchError(error).detail}`);
			return false;
		}
	}

	async #removeStatements(connection: PooledBackendConnection): Promise<void> {
		try {
			await connection.removeStatements(this.options.verifyTimeout());
		} catch (error) {
			this.discard(connection, `its prepared statements were not removed: ${toBuckthornhitchError(error).detail}`);
			return;
		}

		this.release(connection);
	}

	async #waitForConnection(deadlineAt: Milliseconds): Promise<PooledBackendConnection> {
		const {clock} = this.options;
		if (clock.now() < this.#connectNotBefore && this.#openConnections.size === 0) {
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
		while (this.#waiters.length > this.#connectingCount && this.#mayConnect()) {
			void this.#connect();
		}
	}

	#mayConnect(): boolean {
		return this.#connectingCount < maximumParallelConnects
			&& this.#openConnections.size + this.#connectingCount < this.options.maximumConnections()
			&& this.options.clock.now() >= this.#connectNotBefore;
	}

	async #connect(): Promise<void> {
		const {address, database, applicationName, connector, connectTimeout} = this.options;
		const generation = this.#generation;
		this.#connectingCount++;
		try {
			const connection = new PooledBackendConnection(await connector.connect(address, database, applicationName, connectTimeout()));
			this.#connectingCount--;
			this.#connectFailures = 0;
			this.#addConnection(connection, generation);
		} catch (error) {
			this.#connectingCount--;
			this.#handleConnectFailure(toBuckthornhitchError(error).detail);
		}
	}

	#addConnection(connection: PooledBackendConnection, generation: number): void {
		if (generation !== this.#generation) {
			connection.close();
			return;
		}

		this.#openConnections.add(connection);
		connection.onClose(() => {
			if (this.#openConnections.delete(connection)) {
				this.options.onDiscarded('it was closed');
				this.#connectForWaiters();
			}
		});
		this.release(connection);
	}

	#handleConnectFailure(reason: string): void {
		const {clock, random, onConnectFailed} = this.options;
		const backoff = Math.min(maximumBackoff, initialBackoff * (2 ** this.#connectFailures));
		this.#connectFailures++;
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
