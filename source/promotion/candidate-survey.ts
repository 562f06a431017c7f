import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {describeLogPosition} from '../database-group/log-position-rules.js';
import {type Logger} from '../observability/logger.js';
import {type ReachabilityReports} from '../registry/reachability-reports.js';
import {type ReplicationStatus} from '../statement/replication-status.js';
import {type BackendServerMonitor} from './backend-server-monitor.js';
import {type MemberCommands} from './member-commands.js';
import {
	chooseCandidate, failureDetectionThreshold, type PromotionCandidate, type ReplicaSurvey,
} from './promotion-decision.js';
import {type PromotionRequests} from './promotion-requests.js';
import {type ReplicaProtection} from './replica-protection.js';

/** Dependencies of the surveys. */
export type CandidateSurveyOptions = {
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	readonly monitor: BackendServerMonitor;
	readonly reports: ReachabilityReports;
	readonly commands: MemberCommands;
	readonly requests: PromotionRequests;
	readonly protection: ReplicaProtection;
};

/** Members of a service whose replicas stop receiving. */
export type PausedSurvey = {
	readonly service: string;
	readonly primary: BackendServer | undefined;
	readonly replicas: readonly BackendServer[];
	/** Statuses of the replicas before the survey. */
	readonly statuses: ReadonlyMap<string, ReplicationStatus>;
	readonly synchronousReplicas: number;
};

/** Finds the replica to promote by the logs of the replicas. */
export class CandidateSurvey {
	constructor(private readonly options: CandidateSurveyOptions) {}

	/** Returns the replicas whose received log position is known. Without synchronous replicas, the last position that a replica reported stands for that of a status which is missing. With them, only a status counts: a former primary may have been rolled back since it last reported. */
	candidatesOf(replicas: readonly BackendServer[], statuses: ReadonlyMap<string, ReplicationStatus>, synchronousReplicas: number): readonly PromotionCandidate[] {
		const {monitor, reports} = this.options;
		return replicas.flatMap(({id, isLeaving}) => {
			const lastReported = synchronousReplicas > 0 ? undefined : monitor.proberOf(id)?.logPosition;
			const received = statuses.get(id)?.received ?? lastReported;
			const contact = reports.count(id, failureDetectionThreshold);
			return received
				? [{
					id, isLeaving, received, contact,
				}]
				: [];
		});
	}

	/** Returns the id of the candidate to promote, if one may be. */
	choose(service: string, survey: ReplicaSurvey, synchronousReplicas: number): string | undefined {
		const {logger, requests} = this.options;
		const chosen = chooseCandidate(survey, synchronousReplicas, requests.lastAccepted(service));
		const candidates = survey.candidates.map(candidate => ({...candidate, received: describeLogPosition(candidate.received)}));
		logger.info(`${service}: candidates ${JSON.stringify(candidates)}; chosen ${chosen?.id ?? 'none'}`, {missing: survey.missing});
		return chosen?.id;
	}

	/** Makes all replicas stop receiving log entries, so that none can acknowledge a commit any more, and resolves with the one that holds every acknowledged commit. Resolves with undefined, and leaves the replicas paused, if the logs of too many are not known. */
	async pauseAndChoose({service, primary, replicas, statuses, synchronousReplicas}: PausedSurvey): Promise<string | undefined> {
		const {commands, directory, logger, protection} = this.options;
		const term = this.highestKnownTerm(primary ? [...replicas, primary] : replicas, statuses) + 1;
		protection.begin(service, {term, receiver: undefined});
		const answers = await commands.send(replicas, {kind: 'pause', term});
		const hasStopped = ({id}: BackendServer): boolean => answers.get(id)?.role === 'replica' && answers.get(id)!.minimumAcceptedTerm >= term;
		// A former primary needs no answer: its acknowledged commits are on replicas.
		const formerReplicas = directory.formerServersOf(service).filter(({role}) => role === 'replica');
		const missing = [...replicas, ...formerReplicas].filter(replica => !hasStopped(replica)).map(({id}) => id);
		const candidates = this.candidatesOf(replicas.filter(replica => hasStopped(replica)), answers, synchronousReplicas);
		const chosen = this.choose(service, {candidates, missing}, synchronousReplicas);
		if (chosen === undefined && missing.length > 0) {
			logger.warn(`${service}: no member is promoted: the replicas ${missing.join(', ')} did not stop receiving at term ${term} and may alone hold an acknowledged commit`);
		}

		return chosen;
	}

	/** Returns the highest term that a member knows or that a log entry has. A primary leads a later term than that of its last log entry until its first commit. */
	highestKnownTerm(members: readonly BackendServer[], statuses: ReadonlyMap<string, ReplicationStatus>): number {
		const terms = members.flatMap(({id}) => [statuses.get(id)?.term ?? 0, this.options.monitor.proberOf(id)?.logPosition?.term ?? 0]);
		return Math.max(0, ...terms);
	}
}
