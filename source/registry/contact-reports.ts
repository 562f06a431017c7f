import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type MemberContact} from './messages.js';

/** A report older than this says nothing of the present; four watch periods. */
const reportLifetime: Milliseconds = 1000;

/** An entry instance that did not watch for this long no longer shares the connections. */
const entryLifetime: Milliseconds = 10_000;

type Report = {
	readonly origin: 'entry' | 'control';
	readonly contacts: ReadonlyMap<string, MemberContact>;
	readonly receivedAt: Milliseconds;
};

/** How a member fares with the instances that report. */
export type ContactCount = {
	readonly reached: number;
	/** Instances whose attempts have failed for at least the asked time. */
	readonly failed: number;
};

/** What entry and control instances reported last about the backend servers. */
export class ContactReports {
	readonly #reports = new Map<string, Report>();

	constructor(private readonly clock: Clock) {}

	/** Entry instances that reported lately. */
	get entryCount(): number {
		const oldest = this.clock.now() - entryLifetime;
		return [...this.#reports.values()].filter(report => report.origin === 'entry' && report.receivedAt >= oldest).length;
	}

	/** Replaces the report of an instance. */
	receive(name: string, origin: 'entry' | 'control', contacts: readonly MemberContact[]): void {
		this.#reports.set(name, {origin, contacts: new Map(contacts.map(contact => [contact.id, contact])), receivedAt: this.clock.now()});
	}

	/** Counts the instances that reach a member, and those whose attempts have failed for a time in milliseconds. */
	count(member: string, failingFor: Milliseconds): ContactCount {
		const now = this.clock.now();
		let reached = 0;
		let failed = 0;
		for (const {contacts, receivedAt} of this.#reports.values()) {
			const contact = now - receivedAt <= reportLifetime ? contacts.get(member) : undefined;
			if (!contact) {
				continue;
			}

			if (contact.failingFor > 0 && contact.failingFor + now - receivedAt >= failingFor) {
				failed++;
			} else if (contact.failingFor === 0 && contact.answeredAgo !== null && contact.answeredAgo < reportLifetime) {
				reached++;
			}
		}

		return {reached, failed};
	}
}
