import {type BackendConnection} from '../postgres-protocol/backend-connection.js';
import {type MemberGrant} from './execution-context.js';

/** A slot and a connection of the primary that one write uses. */
export class PrimaryUse {
	#returned = false;
	#counted = true;

	constructor(readonly grant: MemberGrant, readonly connection: BackendConnection, private readonly countEnd: () => void, private readonly dispatch: () => void) {}

	/** Gives slot and connection back; further calls have no effect. */
	giveBack(): void {
		this.#return(() => {
			this.grant.connections.release(this.connection);
		});
	}

	/** Closes the connection because an exchange failed, unless it was given back before. */
	discard(reason: string): void {
		this.#return(() => {
			this.grant.connections.discard(this.connection, reason);
		});
	}

	/** Gives the slot back but leaves the connection to a transaction. */
	keepConnection(): void {
		this.#return(() => undefined);
	}

	/** Ends the count of this use as work on the primary. */
	finish(): void {
		if (this.#counted) {
			this.#counted = false;
			this.countEnd();
		}
	}

	#return(action: () => void): void {
		if (!this.#returned) {
			this.#returned = true;
			action();
			this.grant.releaseSlot();
			this.dispatch();
		}
	}
}
