import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendAnnouncement} from '../backend-directory/types.js';
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
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {validateRoutingTable} from '../routing-table/routing-table-validation.js';
import {RoutingStateMachine, type AcceptedRouting, type SubmitResult} from '../routing-table/routing-state-machine.js';
import {type RoutingDocumentParser, type RoutingTable} from '../routing-table/types.js';
import {failureDetectionThreshold} from '../promotion/promotion-decision.js';
import {type BackendServerMonitor} from '../promotion/backend-server-monitor.js';
import {firstVoters} from './bootstrap-rules.js';
import {encodeReachability, ReachabilityReports} from './reachability-reports.js';
import {type ControlDirectory} from './control-directory.js';
import {entriesDigest, EntryDirectory} from './entry-directory.js';
import {IntroductionController} from './introduction-controller.js';
import {
	announcementFreshness, type ControlReachability, type ControlRecord, type IntroduceRequest, type IntroduceResponse,
	type ShareAnnouncements, type ShareContacts, type SubmitRequest, type WatchRequest, type WatchResponse,
} from './messages.js';

/** Time within which a quorum must confirm a request; below the second after which operators try another instance. */
const confirmationTimeout: Milliseconds = 800;

/** Period at which an unset voter list is looked at, and the directory is pruned. */
const housekeepingPeriod: Milliseconds = 250;

/** An instance that runs for this long has heard of the entries from all others; two introductions and the start of a watch. */
const entryLearningTime: Milliseconds = 2500;

/** Times of the voters. A leader is replaced sooner than in a deployment with long pauses, since promotions wait for it; the limits keep the log, which holds whole documents, small. */
const registryTiming: VoterTiming = {
	...defaultVoterTiming,
	minimumElectionTimeout: 300,
	maximumElectionTimeout: 600,
	leaseDuration: 240,
	compactAfter: 200,
	compactAfterCharacters: 4 * 1024 * 1024,
};

/** What a registry process needs. */
export type RegistryOptions = {
	readonly name: string;
	readonly linkAddress: Address;
	readonly controlAddress: Address;
	readonly dataCentre: string;
	readonly mayBootstrap: boolean;
	readonly lostDisks: number;
	/** Returns link addresses of the control instances that the settings name now. */
	readonly seeds: () => readonly Address[];
	readonly storage: LogStorage;
	readonly format: RoutingDocumentParser;
	readonly clock: Clock;
	readonly random: Random;
	readonly linkClient: LinkClient;
	readonly linkServer: {handle(name: string, handler: RequestHandler): void};
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly controls: ControlDirectory;
	readonly monitor: BackendServerMonitor;
	readonly timing?: VoterTiming;
};

/** Control process of a routed deployment: keeps the routing document, the directory of backend servers and the fencing tokens. */
export class RegistryProcess extends Controller {
	readonly voter: Voter;
	readonly reports: ReachabilityReports;
	readonly #machine = new RoutingStateMachine();
	readonly #introductions: IntroductionController;
	readonly #directoryId = uniqueId();
	readonly #entries: EntryDirectory;
	readonly #createdAt: Milliseconds;
	#table: RoutingTable | undefined;
	#cancel: Cancel | undefined;
	#bootstrapping = false;
	/** Backend servers that announced themselves here since the last introduction. */
	readonly #heard = new Set<string>();

	constructor(private readonly options: RegistryOptions) {
		super();
		const {clock, linkClient, controls, logger} = options;
		this.reports = new ReachabilityReports(clock);
		this.#entries = new EntryDirectory(clock);
		this.#createdAt = clock.now();
		this.voter = new Voter({
			name: options.name,
			address: options.linkAddress,
			storage: options.storage,
			stateMachine: this.#machine,
			linkClient,
			clock,
			random: options.random,
			logger,
			timing: options.timing ?? registryTiming,
			addressOf: name => controls.addressOf(name),
			spareInstances: () => controls.live.filter(record => record.group === null || record.group === this.voter.describe().group),
			observer: {
				committed: entry => {
					if (entry.command.kind === 'replaceRouting') {
						this.#refreshTable();
					}
				},
				restored: () => {
					this.#refreshTable();
				},
				event(kind, subject, detail) {
					logger.info(`${kind} ${subject} ${detail}`);
				},
				roleChanged(role) {
					logger.info(`role ${role}`);
				},
			},
		});
		this.#introductions = new IntroductionController({
			clock,
			linkClient,
			directory: controls,
			servers: options.directory,
			entries: this.#entries,
			self: () => this.#self(),
			logger,
			seeds: () => [...options.seeds(), ...this.voter.voterList.voters.map(voter => voter.address)],
			leaderAddress: () => this.#leaderAddress(),
			contacts: () => this.#contacts(),
			takeHeard: () => this.#takeHeard(),
		});
	}

	/** The routing table known here; it may be older than the accepted one. */
	get table(): RoutingTable | undefined {
		return this.#table;
	}

	/** Reads the data folder, then answers requests. Rejects with storageCorrupt or storageFailed. */
	async open(): Promise<void> {
		await this.voter.open();
		this.#refreshTable();
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
		linkServer.handle('introduce', async body => this.#introduced(body as IntroduceRequest));
		linkServer.handle('watch', async body => this.#watch(body as WatchRequest));
		linkServer.handle('submitRouting', async body => this.#submitHere(body as SubmitRequest));
		linkServer.handle('readRouting', async () => this.#readHere());
		linkServer.handle('shareContacts', async body => {
			const {name, contacts} = body as ShareContacts;
			this.reports.receiveFromControl(name, contacts);
		});
		linkServer.handle('shareAnnouncements', async body => {
			directory.merge((body as ShareAnnouncements).servers);
		});
		this.#introductions.start();
		this.#cancel = clock.repeat(housekeepingPeriod, () => {
			directory.prune();
			this.#shareFailures();
			void this.#bootstrapIfFirst();
		});
	}

	override async stop(): Promise<void> {
		this.#cancel?.();
		this.#introductions.stop();
		await this.voter.stop();
	}

	/** Accepts a document; resolves with the version in force. Rejects with configurationInvalid, or with notLeader or notConfirmed when the outcome is not known. */
	async submitRouting(document: string): Promise<SubmitResult> {
		const table = this.options.format.parse(document);
		validateRoutingTable(table);
		return await this.#atLeader('submitRouting', {version: table.version, document}, async request => this.#submitHere(request)) as SubmitResult;
	}

	/** Resolves with the newest accepted routing. Rejects with notLeader or notConfirmed when this is not sure. */
	async readRouting(): Promise<AcceptedRouting | undefined> {
		const answer = await this.#atLeader('readRouting', null, async () => this.#readHere());
		return answer as AcceptedRouting | null ?? undefined;
	}

	/** Takes over what a backend server says of itself and passes it on. */
	announce(announcement: BackendAnnouncement): void {
		const {directory, logger} = this.options;
		const before = directory.version;
		if (!directory.applyAnnouncement(announcement)) {
			logger.debug(`ignored the announcement ${announcement.sequence} of ${announcement.id}: a later one is known`);
			return;
		}

		if (directory.version !== before) {
			logger.info(`backend server ${announcement.id} is ${announcement.isLeaving ? 'leaving' : 'ready'} as ${announcement.role}`, {announcement});
			this.#share(announcement.id);
		}

		this.#heard.add(announcement.id);
	}

	/** Marks a backend server as gone and passes it on. */
	leave(id: string): void {
		if (this.options.directory.markGone(id)) {
			this.options.logger.info(`backend server ${id} left`);
		}

		this.#share(id);
	}

	/** Resolves with a fencing token, higher than every token before. Rejects with notLeader or notConfirmed. */
	async issueToken(subject: string): Promise<number> {
		return await this.voter.propose({kind: 'issueToken', subject}, confirmationTimeout) as number;
	}

	#introduced(request: IntroduceRequest): IntroduceResponse {
		this.options.directory.recordAnnouncementAges(request.heard);
		if (request.contacts) {
			this.reports.receiveFromControl(request.self.name, request.contacts);
		}

		return this.#introductions.answer(request);
	}

	#contacts(): ControlReachability {
		return {own: encodeReachability(this.options.monitor.contacts()), entries: this.reports.summary(failureDetectionThreshold)};
	}

	/** Tells the leader at a faster pace than introductions while a backend server is not reached. */
	#shareFailures(): void {
		const address = this.#leaderAddress();
		const contacts = this.#contacts();
		const isComplete = contacts.own.failing.length === 0 && contacts.entries.every(entry => entry[2] === 0);
		if (address !== undefined && address !== this.options.linkAddress && !isComplete) {
			this.options.linkClient.notify(address, 'shareContacts', {name: this.options.name, contacts} satisfies ShareContacts);
		}
	}

	#takeHeard(): ReadonlyArray<readonly [id: string, age: Milliseconds]> {
		const heard = [...this.#heard].map(id => [id, Math.round(this.options.directory.timeSinceLastAnnouncement(id))] as const);
		this.#heard.clear();
		return heard;
	}

	#leaderAddress(): Address | undefined {
		const {leader} = this.voter;
		return leader && (this.options.controls.addressOf(leader.name) ?? leader.address);
	}

	#share(id: string): void {
		const server = this.options.directory.serverById(id);
		if (!server) {
			return;
		}

		for (const record of this.options.controls.records) {
			if (record.name !== this.options.name) {
				this.options.linkClient.notify(record.address, 'shareAnnouncements', {servers: [server]} satisfies ShareAnnouncements);
			}
		}
	}

	async #atLeader<Request>(name: string, request: Request, here: (request: Request) => Promise<unknown>): Promise<unknown> {
		const {leader, self} = this.voter;
		if (!leader || leader.name === self.name) {
			return here(request);
		}

		return this.options.linkClient.request(this.#leaderAddress()!, name, request, confirmationTimeout);
	}

	async #submitHere({version, document}: SubmitRequest): Promise<SubmitResult> {
		await this.voter.confirmLeadership(confirmationTimeout);
		const {accepted} = this.#machine;
		if (accepted && version <= accepted.version) {
			this.options.logger.info(`routing version ${version} changes nothing: version ${accepted.version} is accepted`);
			return {version: accepted.version, replaced: false};
		}

		const answer = await this.voter.propose({kind: 'replaceRouting', version, document}, confirmationTimeout) as SubmitResult;
		this.options.logger.info(`routing version ${version} ${answer.replaced ? 'accepted' : 'overtaken'}; version ${answer.version} is in force`);
		return answer;
	}

	async #readHere(): Promise<AcceptedRouting | null> {
		await this.voter.confirmLeadership(confirmationTimeout);
		return this.#machine.accepted ?? null;
	}

	#watch(request: WatchRequest): WatchResponse {
		const {directory, controls, monitor} = this.options;
		this.reports.receive(request.self.name, 'entry', request.contacts);
		this.#entries.heard(request.self);
		const entries = this.#entries.all;
		const neighbours = entries.filter(({dataCentre}) => dataCentre === request.self.dataCentre);
		const {accepted} = this.#machine;
		const known = request.directoryId === this.#directoryId ? request.directoryVersion : 0;
		return {
			controls: request.controlsDigest === controls.digest ? undefined : controls.records,
			controlsDigest: controls.digest,
			leaderSilence: Math.min(this.voter.leaderSilence, Number.MAX_SAFE_INTEGER),
			routing: accepted && accepted.version > request.routingVersion ? accepted : undefined,
			directoryId: this.#directoryId,
			directoryVersion: directory.version,
			changedServers: directory.changesSince(known),
			silentServers: directory.servers
				.map(server => [server.id, Math.round(directory.timeSinceLastAnnouncement(server.id))] as const)
				.filter(([, age]) => age > announcementFreshness),
			primaries: monitor.primaryReports(),
			entries: request.entriesDigest === entriesDigest(neighbours) ? undefined : neighbours,
			entryCount: entries.length,
			entryDataCentres: new Set(entries.map(({dataCentre}) => dataCentre)).size,
			knowsEntries: this.options.clock.now() - this.#createdAt >= entryLearningTime,
		};
	}

	#self(): ControlRecord {
		const {name, linkAddress, controlAddress, dataCentre, mayBootstrap} = this.options;
		const {diskId, group} = this.voter.describe();
		return {
			name, diskId, group, address: linkAddress, controlAddress, dataCentre, mayBootstrap,
		};
	}

	#refreshTable(): void {
		const {accepted} = this.#machine;
		if (accepted && accepted.version !== this.#table?.version) {
			this.#table = this.options.format.parse(accepted.document);
		}
	}

	async #bootstrapIfFirst(): Promise<void> {
		if (this.#bootstrapping) {
			return;
		}

		const {controls, lostDisks, seeds, logger} = this.options;
		const voters = firstVoters({
			self: this.#self(), live: controls.live, seeds: seeds(), lostDisks,
		});
		this.#bootstrapping = true;
		try {
			if (voters) {
				await this.voter.bootstrap({voters: voters.map(({name, diskId, address}) => ({name, diskId, address}))});
			}

			await this.#spreadFirstList();
		} catch (error) {
			logger.warn(`the first voter list could not be set: ${toBuckthornhitchError(error).message}`);
		} finally {
			this.#bootstrapping = false;
		}
	}

	/** Repeats the first list to every voter until a leader is elected, so that a crash in between does not leave some voters without it. */
	async #spreadFirstList(): Promise<void> {
		const {group, lastIndex} = this.voter.describe();
		if (group === null || lastIndex !== bootstrapIndex || this.voter.leader) {
			return;
		}

		const {voters} = this.voter.voterList;
		const others = voters.filter(voter => voter.name !== this.options.name);
		await Promise.all(others.map(async voter => this.options.linkClient.request(voter.address, 'bootstrap', {voters}, confirmationTimeout)));
	}
}
