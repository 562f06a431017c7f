import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type EncodedReachability, type ControlReachability, type BackendReachability} from './messages.js';

/** A report older than this says nothing of the present; twice the longest pace of reports. */
const reportLifetime: Milliseconds = 1500;

/** A member counts as reached while its last answer is no older; a primary that is asked every 400 ms answers in time, and a lost one no longer counts when the first attempts fail for long. */
const reachedWithin: Milliseconds = 700;

type Report = {
	readonly origin: 'entry' | 'control';
	readonly reached: ReadonlySet<string>;
	readonly failing: ReadonlyMap<string, Milliseconds>;
	readonly receivedAt: Milliseconds;
};

/** Returns contacts in the form in which they are sent. */
export function encodeReachability(contacts: readonly BackendReachability[]): EncodedReachability {
	return {
		reached: contacts.filter(({answeredAgo, failingFor}) => failingFor === 0 && answeredAgo !== null && answeredAgo < reachedWithin).map(({id}) => id),
		failing: contacts.filter(({failingFor}) => failingFor > 0).map(({id, failingFor}) => [id, failingFor] as const),
	};
}

/** How a member fares with the instances that report. */
export type ReachabilityCount = {
	readonly reached: number;
	/** Instances whose attempts have failed for at least the asked time. */
	readonly failed: number;
};

type Summary = {
	readonly entries: ReadonlyMap<string, ReachabilityCount>;
	readonly receivedAt: Milliseconds;
};

/** What entry and control instances reported last about the backend servers. */
export class ReachabilityReports {
	readonly #reports = new Map<string, Report>();
	/** What other control instances tell of the entries that watch them. */
	readonly #summaries = new Map<string, Summary>();

	constructor(private readonly clock: Clock) {}

	/** Replaces the report of an instance. */
	receive(name: string, origin: 'entry' | 'control', {reached, failing}: EncodedReachability): void {
		this.#reports.set(name, {
			origin, reached: new Set(reached), failing: new Map(failing), receivedAt: this.clock.now(),
		});
	}

	/** Takes over what another control instance and its entries see. */
	receiveFromControl(name: string, {own, entries}: ControlReachability): void {
		this.receive(name, 'control', own);
		this.#summaries.set(name, {entries: new Map(entries.map(([id, reached, failed]) => [id, {reached, failed}])), receivedAt: this.clock.now()});
	}

	/** Returns what the entries that watch this instance see, with the failures that have lasted for a time in milliseconds. */
	summary(failingFor: Milliseconds): ControlReachability['entries'] {
		const entries = [...this.#reports.values()].filter(({origin}) => origin === 'entry');
		const members = new Set(entries.flatMap(({reached, failing}) => [...reached, ...failing.keys()]));
		return [...members].map(id => {
			const {reached, failed} = this.#count(id, failingFor, entries);
			return [id, reached, failed] as const;
		});
	}

	/** Counts the instances that reach a member, and those whose attempts have failed for a time in milliseconds. */
	count(member: string, failingFor: Milliseconds): ReachabilityCount {
		const oldest = this.clock.now() - reportLifetime;
		const counts = [...this.#summaries.values()].filter(({receivedAt}) => receivedAt >= oldest).map(({entries}) => entries.get(member));
		let {reached, failed} = this.#count(member, failingFor, [...this.#reports.values()]);
		for (const count of counts) {
			reached += count?.reached ?? 0;
			failed += count?.failed ?? 0;
		}

		return {reached, failed};
	}

	/** Returns the instances that reach a member by their own reports, and the control instances whose entries do, for the logs. */
	instancesReaching(member: string): readonly string[] {
		const oldest = this.clock.now() - reportLifetime;
		const reports = [...this.#reports].filter(([, {reached, receivedAt}]) => receivedAt >= oldest && reached.has(member));
		const summaries = [...this.#summaries].filter(([, {entries, receivedAt}]) => receivedAt >= oldest && (entries.get(member)?.reached ?? 0) > 0);
		return [...reports.map(([name]) => name), ...summaries.map(([name, {entries}]) => `${entries.get(member)!.reached} entries of ${name}`)];
	}

	#count(member: string, failingFor: Milliseconds, reports: readonly Report[]): ReachabilityCount {
		const now = this.clock.now();
		let reachedCount = 0;
		let failed = 0;
		for (const {reached, failing, receivedAt} of reports) {
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
