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

/** Pace of the questions; a change must be in force within seconds and a failover is waited for. */
const watchPeriod: Milliseconds = 250;

/** A control instance that does not answer within this time is left for another one. */
const watchTimeout: Milliseconds = 600;

/** A control instance that has had no leader for this long is left for another one. */
const leaderSilenceLimit: Milliseconds = 1200;

/** A local control instance that failed is tried again after this long. */
const localRetryPause: Milliseconds = 3000;

/** What a watcher needs. */
export type WatcherOptions = {
	/** This instance as others reach it. */
	readonly self: EntryRecord;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	readonly format: RoutingDocumentParser;
	readonly directory: BackendDirectory;
	/** Returns link addresses of the control instances that the settings name now. */
	readonly seeds: () => readonly Address[];
	readonly contacts: () => readonly BackendReachability[];
	/** Receives a newer table. */
	readonly onRoutingTable: (table: RoutingTable) => void;
	/** Receives what control instances confirmed, with the time at which they were asked. */
	readonly onPrimaryReports: (reports: readonly PrimaryReport[], askedAt: Milliseconds) => void;
};

/** Keeps an entry instance informed by one control instance at a time. */
export class RoutingWatcher extends Controller {
	#controls: readonly ControlRecord[] = [];
	#controlsDigest = '';
	#target: Address | undefined;
	#tried = new Set<Address>();
	#triedAt: Milliseconds = 0;
	#directoryId = '';
	#directoryVersion = 0;
	#routingVersion = -1;
	#entries: readonly EntryRecord[] = [];
	#entryCount = 1;
	#entryDataCentres = 1;
	#informedAt: Milliseconds | undefined;
	#cancel: Cancel | undefined;
	#stopped = false;

	constructor(private readonly options: WatcherOptions) {
		super();
	}

	/** Entry instances of this data centre, this one included. */
	get entries(): readonly EntryRecord[] {
		return this.#entries;
	}

	/** Entry instances that share the connections. */
	get entryCount(): number {
		return this.#entryCount;
	}

	/** Data centres with entry instances. */
	get entryDataCentres(): number {
		return this.#entryDataCentres;
	}

	/** Time since a control instance with a leader answered; undefined before the first answer. */
	get informationAge(): Milliseconds | undefined {
		return this.#informedAt === undefined ? undefined : this.options.clock.now() - this.#informedAt;
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
		const succeeded = await this.#ask();
		if (this.#stopped) {
			return;
		}

		const pause = succeeded ? watchPeriod - (clock.now() - startedAt) : 0;
		this.#cancel = clock.schedule(Math.max(succeeded ? 1 : 50, pause), () => {
			void this.#watch();
		});
	}

	/** Before the first answer every seed is asked at once, since any of them may be down. */
	async #ask(): Promise<boolean> {
		if (this.#informedAt === undefined) {
			const answers = await Promise.all(this.options.seeds().map(async seed => this.#informedAt === undefined && this.#askAt(seed)));
			return answers.some(Boolean);
		}

		this.#target ??= this.#nextTarget();
		return this.#target !== undefined && this.#askAt(this.#target);
	}

	async #askAt(target: Address): Promise<boolean> {
		const {clock, linkClient, logger, self, contacts} = this.options;
		const askedAt = clock.now();
		const request: WatchRequest = {
			self,
			routingVersion: this.#routingVersion,
			directoryId: this.#directoryId,
			directoryVersion: this.#directoryVersion,
			contacts: encodeReachability(contacts()),
			controlsDigest: this.#controlsDigest,
			entriesDigest: entriesDigest(this.#entries),
		};
		try {
			const response = await linkClient.request(target, 'watch', request, watchTimeout) as WatchResponse;
			this.#receive(response, askedAt);
			if (response.leaderSilence > leaderSilenceLimit) {
				this.#leave(target, `it has had no leader for ${response.leaderSilence} ms`);
				return false;
			}

			this.#informedAt = askedAt;
			if (this.#isLocal(target)) {
				this.#tried.clear();
			} else {
				this.#preferLocal(target);
			}

			return true;
		} catch (error) {
			logger.warn(`control instance ${target} did not answer: ${toBuckthornhitchError(error).message}`);
			this.#leave(target, 'no answer');
			return false;
		}
	}

	#leave(target: Address, reason: string): void {
		if (this.#informedAt === undefined) {
			return;
		}

		this.options.logger.info(`leaving control instance ${target}: ${reason}; informed ${Math.round(this.informationAge ?? -1)} ms ago`);
		this.#tried.add(target);
		this.#triedAt = this.options.clock.now();
		this.#target = undefined;
	}

	#isLocal(address: Address): boolean {
		return this.#localControls().includes(address);
	}

	#localControls(): readonly Address[] {
		return this.#controls.filter(record => record.dataCentre === this.options.self.dataCentre).map(record => record.address);
	}

	/** Leaves a remote control instance for a local one, but returns to one that failed only after a while. */
	#preferLocal(target: Address): void {
		const {clock} = this.options;
		if (clock.now() - this.#triedAt > localRetryPause) {
			this.#tried.clear();
		}

		if (this.#localControls().some(address => !this.#tried.has(address))) {
			this.options.logger.debug(`leaving the remote control instance ${target} for a local one`);
			this.#target = undefined;
		}
	}

	/** Control instances of the same data centre come first. */
	#nextTarget(): Address | undefined {
		const others = this.#controls.map(record => record.address);
		const addresses = [...new Set([...this.options.random.sample(this.#localControls(), others.length), ...others, ...this.options.seeds()])];
		const untried = addresses.find(address => !this.#tried.has(address));
		if (untried === undefined) {
			this.#tried = new Set();
		}

		return untried ?? addresses.at(0);
	}

	/** A control instance that started lately knows only some entries, which may add to what is known but not replace it. */
	#receiveEntries({entries, entryCount, entryDataCentres, knowsEntries}: WatchResponse): void {
		if (knowsEntries || (entries?.length ?? 0) > this.#entries.length) {
			this.#entries = entries ?? this.#entries;
		}

		this.#entryCount = Math.max(1, entryCount, knowsEntries ? 1 : this.#entryCount);
		this.#entryDataCentres = Math.max(1, entryDataCentres, knowsEntries ? 1 : this.#entryDataCentres);
	}

	#receive(response: WatchResponse, askedAt: Milliseconds): void {
		const {directory, format, onRoutingTable, onPrimaryReports, logger} = this.options;
		if (response.controls) {
			this.#controls = response.controls;
			this.#controlsDigest = response.controlsDigest;
		}

		this.#receiveEntries(response);
		directory.merge(response.changedServers);
		const silent = new Map(response.silentServers);
		directory.recordAnnouncementAges(directory.servers.map(({id}) => [id, silent.get(id) ?? announcementFreshness]));
		this.#directoryId = response.directoryId;
		this.#directoryVersion = response.directoryVersion;
		if (response.routing && response.routing.version > this.#routingVersion) {
			onRoutingTable(format.parse(response.routing.document));
			logger.info(`routing version ${response.routing.version} in force, before ${this.#routingVersion}`);
			this.#routingVersion = response.routing.version;
		}

		onPrimaryReports(response.primaries, askedAt);
	}
}
