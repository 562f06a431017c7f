import {type Milliseconds} from '../clock/clock.js';
import {type ConnectionPath} from '../statement/member-connection.js';
import {mayUse, type ConnectionRequest} from './connection-requests.js';
import {type PooledConnection} from './pooled-connection.js';

/** Idle connections to one member, the least recently released first. */
export class IdleConnections {
	readonly #connections: PooledConnection[] = [];

	/** Number of idle connections. */
	get length(): number {
		return this.#connections.length;
	}

	/** Returns the number of idle connections on the path. */
	countOn(path: ConnectionPath | undefined): number {
		return this.#connections.filter(connection => connection.path === path).length;
	}

	/** Adds a connection that was released now. */
	add(connection: PooledConnection): void {
		this.#connections.push(connection);
	}

	/** Removes a connection; it has no effect if the connection is not idle. */
	remove(connection: PooledConnection): void {
		const index = this.#connections.indexOf(connection);
		if (index !== -1) {
			this.#connections.splice(index, 1);
		}
	}

	/** Returns whether the connection is idle. */
	includes(connection: PooledConnection): boolean {
		return this.#connections.includes(connection);
	}

	/** Returns whether there is a connection that the request may use. */
	has(request: ConnectionRequest): boolean {
		return this.#connections.some(connection => !connection.memberConnection.isClosed && mayUse(request, connection));
	}

	/** Removes and returns a connection that the request may use, preferably one on which exactly the variables of its session are set. */
	take(request: ConnectionRequest): PooledConnection | undefined {
		for (const connection of this.#connections.filter(({memberConnection}) => memberConnection.isClosed)) {
			this.remove(connection);
		}

		const usable = this.#connections.filter(connection => mayUse(request, connection));
		const {session} = request;
		const chosen = (session && usable.findLast(connection => connection.matchesVariables(session))) ?? usable.at(-1);
		if (chosen) {
			this.remove(chosen);
		}

		return chosen;
	}

	/** Closes the least recently used connection on the path. Returns whether there was one. */
	closeLeastRecent(path: ConnectionPath | undefined): boolean {
		const connection = this.#connections.find(other => other.path === path);
		if (connection) {
			this.remove(connection);
			connection.memberConnection.close();
		}

		return connection !== undefined;
	}

	/** Closes connections that have been idle for their time-out, the least recently used first, but at most the given number. */
	closeOlderThan(timeoutOf: (connection: PooledConnection) => Milliseconds, now: Milliseconds, maximumCount: number): void {
		const old = this.#connections.filter(connection => now - connection.releasedAt >= timeoutOf(connection));
		for (const connection of old.slice(0, Math.max(0, maximumCount))) {
			this.remove(connection);
			connection.memberConnection.close();
		}
	}

	/** Closes the connections for which the function returns true. */
	closeWhere(predicate: (connection: PooledConnection) => boolean): void {
		for (const connection of this.#connections.filter(other => predicate(other))) {
			this.remove(connection);
			connection.memberConnection.close();
		}
	}
}
