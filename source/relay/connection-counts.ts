import {type MemberConnection} from '../statement/member-connection.js';

/** Counts open connections by member. */
export class ConnectionCounts {
	readonly #counts = new Map<string, number>();

	/** Returns the number of connections to the member that are open or being opened. */
	countOf(member: string): number {
		return this.#counts.get(member) ?? 0;
	}

	/** Opens a connection and counts it until it is closed. Rejects when the connection cannot be opened. */
	async open(member: string, connect: () => Promise<MemberConnection>): Promise<MemberConnection> {
		this.#change(member, 1);
		try {
			const connection = await connect();
			connection.onClosed(() => {
				this.#change(member, -1);
			});
			return connection;
		} catch (error) {
			this.#change(member, -1);
			throw error;
		}
	}

	#change(member: string, difference: number): void {
		const count = this.countOf(member) + difference;
		if (count === 0) {
			this.#counts.delete(member);
		} else {
			this.#counts.set(member, count);
		}
	}
}
