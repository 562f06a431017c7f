import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type ControlRecord} from './messages.js';

/** A control instance that did not introduce itself for this long is no longer named to others. */
const forgetAfter: Milliseconds = 60_000;

/** An instance counts as live while its last introduction is no older; three introduction periods. */
export const liveWithin: Milliseconds = 3000;

type Known = {
	readonly record: ControlRecord;
	heardAt: Milliseconds;
};

/** Control instances known to a process. */
export class ControlDirectory {
	readonly #known = new Map<string, Known>();

	constructor(private readonly clock: Clock) {}

	/** Returns every known instance. */
	get records(): readonly ControlRecord[] {
		const oldest = this.clock.now() - forgetAfter;
		return [...this.#known.values()].filter(({heardAt}) => heardAt >= oldest).map(({record}) => record);
	}

	/** Returns the instances that introduced themselves lately. */
	get live(): readonly ControlRecord[] {
		const oldest = this.clock.now() - liveWithin;
		return [...this.#known.values()].filter(({heardAt}) => heardAt >= oldest).map(({record}) => record);
	}

	/** Returns a digest of the known instances, without what changes by itself. */
	get digest(): string {
		return createHash('sha256').update(this.records.map(record => JSON.stringify(record)).toSorted((first, second) => first.localeCompare(second)).join('\n')).digest('base64').slice(0, 12);
	}

	/** Returns the present link address of a named instance. */
	addressOf(name: string): Address | undefined {
		return this.#known.get(name)?.record.address;
	}

	/** Takes over what an instance says of itself. */
	heard(record: ControlRecord): void {
		this.#known.set(record.name, {record, heardAt: this.clock.now()});
	}

	/** Takes over instances that others know, without taking them for live. */
	learn(records: readonly ControlRecord[]): void {
		for (const record of records) {
			if (!this.#known.has(record.name)) {
				this.#known.set(record.name, {record, heardAt: this.clock.now() - liveWithin - 1});
			}
		}
	}
}
