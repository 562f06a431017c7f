import {type MemberConnection} from '../statement/member-connection.js';

/** Open connections by member. */
export class ConnectionCounts {
	readonly #open = new Map<string, Set<MemberConnection | symbol>>();

	/** Returns the number of connections to the member that are open or being opened. */
	countOf(member: string): number {
		return this.#open.get(member)?.size ?? 0;
	}

	/** Returns whether the connection was opened here and is still open. */
	has(member: string, connection: MemberConnection): boolean {
		return this.#open.get(member)?.has(connection) ?? false;
	}

	/** Opens a connection and counts it until it is closed. Rejects when the connection cannot be opened. */
	async open(member: string, connect: () => Promise<MemberConnection>): Promise<MemberConnection> {
		const attempt = Symbol('attempt');
		this.#add(member, attempt);
		try {
			const connection = await connect();
			this.#add(member, connection);
			connection.onClosed(() => {
				this.#remove(member, connection);
			});
			return connection;
		} finally {
			this.#remove(member, attempt);
		}
	}

	#add(member: string, connection: MemberConnection | symbol): void {
		const open = this.#open.get(member) ?? new Set();
		open.add(connection);
		this.#open.set(member, open);
	}

	#remove(member: string, connection: MemberConnection | symbol): void {
		const open = this.#open.get(member);
		open?.delete(connection);
		if (open?.size === 0) {
			this.#open.delete(member);
		}
	}
}
