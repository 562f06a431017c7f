import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type EntryRecord} from './messages.js';

/** Time after its last `watch` request for which an entry is listed; longer than it takes to switch to another control instance. */
const entryLifetime: Milliseconds = 5000;

/** Time for which a list of entries received from another control instance is used after that instance last confirmed it; five introduction periods. */
const listLifetime: Milliseconds = 5000;

/** Length up to which the list of the entries of all data centres is sent whole: about 60 KB. Longer lists contain only the entries near members. */
const wholeListLength = 1000;

/** Time for which a list of the entries of all data centres is sent unchanged. Every entry requests it four times a second, and its digest takes about as long to compute as the rest of the response. */
const placementListLifetime: Milliseconds = 100;

/** Digests of lists that were computed before. Lists are never changed. */
const digests = new WeakMap<readonly EntryRecord[], string>();

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

	readonly #placementLists = new Map<string, readonly EntryRecord[]>();
	#placementListsBuiltAt: Milliseconds = Number.NEGATIVE_INFINITY;

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

	/** Returns the entries that an entry in the data centre needs while gateways are placed near the members. A long list contains only the entries of its own data centre and of those with members. */
	listForPlacement(dataCentre: string, memberDataCentres: () => ReadonlySet<string>): readonly EntryRecord[] {
		const now = this.clock.now();
		if (now - this.#placementListsBuiltAt >= placementListLifetime) {
			this.#placementListsBuiltAt = now;
			this.#placementLists.clear();
		}

		const known = this.#placementLists.get(dataCentre);
		if (known) {
			return known;
		}

		const {all} = this;
		const withMembers = all.length > wholeListLength ? memberDataCentres() : undefined;
		const list = withMembers ? all.filter(entry => entry.dataCentre === dataCentre || withMembers.has(entry.dataCentre)) : all;
		this.#placementLists.set(dataCentre, list);
		return list;
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
	let digest = digests.get(entries);
	if (digest === undefined) {
		digest = computeDigest(entries);
		digests.set(entries, digest);
	}

	return digest;
}

function computeDigest(entries: readonly EntryRecord[]): string {
	const lines = entries.map(entry => digestLine(entry)).toSorted((first, second) => first.localeCompare(second));
	return createHash('sha256').update(lines.join('\n')).digest('base64').slice(0, 12);
}

function digestLine({name, address, dataCentre, region}: EntryRecord): string {
	return `${name} ${address} ${dataCentre}${region === undefined ? '' : ` ${region}`}`;
}
