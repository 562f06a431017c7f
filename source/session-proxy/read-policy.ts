import {type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Consistency} from '../routing-table/types.js';

/** What the choice of a member for a read knows of it. */
export type MemberCandidate = {
	readonly id: string;
	readonly isPrimary: boolean;
	readonly isLocal: boolean;
	readonly isFailing: boolean;
	readonly isAvoided: boolean;
	/** Connections in use and requests waiting for one. */
	readonly load: number;
	readonly expectedAnswerTime: Milliseconds;
	readonly point: LogPosition | undefined;
	/** Age of the point. */
	readonly pointAge: Milliseconds;
};

/** A member's point is taken for its present one for this long; replicas receive commits continuously. */
const pointLifetime: Milliseconds = 40;

/** Cost of a member in another data centre, for its traffic between data centres. */
const remoteCost: Milliseconds = 20;

/** Cost of the primary, whose slots the writes need. */
const primaryCost: Milliseconds = 10;

/** Cost of each request that the member already has from this instance. */
const loadCost: Milliseconds = 15;

/** Cost of a member that does not answer; above every sum of the others. */
const failingCost: Milliseconds = 10_000;

/** Cost of a member that refused lately or is known to be behind. */
const refusedCost: Milliseconds = 5000;

/** Orders the members for a read that needs a point: the best one first, those that cannot serve it last. Reads of the latest data go to the primary first, which replicas lag behind. */
export function orderForRead(candidates: readonly MemberCandidate[], needed: LogPosition, consistency: Consistency): readonly MemberCandidate[] {
	const rank = (candidate: MemberCandidate): number => consistency === 'primary' && candidate.isPrimary ? Number.NEGATIVE_INFINITY : costOf(candidate, needed);
	return candidates.toSorted((first, second) => compareNumbers(rank(first), rank(second)));
}

function compareNumbers(first: number, second: number): number {
	return first === second ? 0 : first - second;
}

function costOf(candidate: MemberCandidate, needed: LogPosition): Milliseconds {
	const isBehind = candidate.point !== undefined && candidate.pointAge < pointLifetime && compareLogPositions(candidate.point, needed) < 0;
	return candidate.expectedAnswerTime
		+ (candidate.load * loadCost)
		+ (candidate.isLocal ? 0 : remoteCost)
		+ (candidate.isPrimary ? primaryCost : 0)
		+ (candidate.isFailing ? failingCost : 0)
		+ (isBehind || candidate.isAvoided ? refusedCost : 0);
}
