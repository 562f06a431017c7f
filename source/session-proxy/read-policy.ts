import {type Milliseconds} from '../clock/clock.js';
import {compareLogPositions} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {type Consistency} from '../routing-table/types.js';
import {type RefusalReason} from '../statement/types.js';

/** Member that may serve a read, with the properties that decide its rank. */
export type MemberCandidate = {
	readonly id: string;
	readonly isPrimary: boolean;
	readonly isInSameDataCentre: boolean;
	readonly isFailing: boolean;
	readonly isAvoided: boolean;
	/** Number of connections in use and of requests that wait for one. */
	readonly load: number;
	readonly expectedReplyTime: Milliseconds;
	/** Log position that the member reported last. */
	readonly logPosition: LogPosition | undefined;
	/** Time since the log position was reported. */
	readonly logPositionAge: Milliseconds;
};

/** Time for which a replica that refused a read because it lags behind is avoided. */
const laggingAvoidTime: Milliseconds = 50;

/** Time for which a replica that refused a read for another reason, such as load, is avoided. */
const overloadAvoidTime: Milliseconds = 20;

/** Time for which reads avoid a primary that refused one because of load. Longer than for a replica, since writes and reads of the newest data have nowhere else to go. */
const primaryOverloadAvoidTime: Milliseconds = 500;

/** Time for which a reported log position counts as current; replicas receive commits continuously. */
const logPositionLifetime: Milliseconds = 40;

/** Cost of a member in another data centre, for the traffic between data centres. Like every cost here, it is added to the expected reply time. */
const crossDataCentreCost: Milliseconds = 20;

/** Cost of the primary, whose slots are needed for writes. */
const primaryCost: Milliseconds = 10;

/** Cost of each connection in use and each waiting request of this instance on the member. */
const loadCost: Milliseconds = 15;

/** Cost of a member that does not answer; greater than the sum of all other costs under usual load. */
const failingCost: Milliseconds = 10_000;

/** Cost of a member that refused a request recently or is known to lag behind the required position. */
const unavailableCost: Milliseconds = 5000;

/** Returns the members by increasing cost of a read that requires the log position. On routes with primary consistency the primary comes first, since replicas lag behind it. */
export function orderMembersForRead(candidates: readonly MemberCandidate[], required: LogPosition, consistency: Consistency): readonly MemberCandidate[] {
	const rank = (candidate: MemberCandidate): number => consistency === 'primary' && candidate.isPrimary ? Number.NEGATIVE_INFINITY : memberCost(candidate, required);
	return candidates.toSorted((first, second) => compareNumbers(rank(first), rank(second)));
}

/** Returns the time for which reads avoid a member that refused one. Answers a primary that is overloaded after a burst: it recovers only when reads that replicas can serve stay away. */
export function avoidTimeAfterRefusal(reason: RefusalReason, isPrimary: boolean): Milliseconds {
	if (reason === 'lagging') {
		return laggingAvoidTime;
	}

	return isPrimary ? primaryOverloadAvoidTime : overloadAvoidTime;
}

/** Compares numbers that may be infinite, for which a plain difference is not a number. */
function compareNumbers(first: number, second: number): number {
	return first === second ? 0 : first - second;
}

function memberCost(candidate: MemberCandidate, required: LogPosition): Milliseconds {
	const isBehind = candidate.logPosition !== undefined && candidate.logPositionAge < logPositionLifetime && compareLogPositions(candidate.logPosition, required) < 0;
	return candidate.expectedReplyTime
		+ (candidate.load * loadCost)
		+ (candidate.isInSameDataCentre ? 0 : crossDataCentreCost)
		+ (candidate.isPrimary ? primaryCost : 0)
		+ (candidate.isFailing ? failingCost : 0)
		+ (isBehind || candidate.isAvoided ? unavailableCost : 0);
}
