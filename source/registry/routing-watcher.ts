import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type RoutingDocumentParser, type RoutingTable} from '../routing-table/types.js';
import {encodeReachability} from './reachability-reports.js';
import {entriesDigest} from './entry-directory.js';
import {
	announcementFreshness, type ControlRecord, type EntryRecord, type BackendReachability, type PrimaryReport, type WatchRequest, type WatchResponse,
} from './messages.js';

/** Polling period. It is short because a routing change must take effect within seconds and because requests wait until a failover is known. */
const watchPeriod: Milliseconds = 250;

/** Time after which an unanswered request makes the watcher switch to another control instance. */
const watchTimeout: Milliseconds = 600;

/** Time without a leader after which the watcher switches to another control instance. */
const leaderSilenceLimit: Milliseconds = 1200;

/** Time after which a failed control instance in the same data centre is tried again. */
const localRetryDelay: Milliseconds = 3000;

/** Dependencies and callbacks of a routing watcher. */
export type RoutingWatcherOptions = {
	/** Record by which the control instances and the other entry instances know this instance. */
	readonly self: EntryRecord;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	readonly routingDocumentParser: RoutingDocumentParser;
	readonly directory: BackendDirectory;
	/** Returns the link addresses of the control instances currently named in the settings. */
	readonly seeds: () => readonly Address[];
	/** Returns the reachability of each backend server from this instance. */
	readonly reachability: () => readonly BackendReachability[];
	/** Called with each newer routing table. */
	readonly onRoutingTable: (table: RoutingTable) => void;
	/** Called with the primary reports of each response and the time at which the request was sent. */
	readonly onPrimaryReports: (reports: readonly PrimaryReport[], askedAt: Milliseconds) => void;
};

/** Keeps routing, directories and primary reports of an entry instance current by polling one control instance at a time. */
export class RoutingWatcher extends Controller {
	#controls: readonly ControlRecord[] = [];
	#controlsDigest = '';
	#target: Address | undefined;
	#failedTargets = new Set<Address>();
	#lastFailureAt: Milliseconds = 0;
	#directoryId = '';
	#directoryVersion = 0;
	#routingVersion = -1;
	#entries: readonly EntryRecord[] = [];
	#entryCount = 1;
	#entryDataCentres = 1;
	#lastAnsweredRequestAt: Milliseconds | undefined;
	#cancel: Cancel | undefined;
	#stopped = false;

	constructor(private readonly options: RoutingWatcherOptions) {
		super();
	}

	/** Entry instances in this data centre, including this one. */
	get entries(): readonly EntryRecord[] {
		return this.#entries;
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

	override start(): void {
		void this.#watch();
	}

	override stop(): void {
		this.#stopped = true;
		this.#cancel?.();
	}

	async #watch(): Promise<void> {
		const {clock} = this.options;
		const startedAt = clock.now();
		const succeeded = await this.#poll();
		if (this.#stopped) {
			return;
		}

		// A failed poll is repeated after 50 ms instead of immediately.
		const delay = succeeded ? watchPeriod - (clock.now() - startedAt) : 0;
		this.#cancel = clock.schedule(Math.max(succeeded ? 1 : 50, delay), () => {
			void this.#watch();
		});
	}

	/** Before the first answer all seeds are polled in parallel, since any of them may be down. */
	async #poll(): Promise<boolean> {
		if (this.#lastAnsweredRequestAt === undefined) {
			const answers = await Promise.all(this.options.seeds().map(async seed => this.#lastAnsweredRequestAt === undefined && this.#pollTarget(seed)));
			return answers.some(Boolean);
		}

		this.#target ??= this.#selectTarget();
		return this.#target !== undefined && this.#pollTarget(this.#target);
	}

	async #pollTarget(target: Address): Promise<boolean> {
		const {clock, linkClient, logger, self, reachability} = this.options;
		const askedAt = clock.now();
		const request: WatchRequest = {
			self,
			routingVersion: this.#routingVersion,
			directoryId: this.#directoryId,
			directoryVersion: this.#directoryVersion,
			contacts: encodeReachability(reachability()),
			controlsDigest: this.#controlsDigest,
			entriesDigest: entriesDigest(this.#entries),
		};
		try {
			const response = await linkClient.request(target, 'watch', request, watchTimeout) as WatchResponse;
			this.#handleResponse(response, askedAt);
			if (response.leaderSilence > leaderSilenceLimit) {
				this.#dropTarget(target, `it has had no leader for ${response.leaderSilence} ms`);
				return false;
			}

			this.#lastAnsweredRequestAt = askedAt;
			if (this.#isLocal(target)) {
				this.#failedTargets.clear();
			} else {
				this.#preferLocal(target);
			}

			return true;
		} catch (error) {
			logger.warn(`request to control instance ${target} failed: ${toBuckthornhitchError(error).message}`);
			this.#dropTarget(target, 'no answer');
			return false;
		}
	}

	#dropTarget(target: Address, reason: string): void {
		if (this.#lastAnsweredRequestAt === undefined) {
			return;
		}

		this.options.logger.info(`switching from control instance ${target} to another one: ${reason}; last successful request ${Math.round(this.controlInformationAge ?? -1)} ms ago`);
		this.#failedTargets.add(target);
		this.#lastFailureAt = this.options.clock.now();
		this.#target = undefined;
	}

	#isLocal(address: Address): boolean {
		return this.#localControls().includes(address);
	}

	#localControls(): readonly Address[] {
		return this.#controls.filter(record => record.dataCentre === this.options.self.dataCentre).map(record => record.address);
	}

	/** Switches from a control instance in another data centre to one in this data centre, except to one that failed within the retry delay. */
	#preferLocal(target: Address): void {
		const {clock} = this.options;
		if (clock.now() - this.#lastFailureAt > localRetryDelay) {
			this.#failedTargets.clear();
		}

		if (this.#localControls().some(address => !this.#failedTargets.has(address))) {
			this.options.logger.debug(`switching from control instance ${target} in another data centre to one in this data centre`);
			this.#target = undefined;
		}
	}

	/** Returns the next control instance to poll, preferring those in the same data centre. */
	#selectTarget(): Address | undefined {
		const controlAddresses = this.#controls.map(record => record.address);
		const addresses = [...new Set([...this.options.random.sample(this.#localControls(), controlAddresses.length), ...controlAddresses, ...this.options.seeds()])];
		const untried = addresses.find(address => !this.#failedTargets.has(address));
		if (untried === undefined) {
			this.#failedTargets = new Set();
		}

		return untried ?? addresses.at(0);
	}

	/** Updates the entries and their counts from a response. A control instance that started recently knows only some of the entries, so its list and counts are used only where they are larger than the known ones. */
	#mergeEntries({entries, entryCount, entryDataCentres, knowsEntries}: WatchResponse): void {
		if (knowsEntries || (entries?.length ?? 0) > this.#entries.length) {
			this.#entries = entries ?? this.#entries;
		}

		this.#entryCount = Math.max(1, entryCount, knowsEntries ? 1 : this.#entryCount);
		this.#entryDataCentres = Math.max(1, entryDataCentres, knowsEntries ? 1 : this.#entryDataCentres);
	}

	#handleResponse(response: WatchResponse, askedAt: Milliseconds): void {
		const {directory, routingDocumentParser, onRoutingTable, onPrimaryReports, logger} = this.options;
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
		if (response.routing && response.routing.version > this.#routingVersion) {
			onRoutingTable(routingDocumentParser.parse(response.routing.document));
			logger.info(`routing version ${response.routing.version} is in force, replacing version ${this.#routingVersion}`);
			this.#routingVersion = response.routing.version;
		}

		onPrimaryReports(response.primaries, askedAt);
	}
}
