import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {Controller} from '../blackboard/blackboard.js';
import {BackOff} from '../clock/back-off.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {type OperationsRequest, type OperationsResponse} from '../rate-limit/messages.js';
import {type OperationLimiter, type SentReport} from '../rate-limit/operation-limiter.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type RoutingTable} from '../routing-table/types.js';
import {encodeReachability} from './reachability-reports.js';
import {entriesDigest} from './entry-directory.js';
import {
	announcementFreshness, type ControlRecord, type EntryRecord, type BackendReachability, type PrimaryReport, type WatchRequest, type WatchResponse,
} from './messages.js';
import {RoutingFetcher} from './routing-fetcher.js';

/** Polling period. It is short because a routing change must take effect within seconds and because requests wait until a failover is known. */
const watchPeriod: Milliseconds = 250;

/** Time after which an unanswered request makes the watcher switch to another control instance. */
const watchTimeout: Milliseconds = 600;

/** Timeout of a request for operations of a customer. It covers a round trip between regions and one that the control instance makes to another. */
const operationsTimeout: Milliseconds = 300;

/** Time without a leader after which the watcher switches to another control instance. */
const leaderSilenceLimit: Milliseconds = 1200;

/** Silence that control instances of earlier builds report when they know no leader. */
const silenceWithoutLeader: Milliseconds = Number.MAX_SAFE_INTEGER;

/** Time after which a failed control instance that is nearer than the current one is tried again. */
const nearerRetryDelay: Milliseconds = 3000;

/** Delays before the next request after one that failed. */
const failureDelays = {shortest: 100, longest: 800};

/** Dependencies and callbacks of a routing watcher. */
export type RoutingWatcherOptions = {
	/** Record by which the control instances and the other entry instances know this instance. */
	readonly self: EntryRecord;
	readonly region: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	readonly directory: BackendDirectory;
	/** Returns the link addresses of the control instances currently named in the settings. */
	readonly seeds: () => readonly Address[];
	/** Returns the reachability of each backend server from this instance. */
	readonly reachability: () => readonly BackendReachability[];
	/** Returns whether the entry instances of all data centres are needed, because gateways are placed near the members. */
	readonly wantsAllEntries?: () => boolean;
	/** Called with each newer routing table. */
	readonly onRoutingTable: (table: RoutingTable) => void;
	/** Called with the primary reports of each response and the time at which the request was sent. */
	readonly onPrimaryReports: (reports: readonly PrimaryReport[], askedAt: Milliseconds) => void;
	/** Limiter whose usage is reported with each request. */
	readonly operationLimiter?: OperationLimiter;
};

/** Keeps routing, directories and primary reports of an entry instance current by polling one control instance at a time. */
export class RoutingWatcher extends Controller {
	#controls: readonly ControlRecord[] = [];
	#controlsDigest = '';
	#target: Address | undefined;
	/** Control instance that answered the last request which was answered; undefined when it has not answered a later one. */
	#answeredBy: Address | undefined;
	#failedTargets = new Set<Address>();
	#lastFailureAt: Milliseconds = 0;
	#directoryId = '';
	#directoryVersion = 0;
	readonly #routing: RoutingFetcher;
	readonly #backOff: BackOff;
	/** Entry instances of the last list received: those in this data centre, or in all data centres. */
	#entries: readonly EntryRecord[] = [];
	#localEntries: readonly EntryRecord[] = [];
	#coversAllEntries = false;
	#entryCount = 1;
	#entryDataCentres = 1;
	#lastAnsweredRequestAt: Milliseconds | undefined;
	#cancel: Cancel | undefined;
	#stopped = false;

	constructor(private readonly options: RoutingWatcherOptions) {
		super();
		const {clock, random, logger, linkClient, onRoutingTable} = options;
		this.#backOff = new BackOff(random, failureDelays);
		this.#routing = new RoutingFetcher({
			clock,
			random,
			logger,
			linkClient,
			onRoutingTable,
			onSourceFailure: (source, reason) => {
				if (source === this.#target) {
					this.#dropTarget(source, reason);
				}
			},
		});
	}

	/** Entry instances in this data centre, including this one. */
	get entries(): readonly EntryRecord[] {
		return this.#localEntries;
	}

	/** Entry instances in all data centres; undefined until their list was requested and received. */
	get allEntries(): readonly EntryRecord[] | undefined {
		return this.#coversAllEntries ? this.#entries : undefined;
	}

	/** Number of control instances that are known; at least 1. */
	get controlCount(): number {
		return Math.max(1, this.#controls.length);
	}

	/** See `RoutingFetcher.rejectedVersion`. */
	get rejectedRoutingVersion(): number | undefined {
		return this.#routing.rejectedVersion;
	}

	/** Number of entry instances among which the connections of each backend server are divided. */
	get entryCount(): number {
		return this.#entryCount;
	}

	/** Number of data centres with entry instances. */
	get entryDataCentres(): number {
		return this.#entryDataCentres;
	}

	/** Time since the last successful request was sent; undefined before the first one. A request succeeds when a control instance that knows a leader answers it. */
	get controlInformationAge(): Milliseconds | undefined {
		return this.#lastAnsweredRequestAt === undefined ? undefined : this.options.clock.now() - this.#lastAnsweredRequestAt;
	}

	/** Asks the control instance that is watched for operations of a customer. Rejects when none is watched or when it does not answer in time. */
	async requestOperations(request: OperationsRequest): Promise<OperationsResponse> {
		// The control instance that answered last has the newest report. The one that is watched may be another one that has not answered yet, for example while none knows a leader and each is left after its answer.
		const target = this.#answeredBy ?? this.#target;
		if (target === undefined) {
			throw new BuckthornhitchError('linkNotSent', 'No control instance is watched.');
		}

		return await this.options.linkClient.request(target, 'requestOperations', request, operationsTimeout) as OperationsResponse;
	}

	override start(): void {
		void this.#watch();
	}

	override stop(): void {
		this.#stopped = true;
		this.#cancel?.();
		this.#routing.stop();
	}

	async #watch(): Promise<void> {
		const {clock} = this.options;
		const startedAt = clock.now();
		const isAnswered = await this.#poll();
		if (this.#stopped) {
			return;
		}

		if (isAnswered) {
			this.#backOff.reset();
		}

		const delay = isAnswered ? Math.max(1, watchPeriod - (clock.now() - startedAt)) : this.#backOff.nextDelay();
		this.#cancel = clock.schedule(delay, () => {
			void this.#watch();
		});
	}

	/** Resolves with whether a control instance answered. Before the first answer all seeds are polled in parallel, since any of them may be down. */
	async #poll(): Promise<boolean> {
		if (this.#lastAnsweredRequestAt === undefined) {
			const answers = await Promise.all(this.options.seeds().map(async seed => this.#lastAnsweredRequestAt === undefined && this.#pollTarget(seed)));
			return answers.some(Boolean);
		}

		this.#target ??= this.#selectTarget();
		return this.#target !== undefined && this.#pollTarget(this.#target);
	}

	async #pollTarget(target: Address): Promise<boolean> {
		const {clock, linkClient, logger, self, region, reachability, wantsAllEntries, operationLimiter} = this.options;
		const isAllWanted = wantsAllEntries?.() ?? false;
		// Before the first answer, all seeds are asked at the same time; usage is reported to one control instance only.
		const sentReport = target === this.#target ? operationLimiter?.createReport(target) : undefined;
		const askedAt = clock.now();
		const request: WatchRequest = {
			self: isAllWanted ? {...self, region} : self,
			routingVersion: this.#routing.version,
			routingDigest: this.#routing.digest,
			directoryId: this.#directoryId,
			directoryVersion: this.#directoryVersion,
			contacts: encodeReachability(reachability()),
			controlsDigest: this.#controlsDigest,
			entriesDigest: entriesDigest(this.#entries),
			...(isAllWanted && {wantsAllEntries: true as const}),
			...(sentReport && {usage: sentReport.report}),
		};
		try {
			const response = await linkClient.request(target, 'watch', request, watchTimeout) as WatchResponse;
			this.#handleResponse(response, target, askedAt);
			this.#answeredBy = target;
			this.#applyCredits(response, sentReport);
			const {leaderSilence} = response;
			if (leaderSilence === null || leaderSilence > leaderSilenceLimit) {
				this.#dropTarget(target, leaderSilence === null || leaderSilence >= silenceWithoutLeader ? 'it knows no leader' : `it has had no leader for ${Math.round(leaderSilence)} ms`);
				return true;
			}

			this.#lastAnsweredRequestAt = askedAt;
			this.#preferNearer(target);

			return true;
		} catch (error) {
			logger.warn(`request to control instance ${target} failed: ${toBuckthornhitchError(error).message}`);
			this.#answeredBy = this.#answeredBy === target ? undefined : this.#answeredBy;
			this.#dropTarget(target, 'no answer');
			return false;
		}
	}

	#applyCredits({usage, entryCount}: WatchResponse, sentReport: SentReport | undefined): void {
		if (usage && sentReport) {
			this.options.operationLimiter?.handleResponse(sentReport, usage, Math.max(entryCount, this.#entryCount));
		}
	}

	#dropTarget(target: Address, reason: string): void {
		if (this.#lastAnsweredRequestAt === undefined) {
			return;
		}

		this.options.logger.info(`switching from control instance ${target} to another one: ${reason}; last successful request ${Math.round(this.controlInformationAge!)} ms ago`);
		this.#failedTargets.add(target);
		this.#lastFailureAt = this.options.clock.now();
		this.#target = undefined;
	}

	/** Returns the control addresses by distance: in this data centre, in this region, then elsewhere; in random order at the same distance. */
	#addressesByDistance(): readonly Address[] {
		const records = this.options.random.sample(this.#controls, this.#controls.length);
		return records.toSorted((first, second) => this.#distance(first) - this.#distance(second)).map(record => record.address);
	}

	#distance({dataCentre, region}: ControlRecord): number {
		if (dataCentre === this.options.self.dataCentre) {
			return 0;
		}

		return region === this.options.region ? 1 : 2;
	}

	/** Switches from a control instance to a nearer one, except to one that failed within the retry delay. */
	#preferNearer(target: Address): void {
		const {clock, logger} = this.options;
		const current = this.#controls.find(record => record.address === target);
		const distance = current ? this.#distance(current) : Number.POSITIVE_INFINITY;
		if (clock.now() - this.#lastFailureAt > nearerRetryDelay) {
			this.#failedTargets.clear();
		}

		if (this.#controls.some(record => this.#distance(record) < distance && !this.#failedTargets.has(record.address))) {
			logger.debug(`switching from control instance ${target} to a nearer one`);
			this.#target = undefined;
		}
	}

	/** Returns the next control instance to poll, the nearest first. */
	#selectTarget(): Address | undefined {
		const addresses = [...new Set([...this.#addressesByDistance(), ...this.options.seeds()])];
		const untried = addresses.find(address => !this.#failedTargets.has(address));
		if (untried === undefined) {
			this.#failedTargets = new Set();
		}

		return untried ?? addresses.at(0);
	}

	/** Updates the entries and their counts from a response. A control instance that started recently knows only some of the entries, so its list and counts are used only where they are larger than the known ones. */
	#mergeEntries({entries, entryCount, entryDataCentres, knowsEntries, coversAllEntries}: WatchResponse): void {
		if (knowsEntries || (entries?.length ?? 0) > this.#entries.length) {
			this.#coversAllEntries = coversAllEntries ?? false;
			if (entries) {
				this.#entries = entries;
				this.#localEntries = coversAllEntries ? entries.filter(({dataCentre}) => dataCentre === this.options.self.dataCentre) : entries;
			}
		}

		this.#entryCount = Math.max(1, entryCount, knowsEntries ? 1 : this.#entryCount);
		this.#entryDataCentres = Math.max(1, entryDataCentres, knowsEntries ? 1 : this.#entryDataCentres);
	}

	#handleResponse(response: WatchResponse, source: Address, askedAt: Milliseconds): void {
		const {directory, onPrimaryReports} = this.options;
		if (response.controls) {
			this.#controls = response.controls;
			this.#controlsDigest = response.controlsDigest;
		}

		this.#mergeEntries(response);
		directory.merge(response.changedServers);
		const announcementAges = new Map(response.silentServers);
		directory.recordAnnouncementAges(directory.servers.map(({id}) => [id, announcementAges.get(id) ?? announcementFreshness]));
		this.#directoryId = response.directoryId;
		this.#directoryVersion = response.directoryVersion;
		if (response.newestRouting) {
			this.#routing.offer(response.newestRouting, source);
		}

		onPrimaryReports(response.primaries, askedAt);
	}
}
