import {mayServeRead} from '../database-group/log-position-rules.js';
import {type LogPosition, type MemberStatus} from '../database-group/types.js';

/** A member that may serve new reads: it is reachable, holds a valid lease and is not leaving. */
export type ReadCandidate = {
	readonly status: MemberStatus;
	readonly dataCentre: string;
	readonly isPrimary: boolean;
	/** Execution slots that are still available to reads. */
	readonly freeSlots: number;
	/** Share of the execution slots in use, from 0 to 1. */
	readonly slotUtilization: number;
};

/** What a read requires of the member that serves it. */
export type ReadRequirements = {
	readonly neededPoint: LogPosition;
	readonly localDataCentre: string;
	/** Whether the time to wait for an eligible replica has passed. */
	readonly replicaWaitElapsed: boolean;
	/** Whether the time to wait for a free slot on an eligible replica has passed, so that the primary may serve the read. */
	readonly slotWaitElapsed: boolean;
	/** Members on which the read failed; used only when there is no other member. */
	readonly failedMembers: ReadonlySet<string>;
};

/** Returns the member for a read, or undefined while the read must wait. */
export function selectReadMember(candidates: readonly ReadCandidate[], requirements: ReadRequirements): string | undefined {
	const notFailed = candidates.filter(({status}) => !requirements.failedMembers.has(status.member));
	const usable = notFailed.length > 0 ? notFailed : candidates;
	const replicas = usable.filter(candidate => !candidate.isPrimary);
	const eligibleReplicas = replicas.filter(candidate => mayServeRead(candidate.status, requirements.neededPoint));
	const replica = leastUtilized(eligibleReplicas, requirements.localDataCentre);
	if (replica) {
		return replica.status.member;
	}

	return mayUsePrimary(replicas.length, eligibleReplicas.length, requirements) ? selectPrimary(usable, requirements) : undefined;
}

function mayUsePrimary(replicaCount: number, eligibleCount: number, requirements: ReadRequirements): boolean {
	if (eligibleCount > 0) {
		return requirements.slotWaitElapsed;
	}

	return replicaCount === 0 || requirements.replicaWaitElapsed;
}

function selectPrimary(candidates: readonly ReadCandidate[], requirements: ReadRequirements): string | undefined {
	const eligible = candidates.filter(candidate => candidate.isPrimary && mayServeRead(candidate.status, requirements.neededPoint));
	return leastUtilized(eligible, requirements.localDataCentre)?.status.member;
}

function leastUtilized(candidates: readonly ReadCandidate[], localDataCentre: string): ReadCandidate | undefined {
	const free = candidates.filter(candidate => candidate.freeSlots > 0);
	const ordered = free.toSorted((first, second) =>
		first.slotUtilization - second.slotUtilization
		|| Number(second.dataCentre === localDataCentre) - Number(first.dataCentre === localDataCentre)
		|| first.status.member.localeCompare(second.status.member));
	return ordered[0];
}
