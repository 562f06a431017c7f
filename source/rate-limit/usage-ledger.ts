import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Customer} from '../customers/types.js';
import {ownershipOrder} from '../ownership/rendezvous.js';
import {aimedOperations, operationsAtRate, type RateLimitSettings} from './limit-arithmetic.js';
import {
	type CustomerCredit, type OperationsRequest, type OperationsResponse, type SharedSums, type UsageReport, type UsageResponse,
} from './messages.js';
import {creditLifetime, maximumHeadroom} from './entry-rules.js';
import {PacedLimit, type WindowLimit} from './paced-limit.js';
import {hearingTime, PeerSums} from './peer-sums.js';
import {UsageBook} from './usage-book.js';

/** Entry instances ask each control instance at most this often per second for a customer that has nothing left. */
const maximumRefusedRequestsPerSecond = 500;

/** Share of the limit above which a headroom is ample: operations that cannot be granted now are then not refused. */
const ampleShare = 0.25;

/** Shortest pause between requests of an entry instance for a customer that has nothing left. */
const shortestPause: Milliseconds = 100;

/** Limit of a customer that was removed. */
const noLimit: WindowLimit = {maximum: 0, atRate: 0};

/** Identity and settings of a ledger. */
export type UsageLedgerOptions = {
	/** Name of the control instance. */
	readonly name: string;
	/** Identifies the process. */
	readonly runId: string;
	readonly clock: Clock;
	readonly settings: RateLimitSettings;
	/** Returns the lowest number of an open request that this instance forwarded. */
	readonly firstOpenForward: () => number;
};

/** What a control instance knows about the other instances, computed once for each message. */
type View = {
	readonly now: Milliseconds;
	/** Names of the control instances that are heard. */
	readonly heard: readonly string[];
	/** Share of the limits for the instances that hear each other. */
	readonly limitShare: number;
	readonly isReady: boolean;
};

/** What a control instance knows about the operations of a customer. */
type Standing = {
	/** Operations that all instances which hear each other may admit in a window. */
	readonly limit: number;
	/** Operations counted by them. */
	readonly used: number;
	/** Operations that may be admitted, if the other control instances grant none. */
	readonly headroom: number;
	/** Operations that this instance may grant without knowing what the others grant at the same time. */
	readonly available: number;
};

/** Decisions of a control instance about rate limits: how many operations its entry instances may admit, given their reports and the sums that the other control instances share. */
export class UsageLedger {
	readonly #book: UsageBook;
	readonly #peers: PeerSums;
	readonly #startedAt: Milliseconds;
	readonly #owners = new Map<string, string>();
	readonly #pacedLimits = new Map<string, PacedLimit>();
	#ownerCandidates: readonly string[] = [];
	#limits: ReadonlyMap<string, WindowLimit> = new Map();
	#entryCount = 1;
	/** Whether the other instances are known. Before, this instance would divide the headroom by one. */
	#isUpdated = false;
	/** Number of entry instances when all control instances were last heard. */
	#lastWatchingCount = 0;

	constructor(private readonly options: UsageLedgerOptions) {
		const retention = options.settings.window + creditLifetime;
		this.#book = new UsageBook(retention);
		this.#peers = new PeerSums(retention);
		this.#startedAt = options.clock.now();
	}

	/** Whether some customer has a limit. Otherwise nothing is counted and no message is sent. */
	get isActive(): boolean {
		return this.#limits.size > 0;
	}

	/** Whether operations may be granted. After a start, nothing is granted until all other control instances were heard or could have been; after a suspected suspension, until one was. */
	get isReady(): boolean {
		if (!this.#isUpdated) {
			return false;
		}

		const now = this.#now();
		const heard = this.#heard();
		if (heard.length === this.#peers.names.length) {
			return true;
		}

		return now - this.#startedAt >= hearingTime && (heard.length > 0 || now - this.options.clock.lastSuspectedSuspension() >= hearingTime);
	}

	/** Replaces the customers, of which those without a limit are not counted. */
	replaceCustomers(customers: readonly Customer[] | undefined): void {
		const {settings} = this.options;
		this.#limits = new Map(customers?.flatMap(({name, rateLimit}) => rateLimit
			? [[name, {maximum: aimedOperations(rateLimit, settings), atRate: operationsAtRate(rateLimit, settings)}] as const]
			: []));
		for (const name of this.#pacedLimits.keys()) {
			if (!this.#limits.has(name)) {
				this.#pacedLimits.delete(name);
			}
		}
	}

	/** Updates the number of entry instances and the names of the other control instances, and removes what has expired. */
	updateInstances(entryCount: number, otherControls: readonly string[]): void {
		this.#isUpdated = true;
		this.#peers.replaceNames(otherControls);
		this.#book.expire(this.#now());
		const heard = this.#heard();
		// A control instance that was just started may not know all entry instances yet.
		this.#entryCount = Math.max(1, entryCount, this.#watchingCount(heard));
		if (heard.length === otherControls.length) {
			this.#lastWatchingCount = this.#watchingCount(heard);
		}
	}

	/** Stores the usage report of an entry instance and returns its credits. */
	handleReport(report: UsageReport): UsageResponse {
		if (!this.#book.receiveReport(report, this.#now())) {
			return {credits: [], wantsCompleteUsage: true};
		}

		const view = this.#view();
		const credits: CustomerCredit[] = [];
		for (const customer of this.#book.customersOf(report.runId)) {
			const {limit, used, headroom, available} = this.#standing(customer, view);
			const held = this.#book.creditOf(report.runId, customer);
			const target = Math.floor((headroom + held) / (2 * this.#entryCount));
			const credit = Math.max(0, Math.min(target, held + available));
			this.#book.giveCredit(report.runId, customer, credit);
			const ratio = Math.round(limit * 100 / Math.max(1, used)) / 100;
			if (credit > 0 || ratio < maximumHeadroom) {
				credits.push([customer, credit, Math.min(ratio, maximumHeadroom)]);
			}
		}

		return {credits, wantsCompleteUsage: false};
	}

	/** Grants operations to an entry instance, or to a control instance that forwards its request. */
	grant({runId, number, customer, count}: OperationsRequest): OperationsResponse {
		const view = this.#view();
		const {limit, used, headroom, available} = this.#standing(customer, view);
		const granted = Math.max(0, Math.min(count, available));
		if (granted > 0) {
			this.#book.addGrant(runId, {
				number, customer, count: granted, grantedAt: this.#now(),
			});
		}

		// After a start, a suspension or while another control instance is silent, operations are missing although few are counted; the entry instance asks again.
		const isTemporary = !view.isReady || headroom > limit * ampleShare;
		return {granted, ...(isTemporary ? {retryAfter: 0, pause: 0} : this.#delays(count - granted, limit, used))};
	}

	/** Counts operations that another control instance granted to an entry instance which watches this one. */
	addForwardedGrant({runId, number, customer}: OperationsRequest, count: number): void {
		this.#book.addGrant(runId, {
			number, customer, count, grantedAt: this.#now(),
		});
	}

	/** Returns the control instance that may grant the last operations of a customer, or undefined when this instance is it. */
	ownerOf(customer: string): string | undefined {
		this.#view();
		const owner = this.#owner(customer);
		return owner === this.options.name ? undefined : owner;
	}

	/** Returns the own sums that the peer does not know. */
	sumsFor(name: string): SharedSums {
		const {knownRunId, knownVersion, acknowledgedVersion} = this.#peers.describe(name);
		return this.#createSums(knownRunId, knownVersion, acknowledgedVersion);
	}

	/** Stores the sums that a peer shared and returns the own ones. */
	handleShare(request: SharedSums): SharedSums {
		this.#receive(request, this.#now());
		this.#book.endGrants(request.runId, request.firstOpenRequest);
		const {knownRunId, knownVersion} = this.#peers.describe(request.name);
		return this.#createSums(knownRunId, knownVersion, request.knownRunId === this.options.runId ? request.knownVersion : 0);
	}

	/** Stores the answer of a peer to the sums that were sent to it at the given time. */
	handleShareResponse(sent: SharedSums, response: SharedSums, sentAt: Milliseconds): void {
		this.#receive(response, sentAt);
		this.#peers.acknowledge(response.name, sent, response.knownRunId === this.options.runId ? response.knownVersion : 0);
	}

	#receive(shared: SharedSums, heardAt: Milliseconds): void {
		if (this.#peers.receive(shared, heardAt)) {
			for (const joined of shared.joined) {
				this.#book.endReports(joined);
			}
		}
	}

	#createSums(knownRunId: string, knownVersion: number, baseVersion: number): SharedSums {
		const {name, runId} = this.options;
		return {
			name,
			runId,
			watchingCount: this.#book.watchingCount(this.#now()),
			baseVersion,
			version: this.#book.version,
			sums: this.#book.changesSince(baseVersion),
			joined: this.#book.joinedSince(baseVersion),
			knownRunId,
			knownVersion,
			firstOpenRequest: this.options.firstOpenForward(),
		};
	}

	/** Computes what may be granted. Each control instance grants a fixed part of the headroom that it knows before the others acknowledge it, so that all together grant no more than the headroom. */
	#standing(customer: string, {now, heard, limitShare, isReady}: View): Standing {
		const own = this.#book.total(customer);
		const used = own + this.#peers.sumOf(customer, heard);
		const {maximum: aimed, atRate} = this.#limits.get(customer) ?? noLimit;
		const limit = this.#pacedLimitOf(customer, used, now).update(used, {maximum: Math.floor(aimed * limitShare), atRate: atRate * limitShare}, now);
		const headroom = Math.min(limit - used, aimed - used - this.#peers.unheardSum(customer, heard, now));
		if (!isReady) {
			return {
				limit, used, headroom: 0, available: 0,
			};
		}

		const unseen = this.#peers.unseen(customer, own, heard);
		const controlCount = heard.length + 1;
		const acknowledgedHeadroom = Math.max(0, headroom + unseen);
		const othersPart = Math.floor(acknowledgedHeadroom / (2 * controlCount));
		const isOwner = this.#owner(customer) === this.options.name;
		const part = isOwner ? acknowledgedHeadroom - ((controlCount - 1) * othersPart) : othersPart;
		return {
			limit, used, headroom, available: Math.max(0, Math.min(headroom, part - unseen)),
		};
	}

	#pacedLimitOf(customer: string, used: number, now: Milliseconds): PacedLimit {
		const known = this.#pacedLimits.get(customer);
		if (known) {
			return known;
		}

		const limit = new PacedLimit(used, now, this.options.settings.window);
		this.#pacedLimits.set(customer, limit);
		return limit;
	}

	/** Returns the share of the limit for the instances that hear each other. */
	#partitionShare(heard: readonly string[]): number {
		if (heard.length === this.#peers.names.length) {
			return 1;
		}

		const reached = this.#watchingCount(heard);
		return reached / Math.max(1, reached, this.#lastWatchingCount, this.#lastWatchingCount === 0 ? this.#entryCount : 0);
	}

	#delays(missing: number, limit: number, used: number): Pick<OperationsResponse, 'retryAfter' | 'pause'> {
		if (missing === 0) {
			return {retryAfter: 0, pause: 0};
		}

		// The counted operations leave the window at an even rate, on average.
		const {window} = this.options.settings;
		const leaving = missing + Math.max(0, used - limit);
		const pause = Math.max(shortestPause, this.#book.watchingCount(this.#now()) * 1000 / maximumRefusedRequestsPerSecond);
		const retryAfter = Math.min(window, Math.max(pause, window * leaving / Math.max(1, used)));
		return {retryAfter: Math.round(retryAfter), pause: Math.round(pause)};
	}

	/** Returns the control instance that may grant the last operations of a customer, of those that are heard and this one. */
	#owner(customer: string): string {
		const known = this.#owners.get(customer);
		if (known !== undefined) {
			return known;
		}

		const [{name}] = ownershipOrder(customer, this.#ownerCandidates.map(candidate => ({name: candidate, dataCentre: ''})));
		this.#owners.set(customer, name);
		return name;
	}

	#view(): View {
		const heard = this.#heard();
		const [own, ...others] = this.#ownerCandidates;
		if (own === undefined || others.length !== heard.length || others.some((name, index) => name !== heard[index])) {
			this.#ownerCandidates = [this.options.name, ...heard];
			this.#owners.clear();
		}

		return {
			now: this.#now(), heard, limitShare: this.#partitionShare(heard), isReady: this.isReady,
		};
	}

	#watchingCount(heard: readonly string[]): number {
		return this.#book.watchingCount(this.#now()) + this.#peers.watchingCount(heard);
	}

	#heard(): readonly string[] {
		return this.#peers.heard(this.#now(), this.options.clock.lastSuspectedSuspension());
	}

	#now(): Milliseconds {
		return this.options.clock.now();
	}
}
