import {type Cancel, type Clock, type Milliseconds} from '../source/clock/clock.js';
import {type Address} from '../source/links/address.js';

/** Contents of a member's announcements and the entry processes that receive them. */
export type AnnouncerOptions = {
	/** HTTP addresses of the entry processes; every announcement is sent to all of them. */
	readonly entries: readonly Address[];
	readonly database: string;
	readonly dataCentre: string;
	/** Address to announce instead of the listening address. */
	readonly address?: Address;
};

const announcementPeriod: Milliseconds = 1000;

/** Announces a member to entry processes periodically. */
export class Announcer {
	#isLeaving = false;
	#cancelRepeat: Cancel | undefined;

	constructor(private readonly options: AnnouncerOptions, private readonly memberName: string, private readonly clock: Clock) {}

	/** Starts announcing the address. */
	start(address: Address): void {
		this.#isLeaving = false;
		this.#cancelRepeat = this.clock.repeat(announcementPeriod, () => {
			void this.#announce(address);
		});
		void this.#announce(address);
	}

	/** Announces that the member is leaving and must get no new work. Resolves when each entry process has answered or the request has failed. */
	async leave(address: Address): Promise<void> {
		this.#isLeaving = true;
		await this.#announce(address);
	}

	stop(): void {
		this.#cancelRepeat?.();
	}

	async #announce(listenAddress: Address): Promise<void> {
		const {entries, database, dataCentre, address = listenAddress} = this.options;
		const path = `/backend-servers/${encodeURIComponent(database)}/${encodeURIComponent(this.memberName)}`;
		const body = JSON.stringify({address, dataCentre, leaving: this.#isLeaving});
		// Failures are ignored, since the next announcement is sent within a second.
		await Promise.allSettled(entries.map(async entry => fetch(`http://${entry}${path}`, {
			method: 'PUT', headers: {'content-type': 'application/json'}, body, signal: AbortSignal.timeout(announcementPeriod),
		})));
	}
}
