import {type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type ReachabilityCount} from '../registry/reachability-reports.js';

/** Attempts must have failed for this long before they count against a primary; longer than a lost answer and a reconnect. */
export const failureDetectionThreshold: Milliseconds = 600;

/** Share of the reporting instances that fail to reach a replica above which it is not promoted. */
const failedShare = 0.25;

/** Returns whether the primary is to be replaced. While any instance reaches it, a primary that is cut off from the others may go on acknowledging writes that its successor lacks. */
export function isPrimaryLost({reached, failed}: ReachabilityCount): boolean {
	return failed > 0 && reached === 0;
}

function isPoorlyReached({reached, failed}: ReachabilityCount): boolean {
	return failed > 0 && failed >= failedShare * (reached + failed);
}

/** A member that may take over. */
export type PromotionCandidate = {
	readonly id: string;
	/** Last entry that it received. */
	readonly received: LogPosition;
	readonly isLeaving: boolean;
	readonly contact: ReachabilityCount;
};

/** Returns the candidate to promote: it stays, is reached, and has received most. */
export function chooseCandidate(candidates: readonly PromotionCandidate[]): PromotionCandidate | undefined {
	const reachable = candidates.filter(candidate => !isPoorlyReached(candidate.contact));
	const staying = reachable.filter(candidate => !candidate.isLeaving);
	return staying.toSorted((first, second) => compareLogPositions(second.received, first.received)).at(0);
}
