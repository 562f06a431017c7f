import {type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type ReachabilityCount} from '../registry/reachability-reports.js';

/** How long probes must have failed before a member counts as unreachable. This leaves time to detect one lost answer and to reconnect. */
export const failureDetectionThreshold: Milliseconds = 600;

/** A replica that at least this share of the reporting instances cannot reach is not promoted while another one may be. */
const unreachableShare = 0.25;

/** Returns whether the primary must be replaced: instances report failures and none reaches it. While any instance reaches it, it may still acknowledge writes, which its successor would lack. */
export function isPrimaryLost({reached, failed}: ReachabilityCount): boolean {
	return failed > 0 && reached === 0;
}

function isPoorlyReachable({reached, failed}: ReachabilityCount): boolean {
	return failed > 0 && failed >= unreachableShare * (reached + failed);
}

/** A replica that may be promoted. */
export type PromotionCandidate = {
	readonly id: string;
	/** Last log position that it received. */
	readonly received: LogPosition;
	readonly isLeaving: boolean;
	/** Number of instances that reach the replica and of those that do not. */
	readonly contact: ReachabilityCount;
};

/** What is known of the logs of a service's replicas. */
export type ReplicaSurvey = {
	readonly candidates: readonly PromotionCandidate[];
	/** Ids of the replicas that may hold commits and whose logs are not known. */
	readonly missing: readonly string[];
};

/**
Returns the candidate to promote, if one may be.

Without synchronous replicas, it is the one with the highest received log position among those that are reachable and not leaving.

With synchronous replicas, a commit is acknowledged once that many replicas have received it. The highest log of all but fewer than that many replicas therefore holds every acknowledged commit, and no other log is known to. Reachability and a planned stop only decide between logs that hold them: a member that is leaving still receives and serves, and can be replaced once another one has caught up.

Among them, the member that the last request named comes first, since that request may still be carried out. With one target, it does not matter in which order the requests are carried out; between two, the later one would roll back what the first member acknowledged meanwhile.
*/
export function chooseCandidate({candidates, missing}: ReplicaSurvey, synchronousReplicas: number, lastNamed?: string): PromotionCandidate | undefined {
	const byLog = candidates.toSorted((first, second) => compareLogPositions(second.received, first.received));
	if (synchronousReplicas === 0) {
		return byLog.find(candidate => !candidate.isLeaving && !isPoorlyReachable(candidate.contact));
	}

	if (missing.length >= synchronousReplicas) {
		return undefined;
	}

	const holders = byLog.filter(({received}) => compareLogPositions(received, byLog[0].received) === 0);
	return holders.find(({id}) => id === lastNamed) ?? holders.toSorted((first, second) => Number(isPoorlyReachable(first.contact)) - Number(isPoorlyReachable(second.contact)) || Number(first.isLeaving) - Number(second.isLeaving)).at(0);
}
