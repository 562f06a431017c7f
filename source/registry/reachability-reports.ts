import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type EncodedReachability, type ControlReachability, type BackendReachability} from './messages.js';

/** Age after which a report no longer counts; twice the longest report period. */
const reportLifetime: Milliseconds = 1500;

/** Time after its last answer for which a backend server counts as reached. Primaries are probed every 400 ms, so the last answer of a running primary is more recent. Once the attempts to reach a lost primary have failed for the failure detection threshold, its last answer is older. */
const answerFreshness: Milliseconds = 700;

type Report = {
	readonly origin: 'entry' | 'control';
	readonly reached: ReadonlySet<string>;
	readonly failing: ReadonlyMap<string, Milliseconds>;
	readonly receivedAt: Milliseconds;
};

/** Converts the reachability of backend servers to the form in which it is sent. */
export function encodeReachability(servers: readonly BackendReachability[]): EncodedReachability {
	return {
		reached: servers.filter(({answeredAgo, failingFor}) => failingFor === 0 && answeredAgo !== null && answeredAgo < answerFreshness).map(({id}) => id),
		failing: servers.filter(({failingFor}) => failingFor > 0).map(({id, failingFor}) => [id, failingFor] as const),
	};
}

/** How many instances report that they reach a backend server, and how many report that they fail to reach it. */
export type ReachabilityCount = {
	readonly reached: number;
	/** Instances whose attempts have failed for at least the requested time. */
	readonly failed: number;
};

type Summary = {
	readonly counts: ReadonlyMap<string, ReachabilityCount>;
	readonly receivedAt: Milliseconds;
};

/** Latest reachability reports of entry and control instances about the backend servers. */
export class ReachabilityReports {
	readonly #reports = new Map<string, Report>();
	/** Reports of the entries that watch other control instances, summarized by those instances. */
	readonly #summaries = new Map<string, Summary>();

	constructor(private readonly clock: Clock) {}

	/** Stores the report of an instance, replacing its previous one. */
	receive(name: string, origin: 'entry' | 'control', {reached, failing}: EncodedReachability): void {
		this.#reports.set(name, {
			origin, reached: new Set(reached), failing: new Map(failing), receivedAt: this.clock.now(),
		});
	}

	/** Stores the report of another control instance and the summary of the entries that watch it. */
	receiveFromControl(name: string, {own, entries}: ControlReachability): void {
		this.receive(name, 'control', own);
		this.#summaries.set(name, {counts: new Map(entries.map(([id, reached, failed]) => [id, {reached, failed}])), receivedAt: this.clock.now()});
	}

	/** Summarizes the reports of the entries that watch this instance; a failure counts once it has lasted for `minimumFailingTime` milliseconds. */
	summary(minimumFailingTime: Milliseconds): ControlReachability['entries'] {
		const entries = [...this.#reports.values()].filter(({origin}) => origin === 'entry');
		const ids = new Set(entries.flatMap(({reached, failing}) => [...reached, ...failing.keys()]));
		return [...ids].map(id => {
			const {reached, failed} = this.#countIn(id, minimumFailingTime, entries);
			return [id, reached, failed] as const;
		});
	}

	/** Counts the instances that reach a backend server, and those whose attempts have failed for at least `minimumFailingTime` milliseconds. */
	count(id: string, minimumFailingTime: Milliseconds): ReachabilityCount {
		const oldest = this.clock.now() - reportLifetime;
		const summaryCounts = [...this.#summaries.values()].filter(({receivedAt}) => receivedAt >= oldest).map(({counts}) => counts.get(id));
		let {reached, failed} = this.#countIn(id, minimumFailingTime, [...this.#reports.values()]);
		for (const count of summaryCounts) {
			reached += count?.reached ?? 0;
			failed += count?.failed ?? 0;
		}

		return {reached, failed};
	}

	/** Returns, for log messages, the names of the instances that report to reach a backend server, and for each control instance the number of its entries that do. */
	instancesReaching(id: string): readonly string[] {
		const oldest = this.clock.now() - reportLifetime;
		const reports = [...this.#reports].filter(([, {reached, receivedAt}]) => receivedAt >= oldest && reached.has(id));
		const summaries = [...this.#summaries].filter(([, {counts, receivedAt}]) => receivedAt >= oldest && (counts.get(id)?.reached ?? 0) > 0);
		return [...reports.map(([name]) => name), ...summaries.map(([name, {counts}]) => `${counts.get(id)!.reached} entries of ${name}`)];
	}

	#countIn(id: string, minimumFailingTime: Milliseconds, reports: readonly Report[]): ReachabilityCount {
		const now = this.clock.now();
		let reachedCount = 0;
		let failed = 0;
		for (const {reached, failing, receivedAt} of reports) {
			const age = now - receivedAt;
			if (age > reportLifetime) {
				continue;
			}

			if ((failing.get(id) ?? Number.NEGATIVE_INFINITY) + age >= minimumFailingTime) {
				failed++;
			} else if (reached.has(id)) {
				reachedCount++;
			}
		}

		return {reached: reachedCount, failed};
	}
}
