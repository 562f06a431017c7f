import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Delay before another connection is opened after one failed or was refused. */
const reconnectDelay: Milliseconds = 150;

/** Initial limit on connections; it rises as the member accepts more. */
const initialConnectionLimit = 2;

/** Interval at which the connection limit rises by one while requests wait. */
const limitIncreaseInterval: Milliseconds = 150;

/** Time for which the connection limit does not rise after the member refused a connection because of its own limit. */
const limitHoldTime: Milliseconds = 2000;

/** Adaptive limit on the connections of one path to a member, and the delay after a failed attempt to open one. */
export class ConnectionLimit {
	#limit = initialConnectionLimit;
	#raisedAt: Milliseconds = 0;
	#refusedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#reconnectAt: Milliseconds = 0;
	/** Whether a connection was closed so that another one can be opened in its place. */
	#isPlaceVacated = false;

	/** `isExact` returns whether the shares of all instances fit into the member's limit. Elsewhere the limit is found by trial, since other instances may hold the remaining connections. */
	constructor(private readonly clock: Clock, private readonly maximum: () => number, private readonly isExact: () => boolean) {}

	/** Time until another connection may be opened. */
	get delay(): Milliseconds {
		return Math.max(0, this.#reconnectAt - this.clock.now());
	}

	/** Raises the limit, unless the member has refused a connection recently: to the maximum where that is exact, otherwise by one if the limit is reached and the increase interval has passed. Returns the limit. */
	update(connectionCount: number): number {
		const now = this.clock.now();
		if (now - this.#refusedAt < limitHoldTime) {
			this.#limit = Math.min(this.#limit, this.maximum());
			return this.#limit;
		}

		if (this.isExact()) {
			this.#limit = this.maximum();
		} else if (connectionCount >= this.#limit && now - this.#raisedAt >= limitIncreaseInterval) {
			this.#limit++;
			this.#raisedAt = now;
		}

		this.#limit = Math.min(this.#limit, this.maximum());
		return this.#limit;
	}

	/** Records that a connection could not be opened. */
	recordFailure(): void {
		this.#reconnectAt = this.clock.now() + reconnectDelay;
	}

	/** Opens no connection for a while, in which others can. */
	pauseFor(duration: Milliseconds): void {
		this.#reconnectAt = this.clock.now() + duration;
	}

	/** Records that a connection is closed to open another one in its place. */
	vacatePlace(): void {
		this.#isPlaceVacated = true;
	}

	/** Records that a connection was opened. */
	recordOpened(): void {
		this.#isPlaceVacated = false;
	}

	/** Records that the member refused a connection because of its own limit, while this instance has the given number. A vacated place stays free for the next attempt, so that repeated refusals do not cost a connection each. */
	recordRefusal(connectionCount: number): void {
		this.#refusedAt = this.clock.now();
		this.#limit = Math.max(1, connectionCount + Number(this.#isPlaceVacated));
	}
}
