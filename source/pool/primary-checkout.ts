import {type MemberGrant} from './execution-context.js';
import {type PooledBackendConnection} from './pooled-backend-connection.js';

/** Slot and connection on the primary that are checked out for one write. */
export class PrimaryCheckout {
	#isReturned = false;
	#isCounted = true;

	constructor(readonly grant: MemberGrant, readonly connection: PooledBackendConnection, private readonly onWriteEnd: () => void, private readonly dispatch: () => void) {}

	/** Releases slot and connection; further calls have no effect. */
	release(): void {
		this.#returnOnce(() => {
			this.grant.connections.release(this.connection);
		});
	}

	/** Releases the slot and closes the connection because an exchange failed, unless they were released before. */
	discard(reason: string): void {
		this.#returnOnce(() => {
			this.grant.connections.discard(this.connection, reason);
		});
	}

	/** Releases the slot but keeps the connection checked out for a transaction. */
	releaseSlotOnly(): void {
		this.#returnOnce(() => undefined);
	}

	/** Stops counting this write as in progress on the primary; further calls have no effect. */
	endWrite(): void {
		if (this.#isCounted) {
			this.#isCounted = false;
			this.onWriteEnd();
		}
	}

	#returnOnce(action: () => void): void {
		if (!this.#isReturned) {
			this.#isReturned = true;
			action();
			this.grant.releaseSlot();
			this.dispatch();
		}
	}
}
