import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Logger} from '../observability/logger.js';
import {type ReachabilityCount, type ReachabilityReports} from '../registry/reachability-reports.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type RoutingTable} from '../routing-table/types.js';
import {type MemberStatement} from '../statement/types.js';
import {type ReplicationStatus, type ReplicationStatusParser} from './replication-status.js';
import {type BackendServerMonitor} from './backend-server-monitor.js';
import {type PromotionAuthority} from './promotion-authority.js';
import {
	chooseCandidate, isPrimaryLost, failureDetectionThreshold, type PromotionCandidate,
} from './promotion-decision.js';

/** Pace of the decisions. */
const decisionPeriod: Milliseconds = 100;

/** After a call, the outcome is awaited for this long before another one; above the longest promotion of a member. */
const settleTime: Milliseconds = 2500;

/** A call without an answer may be carried out seconds later; after this long it is repeated with a higher token, which makes the late one void. */
const unansweredTime: Milliseconds = 300;

/** A service without any member that says it leads is given this long; two announcement periods of a primary that has not announced itself yet. */
const unknownPrimaryTime: Milliseconds = 3000;

/** Pace of the log lines on a primary that some instances reach and others do not. */
const doubtLogPeriod: Milliseconds = 1000;

/** A planned change waits this long for a replica to receive everything. */
const catchUpTime: Milliseconds = 1500;

/** Pause between two looks at a replica that catches up. */
const catchUpPause: Milliseconds = 30;

/** What promotions need. */
export type ServicePromotionOptions = {
	readonly name: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly monitor: BackendServerMonitor;
	readonly reports: ReachabilityReports;
	readonly authority: PromotionAuthority;
	readonly statusFormat: ReplicationStatusParser;
	/** Returns the routing table known here. */
	readonly table: () => RoutingTable | undefined;
	/** Returns whether this instance leads the control log. */
	readonly isLeader: () => boolean;
	/** Resolves with a new fencing token; rejects unless this instance leads. */
	readonly issueToken: (subject: string) => Promise<number>;
};

/** Replaces primaries that are lost or leave, while this instance leads the control log. */
export class ServicePromotionController extends Controller {
	readonly #busy = new Set<string>();
	/** Time since which no member of a service was seen to lead. */
	readonly #leaderlessSince = new Map<string, Milliseconds>();
	/** Time of the last log line on a primary that only some instances reach. */
	readonly #doubtLoggedAt = new Map<string, Milliseconds>();
	#leadsSince: Milliseconds | undefined;
	#cancel: Cancel | undefined;

	constructor(private readonly options: ServicePromotionOptions) {
		super();
	}

	override start(): void {
		this.#cancel = this.options.clock.repeat(decisionPeriod, () => {
			this.#decide();
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	#decide(): void {
		const {clock, isLeader, table} = this.options;
		if (!isLeader()) {
			this.#leadsSince = undefined;
			return;
		}

		this.#leadsSince ??= clock.now();
		// A new leader needs reports of its own before it judges.
		if (clock.now() - this.#leadsSince < failureDetectionThreshold) {
			return;
		}

		for (const service of table()?.services ?? []) {
			if (!this.#busy.has(service.name)) {
				this.#decideFor(service.name, service.synchronousReplicas);
			}
		}
	}

	#decideFor(service: string, synchronousReplicas: number): void {
		const members = this.options.directory.serversOf(service);
		const primary = this.#primaryOf(service, members);
		if (!primary) {
			// Every member was asked and none leads.
			const watched = members.filter(member => this.options.monitor.watchOf(member.id)?.point !== undefined);
			const known = members.filter(member => member.role === 'primary');
			const isLost = known.every(member => this.#isLost(member.id));
			const since = this.#leaderlessSince.get(service) ?? this.options.clock.now();
			this.#leaderlessSince.set(service, since);
			const patience = known.length > 0 ? 0 : unknownPrimaryTime;
			if (watched.length > 0 && isLost && this.options.clock.now() - since >= patience) {
				void this.#replace({
					service, members, primary: known.at(0), synchronousReplicas, isPlanned: false,
				});
			}

			return;
		}

		this.#leaderlessSince.delete(service);
		if (primary.isLeaving || primary.isGone) {
			void this.#replace({
				service, members, primary, synchronousReplicas, isPlanned: true,
			});
		} else if (this.#isLost(primary.id)) {
			void this.#replace({
				service, members, primary, synchronousReplicas, isPlanned: false,
			});
		}
	}

	/** Returns the member that leads by the newest confirmation. */
	#primaryOf(service: string, members: readonly BackendServer[]): BackendServer | undefined {
		const report = this.options.monitor.primaryReports().find(other => other.service === service);
		return members.find(member => member.id === report?.primary);
	}

	#isLost(id: string): boolean {
		const {reports, monitor} = this.options;
		const count = reports.count(id, failureDetectionThreshold);
		const own = monitor.watchOf(id)?.contact;
		const ownFailed = own !== undefined && own.failingFor >= failureDetectionThreshold;
		const ownReached = own?.failingFor === 0 && own.answeredAgo !== null;
		const total = {reached: count.reached + Number(ownReached), failed: count.failed + Number(ownFailed)};
		const isLost = isPrimaryLost(total);
		if (total.failed > 0 && !isLost) {
			this.#logDoubt(id, total);
		}

		return isLost;
	}

	#logDoubt(id: string, count: ReachabilityCount): void {
		const {clock, logger, reports} = this.options;
		if (clock.now() - (this.#doubtLoggedAt.get(id) ?? Number.NEGATIVE_INFINITY) >= doubtLogPeriod) {
			this.#doubtLoggedAt.set(id, clock.now());
			logger.info(`${id} stays the primary: ${count.failed} instances miss it and ${count.reached} reach it`, {member: id, ...count, reachedBy: reports.instancesReaching(id)});
		}
	}

	async #replace(plan: ReplacementPlan): Promise<void> {
		const {logger, clock} = this.options;
		this.#busy.add(plan.service);
		try {
			const reason = plan.isPlanned ? 'leaves' : 'is lost';
			logger.info(`${plan.service}: the primary ${plan.primary?.id ?? 'of no member'} ${reason}; ${JSON.stringify(this.options.reports.count(plan.primary?.id ?? '', failureDetectionThreshold))}`);
			const target = plan.isPlanned ? await this.#prepareHandover(plan) : await this.#prepareFailover(plan);
			if (target) {
				await this.#promote(plan, target);
			}
		} catch (error) {
			logger.warn(`${plan.service}: no promotion: ${toBuckthornhitchError(error).message}`);
		} finally {
			clock.schedule(decisionPeriod, () => {
				this.#busy.delete(plan.service);
			});
		}
	}

	/** Returns the replica that has received most. With synchronous replicas, every replica must have stopped receiving first, since any of them may hold an acknowledged commit alone. */
	async #prepareFailover({service, members, primary, synchronousReplicas}: ReplacementPlan): Promise<string | undefined> {
		const replicas = members.filter(member => member.id !== primary?.id);
		const term = this.#highestTerm(members) + 1;
		const question: MemberStatement = synchronousReplicas > 0 ? {kind: 'pause', term} : {kind: 'status'};
		const candidates = await this.#candidates(replicas, question);
		if (synchronousReplicas > 0 && candidates.length < replicas.length) {
			this.options.logger.warn(`${service}: ${candidates.length} of ${replicas.length} replicas answered; an acknowledged commit may be on the others`);
			return undefined;
		}

		return this.#choose(service, candidates);
	}

	/** Stops the writes of the leaving primary and returns a replica that has received all of them. */
	async #prepareHandover({service, members, primary}: ReplacementPlan): Promise<string | undefined> {
		const {monitor, logger} = this.options;
		const replicas = members.filter(member => member.id !== primary!.id);
		const first = this.#choose(service, await this.#candidates(replicas, {kind: 'status'}));
		if (first === undefined) {
			return undefined;
		}

		const reply = await monitor.watchOf(primary!.id)?.execute({kind: 'demote', term: this.#highestTerm(members) + 1});
		const end = reply?.outcome === 'done' ? this.options.statusFormat.parse(reply.rows)?.received ?? reply.point : undefined;
		const complete = end ? await this.#whenComplete(replicas, end) : [];
		if (complete.length > 0) {
			return this.#choose(service, complete);
		}

		logger.warn(`${service}: no replica received everything that ${primary!.id} holds; the most advanced one takes over`);
		return this.#choose(service, await this.#candidates(replicas, {kind: 'status'}));
	}

	/** Resolves with the replicas that have received everything up to a point, or with none after the time to catch up. */
	async #whenComplete(replicas: readonly BackendServer[], end: LogPosition): Promise<readonly PromotionCandidate[]> {
		const {clock} = this.options;
		const deadline = clock.now() + catchUpTime;
		while (clock.now() < deadline) {
			const candidates = await this.#candidates(replicas, {kind: 'status'});
			const complete = candidates.filter(candidate => compareLogPositions(candidate.received, end) >= 0);
			if (complete.length > 0) {
				return complete;
			}

			await clock.sleep(catchUpPause);
		}

		return [];
	}

	async #candidates(replicas: readonly BackendServer[], question: MemberStatement): Promise<readonly PromotionCandidate[]> {
		const {monitor, reports} = this.options;
		const answers = await Promise.all(replicas.map(async ({id, isLeaving}): Promise<PromotionCandidate | undefined> => {
			const received = await this.#receivedPoint(id, question) ?? (question.kind === 'status' ? monitor.watchOf(id)?.point : undefined);
			return received && {
				id, isLeaving, received, contact: reports.count(id, failureDetectionThreshold),
			};
		}));
		return answers.filter(answer => answer !== undefined);
	}

	async #receivedPoint(id: string, question: MemberStatement): Promise<LogPosition | undefined> {
		const {monitor, statusFormat, logger} = this.options;
		try {
			const reply = await monitor.watchOf(id)?.execute(question);
			const status: ReplicationStatus | undefined = reply?.outcome === 'done' ? statusFormat.parse(reply.rows) : undefined;
			return status?.received;
		} catch (error) {
			logger.warn(`member ${id} did not tell its status: ${toBuckthornhitchError(error).message}`);
			return undefined;
		}
	}

	#choose(service: string, candidates: readonly PromotionCandidate[]): string | undefined {
		const chosen = chooseCandidate(candidates);
		this.options.logger.info(`${service}: candidates ${JSON.stringify(candidates)}; chosen ${chosen?.id ?? 'none'}`);
		return chosen?.id;
	}

	#highestTerm(members: readonly BackendServer[]): number {
		const terms = members.map(member => this.options.monitor.watchOf(member.id)?.point?.term ?? 0);
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
			await this.#resume(plan);
			return;
		}

		const patience = outcome === 'designated' ? settleTime : unansweredTime;
		const deadline = clock.now() + patience;
		while (clock.now() < deadline) {
			if (monitor.watchOf(member)?.primary) {
				logger.info(`${service}: ${member} leads from ${JSON.stringify(monitor.watchOf(member)?.point)}`);
				return;
			}

			await clock.sleep(catchUpPause);
		}

		logger.warn(`${service}: ${member} does not lead ${patience} ms after the call`);
		await this.#resume(plan);
	}

	/** Lets paused replicas receive again after a promotion that did not take place. */
	async #resume({members, synchronousReplicas, isPlanned}: ReplacementPlan): Promise<void> {
		if (synchronousReplicas > 0 && !isPlanned) {
			await Promise.all(members.map(async ({id}) => this.#receivedPoint(id, {kind: 'resume'})));
		}
	}
}

type ReplacementPlan = {
	readonly service: string;
	readonly members: readonly BackendServer[];
	readonly primary: BackendServer | undefined;
	readonly synchronousReplicas: number;
	readonly isPlanned: boolean;
};
