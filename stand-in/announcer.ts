import {type Cancel, type Clock, type Milliseconds} from '../source/clock/clock.js';
import {type Address} from '../source/links/address.js';

/** What a member announces, and to which entries. */
export type AnnouncerOptions = {
	/** HTTP addresses of entries; all of them are told. */
	readonly entries: readonly Address[];
	readonly database: string;
	readonly dataCentre: string;
	/** Address to announce when it is not the one that the member listens on. */
	readonly address?: Address;
};

const period: Milliseconds = 1000;

/** Announces a member to entries every second. */
export class Announcer {
	#leaving = false;
	#cancel: Cancel | undefined;

	constructor(private readonly options: AnnouncerOptions, private readonly member: string, private readonly clock: Clock) {}

	/** Starts to announce the address. */
	start(address: Address): void {
		this.#leaving = false;
		this.#cancel = this.clock.repeat(period, () => {
			void this.#announce(address);
		});
		void this.#announce(address);
	}

	/** Announces that the member asks for no new work; resolves when every entry was told or could not be reached. */
	async leave(address: Address): Promise<void> {
		this.#leaving = true;
		await this.#announce(address);
	}

	stop(): void {
		this.#cancel?.();
	}

	async #announce(listenAddress: Address): Promise<void> {
		const {entries, database, dataCentre, address = listenAddress} = this.options;
		const path = `/backend-servers/${encodeURIComponent(database)}/${encodeURIComponent(this.member)}`;
		const body = JSON.stringify({address, dataCentre, leaving: this.#leaving});
		// An entry that cannot be reached is told again with the next announcement.
		await Promise.allSettled(entries.map(async entry => fetch(`http://${entry}${path}`, {
			method: 'PUT', headers: {'content-type': 'application/json'}, body, signal: AbortSignal.timeout(period),
		})));
	}
}
