import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions, describeLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {type ReachabilityCount, type ReachabilityReports} from '../registry/reachability-reports.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type RoutingTable} from '../routing-table/types.js';
import {type MemberStatement} from '../statement/types.js';
import {type ReplicationStatus, type ReplicationStatusParser} from '../statement/replication-status.js';
import {type BackendServerMonitor} from './backend-server-monitor.js';
import {type PromotionAuthority} from './promotion-authority.js';
import {
	chooseCandidate, isPrimaryLost, failureDetectionThreshold, type PromotionCandidate, type ReplicaSurvey,
} from './promotion-decision.js';

/** Period of the checks for primaries to replace. */
const decisionPeriod: Milliseconds = 100;

/** How long a designated member may take to become the primary before another promotion; longer than the longest promotion of a member. */
const promotionTimeout: Milliseconds = 2500;

/** How long to wait after a request without an answer. It may still be carried out seconds later, so it is repeated with a higher fencing token, which invalidates the late one. */
const unansweredTimeout: Milliseconds = 300;

/** How long a service may have no member announced as primary before one is promoted. Two announcement periods, so that a primary that has not announced itself yet can do so. */
const unknownPrimaryGracePeriod: Milliseconds = 3000;

/** Period of the log lines about a primary that only some instances reach. */
const partialFailureLogPeriod: Milliseconds = 1000;

/** How long a switchover waits for a replica to receive everything that the old primary holds. */
const catchUpTimeout: Milliseconds = 1500;

/** Period of polling while waiting for a replica to catch up or for a member to become the primary. */
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
	/** Resolves with a new fencing token; rejects unless this instance leads. */
	readonly issueToken: (subject: string) => Promise<number>;
};

/** Replaces the primaries of services when they are lost (failover) or leave (switchover), while this instance leads the control log. */
export class ServicePromotionController extends Controller {
	readonly #servicesInProgress = new Set<string>();
	/** Time since which no member of a service was confirmed as primary. */
	readonly #primaryMissingSince = new Map<string, Milliseconds>();
	/** Time of the last log line about a primary that only some instances reach. */
	readonly #partialFailureLoggedAt = new Map<string, Milliseconds>();
	#leaderSince: Milliseconds | undefined;
	#cancelChecks: Cancel | undefined;

	constructor(private readonly options: ServicePromotionOptions) {
		super();
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
			return;
		}

		this.#leaderSince ??= clock.now();
		// A new leader must first collect reachability reports.
		if (clock.now() - this.#leaderSince < failureDetectionThreshold) {
			return;
		}

		for (const service of table()?.services ?? []) {
			if (!this.#servicesInProgress.has(service.name)) {
				this.#checkService(service.name, service.synchronousReplicas);
			}
		}
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
			const gracePeriod = announcedPrimaries.length > 0 ? 0 : unknownPrimaryGracePeriod;
			if (reportingMembers.length > 0 && allAnnouncedPrimariesLost && this.options.clock.now() - since >= gracePeriod) {
				void this.#replacePrimary({
					service, members, primary: announcedPrimaries.at(0), synchronousReplicas, isSwitchover: false,
				});
			}

			return;
		}

		this.#primaryMissingSince.delete(service);
		if (primary.isLeaving || primary.isGone) {
			void this.#replacePrimary({
				service, members, primary, synchronousReplicas, isSwitchover: true,
			});
		} else if (this.#isLost(primary.id)) {
			void this.#replacePrimary({
				service, members, primary, synchronousReplicas, isSwitchover: false,
			});
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

	async #replacePrimary(plan: ReplacementPlan): Promise<void> {
		const {logger, clock} = this.options;
		this.#servicesInProgress.add(plan.service);
		try {
			const reason = plan.isSwitchover ? 'is leaving' : 'is lost';
			logger.info(`${plan.service}: the primary ${plan.primary?.id ?? '(unknown)'} ${reason}; ${JSON.stringify(this.options.reports.count(plan.primary?.id ?? '', failureDetectionThreshold))}`);
			const target = plan.isSwitchover ? await this.#prepareSwitchover(plan) : await this.#prepareFailover(plan);
			if (target) {
				await this.#promote(plan, target);
			}
		} catch (error) {
			logger.warn(`${plan.service}: failed to replace the primary: ${toBuckthornhitchError(error).message}`);
		} finally {
			clock.schedule(decisionPeriod, () => {
				this.#servicesInProgress.delete(plan.service);
			});
		}
	}

	/** Returns the replica to promote in the place of a lost primary. With synchronous replicas, all replicas first stop receiving log entries, so that none can acknowledge a commit of the old primary any more. */
	async #prepareFailover(plan: ReplacementPlan): Promise<string | undefined> {
		const {service, members, primary, synchronousReplicas} = plan;
		const replicas = members.filter(member => member.id !== primary?.id);
		const statuses = await this.#queryStatuses(replicas, {kind: 'status'});
		if (synchronousReplicas === 0) {
			return this.#chooseCandidate(service, {candidates: this.#candidatesOf(replicas, statuses), missing: []}, synchronousReplicas);
		}

		const term = this.#highestKnownTerm(members, statuses) + 1;
		const answers = await this.#queryStatuses(replicas, {kind: 'pause', term});
		const hasStopped = ({id}: BackendServer): boolean => answers.get(id)?.role === 'replica' && answers.get(id)!.minimumAcceptedTerm >= term;
		// A former primary needs no answer: its acknowledged commits are on replicas.
		const formerReplicas = this.options.directory.formerServersOf(service).filter(({role}) => role === 'replica');
		const missing = [...replicas, ...formerReplicas].filter(replica => !hasStopped(replica)).map(({id}) => id);
		const candidates = this.#candidatesOf(replicas.filter(replica => hasStopped(replica)), answers);
		const chosen = this.#chooseCandidate(service, {candidates, missing}, synchronousReplicas);
		if (chosen === undefined && missing.length > 0) {
			this.options.logger.warn(`${service}: no member is promoted: the replicas ${missing.join(', ')} did not stop receiving at term ${term} and may alone hold an acknowledged commit`);
			await this.#resumeReplicas(plan);
		}

		return chosen;
	}

	/** Demotes the leaving primary, which stops its writes, and returns a replica that has received all of them. With synchronous replicas, returns the old primary itself if there is none. */
	async #prepareSwitchover(plan: ReplacementPlan): Promise<string | undefined> {
		const {service, members, synchronousReplicas} = plan;
		const primary = plan.primary!;
		const replicas = members.filter(member => member.id !== primary.id);
		const statuses = await this.#queryStatuses(members, {kind: 'status'});
		// The primary is not demoted when no replica can replace it.
		if (this.#chooseCandidate(service, {candidates: this.#candidatesOf(replicas, statuses), missing: []}, 0) === undefined) {
			return undefined;
		}

		const finalPosition = await this.#demote(primary, this.#highestKnownTerm(members, statuses) + 1);
		const caughtUp = finalPosition ? await this.#awaitCaughtUpReplicas(replicas, finalPosition) : [];
		if (caughtUp.length > 0) {
			return this.#chooseCandidate(service, {candidates: caughtUp, missing: []}, synchronousReplicas);
		}

		if (synchronousReplicas > 0) {
			this.options.logger.warn(`${service}: no replica received everything that ${primary.id} holds`);
			return finalPosition ? primary.id : this.#prepareFailover(plan);
		}

		this.options.logger.warn(`${service}: no replica received everything that ${primary.id} holds; promoting the one with the highest log position`);
		return this.#chooseCandidate(service, {candidates: this.#candidatesOf(replicas, await this.#queryStatuses(replicas, {kind: 'status'})), missing: []}, 0);
	}

	/** Demotes the primary and resolves with the end of its log, or with undefined if it did not confirm that it is a replica now. */
	async #demote({id}: BackendServer, term: number): Promise<LogPosition | undefined> {
		const reply = await this.options.monitor.proberOf(id)?.execute({kind: 'demote', term});
		const status = reply?.outcome === 'done' ? this.options.statusParser.parse(reply.rows) : undefined;
		if (status?.role === 'primary') {
			this.options.logger.warn(`member ${id} stays the primary of term ${status.term} after a demotion with term ${term}`);
		}

		return status?.role === 'replica' ? status.received : undefined;
	}

	/** Resolves with the replicas that have received everything up to a log position, or with none after the timeout. */
	async #awaitCaughtUpReplicas(replicas: readonly BackendServer[], position: LogPosition): Promise<readonly PromotionCandidate[]> {
		const {clock} = this.options;
		const deadline = clock.now() + catchUpTimeout;
		while (clock.now() < deadline) {
			const candidates = this.#candidatesOf(replicas, await this.#queryStatuses(replicas, {kind: 'status'}));
			const caughtUp = candidates.filter(candidate => compareLogPositions(candidate.received, position) >= 0);
			if (caughtUp.length > 0) {
				return caughtUp;
			}

			await clock.sleep(pollPeriod);
		}

		return [];
	}

	/** Sends a statement to the members and resolves with the statuses of those that answered with one, by the id of the member. */
	async #queryStatuses(members: readonly BackendServer[], statement: MemberStatement): Promise<ReadonlyMap<string, ReplicationStatus>> {
		const {monitor, statusParser, logger} = this.options;
		const statuses = new Map<string, ReplicationStatus>();
		await Promise.all(members.map(async ({id}) => {
			try {
				const reply = await monitor.proberOf(id)?.execute(statement);
				const status = reply?.outcome === 'done' ? statusParser.parse(reply.rows) : undefined;
				if (status) {
					statuses.set(id, status);
				}
			} catch (error) {
				logger.warn(`member ${id} did not report its status: ${toBuckthornhitchError(error).message}`);
			}
		}));
		return statuses;
	}

	/** Returns the replicas whose received log position is known. Without synchronous replicas, the last position that a replica reported stands for that of a status which is missing. */
	#candidatesOf(replicas: readonly BackendServer[], statuses: ReadonlyMap<string, ReplicationStatus>): readonly PromotionCandidate[] {
		const {monitor, reports} = this.options;
		return replicas.flatMap(({id, isLeaving}) => {
			const received = statuses.get(id)?.received ?? monitor.proberOf(id)?.logPosition;
			const contact = reports.count(id, failureDetectionThreshold);
			return received
				? [{
					id, isLeaving, received, contact,
				}]
				: [];
		});
	}

	#chooseCandidate(service: string, survey: ReplicaSurvey, synchronousReplicas: number): string | undefined {
		const chosen = chooseCandidate(survey, synchronousReplicas);
		this.options.logger.info(`${service}: candidates ${JSON.stringify(survey.candidates.map(candidate => ({...candidate, received: describeLogPosition(candidate.received)})))}; chosen ${chosen?.id ?? 'none'}`, {missing: survey.missing});
		return chosen?.id;
	}

	/** Returns the highest term that a member knows or that a log entry has. A primary leads a later term than that of its last log entry until its first commit. */
	#highestKnownTerm(members: readonly BackendServer[], statuses: ReadonlyMap<string, ReplicationStatus>): number {
		const terms = members.flatMap(({id}) => [statuses.get(id)?.term ?? 0, this.options.monitor.proberOf(id)?.logPosition?.term ?? 0]);
		return Math.max(0, ...terms);
	}

	async #promote(plan: ReplacementPlan, member: string): Promise<void> {
		const {service} = plan;
		const {issueToken, authority, name, logger, clock, monitor} = this.options;
		const token = await issueToken(service);
		const outcome = await authority.promote({
			service, member, leader: name, token,
		});
		logger.info(`${service}: promotion of ${member} with token ${token}: ${outcome}`);
		if (outcome === 'refused') {
			await this.#resumeReplicas(plan);
			return;
		}

		const timeout = outcome === 'designated' ? promotionTimeout : unansweredTimeout;
		const deadline = clock.now() + timeout;
		while (clock.now() < deadline) {
			if (monitor.proberOf(member)?.primaryConfirmation) {
				logger.info(`${service}: ${member} is the primary from log position ${describeLogPosition(monitor.proberOf(member)?.logPosition)}`);
				return;
			}

			await clock.sleep(pollPeriod);
		}

		logger.warn(`${service}: ${member} is not the primary ${timeout} ms after the request`);
		await this.#resumeReplicas(plan);
	}

	/** Lets paused replicas receive log entries again after a promotion that did not take place. */
	async #resumeReplicas({members, primary, synchronousReplicas}: ReplacementPlan): Promise<void> {
		if (synchronousReplicas > 0) {
			await this.#queryStatuses(members.filter(({id}) => id !== primary?.id), {kind: 'resume'});
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
