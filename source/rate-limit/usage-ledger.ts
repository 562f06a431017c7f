import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Customer} from '../customers/types.js';
import {ownershipOrder} from '../ownership/rendezvous.js';
import {aimedOperations, type RateLimitSettings} from './limit-arithmetic.js';
import {
	type CustomerCredit, type OperationsRequest, type OperationsResponse, type SharedSums, type UsageReport, type UsageResponse,
} from './messages.js';
import {creditLifetime, maximumHeadroom} from './entry-rules.js';
import {hearingTime, PeerSums} from './peer-sums.js';
import {UsageBook} from './usage-book.js';

/** Entry instances ask each control instance at most this often per second for a customer that has nothing left. */
const maximumRefusedRequestsPerSecond = 500;

/** Shortest and longest time after which a refused operation may be sent again, and the shortest pause between requests for a customer that has nothing left. */
const shortestRetry: Milliseconds = 20;
const shortestPause: Milliseconds = 100;

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
	#ownerCandidates = '';
	#limits: ReadonlyMap<string, number> = new Map();
	#entryCount = 1;
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

	/** Whether operations may be granted. After a start or a suspected suspension, nothing is granted before another control instance was heard or could have been. */
	get isReady(): boolean {
		const since = Math.max(this.#startedAt, this.options.clock.lastSuspectedSuspension());
		return this.#heard().length > 0 || this.#peers.names.length === 0 || this.#now() - since >= hearingTime;
	}

	/** Replaces the customers, of which those without a limit are not counted. */
	replaceCustomers(customers: readonly Customer[] | undefined): void {
		const limited = customers?.flatMap(({name, rateLimit}) => rateLimit ? [[name, aimedOperations(rateLimit, this.options.settings)] as const] : []);
		this.#limits = new Map(limited);
	}

	/** Updates the number of entry instances and the names of the other control instances, and removes what has expired. */
	updateInstances(entryCount: number, otherControls: readonly string[]): void {
		this.#entryCount = Math.max(1, entryCount);
		this.#peers.replaceNames(otherControls);
		this.#book.expire(this.#now());
		const heard = this.#heard();
		if (heard.length === otherControls.length) {
			this.#lastWatchingCount = this.#watchingCount(heard);
		}
	}

	/** Stores the usage report of an entry instance and returns its credits. */
	handleReport(report: UsageReport): UsageResponse {
		if (!this.#book.receiveReport(report, this.#now())) {
			return {credits: [], wantsCompleteUsage: true};
		}

		const credits: CustomerCredit[] = [];
		for (const customer of this.#book.customersOf(report.runId)) {
			const {limit, used, headroom, available} = this.#standing(customer);
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
		const {limit, used, available} = this.#standing(customer);
		const granted = Math.max(0, Math.min(count, available));
		if (granted > 0) {
			this.#book.addGrant(runId, {
				number, customer, count: granted, grantedAt: this.#now(),
			});
		}

		return {granted, ...this.#delays(count - granted, limit, used)};
	}

	/** Counts operations that another control instance granted to an entry instance which watches this one. */
	addForwardedGrant({runId, number, customer}: OperationsRequest, count: number): void {
		this.#book.addGrant(runId, {
			number, customer, count, grantedAt: this.#now(),
		});
	}

	/** Returns the control instance that may grant the last operations of a customer, or undefined when this instance is it. */
	ownerOf(customer: string): string | undefined {
		const owner = this.#owner(customer, this.#heard());
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
	#standing(customer: string): Standing {
		const now = this.#now();
		const heard = this.#heard();
		const own = this.#book.total(customer);
		const used = own + this.#peers.sumOf(customer, heard);
		const aimed = this.#limits.get(customer) ?? 0;
		const limit = Math.floor(aimed * this.#partitionShare(heard));
		const headroom = Math.min(limit - used, aimed - used - this.#peers.unheardSum(customer, heard, now));
		if (!this.isReady) {
			return {
				limit, used, headroom: 0, available: 0,
			};
		}

		const unseen = this.#peers.unseen(customer, own, heard);
		const controlCount = heard.length + 1;
		const acknowledgedHeadroom = Math.max(0, headroom + unseen);
		const othersPart = Math.floor(acknowledgedHeadroom / (2 * controlCount));
		const isOwner = this.#owner(customer, heard) === this.options.name;
		const part = isOwner ? acknowledgedHeadroom - ((controlCount - 1) * othersPart) : othersPart;
		return {
			limit, used, headroom, available: Math.max(0, Math.min(headroom, part - unseen)),
		};
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
		const retryAfter = Math.min(window, Math.max(shortestRetry, window * leaving / Math.max(1, used)));
		const pause = Math.max(shortestPause, this.#book.watchingCount(this.#now()) * 1000 / maximumRefusedRequestsPerSecond);
		return {retryAfter: Math.round(retryAfter), pause: Math.round(Math.min(pause, retryAfter + shortestPause))};
	}

	#owner(customer: string, heard: readonly string[]): string {
		const candidates = [this.options.name, ...heard].toSorted((first, second) => first.localeCompare(second));
		const key = candidates.join('\n');
		if (key !== this.#ownerCandidates) {
			this.#ownerCandidates = key;
			this.#owners.clear();
		}

		const known = this.#owners.get(customer);
		if (known !== undefined) {
			return known;
		}

		const [{name}] = ownershipOrder(customer, candidates.map(candidate => ({name: candidate, dataCentre: ''})));
		this.#owners.set(customer, name);
		return name;
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
