import {type Clock} from '../clock/clock.js';
import {surplusIdleTimeout, type ConnectionPlacement} from './connection-placement.js';
import {type ConnectionsInUse} from './connections-in-use.js';
import {type IdleConnections} from './idle-connections.js';

/** Closes the idle connections of a pool that are not needed or not allowed any more. */
export class SurplusConnections {
	#isCloseScheduled = false;

	constructor(
		private readonly clock: Clock,
		private readonly placement: ConnectionPlacement,
		private readonly idle: IdleConnections,
		private readonly inUse: ConnectionsInUse,
	) {}

	/** Closes surplus connections once they have been idle for their time-out. */
	scheduleClose(): void {
		if (this.#isCloseScheduled) {
			return;
		}

		// Where time-outs differ, a single timer serves all connections.
		this.#isCloseScheduled = this.placement.isExact;
		this.clock.schedule(surplusIdleTimeout, () => {
			this.#isCloseScheduled = false;
			this.closeForbidden();
			const surplus = this.idle.length + this.inUse.count - 1;
			this.idle.closeOlderThan(({memberConnection, customer}) => this.placement.idleTimeout(memberConnection, customer), this.clock.now(), surplus);
			this.#closeBeyondKept();
			if (this.placement.isExact && this.idle.length > 0) {
				this.scheduleClose();
			}
		});
	}

	/** Closes the idle connections that the placement does not allow any more. */
	closeForbidden(): void {
		this.idle.closeWhere(({memberConnection}) => !this.placement.isAllowed(memberConnection));
	}

	/** Closes idle connections beyond those that are kept, the least recently used first, once they have been idle for a moment. */
	#closeBeyondKept(): void {
		for (const path of ['own', 'gateway', undefined] as const) {
			const excess = this.idle.countOn(path) + this.inUse.countOn(path) - this.placement.keptConnections(path);
			this.idle.closeOlderThan(connection => connection.path === path ? surplusIdleTimeout : Number.POSITIVE_INFINITY, this.clock.now(), excess);
		}
	}
}
