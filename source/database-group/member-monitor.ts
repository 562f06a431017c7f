import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Timeouts} from '../configuration/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberClient} from './member-client.js';
import {type MemberObservation, type MemberStatus} from './types.js';

/**
A further fresh connection is tried this long before the heartbeat times out.

One fresh connection alone may meet the same short pause or loss as the heartbeat did; two that begin at different times rarely do, and the time until suspicion stays the same.
*/
const probeLead: Milliseconds = 200;

/** What the monitor of one member reports. */
export type MemberMonitorEvents = {
	/** An answer; the lease time is set when the answer granted the lease. */
	readonly onAnswer: (observation: MemberObservation, leaseUntil: Milliseconds | undefined) => void;
	/** The member refused to renew this pool's lease. */
	readonly onLeaseRefused: () => void;
	/** Returns whether the member has answered a question asked at the time or later, on any connection. */
	readonly answeredSince: (time: Milliseconds) => boolean;
	/** A call failed but a fresh connection answered. */
	readonly onConnectionReplaced: (reason: string) => void;
	/** A call and the fresh connections failed, and no other connection had an answer in the meantime. */
	readonly onSuspected: (reason: string) => void;
	/** Returns whether this pool should hold or take the member's lease now. */
	readonly wantsLease: () => boolean;
	/** Returns the time from one poll to the next. */
	readonly pollPeriod: () => Milliseconds;
	/** Returns the pause before an extra poll, or undefined when the next heartbeat is soon enough. */
	readonly extraPollDelay: () => Milliseconds | undefined;
};

/** What the monitor of one member needs. */
export type MemberMonitorOptions = {
	readonly clock: Clock;
	/** Makes a client with a connection of its own. */
	readonly createClient: () => MemberClient;
	/** Name under which this pool holds the lease. */
	readonly holder: string;
	readonly timeouts: () => Timeouts;
};

/** Polls one member, one poll at a time, and renews its lease with each poll. */
export class MemberMonitor {
	readonly client: MemberClient;
	#polling = false;
	#pollAgain = false;
	#stopped = false;
	#lastPollAt = 0;
	#cancelNext: Cancel | undefined;

	constructor(private readonly options: MemberMonitorOptions, private readonly events: MemberMonitorEvents) {
		this.client = options.createClient();
	}

	/** Starts polling. */
	start(): void {
		this.pollNow();
	}

	/** Stops polling and closes the monitor connection. */
	stop(): void {
		this.#stopped = true;
		this.#cancelNext?.();
		this.client.close();
	}

	/** Polls now, or right after the poll in progress. */
	pollNow(): void {
		if (this.#stopped) {
			return;
		}

		if (this.#polling) {
			this.#pollAgain = true;
			return;
		}

		void this.#poll();
	}

	async #poll(): Promise<void> {
		this.#polling = true;
		this.#pollAgain = false;
		this.#cancelNext?.();
		this.#lastPollAt = this.options.clock.now();
		try {
			await this.#askWithFreshConnection();
		} finally {
			this.#polling = false;
			this.#scheduleNext();
		}
	}

	#scheduleNext(): void {
		if (this.#stopped) {
			return;
		}

		const untilPoll = Math.max(0, this.#lastPollAt + this.events.pollPeriod() - this.options.clock.now());
		const extra = this.#pollAgain ? 0 : this.events.extraPollDelay();
		this.#cancelNext = this.options.clock.schedule(Math.min(untilPoll, extra ?? untilPoll), () => {
			this.pollNow();
		});
	}

	async #askWithFreshConnection(): Promise<void> {
		const {clock, timeouts} = this.options;
		const startedAt = clock.now();
		const cancelProbe = clock.schedule(Math.max(0, timeouts().silence - probeLead), () => {
			void this.#probe();
		});
		const failure = await this.#ask(this.client, timeouts().silence);
		cancelProbe();
		if (failure === undefined || this.#stopped) {
			return;
		}

		this.client.reset();
		const freshFailure = await this.#ask(this.client, timeouts().freshConnection);
		if (this.#stopped) {
			return;
		}

		if (freshFailure !== undefined) {
			this.client.reset();
		}

		if (freshFailure === undefined || this.events.answeredSince(startedAt)) {
			this.events.onConnectionReplaced(failure);
		} else {
			this.events.onSuspected(freshFailure);
		}
	}

	/** Asks over a further fresh connection while the answer on the present one is late. */
	async #probe(): Promise<void> {
		const client = this.options.createClient();
		await this.#ask(client, this.options.timeouts().freshConnection);
		client.close();
	}

	/** Asks once; returns the reason when the member did not answer. */
	async #ask(client: MemberClient, timeout: Milliseconds): Promise<string | undefined> {
		const askedAt = this.options.clock.now();
		const wantsLease = this.events.wantsLease();
		let status: MemberStatus;
		try {
			status = wantsLease ? await this.#askForLease(client, timeout) : await client.status(timeout);
		} catch (error) {
			return error instanceof Error ? error.message : String(error);
		}

		if (!this.#stopped) {
			this.#report(askedAt, status, wantsLease);
		}

		return undefined;
	}

	async #askForLease(client: MemberClient, timeout: Milliseconds): Promise<MemberStatus> {
		try {
			return await client.acquireLease(this.options.holder, this.options.timeouts().lease, timeout);
		} catch (error) {
			if (error instanceof BuckthornhitchError && error.codeName === 'memberRefused') {
				this.events.onLeaseRefused();
				return client.status(timeout);
			}

			throw error;
		}
	}

	#report(askedAt: Milliseconds, status: MemberStatus, wantsLease: boolean): void {
		const granted = wantsLease && status.leaseHolder === this.options.holder;
		this.events.onAnswer({askedAt, status}, granted ? askedAt + this.options.timeouts().lease : undefined);
	}
}
