import {type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type ReachabilityCount} from '../registry/reachability-reports.js';

/** How long probes must have failed before a member counts as unreachable. This leaves time to detect one lost answer and to reconnect. */
export const failureDetectionThreshold: Milliseconds = 600;

/** A replica is not promoted if at least this share of the reporting instances cannot reach it. */
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

/** Returns the candidate to promote: the one with the highest received log position among those that are reachable and not leaving. */
export function chooseCandidate(candidates: readonly PromotionCandidate[]): PromotionCandidate | undefined {
	const reachable = candidates.filter(candidate => !isPoorlyReachable(candidate.contact));
	const staying = reachable.filter(candidate => !candidate.isLeaving);
	return staying.toSorted((first, second) => compareLogPositions(second.received, first.received)).at(0);
}
