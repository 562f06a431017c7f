import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Timeouts} from '../configuration/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberClient} from './member-client.js';
import {type MemberObservation, type MemberStatus} from './types.js';

/**
A probe over an additional new connection starts this long before the poll on the current connection times out.

A single new connection may be hit by the same short pause or packet loss as the poll; two attempts that start at different times rarely are. The probe does not lengthen the time until suspicion.
*/
const probeLeadTime: Milliseconds = 200;

/** Callbacks of a {@link MemberMonitor}. */
export type MemberMonitorCallbacks = {
	/** Called with each status received; `leaseUntil` is set when the response granted the lease. */
	readonly onStatus: (observation: MemberObservation, leaseUntil: Milliseconds | undefined) => void;
	/** Called when the member refused to renew this pool's lease. */
	readonly onLeaseRefused: () => void;
	/** Returns whether the member has responded, on any connection, to a request sent at the given time or later. */
	readonly hasRespondedSince: (time: Milliseconds) => boolean;
	/** Called when the connection was discarded because a call on it failed, although the member responded on another connection. */
	readonly onConnectionDiscarded: (reason: string) => void;
	/** Called when a call and its retry on a new connection failed and the member responded on no other connection in the meantime. */
	readonly onSuspected: (reason: string) => void;
	/** Returns whether this pool should hold or acquire the member's lease now. */
	readonly wantsLease: () => boolean;
	/** Returns the time from one poll to the next. */
	readonly pollPeriod: () => Milliseconds;
	/** Returns the delay before an extra poll, or undefined when no extra poll is needed before the next regular one. */
	readonly extraPollDelay: () => Milliseconds | undefined;
};

/** Dependencies of a {@link MemberMonitor}. */
export type MemberMonitorOptions = {
	readonly clock: Clock;
	/** Creates a client with its own connection. */
	readonly createClient: () => MemberClient;
	/** Name under which this pool holds the lease. */
	readonly holder: string;
	readonly timeouts: () => Timeouts;
};

/** Polls the status of one member, one poll at a time, and renews the lease with each poll. */
export class MemberMonitor {
	readonly client: MemberClient;
	#polling = false;
	#pollRequested = false;
	#stopped = false;
	#lastPollAt = 0;
	#pendingLeaseRequests = 0;
	#cancelNext: Cancel | undefined;

	constructor(private readonly options: MemberMonitorOptions, private readonly callbacks: MemberMonitorCallbacks) {
		this.client = options.createClient();
	}

	/** Whether a request for the lease waits for its response. */
	get isRequestingLease(): boolean {
		return this.#pendingLeaseRequests > 0;
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

	/** Polls now, or immediately after the poll in progress. */
	pollNow(): void {
		if (this.#stopped) {
			return;
		}

		if (this.#polling) {
			this.#pollRequested = true;
			return;
		}

		void this.#poll();
	}

	async #poll(): Promise<void> {
		this.#polling = true;
		this.#pollRequested = false;
		this.#cancelNext?.();
		this.#lastPollAt = this.options.clock.now();
		try {
			await this.#requestWithRetry();
		} finally {
			this.#polling = false;
			this.#scheduleNext();
		}
	}

	#scheduleNext(): void {
		if (this.#stopped) {
			return;
		}

		const regularDelay = Math.max(0, this.#lastPollAt + this.callbacks.pollPeriod() - this.options.clock.now());
		const extraDelay = this.#pollRequested ? 0 : this.callbacks.extraPollDelay();
		this.#cancelNext = this.options.clock.schedule(Math.min(regularDelay, extraDelay ?? regularDelay), () => {
			this.pollNow();
		});
	}

	async #requestWithRetry(): Promise<void> {
		const {clock, timeouts} = this.options;
		const startedAt = clock.now();
		const cancelProbe = clock.schedule(Math.max(0, timeouts().silence - probeLeadTime), () => {
			void this.#probeOnNewConnection();
		});
		const failure = await this.#requestStatus(this.client, timeouts().silence);
		cancelProbe();
		if (failure === undefined || this.#stopped) {
			return;
		}

		this.client.reset();
		const retryFailure = await this.#requestStatus(this.client, timeouts().freshConnection);
		if (this.#stopped) {
			return;
		}

		if (retryFailure !== undefined) {
			this.client.reset();
		}

		if (retryFailure === undefined || this.callbacks.hasRespondedSince(startedAt)) {
			this.callbacks.onConnectionDiscarded(failure);
		} else {
			this.callbacks.onSuspected(retryFailure);
		}
	}

	/** Requests the status over an additional new connection while the response on the current one is late. */
	async #probeOnNewConnection(): Promise<void> {
		const client = this.options.createClient();
		await this.#requestStatus(client, this.options.timeouts().freshConnection);
		client.close();
	}

	/** Requests the status once; returns the reason of a failure, or undefined on success. */
	async #requestStatus(client: MemberClient, timeout: Milliseconds): Promise<string | undefined> {
		const askedAt = this.options.clock.now();
		const wantsLease = this.callbacks.wantsLease();
		let status: MemberStatus;
		try {
			status = wantsLease ? await this.#requestLease(client, timeout) : await client.status(timeout);
		} catch (error) {
			return error instanceof Error ? error.message : String(error);
		}

		if (!this.#stopped) {
			this.#reportStatus(askedAt, status, wantsLease);
		}

		return undefined;
	}

	async #requestLease(client: MemberClient, timeout: Milliseconds): Promise<MemberStatus> {
		this.#pendingLeaseRequests++;
		try {
			return await client.acquireLease(this.options.holder, this.options.timeouts().lease, timeout);
		} catch (error) {
			if (error instanceof BuckthornhitchError && error.codeName === 'memberRefused') {
				this.callbacks.onLeaseRefused();
				return await client.status(timeout);
			}

			throw error;
		} finally {
			this.#pendingLeaseRequests--;
		}
	}

	#reportStatus(askedAt: Milliseconds, status: MemberStatus, wantsLease: boolean): void {
		const granted = wantsLease && status.leaseHolder === this.options.holder;
		this.callbacks.onStatus({askedAt, status}, granted ? askedAt + this.options.timeouts().lease : undefined);
	}
}
