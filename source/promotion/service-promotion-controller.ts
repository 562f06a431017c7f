import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {type ReachabilityCount, type ReachabilityReports} from '../registry/reachability-reports.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type PromotionRecord} from '../routing-table/routing-state-machine.js';
import {type RoutingTable} from '../routing-table/types.js';
import {type ReplicationStatus, type ReplicationStatusParser} from '../statement/replication-status.js';
import {type BackendServerMonitor} from './backend-server-monitor.js';
import {CandidateSurvey} from './candidate-survey.js';
import {MemberCommands} from './member-commands.js';
import {type PromotionAuthority} from './promotion-authority.js';
import {isPrimaryLost, failureDetectionThreshold, type PromotionCandidate} from './promotion-decision.js';
import {PromotionExecutor} from './promotion-executor.js';
import {PromotionRequests} from './promotion-requests.js';
import {ReplicaProtection} from './replica-protection.js';
import {ReplicaRepair, type ServiceState} from './replica-repair.js';

/** Period of the checks for primaries to replace. */
const decisionPeriod: Milliseconds = 100;

/** How long a service may have no member announced as primary before one is promoted. Two announcement periods, so that a primary that has not announced itself yet can do so. */
const unknownPrimaryGracePeriod: Milliseconds = 3000;

/** Period of the log lines about a primary that only some instances reach. */
const partialFailureLogPeriod: Milliseconds = 1000;

/** How long a switchover waits for a replica to receive everything that the old primary holds. */
const catchUpTimeout: Milliseconds = 1500;

/** Period of the checks for replicas that are paused although their service has a primary. */
const repairPeriod: Milliseconds = 500;

/** Time after which a command of an earlier leader, which a partition may have held up, is lost; members drop connections whose remote end has been unreachable for 3 s. */
const lateCommandLifetime: Milliseconds = 3500;

/** Period of polling while waiting for a replica to catch up. */
const pollPeriod: Milliseconds = 30;

/** Dependencies of the promotion controller. */
export type ServicePromotionOptions = {
	readonly name: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly monitor: BackendServerMonitor;
	readonly reports: ReachabilityReports;
	readonly authority: PromotionAuthority;
	readonly statusParser: ReplicationStatusParser;
	/** Returns the routing table that this instance knows. */
	readonly table: () => RoutingTable | undefined;
	/** Returns whether this instance leads the control log. */
	readonly isLeader: () => boolean;
	/** Records a request to promote the member in the control log and resolves with its fencing token; rejects unless this instance leads. */
	readonly issueToken: (service: string, member: string) => Promise<number>;
	/** Records in the control log that no request for the service up to the token can be carried out any more; rejects unless this instance leads. */
	readonly settlePromotions: (service: string, member: string, token: number) => Promise<void>;
	/** Returns the last request to promote a member of the service in the control log. */
	readonly lastPromotion: (service: string) => PromotionRecord | undefined;
};

/** Replaces the primaries of services when they are lost (failover) or leave (switchover), while this instance leads the control log. */
export class ServicePromotionController extends Controller {
	readonly #servicesInProgress = new Set<string>();
	/** Time since which no member of a service was confirmed as primary. */
	readonly #primaryMissingSince = new Map<string, Milliseconds>();
	/** Time of the last log line about a primary that only some instances reach. */
	readonly #partialFailureLoggedAt = new Map<string, Milliseconds>();
	/** Services that a replacement of this leader has left without a confirmed primary so far. */
	readonly #unfinishedReplacements = new Set<string>();
	/** Time of the next check for paused replicas of a service. */
	readonly #nextRepairAt = new Map<string, Milliseconds>();
	/** Replicas of services without synchronous replicas that were found to receive since this instance leads. */
	readonly #verifiedReplicas = new Set<string>();
	readonly #protection = new ReplicaProtection();
	readonly #commands: MemberCommands;
	readonly #requests: PromotionRequests;
	readonly #survey: CandidateSurvey;
	readonly #executor: PromotionExecutor;
	readonly #repair: ReplicaRepair;
	#leaderSince: Milliseconds | undefined;
	#cancelChecks: Cancel | undefined;

	constructor(private readonly options: ServicePromotionOptions) {
		super();
		this.#commands = new MemberCommands(options);
		this.#requests = new PromotionRequests(options);
		this.#survey = new CandidateSurvey({
			...options, commands: this.#commands, requests: this.#requests, protection: this.#protection,
		});
		this.#executor = new PromotionExecutor({
			...options, commands: this.#commands, requests: this.#requests, protection: this.#protection,
		});
		this.#repair = new ReplicaRepair({
			...options, commands: this.#commands, requests: this.#requests, survey: this.#survey, protection: this.#protection,
		});
		options.monitor.useProtection(this.#protection);
	}

	override start(): void {
		this.#cancelChecks = this.options.clock.repeat(decisionPeriod, () => {
			this.#checkServices();
		});
	}

	override stop(): void {
		this.#cancelChecks?.();
	}

	#checkServices(): void {
		const {clock, isLeader, table} = this.options;
		if (!isLeader()) {
			this.#leaderSince = undefined;
			this.#verifiedReplicas.clear();
			this.#unfinishedReplacements.clear();
			this.#protection.clear();
			return;
		}

		this.#leaderSince ??= clock.now();
		// A new leader must first collect reachability reports, except to protect what its predecessor left unfinished.
		const hasReports = clock.now() - this.#leaderSince >= failureDetectionThreshold;
		for (const {name, synchronousReplicas} of table()?.services ?? []) {
			if (this.#servicesInProgress.has(name)) {
				continue;
			}

			if (hasReports) {
				this.#checkService(name, synchronousReplicas);
			} else {
				this.#continueProtection(name, synchronousReplicas);
			}
		}
	}

	#continueProtection(service: string, synchronousReplicas: number): void {
		const members = this.options.directory.serversOf(service);
		const primary = this.#confirmedPrimary(service, members);
		if (primary && this.#isEndangered(service, primary, synchronousReplicas)) {
			this.#startRepair({
				service, primary, replicas: members.filter(({id}) => id !== primary.id), synchronousReplicas,
			});
		}
	}

	/** Returns whether another member than the primary may still be promoted, and would have to hold all acknowledged commits. */
	#isEndangered(service: string, primary: BackendServer, synchronousReplicas: number): boolean {
		return synchronousReplicas > 0 && this.#requests.pendingMembers(service, primary.id).length > 0;
	}

	#checkService(service: string, synchronousReplicas: number): void {
		const members = this.options.directory.serversOf(service);
		const primary = this.#confirmedPrimary(service, members);
		if (!primary) {
			// Without a confirmed primary, a member is promoted only if every member that announced itself as primary is lost.
			const reportingMembers = members.filter(member => this.options.monitor.proberOf(member.id)?.logPosition !== undefined);
			const announcedPrimaries = members.filter(member => member.role === 'primary');
			const allAnnouncedPrimariesLost = announcedPrimaries.every(member => this.#isLost(member.id));
			const since = this.#primaryMissingSince.get(service) ?? this.options.clock.now();
			this.#primaryMissingSince.set(service, since);
			const gracePeriod = announcedPrimaries.length > 0 || this.#unfinishedReplacements.has(service) ? 0 : unknownPrimaryGracePeriod;
			if (reportingMembers.length > 0 && allAnnouncedPrimariesLost && this.options.clock.now() - since >= gracePeriod) {
				void this.#replacePrimary({
					service, members, primary: announcedPrimaries.at(0), synchronousReplicas, isSwitchover: false,
				});
			}

			return;
		}

		this.#primaryMissingSince.delete(service);
		const replicas = members.filter(({id}) => id !== primary.id);
		const state = {
			service, primary, replicas, synchronousReplicas,
		};
		// A switchover needs replicas that receive.
		if (synchronousReplicas > 0 && this.#startRepair(state)) {
			return;
		}

		if (primary.isLeaving || primary.isGone) {
			void this.#replacePrimary({
				service, members, primary, synchronousReplicas, isSwitchover: true,
			});
		} else if (this.#isLost(primary.id)) {
			void this.#replacePrimary({
				service, members, primary, synchronousReplicas, isSwitchover: false,
			});
		} else if (synchronousReplicas === 0) {
			this.#startRepair(state);
		}
	}

	/** Returns the member that was most recently confirmed as primary. */
	#confirmedPrimary(service: string, members: readonly BackendServer[]): BackendServer | undefined {
		const primary = this.options.monitor.confirmedPrimaryOf(service);
		return members.find(member => member.id === primary);
	}

	#isLost(id: string): boolean {
		const {reports, monitor} = this.options;
		const count = reports.count(id, failureDetectionThreshold);
		const own = monitor.proberOf(id)?.reachability;
		const ownFailed = own !== undefined && own.failingFor >= failureDetectionThreshold;
		const ownReached = own?.failingFor === 0 && own.answeredAgo !== null;
		const total = {reached: count.reached + Number(ownReached), failed: count.failed + Number(ownFailed)};
		const isLost = isPrimaryLost(total);
		if (total.failed > 0 && !isLost) {
			this.#logPartialFailure(id, total);
		}

		return isLost;
	}

	#logPartialFailure(id: string, count: ReachabilityCount): void {
		const {clock, logger, reports} = this.options;
		if (clock.now() - (this.#partialFailureLoggedAt.get(id) ?? Number.NEGATIVE_INFINITY) >= partialFailureLogPeriod) {
			this.#partialFailureLoggedAt.set(id, clock.now());
			logger.info(`${id} stays the primary: ${count.failed} instances do not reach it and ${count.reached} do`, {member: id, ...count, reachedBy: reports.instancesReaching(id)});
		}
	}

	#isAnswering({id}: BackendServer): boolean {
		const reachability = this.options.monitor.proberOf(id)?.reachability;
		return reachability?.failingFor === 0 && reachability.answeredAgo !== null;
	}

	/**
	Starts a check for unfinished replacements if one is due and the primary answers, and returns whether it did.

	Replicas are paused only for services with synchronous replicas. The others are checked once for each leader, since the setting may have changed while they were paused.
	*/
	#startRepair(state: Omit<ServiceState, 'reachableReplicas'>): boolean {
		const {clock} = this.options;
		const {
			service, primary, replicas, synchronousReplicas,
		} = state;
		if (synchronousReplicas > 0) {
			for (const {id} of replicas) {
				this.#verifiedReplicas.delete(id);
			}
		}

		const reachableReplicas = replicas.filter(replica => this.#isAnswering(replica) && !this.#verifiedReplicas.has(replica.id));
		const hasWork = reachableReplicas.length > 0 || this.#isEndangered(service, primary, synchronousReplicas);
		if (!this.#isAnswering(primary) || !hasWork || clock.now() < (this.#nextRepairAt.get(service) ?? 0)) {
			return false;
		}

		this.#nextRepairAt.set(service, clock.now() + repairPeriod);
		void this.#runExclusively(service, 'repair the replicas', async () => this.#repairReplicas({...state, reachableReplicas}));
		return true;
	}

	async #repairReplicas(state: ServiceState): Promise<void> {
		const {service, primary, synchronousReplicas} = state;
		const result = await this.#repair.repair(state);
		if (result.kind === 'promote') {
			await this.#promote({
				service, members: [primary, ...state.replicas], primary, synchronousReplicas, isSwitchover: false,
			}, result.member);
		} else if (result.kind === 'intact') {
			this.#unfinishedReplacements.delete(service);
			if (synchronousReplicas === 0) {
				for (const id of result.verified) {
					this.#verifiedReplicas.add(id);
				}
			}
		}
	}

	async #replacePrimary(plan: ReplacementPlan): Promise<void> {
		const {logger, reports} = this.options;
		await this.#runExclusively(plan.service, 'replace the primary', async () => {
			const reason = plan.isSwitchover ? 'is leaving' : 'is lost';
			logger.info(`${plan.service}: the primary ${plan.primary?.id ?? '(unknown)'} ${reason}; ${JSON.stringify(reports.count(plan.primary?.id ?? '', failureDetectionThreshold))}`);
			const target = plan.isSwitchover ? await this.#prepareSwitchover(plan) : await this.#prepareFailover(plan);
			if (target) {
				await this.#promote(plan, target);
			}
		});
	}

	/** Runs an action for a service; no other one starts until it has ended. */
	async #runExclusively(service: string, description: string, action: () => Promise<void>): Promise<void> {
		const {logger, clock} = this.options;
		this.#servicesInProgress.add(service);
		try {
			await action();
		} catch (error) {
			logger.warn(`${service}: failed to ${description}: ${toBuckthornhitchError(error).message}`);
		} finally {
			clock.schedule(decisionPeriod, () => {
				this.#servicesInProgress.delete(service);
			});
		}
	}

	/** Returns the replica to promote in the place of a lost primary. With synchronous replicas, all replicas first stop receiving log entries; they stay paused until one is promoted or the repair finds a primary. */
	async #prepareFailover(plan: ReplacementPlan): Promise<string | undefined> {
		const {service, members, primary, synchronousReplicas} = plan;
		const replicas = members.filter(member => member.id !== primary?.id);
		const statuses = await this.#commands.send(replicas, {kind: 'status'});
		if (synchronousReplicas === 0) {
			return this.#survey.choose(service, {candidates: this.#survey.candidatesOf(replicas, statuses, synchronousReplicas), missing: []}, synchronousReplicas);
		}

		if (this.#mayStillResume(plan, statuses)) {
			this.options.logger.info(`${service}: waiting for commands of an earlier leader, which may let replicas receive again`);
			return undefined;
		}

		this.#unfinishedReplacements.add(service);
		const chosen = await this.#survey.pauseAndChoose({
			service, primary, replicas, statuses, synchronousReplicas,
		});
		const lastNamed = this.#requests.lastNamed(service);
		if (chosen !== undefined && lastNamed !== undefined && chosen !== lastNamed && this.#mayBeResumedLate(statuses)) {
			this.options.logger.info(`${service}: waiting for commands of an earlier leader, which may let ${lastNamed} receive again`);
			return undefined;
		}

		return chosen;
	}

	/** Returns whether a RESUME of an earlier leader may still arrive at all replicas. A leader sends it only while no other member than the primary may be promoted; otherwise, it sends one to that member only. */
	#mayStillResume({service, primary}: ReplacementPlan, statuses: ReadonlyMap<string, ReplicationStatus>): boolean {
		return this.#mayBeResumedLate(statuses) && this.#requests.pendingMembers(service, primary?.id ?? this.#requests.lastNamed(service)).length === 0;
	}

	/** Returns whether a command of an earlier leader may still arrive at a replica that is paused. */
	#mayBeResumedLate(statuses: ReadonlyMap<string, ReplicationStatus>): boolean {
		const isPaused = [...statuses.values()].some(({minimumAcceptedTerm}) => minimumAcceptedTerm > 0);
		return isPaused && this.options.clock.now() - (this.#leaderSince ?? Number.POSITIVE_INFINITY) < lateCommandLifetime;
	}

	/** Demotes the leaving primary, which stops its writes, and returns a replica that has received all of them. With synchronous replicas, returns the old primary itself if there is none. */
	async #prepareSwitchover(plan: ReplacementPlan): Promise<string | undefined> {
		const {service, members, synchronousReplicas} = plan;
		const primary = plan.primary!;
		const replicas = members.filter(member => member.id !== primary.id);
		const statuses = await this.#commands.send(members, {kind: 'status'});
		// The primary is not demoted when no replica can replace it.
		if (this.#survey.choose(service, {candidates: this.#survey.candidatesOf(replicas, statuses, synchronousReplicas), missing: []}, 0) === undefined) {
			return undefined;
		}

		if (synchronousReplicas > 0) {
			this.#unfinishedReplacements.add(service);
		}

		const finalPosition = await this.#demote(primary, this.#survey.highestKnownTerm(members, statuses) + 1);
		const caughtUp = finalPosition ? await this.#awaitCaughtUpReplicas(plan, finalPosition) : [];
		if (caughtUp.length > 0) {
			return this.#survey.choose(service, {candidates: caughtUp, missing: []}, synchronousReplicas);
		}

		if (synchronousReplicas > 0) {
			this.options.logger.warn(`${service}: no replica received everything that ${primary.id} holds`);
			return finalPosition ? primary.id : this.#prepareFailover(plan);
		}

		this.options.logger.warn(`${service}: no replica received everything that ${primary.id} holds; promoting the one with the highest log position`);
		return this.#survey.choose(service, {candidates: this.#survey.candidatesOf(replicas, await this.#commands.send(replicas, {kind: 'status'}), synchronousReplicas), missing: []}, 0);
	}

	/** Demotes the primary and resolves with the end of its log, or with undefined if it did not confirm that it is a replica now. */
	async #demote(primary: BackendServer, term: number): Promise<LogPosition | undefined> {
		const status = await this.#commands.execute(primary.id, {kind: 'demote', term});
		if (status?.role === 'primary') {
			this.options.logger.warn(`member ${primary.id} stays the primary of term ${status.term} after a demotion with term ${term}`);
		}

		return status?.role === 'replica' ? status.received : undefined;
	}

	/** Resolves with the replicas that have received everything up to a log position, or with none after the timeout. */
	async #awaitCaughtUpReplicas({members, primary, synchronousReplicas}: ReplacementPlan, position: LogPosition): Promise<readonly PromotionCandidate[]> {
		const {clock} = this.options;
		const replicas = members.filter(({id}) => id !== primary?.id);
		const deadline = clock.now() + catchUpTimeout;
		while (clock.now() < deadline) {
			const candidates = this.#survey.candidatesOf(replicas, await this.#commands.send(replicas, {kind: 'status'}), synchronousReplicas);
			const caughtUp = candidates.filter(candidate => compareLogPositions(candidate.received, position) >= 0);
			if (caughtUp.length > 0) {
				return caughtUp;
			}

			await clock.sleep(pollPeriod);
		}

		return [];
	}

	async #promote({service, synchronousReplicas, members, primary}: ReplacementPlan, member: string): Promise<void> {
		if (synchronousReplicas > 0) {
			this.#unfinishedReplacements.add(service);
		}

		const isLed = await this.#executor.promote({service, member, replica: members.find(({id}) => id === member && id !== primary?.id)});
		if (isLed) {
			this.#nextRepairAt.delete(service);
		}
	}
}

type ReplacementPlan = {
	readonly service: string;
	readonly members: readonly BackendServer[];
	readonly primary: BackendServer | undefined;
	readonly synchronousReplicas: number;
	readonly isSwitchover: boolean;
};
