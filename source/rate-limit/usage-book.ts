import {type Milliseconds} from '../clock/clock.js';
import {type JoinedEntry, type UsageReport} from './messages.js';

type Grant = {
	readonly number: number;
	readonly customer: string;
	readonly count: number;
	readonly grantedAt: Milliseconds;
};

type Holding = {
	readonly used: number;
	/** Highest credit that the instance may hold: the one it reported, or the one it was last given. */
	readonly credit: number;
};

type Holder = {
	/** Whether reports of the process are kept here. */
	isEntry: boolean;
	confirmedAt: Milliseconds;
	/** Number of the last report. */
	reportNumber: number;
	/** Version at which the process began to report here, and its report. */
	joinedAt: number;
	joined: JoinedEntry;
	readonly holdings: Map<string, Holding>;
	/** Granted operations that no report contains yet. */
	grants: readonly Grant[];
};

/** Time without a `watch` request after which an entry instance no longer counts as watching. While an entry instance tries three control instances that do not answer, its requests are up to 2.5 s apart. */
const watchingTime: Milliseconds = 3000;

/** Operations that a control instance counts: what the entry instances that watch it reported, their credits, and the operations granted since their reports. */
export class UsageBook {
	readonly #holders = new Map<string, Holder>();
	readonly #totals = new Map<string, number>();
	/** Version at which the total of a customer last changed. */
	readonly #changedAt = new Map<string, number>();
	#version = 0;

	/** Reports and grants are kept for the retention time. */
	constructor(private readonly retention: Milliseconds) {}

	/** Version of the totals, which increases with each change. */
	get version(): number {
		return this.#version;
	}

	/** Returns the counted operations of a customer. */
	total(customer: string): number {
		return this.#totals.get(customer) ?? 0;
	}

	/** Returns the totals that changed after the version. */
	changesSince(version: number): ReadonlyArray<readonly [customer: string, total: number]> {
		return [...this.#changedAt].filter(([, changedAt]) => changedAt > version).map(([customer]) => [customer, this.total(customer)] as const);
	}

	/** Returns the number of entry instances that watch this instance. */
	watchingCount(now: Milliseconds): number {
		return [...this.#holders.values()].filter(({isEntry, confirmedAt}) => isEntry && confirmedAt >= now - watchingTime).length;
	}

	/** Stores a report. Returns false when earlier reports of the process are missing and this one is not complete. */
	receiveReport(report: UsageReport, now: Milliseconds): boolean {
		const known = this.#holders.get(report.runId);
		if (!known?.isEntry && !report.isComplete) {
			return false;
		}

		const holder = this.#holder(report.runId, true, now);
		holder.confirmedAt = now;
		holder.reportNumber = report.number;
		if (report.isComplete) {
			holder.joinedAt = ++this.#version;
			holder.joined = [report.runId, report.number, report.firstOpenRequest];
		}

		this.endGrants(report.runId, report.firstOpenRequest);
		const reported = new Set(report.counts.map(([customer]) => customer));
		for (const customer of holder.holdings.keys()) {
			if (report.isComplete && !reported.has(customer)) {
				this.#hold(holder, customer, {used: 0, credit: 0});
			}
		}

		for (const [customer, used, credit] of report.counts) {
			this.#hold(holder, customer, {used, credit});
		}

		return true;
	}

	/** Returns the processes that began to report here after the version. */
	joinedSince(version: number): readonly JoinedEntry[] {
		return [...this.#holders.values()].filter(({isEntry, joinedAt}) => isEntry && joinedAt > version).map(({joined}) => joined);
	}

	/** Ends the reports of a process that has reported to another control instance since. */
	endReports([runId, number, firstOpenRequest]: JoinedEntry): void {
		const holder = this.#holders.get(runId);
		if (holder?.isEntry && holder.reportNumber < number) {
			this.#endHoldings(holder);
			this.endGrants(runId, firstOpenRequest);
		}
	}

	/** Returns the customers that a process used recently or holds a credit for. */
	customersOf(runId: string): readonly string[] {
		return [...this.#holders.get(runId)?.holdings.keys() ?? []];
	}

	/** Returns the credit that a process may hold. */
	creditOf(runId: string, customer: string): number {
		return this.#holders.get(runId)?.holdings.get(customer)?.credit ?? 0;
	}

	/** Counts a credit given to a process. A lower credit counts only once it is reported, since the response may be lost. */
	giveCredit(runId: string, customer: string, credit: number): void {
		const holder = this.#holders.get(runId);
		const holding = holder?.holdings.get(customer);
		if (holder && holding && credit > holding.credit) {
			this.#hold(holder, customer, {used: holding.used, credit});
		}
	}

	/** Counts operations granted to a process until a report contains them. */
	addGrant(runId: string, grant: Grant): void {
		const holder = this.#holder(runId, false, grant.grantedAt);
		holder.grants = [...holder.grants, grant];
		this.#add(grant.customer, grant.count);
	}

	/** Stops counting the grants of the requests before the first open one. */
	endGrants(runId: string, firstOpenRequest: number): void {
		const holder = this.#holders.get(runId);
		if (holder) {
			this.#dropGrants(holder, ({number}) => number < firstOpenRequest);
		}
	}

	/** Removes the reports of processes that sent none within the retention time, and grants of that age. */
	expire(now: Milliseconds): void {
		const oldest = now - this.retention;
		for (const [runId, holder] of this.#holders) {
			this.#dropGrants(holder, ({grantedAt}) => grantedAt < oldest);
			if (holder.confirmedAt >= oldest) {
				continue;
			}

			this.#endHoldings(holder);
			if (holder.grants.length === 0) {
				this.#holders.delete(runId);
			}
		}
	}

	#holder(runId: string, isEntry: boolean, now: Milliseconds): Holder {
		const known = this.#holders.get(runId);
		if (known && (known.isEntry || !isEntry)) {
			return known;
		}

		const holder: Holder = {
			isEntry, confirmedAt: now, reportNumber: 0, joinedAt: 0, joined: [runId, 0, 0], holdings: new Map(), grants: known?.grants ?? [],
		};
		this.#holders.set(runId, holder);
		return holder;
	}

	/** The next report of the process must be complete, since its earlier ones are removed. */
	#endHoldings(holder: Holder): void {
		holder.isEntry = false;
		for (const customer of holder.holdings.keys()) {
			this.#hold(holder, customer, {used: 0, credit: 0});
		}
	}

	#hold(holder: Holder, customer: string, {used, credit}: Holding): void {
		const known = holder.holdings.get(customer);
		this.#add(customer, used + credit - (known ? known.used + known.credit : 0));
		if (used === 0 && credit === 0) {
			holder.holdings.delete(customer);
		} else {
			holder.holdings.set(customer, {used, credit});
		}
	}

	#dropGrants(holder: Holder, isEnded: (grant: Grant) => boolean): void {
		if (holder.grants.length === 0) {
			return;
		}

		const ended = holder.grants.filter(grant => isEnded(grant));
		holder.grants = holder.grants.filter(grant => !isEnded(grant));
		for (const {customer, count} of ended) {
			this.#add(customer, -count);
		}
	}

	#add(customer: string, difference: number): void {
		if (difference !== 0) {
			this.#totals.set(customer, this.total(customer) + difference);
			this.#changedAt.set(customer, ++this.#version);
		}
	}
}
