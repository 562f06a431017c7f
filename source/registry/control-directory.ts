import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type ControlRecord} from './messages.js';

/** Time after its last introduction for which the record of a control instance is sent to others. */
const recordRetention: Milliseconds = 60_000;

/** Time after its last introduction for which an instance counts as live; three introduction periods. */
export const livenessTimeout: Milliseconds = 3000;

type KnownInstance = {
	readonly record: ControlRecord;
	lastSeenAt: Milliseconds;
};

/** The control instances that a process knows of. */
export class ControlDirectory {
	readonly #known = new Map<string, KnownInstance>();

	constructor(private readonly clock: Clock) {}

	/** Returns the known instances whose records have not expired, whether or not they are live. */
	get records(): readonly ControlRecord[] {
		const oldest = this.clock.now() - recordRetention;
		return [...this.#known.values()].filter(({lastSeenAt}) => lastSeenAt >= oldest).map(({record}) => record);
	}

	/** Returns the instances that introduced themselves within the liveness timeout. */
	get live(): readonly ControlRecord[] {
		const oldest = this.clock.now() - livenessTimeout;
		return [...this.#known.values()].filter(({lastSeenAt}) => lastSeenAt >= oldest).map(({record}) => record);
	}

	/** Returns a digest of the known instances; it does not depend on when they were last seen. */
	get digest(): string {
		return createHash('sha256').update(this.records.map(record => JSON.stringify(record)).toSorted((first, second) => first.localeCompare(second)).join('\n')).digest('base64').slice(0, 12);
	}

	/** Returns the link address of an instance, or undefined when it is not known. */
	addressOf(name: string): Address | undefined {
		return this.#known.get(name)?.record.address;
	}

	/** Stores the record with which an instance introduced itself. */
	recordIntroduction(record: ControlRecord): void {
		this.#known.set(record.name, {record, lastSeenAt: this.clock.now()});
	}

	/** Adds instances that others know, without counting them as live. */
	addKnown(records: readonly ControlRecord[]): void {
		for (const record of records) {
			if (!this.#known.has(record.name)) {
				this.#known.set(record.name, {record, lastSeenAt: this.clock.now() - livenessTimeout - 1});
			}
		}
	}
}
