import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type CompactContacts, type MemberContact} from './messages.js';

/** A report older than this says nothing of the present; twice the longest pace of reports. */
const reportLifetime: Milliseconds = 1500;

/** An entry instance that did not watch for this long no longer shares the connections. */
const entryLifetime: Milliseconds = 10_000;

type Report = {
	readonly origin: 'entry' | 'control';
	readonly reached: ReadonlySet<string>;
	readonly failing: ReadonlyMap<string, Milliseconds>;
	readonly receivedAt: Milliseconds;
};

/** Returns contacts in the form in which they are sent. */
export function compactContacts(contacts: readonly MemberContact[]): CompactContacts {
	return {
		reached: contacts.filter(({answeredAgo, failingFor}) => failingFor === 0 && answeredAgo !== null && answeredAgo < reportLifetime).map(({id}) => id),
		failing: contacts.filter(({failingFor}) => failingFor > 0).map(({id, failingFor}) => [id, failingFor] as const),
	};
}

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
	receive(name: string, origin: 'entry' | 'control', {reached, failing}: CompactContacts): void {
		this.#reports.set(name, {
			origin, reached: new Set(reached), failing: new Map(failing), receivedAt: this.clock.now(),
		});
	}

	/** Counts the instances that reach a member, and those whose attempts have failed for a time in milliseconds. */
	count(member: string, failingFor: Milliseconds): ContactCount {
		const now = this.clock.now();
		let reachedCount = 0;
		let failed = 0;
		for (const {reached, failing, receivedAt} of this.#reports.values()) {
			const age = now - receivedAt;
			if (age > reportLifetime) {
				continue;
			}

			if ((failing.get(member) ?? Number.NEGATIVE_INFINITY) + age >= failingFor) {
				failed++;
			} else if (reached.has(member)) {
				reachedCount++;
			}
		}

		return {reached: reachedCount, failed};
	}
}
