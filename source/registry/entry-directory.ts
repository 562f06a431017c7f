import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type EntryRecord} from './messages.js';

/** Time after its last `watch` request for which an entry is listed; longer than it takes to switch to another control instance. */
const entryLifetime: Milliseconds = 5000;

/** Time for which a list of entries received from another control instance is used after that instance last confirmed it; five introduction periods. */
const listLifetime: Milliseconds = 5000;

type WatchingEntry = {
	readonly record: EntryRecord;
	readonly lastWatchAt: Milliseconds;
};

type RemoteList = {
	entries: readonly EntryRecord[];
	digest: string;
	confirmedAt: Milliseconds;
};

/** Directory of the entries that watch this control instance, and of those that watch the others. */
export class EntryDirectory {
	readonly #watching = new Map<string, WatchingEntry>();
	readonly #remoteLists = new Map<string, RemoteList>();

	constructor(private readonly clock: Clock) {}

	/** Entries that watch this instance. */
	get watching(): readonly EntryRecord[] {
		const oldest = this.clock.now() - entryLifetime;
		return [...this.#watching.values()].filter(({lastWatchAt}) => lastWatchAt >= oldest).map(({record}) => record);
	}

	/** Entries that watch any control instance. */
	get all(): readonly EntryRecord[] {
		const oldest = this.clock.now() - listLifetime;
		const lists = [...this.#remoteLists.values()].filter(({confirmedAt}) => confirmedAt >= oldest).map(({entries}) => entries);
		return [...new Map([...lists.flat(), ...this.watching].map(entry => [entry.name, entry])).values()];
	}

	/** Records that an entry watches this instance. */
	recordWatch(record: EntryRecord): void {
		this.#watching.set(record.name, {record, lastWatchAt: this.clock.now()});
		const oldest = this.clock.now() - entryLifetime;
		for (const [name, {lastWatchAt}] of this.#watching) {
			if (lastWatchAt < oldest) {
				this.#watching.delete(name);
			}
		}
	}

	/** Returns the digest of the last list received from another control instance, or an empty string. */
	digestOf(address: string): string {
		return this.#remoteLists.get(address)?.digest ?? '';
	}

	/** Replaces the list received from another control instance; undefined confirms the last one. */
	updateList(address: string, entries: readonly EntryRecord[] | undefined): void {
		const known = this.#remoteLists.get(address);
		if (entries) {
			this.#remoteLists.set(address, {entries, digest: entriesDigest(entries), confirmedAt: this.clock.now()});
		} else if (known) {
			known.confirmedAt = this.clock.now();
		}
	}
}

/** Returns a digest of entries that does not depend on their order. */
export function entriesDigest(entries: readonly EntryRecord[]): string {
	const lines = entries.map(({name, address, dataCentre}) => `${name} ${address} ${dataCentre}`).toSorted((first, second) => first.localeCompare(second));
	return createHash('sha256').update(lines.join('\n')).digest('base64').slice(0, 12);
}
