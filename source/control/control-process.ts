import {type Registry} from 'prom-client';
import {Controller} from '../blackboard/blackboard.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogStorage} from '../control-log/storage.js';
import {ConfigurationStateMachine, databaseMembers} from '../control-log/configuration-state-machine.js';
import {type ApplyCommand, type ControlLogEntry} from '../control-log/types.js';
import {type VoterTiming} from '../control-log/voter-options.js';
import {Voter} from '../control-log/voter.js';
import {type Address} from '../links/address.js';
import {type LinkClient, type RequestHandler} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {resultCodeName} from '../result-codes/result-codes.js';
import {type CommonSettings} from '../settings/common-settings.js';
import {type Timeline} from '../timeline/timeline.js';
import {type ConfigurationValidator} from './configuration-validator.js';
import {ControlMetrics} from './control-metrics.js';
import {
	type ApplyRequest, type ApplyResponse, type ConfigurationSinceRequest, type ConfigurationSinceResponse, type ControlStatusResponse, type RegisterMemberRequest,
} from './messages.js';
import {parseBody, requestSchemas} from './request-schemas.js';
import {type RevisionPublisher} from './revision-publisher.js';

/** Timeout for the confirmation of a request by a quorum. */
export const confirmationTimeout: Milliseconds = 2000;

/** Limit on the characters of the files of one change; well below the size limit of a frame. */
export const maximumChangeCharacters = 2 * 1024 * 1024;

/** Services that a control process needs; `ProcessRuntime` provides them all. */
export type ControlServices = {
	readonly settings: Pick<CommonSettings, 'name' | 'linkAddress'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly registry: Registry;
	readonly timeline: Timeline;
	readonly linkServer: {handle(name: string, handler: RequestHandler): void};
	readonly linkClient: LinkClient;
	logger(part: string): Logger;
};

/** Storage, validation, publication and timing of a control process. */
export type ControlOptions = {
	readonly storage: LogStorage;
	readonly validator: ConfigurationValidator;
	readonly publisher: RevisionPublisher;
	readonly timing?: VoterTiming;
	/** Returns the current link address of a control process by name, or undefined to use the address in the voter list. */
	readonly addressOf?: (name: string) => Address | undefined;
};

/** Control process: a voter of the control log that serves the accepted configuration and accepts changes to it. */
export class ControlProcess extends Controller {
	readonly voter: Voter;
	readonly #stateMachine = new ConfigurationStateMachine();
	readonly #metrics: ControlMetrics;
	#publishedRevision = 0;

	constructor(private readonly services: ControlServices, private readonly options: ControlOptions) {
		super();
		this.#metrics = new ControlMetrics(services.registry);
		this.voter = new Voter({
			name: services.settings.name,
			address: services.settings.linkAddress,
			storage: options.storage,
			stateMachine: this.#stateMachine,
			linkClient: services.linkClient,
			clock: services.clock,
			random: services.random,
			logger: services.logger('control'),
			timing: options.timing,
			addressOf: options.addressOf,
			observer: {
				committed: (entry, result, isReplay) => {
					this.#handleCommitted(entry, isReplay ? undefined : result as ApplyResponse | undefined);
				},
				restored: () => {
					this.#publish();
				},
				event(kind, subject, detail) {
					services.timeline.record('control', kind, subject, detail);
				},
				roleChanged: role => {
					this.#metrics.setRole(role);
				},
			},
		});
	}

	/** Revision of the accepted configuration known to this process; it may lag behind the group. */
	get revision(): number {
		return this.#stateMachine.accepted.revision;
	}

	/** Loads the data folder and starts to answer requests. Rejects with storageCorrupt or storageFailed. */
	async open(): Promise<void> {
		await this.voter.open();
		this.start();
		this.#publish();
	}

	override start(): void {
		const {linkServer} = this.services;
		const {voter} = this;
		linkServer.handle('apply', async body => this.apply(parseBody(requestSchemas.apply, body)));
		linkServer.handle('registerMember', async body => this.registerMember(parseBody(requestSchemas.registerMember, body)));
		linkServer.handle('configurationSince', async body => this.configurationSince(parseBody(requestSchemas.configurationSince, body)));
		linkServer.handle('controlStatus', async () => this.status());
		linkServer.handle('bootstrap', async body => voter.bootstrap(parseBody(requestSchemas.bootstrap, body)));
		linkServer.handle('describeVoter', async () => voter.describe());
		linkServer.handle('requestVote', async body => voter.handleVote(parseBody(requestSchemas.requestVote, body)));
		linkServer.handle('appendEntries', async body => voter.handleAppend(parseBody(requestSchemas.appendEntries, body)));
		linkServer.handle('installSnapshot', async body => voter.handleSnapshot(parseBody(requestSchemas.installSnapshot, body)));
	}

	override async stop(): Promise<void> {
		await this.voter.stop();
	}

	/** Answers `apply`. Rejects with configurationInvalid, notLeader or notConfirmed. */
	async apply(request: ApplyRequest): Promise<ApplyResponse> {
		const command: ApplyCommand = {kind: 'apply', ...request};
		await this.voter.confirmLeadership(confirmationTimeout);
		const recordedResponse = this.#stateMachine.recordedResponse(command);
		if (recordedResponse) {
			return recordedResponse;
		}

		this.#validate(command);
		return await this.voter.propose(command, confirmationTimeout) as ApplyResponse;
	}

	/** Answers `registerMember`. Rejects with unknownDatabase, memberSetFull, notLeader or notConfirmed. */
	async registerMember({database, member}: RegisterMemberRequest): Promise<ApplyResponse> {
		await this.voter.confirmLeadership(confirmationTimeout);
		const {files, revision} = this.#stateMachine.accepted;
		if (databaseMembers(this.#stateMachine.accepted, database).includes(member)) {
			return {code: 0, revision, detail: ''};
		}

		const memberCount = this.options.validator.memberCount(files, database);
		if (memberCount === undefined) {
			throw new BuckthornhitchError('unknownDatabase', `"${database}"`);
		}

		return await this.voter.propose({
			kind: 'registerMember', database, member, memberCount,
		}, confirmationTimeout) as ApplyResponse;
	}

	/** Answers `configurationSince`. Rejects with notLeader or notConfirmed. */
	async configurationSince({revision}: ConfigurationSinceRequest): Promise<ConfigurationSinceResponse> {
		await this.voter.confirmLeadership(confirmationTimeout);
		return this.#stateMachine.changesSince(revision);
	}

	/** Answers `controlStatus` with this process's view, which may be outdated unless `leaseLive` is true. */
	status(): ControlStatusResponse {
		const {self, role, termAndVote, leader, leaseLive, voterList} = this.voter;
		return {
			name: self.name,
			diskId: self.diskId,
			role,
			term: termAndVote.term,
			leader: leader?.name ?? null,
			leaseLive,
			revision: this.revision,
			voters: voterList.voters,
		};
	}

	#validate({files}: ApplyCommand): void {
		const characters = Object.values(files).join('').length;
		if (characters > maximumChangeCharacters) {
			throw new BuckthornhitchError('configurationInvalid', `The files have ${characters} characters, at most ${maximumChangeCharacters} are allowed.`);
		}

		this.options.validator.validate(files);
	}

	/** Updates the metrics and the timeline after a committed entry and publishes a new revision. Replayed entries come without a response, so that they are not counted again. */
	#handleCommitted(entry: ControlLogEntry, response: ApplyResponse | undefined): void {
		this.#metrics.commitIndex.set(entry.index);
		if (response) {
			this.#metrics.countChange(resultCodeName(response.code) ?? String(response.code));
			this.services.timeline.record('control', entry.command.kind, `revision ${response.revision}`, response.detail);
		}

		this.#publish();
	}

	#publish(): void {
		const {revision} = this;
		this.#metrics.revision.set(revision);
		if (revision > this.#publishedRevision) {
			this.#publishedRevision = revision;
			this.options.publisher.publish(revision);
		}
	}
}
