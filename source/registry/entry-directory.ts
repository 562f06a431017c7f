import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type EntryRecord} from './messages.js';

/** An entry that did not watch for this long is no longer named to others; above the time in which it finds another control instance. */
const entryLifetime: Milliseconds = 5000;

/** What another control instance told lasts this long without a confirmation; five introductions. */
const listLifetime: Milliseconds = 5000;

type HeardEntry = {
	readonly record: EntryRecord;
	readonly heardAt: Milliseconds;
};

type ForeignList = {
	entries: readonly EntryRecord[];
	digest: string;
	confirmedAt: Milliseconds;
};

/** Entries that watch this control instance, and those that watch the others. */
export class EntryDirectory {
	readonly #own = new Map<string, HeardEntry>();
	readonly #lists = new Map<string, ForeignList>();

	constructor(private readonly clock: Clock) {}

	/** Entries that watch this instance. */
	get own(): readonly EntryRecord[] {
		const oldest = this.clock.now() - entryLifetime;
		return [...this.#own.values()].filter(({heardAt}) => heardAt >= oldest).map(({record}) => record);
	}

	/** Entries that watch any control instance. */
	get all(): readonly EntryRecord[] {
		const oldest = this.clock.now() - listLifetime;
		const lists = [...this.#lists.values()].filter(({confirmedAt}) => confirmedAt >= oldest).map(({entries}) => entries);
		return [...new Map([...lists.flat(), ...this.own].map(entry => [entry.name, entry])).values()];
	}

	/** Takes note of an entry that watches this instance. */
	heard(record: EntryRecord): void {
		this.#own.set(record.name, {record, heardAt: this.clock.now()});
		const oldest = this.clock.now() - entryLifetime;
		for (const [name, {heardAt}] of this.#own) {
			if (heardAt < oldest) {
				this.#own.delete(name);
			}
		}
	}

	/** Returns the digest of the list that another control instance told last. */
	digestOf(control: string): string {
		return this.#lists.get(control)?.digest ?? '';
	}

	/** Takes over the list of another control instance; none confirms the last one. */
	receive(control: string, entries: readonly EntryRecord[] | undefined): void {
		const known = this.#lists.get(control);
		if (entries) {
			this.#lists.set(control, {entries, digest: entriesDigest(entries), confirmedAt: this.clock.now()});
		} else if (known) {
			known.confirmedAt = this.clock.now();
		}
	}
}

/** Returns a digest of entries in any order. */
export function entriesDigest(entries: readonly EntryRecord[]): string {
	const lines = entries.map(({name, address, dataCentre}) => `${name} ${address} ${dataCentre}`).toSorted((first, second) => first.localeCompare(second));
	return createHash('sha256').update(lines.join('\n')).digest('base64').slice(0, 12);
}
