import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendAnnouncement, type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {parseBody, requestSchemas} from '../control/request-schemas.js';
import {bootstrapIndex} from '../control-log/election.js';
import {type LogStorage} from '../control-log/storage.js';
import {defaultVoterTiming, type VoterTiming} from '../control-log/voter-options.js';
import {Voter} from '../control-log/voter.js';
import {type Address} from '../links/address.js';
import {type LinkClient, type RequestHandler} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random, uniqueId} from '../random/random.js';
import {type RateLimitSettings} from '../rate-limit/limit-arithmetic.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {validateRoutingTable} from '../routing-table/routing-table-validation.js';
import {
	RoutingStateMachine, type AcceptedRouting, type PromotionRecord, type SubmitResult,
} from '../routing-table/routing-state-machine.js';
import {type RoutingDocumentParser, type RoutingTable} from '../routing-table/types.js';
import {type ProbeMode} from '../promotion/probe-assignment.js';
import {failureDetectionThreshold} from '../promotion/promotion-decision.js';
import {type BackendServerMonitor} from '../promotion/backend-server-monitor.js';
import {AnnouncementExchange} from './announcement-exchange.js';
import {selectInitialVoters} from './bootstrap-rules.js';
import {encodeReachability, ReachabilityReports} from './reachability-reports.js';
import {type ControlDirectory} from './control-directory.js';
import {entriesDigest, EntryDirectory} from './entry-directory.js';
import {IntroductionController} from './introduction-controller.js';
import {
	announcementFreshness, type ControlReachability, type ControlRecord, type IntroduceRequest, type IntroduceResponse,
	type ReachabilityNotice, type SubmitRoutingRequest, type WatchRequest, type WatchResponse,
} from './messages.js';
import {ProbeCoordinator} from './probe-coordinator.js';
import {RoutingHistory} from './routing-history.js';
import {type RoutingPieceRequest} from './routing-transfer.js';
import {UsageExchange} from './usage-exchange.js';

/** Time within which a quorum must confirm a request. It is shorter than 1 s, the time after which operators send an unanswered request to another instance. */
const confirmationTimeout: Milliseconds = 800;

/** Period at which the directory is pruned, failures are reported to the leader and a missing voter list is checked for. */
const housekeepingPeriod: Milliseconds = 250;

/** Time after its start from which an instance knows the entries that watch any control instance. It covers two introduction periods and the time in which the entries begin to send `watch` requests. */
const entryLearningTime: Milliseconds = 2500;

/** See `RegistryOptions.maximumClockDifference`. */
const defaultMaximumClockDifference: Milliseconds = 20_000;

/** Timing of the voters. Promotions wait for a leader, so the election timeouts are shorter than the defaults, which allow for long process pauses. Compaction starts early, since the log holds whole documents. */
const registryTiming: VoterTiming = {
	...defaultVoterTiming,
	minimumElectionTimeout: 300,
	maximumElectionTimeout: 600,
	leaseDuration: 240,
	compactAfterEntries: 200,
	compactAfterCharacters: 4 * 1024 * 1024,
};

/** Settings and dependencies of a registry process. */
export type RegistryOptions = {
	readonly name: string;
	readonly linkAddress: Address;
	readonly controlAddress: Address;
	readonly dataCentre: string;
	readonly region: string;
	readonly mayBootstrap: boolean;
	/** Number of simultaneous disk losses after which a majority of the voters must remain. */
	readonly toleratedDiskLosses: number;
	/** Returns the link addresses of the control instances currently named in the settings. */
	readonly seeds: () => readonly Address[];
	readonly storage: LogStorage;
	readonly routingDocumentParser: RoutingDocumentParser;
	readonly clock: Clock;
	readonly random: Random;
	readonly linkClient: LinkClient;
	readonly linkServer: {handle(name: string, handler: RequestHandler): void};
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly controls: ControlDirectory;
	readonly monitor: BackendServerMonitor;
	readonly timing?: VoterTiming;
	readonly rateLimitSettings?: RateLimitSettings;
	/** Time by which the clock of a backend server may be ahead of that of this instance; 20 s if absent. */
	readonly maximumClockDifference?: Milliseconds;
};

/** Control process of a deployment with a routing table: holds the routing document, the directory of backend servers and the fencing tokens. */
export class RegistryProcess extends Controller {
	/** Voter of this instance in the replicated control log. */
	readonly voter: Voter;
	/** Reachability of the backend servers as reported by entry and control instances. */
	readonly reports: ReachabilityReports;
	readonly #stateMachine = new RoutingStateMachine();
	readonly #routingHistory = new RoutingHistory();
	readonly #introductions: IntroductionController;
	readonly #directoryId = uniqueId();
	readonly #entries: EntryDirectory;
	readonly #usage: UsageExchange;
	readonly #probes: ProbeCoordinator;
	readonly #announcements: AnnouncementExchange;
	readonly #createdAt: Milliseconds;
	#table: RoutingTable | undefined;
	#cancel: Cancel | undefined;
	#bootstrapping = false;

	constructor(private readonly options: RegistryOptions) {
		super();
		const {clock, linkClient, controls, logger} = options;
		this.reports = new ReachabilityReports(clock);
		this.#entries = new EntryDirectory(clock);
		this.#announcements = new AnnouncementExchange({...options, maximumClockDifference: options.maximumClockDifference ?? defaultMaximumClockDifference});
		this.#createdAt = clock.now();
		this.voter = new Voter({
			name: options.name,
			address: options.linkAddress,
			storage: options.storage,
			stateMachine: this.#stateMachine,
			linkClient,
			clock,
			random: options.random,
			logger,
			timing: options.timing ?? registryTiming,
			addressOf: name => controls.addressOf(name),
			spareInstances: () => controls.live.filter(record => record.group === null || record.group === this.voter.describe().group),
			observer: {
				committed: logEntry => {
					if (logEntry.command.kind === 'replaceRouting') {
						this.#refreshRoutingTable();
					}
				},
				restored: () => {
					this.#refreshRoutingTable();
				},
				event(kind, subject, detail) {
					logger.info(`${kind} ${subject} ${detail}`);
				},
				roleChanged(role) {
					logger.info(`voter role changed to ${role}`);
				},
			},
		});
		this.#introductions = new IntroductionController({
			clock,
			linkClient,
			controlDirectory: controls,
			servers: options.directory,
			entries: this.#entries,
			self: () => this.#self(),
			logger,
			seeds: () => [...options.seeds(), ...this.voter.voterList.voters.map(voter => voter.address)],
			leaderAddress: () => this.#leaderAddress(),
			reachability: () => this.#reachability(),
			takeAnnouncedServers: () => this.#announcements.takeAnnouncedServers(),
		});
		this.#probes = new ProbeCoordinator({
			...options,
			table: () => this.#table,
			leaderName: () => this.voter.leader?.name,
			leaderAddress: () => this.#leaderAddress(),
			isLeader: () => this.voter.leaseLive,
			entryCount: () => clock.now() - this.#createdAt >= entryLearningTime ? this.#entries.all.length : undefined,
		});
		this.#usage = new UsageExchange({...options, runId: this.#directoryId, entryCount: () => this.#entries.all.length});
	}

	/** The routing table known to this instance; it may be older than the accepted one. */
	get table(): RoutingTable | undefined {
		return this.#table;
	}

	/** Reads the data folder, then starts to handle requests. Rejects with storageCorrupt or storageFailed. */
	async open(): Promise<void> {
		await this.voter.open();
		this.#refreshRoutingTable();
		this.start();
	}

	override start(): void {
		const {linkServer, clock, directory} = this.options;
		const {voter} = this;
		linkServer.handle('bootstrap', async body => voter.bootstrap(parseBody(requestSchemas.bootstrap, body)));
		linkServer.handle('describeVoter', async () => voter.describe());
		linkServer.handle('requestVote', async body => voter.handleVote(parseBody(requestSchemas.requestVote, body)));
		linkServer.handle('appendEntries', async body => voter.handleAppend(parseBody(requestSchemas.appendEntries, body)));
		linkServer.handle('installSnapshot', async body => voter.handleSnapshot(parseBody(requestSchemas.installSnapshot, body)));
		linkServer.handle('introduce', async body => this.#handleIntroduce(body as IntroduceRequest));
		linkServer.handle('watch', async body => this.#handleWatch(body as WatchRequest));
		linkServer.handle('fetchRouting', async body => this.#routingHistory.piece(body as RoutingPieceRequest));
		linkServer.handle('submitRouting', async body => this.#submitAsLeader(body as SubmitRoutingRequest));
		linkServer.handle('readRouting', async () => this.#readAsLeader());
		linkServer.handle('shareContacts', async body => {
			const {name, contacts} = body as ReachabilityNotice;
			this.reports.receiveFromControl(name, contacts);
		});
		this.#announcements.start();
		this.#introductions.start();
		this.#usage.start();
		this.#probes.start();
		this.#cancel = clock.repeat(housekeepingPeriod, () => {
			directory.prune();
			this.#reportFailuresToLeader();
			this.#probes.update();
			void this.#bootstrapIfNeeded();
		});
	}

	override async stop(): Promise<void> {
		this.#cancel?.();
		this.#introductions.stop();
		this.#usage.stop();
		await this.voter.stop();
	}

	/** Submits a routing document through the leader; resolves with the version in force. Rejects with configurationInvalid, or with notLeader or notConfirmed when the outcome is unknown. */
	async submitRouting(document: string): Promise<SubmitResult> {
		const table = this.options.routingDocumentParser.parse(document);
		validateRoutingTable(table);
		return await this.#runOnLeader('submitRouting', {version: table.version, document}, async request => this.#submitAsLeader(request)) as SubmitResult;
	}

	/** Resolves with the newest accepted routing. Rejects with notLeader or notConfirmed when a quorum does not confirm it. */
	async readRouting(): Promise<AcceptedRouting | undefined> {
		const answer = await this.#runOnLeader('readRouting', null, async () => this.#readAsLeader());
		return answer as AcceptedRouting | null ?? undefined;
	}

	/** Returns how this instance probes a backend server. */
	probeMode(server: BackendServer): ProbeMode {
		return this.#probes.probeMode(server);
	}

	/** See `AnnouncementExchange.handleAnnouncement`. */
	handleAnnouncement(announcement: BackendAnnouncement): void {
		this.#announcements.handleAnnouncement(announcement);
	}

	/** See `AnnouncementExchange.handleLeave`. */
	handleLeave(id: string): void {
		this.#announcements.handleLeave(id);
	}

	/** Resolves with a fencing token that is higher than all earlier ones, and records the member that it is for. Rejects with notLeader or notConfirmed. */
	async issueToken(subject: string, member: string): Promise<number> {
		return await this.voter.propose({kind: 'issueToken', subject, member}, confirmationTimeout) as number;
	}

	/** Records that no request for the service up to the token can be carried out any more; the member is the one that the last request named. Rejects with notLeader or notConfirmed. */
	async settlePromotions(subject: string, member: string, settledToken: number): Promise<void> {
		await this.voter.propose({
			kind: 'issueToken', subject, member, settledToken,
		}, confirmationTimeout);
	}

	/** Returns the last request to promote a member of the service. Complete while this instance leads. */
	lastPromotion(service: string): PromotionRecord | undefined {
		return this.#stateMachine.lastPromotion(service);
	}

	#handleIntroduce(request: IntroduceRequest): IntroduceResponse {
		this.options.directory.recordAnnouncementAges(request.heard);
		if (request.contacts) {
			this.reports.receiveFromControl(request.self.name, request.contacts);
		}

		return this.#introductions.handleIntroduce(request);
	}

	#reachability(): ControlReachability {
		return {own: encodeReachability(this.options.monitor.reachabilities()), entries: this.reports.summary(failureDetectionThreshold)};
	}

	/** While a backend server cannot be reached, reports reachability to the leader in each housekeeping period; the introductions report it less often. */
	#reportFailuresToLeader(): void {
		const address = this.#leaderAddress();
		const contacts = this.#reachability();
		const isEveryServerReached = contacts.own.failing.length === 0 && contacts.entries.every(serverSummary => serverSummary[2] === 0);
		if (address !== undefined && address !== this.options.linkAddress && !isEveryServerReached) {
			this.options.linkClient.notify(address, 'shareContacts', {name: this.options.name, contacts} satisfies ReachabilityNotice);
		}
	}

	#leaderAddress(): Address | undefined {
		const {leader} = this.voter;
		return leader && (this.options.controls.addressOf(leader.name) ?? leader.address);
	}

	/** Handles the request locally when this instance leads or knows no leader, otherwise forwards it to the leader. */
	async #runOnLeader<Request>(name: string, request: Request, handleLocally: (request: Request) => Promise<unknown>): Promise<unknown> {
		const {leader, self} = this.voter;
		if (!leader || leader.name === self.name) {
			return handleLocally(request);
		}

		return this.options.linkClient.request(this.#leaderAddress()!, name, request, confirmationTimeout);
	}

	async #submitAsLeader({version, document}: SubmitRoutingRequest): Promise<SubmitResult> {
		await this.voter.confirmLeadership(confirmationTimeout);
		const {accepted} = this.#stateMachine;
		if (accepted && version <= accepted.version) {
			this.options.logger.info(`ignored routing version ${version}: version ${accepted.version} is already accepted`);
			return {version: accepted.version, replaced: false};
		}

		const result = await this.voter.propose({kind: 'replaceRouting', version, document}, confirmationTimeout) as SubmitResult;
		this.options.logger.info(`routing version ${version} ${result.replaced ? 'accepted' : 'superseded'}; version ${result.version} is in force`);
		return result;
	}

	async #readAsLeader(): Promise<AcceptedRouting | null> {
		await this.voter.confirmLeadership(confirmationTimeout);
		return this.#stateMachine.accepted ?? null;
	}

	#handleWatch(request: WatchRequest): WatchResponse {
		const {directory, controls, monitor} = this.options;
		this.reports.receive(request.self.name, 'entry', request.contacts);
		this.#entries.recordWatch(request.self);
		const entries = this.#entries.all;
		const sentEntries = request.wantsAllEntries
			? this.#entries.listForPlacement(request.self.dataCentre, () => this.#memberDataCentres())
			: entries.filter(({dataCentre}) => dataCentre === request.self.dataCentre);
		const {accepted} = this.#stateMachine;
		const {newest} = this.#routingHistory;
		const knownVersion = request.directoryId === this.#directoryId ? request.directoryVersion : 0;
		return {
			controls: request.controlsDigest === controls.digest ? undefined : controls.records,
			controlsDigest: controls.digest,
			leaderSilence: Number.isFinite(this.voter.leaderSilence) ? this.voter.leaderSilence : null,
			routing: request.routingDigest === undefined && accepted && accepted.version > request.routingVersion ? accepted : undefined,
			newestRouting: newest?.digest === request.routingDigest ? undefined : newest,
			directoryId: this.#directoryId,
			directoryVersion: directory.version,
			changedServers: directory.changesSince(knownVersion),
			silentServers: directory.servers
				.map(server => [server.id, Math.round(directory.timeSinceLastAnnouncement(server.id))] as const)
				.filter(([, age]) => age > announcementFreshness),
			primaries: monitor.primaryReports(),
			entries: request.entriesDigest === entriesDigest(sentEntries) ? undefined : sentEntries,
			...(request.wantsAllEntries && {coversAllEntries: true as const}),
			entryCount: entries.length,
			entryDataCentres: new Set(entries.map(({dataCentre}) => dataCentre)).size,
			knowsEntries: this.options.clock.now() - this.#createdAt >= entryLearningTime,
			...this.#usage.answerReport(request.usage),
		};
	}

	/** Data centres with members of the services that the routing table names. */
	#memberDataCentres(): ReadonlySet<string> {
		const services = new Set(this.#table?.services.map(({name}) => name));
		return new Set(this.options.directory.servers.filter(({service}) => services.has(service)).map(({dataCentre}) => dataCentre));
	}

	#self(): ControlRecord {
		const {name, linkAddress, controlAddress, dataCentre, region, mayBootstrap} = this.options;
		const {diskId, group} = this.voter.describe();
		return {
			name, diskId, group, address: linkAddress, controlAddress, dataCentre, region, mayBootstrap,
		};
	}

	#refreshRoutingTable(): void {
		const {accepted} = this.#stateMachine;
		if (accepted && accepted.version !== this.#table?.version) {
			this.#table = this.options.routingDocumentParser.parse(accepted.document);
			this.#routingHistory.add(this.#table);
			this.#usage.replaceCustomers(this.#table.customers);
		}
	}

	async #bootstrapIfNeeded(): Promise<void> {
		if (this.#bootstrapping) {
			return;
		}

		const {controls, toleratedDiskLosses, seeds, logger} = this.options;
		const voters = selectInitialVoters({
			self: this.#self(), live: controls.live, seeds: seeds(), toleratedDiskLosses,
		});
		this.#bootstrapping = true;
		try {
			if (voters) {
				await this.voter.bootstrap({voters: voters.map(({name, diskId, address}) => ({name, diskId, address}))});
			}

			await this.#resendInitialVoterList();
		} catch (error) {
			logger.warn(`bootstrap of the voter list failed: ${toBuckthornhitchError(error).message}`);
		} finally {
			this.#bootstrapping = false;
		}
	}

	/** Sends the initial voter list to every voter again until a leader is elected, so that a crash during the bootstrap does not leave some voters without it. */
	async #resendInitialVoterList(): Promise<void> {
		const {group, lastIndex} = this.voter.describe();
		if (group === null || lastIndex !== bootstrapIndex || this.voter.leader) {
			return;
		}

		const {voters} = this.voter.voterList;
		const others = voters.filter(voter => voter.name !== this.options.name);
		await Promise.all(others.map(async voter => this.options.linkClient.request(voter.address, 'bootstrap', {voters}, confirmationTimeout)));
	}
}
