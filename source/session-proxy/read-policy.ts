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
	/** Share of its usual reads that the member gets; 1 unless it recovers. */
	readonly recoveryShare: number;
	/** Whether the member is ejected from reads because it fails its requests. */
	readonly isEjected: boolean;
};

/** Requirements of a read on the members. */
export type ReadRequirement = {
	/** Log position that the read requires. */
	readonly required: LogPosition;
	readonly consistency: Consistency;
	/** Random number from 0 up to but not including 1. A recovering member is held back unless the number is below its share. */
	readonly draw?: number;
	/** Whether the primary did not serve the read when it was sent there first, so that replicas precede it that are known to be fresh enough. */
	readonly wasTriedAtPrimary?: boolean;
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

/** Cost of a recovering member for a read beyond its share. Greater than the other costs under usual load, and less than that of members that cannot serve the read. */
const heldBackCost: Milliseconds = 2500;

/** Cost of a member that fails part of its requests. Less than that of members that cannot serve the read, so that it is used when it is the only one that can. */
const ejectedCost: Milliseconds = 3750;

/** Cost of a member that refused a request recently or is known to lag behind the required position. */
const unavailableCost: Milliseconds = 5000;

/** Returns the members by increasing cost of a read. On routes with primary consistency the primary comes first, since replicas lag behind it. Only when it is held back, or was tried already, do replicas precede it that are known to be fresh enough. */
export function orderMembersForRead(candidates: readonly MemberCandidate[], requirement: ReadRequirement): readonly MemberCandidate[] {
	const {required, consistency, draw = 0, wasTriedAtPrimary = false} = requirement;
	const isPrimaryHeldBack = wasTriedAtPrimary || candidates.some(candidate => candidate.isPrimary && isHeldBack(candidate, draw));
	const tierOf = (candidate: MemberCandidate): number => {
		if (consistency !== 'primary' || (isPrimaryHeldBack && isUsableReplica(candidate, required))) {
			return 0;
		}

		return candidate.isPrimary ? 1 : 2;
	};

	return candidates.toSorted((first, second) => tierOf(first) - tierOf(second) || memberCost(first, requirement) - memberCost(second, requirement));
}

/** Returns the time for which reads avoid a member that refused one. Answers a primary that is overloaded after a burst: it recovers only when reads that replicas can serve stay away. */
export function avoidTimeAfterRefusal(reason: RefusalReason, isPrimary: boolean): Milliseconds {
	if (reason === 'lagging') {
		return laggingAvoidTime;
	}

	return isPrimary ? primaryOverloadAvoidTime : overloadAvoidTime;
}

/** Returns whether a replica can serve a read for certain: it answers, does not fail its requests and is known to be fresh enough. */
function isUsableReplica(candidate: MemberCandidate, required: LogPosition): boolean {
	const {isPrimary, isFailing, isAvoided, isEjected} = candidate;
	return !isPrimary && !isFailing && !isAvoided && !isEjected && hasCurrentLogPosition(candidate) && compareLogPositions(candidate.logPosition, required) >= 0;
}

function isHeldBack({recoveryShare}: MemberCandidate, draw: number): boolean {
	return draw >= recoveryShare;
}

function hasCurrentLogPosition(candidate: MemberCandidate): candidate is MemberCandidate & {readonly logPosition: LogPosition} {
	return candidate.logPosition !== undefined && candidate.logPositionAge < logPositionLifetime;
}

function isKnownToBeBehind(candidate: MemberCandidate, required: LogPosition): boolean {
	return hasCurrentLogPosition(candidate) && compareLogPositions(candidate.logPosition, required) < 0;
}

function memberCost(candidate: MemberCandidate, {required, draw = 0}: ReadRequirement): Milliseconds {
	return candidate.expectedReplyTime
		+ (candidate.load * loadCost)
		+ (candidate.isInSameDataCentre ? 0 : crossDataCentreCost)
		+ (candidate.isPrimary ? primaryCost : 0)
		+ (candidate.isFailing ? failingCost : 0)
		+ (isHeldBack(candidate, draw) ? heldBackCost : 0)
		+ (candidate.isEjected ? ejectedCost : 0)
		+ (candidate.isAvoided || isKnownToBeBehind(candidate, required) ? unavailableCost : 0);
}
