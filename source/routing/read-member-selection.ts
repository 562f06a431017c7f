import {mayServeRead} from '../database-group/log-position-rules.js';
import {type LogPosition, type MemberStatus} from '../database-group/types.js';

/** A member that may be used for new reads: reachable, leased and not leaving. */
export type ReadCandidate = {
	readonly status: MemberStatus;
	readonly dataCentre: string;
	readonly isPrimary: boolean;
	/** Slots that reads may still take. */
	readonly freeSlots: number;
	/** Share of the slots in use, from 0 to 1. */
	readonly slotUtilization: number;
};

/** What decides on the member for a read. */
export type ReadRequirements = {
	readonly neededPoint: LogPosition;
	readonly localDataCentre: string;
	/** Whether the wait for an eligible replica is over. */
	readonly replicaWaitElapsed: boolean;
	/** Whether the read would rather use the primary than wait any longer for a replica's slot. */
	readonly slotWaitElapsed: boolean;
	/** Members on which the read failed; used only when no other is left. */
	readonly failedMembers: ReadonlySet<string>;
};

/** Returns the member for a read, or undefined while the read must wait. */
export function selectReadMember(candidates: readonly ReadCandidate[], question: ReadRequirements): string | undefined {
	const untried = candidates.filter(({status}) => !question.failedMembers.has(status.member));
	const usable = untried.length > 0 ? untried : candidates;
	const replicas = usable.filter(candidate => !candidate.isPrimary);
	const eligibleReplicas = replicas.filter(candidate => mayServeRead(candidate.status, question.neededPoint));
	const replica = leastUsed(eligibleReplicas, question.localDataCentre);
	if (replica) {
		return replica.status.member;
	}

	return mayUsePrimary(replicas.length, eligibleReplicas.length, question) ? choosePrimary(usable, question) : undefined;
}

function mayUsePrimary(replicaCount: number, eligibleCount: number, question: ReadRequirements): boolean {
	if (eligibleCount > 0) {
		return question.slotWaitElapsed;
	}

	return replicaCount === 0 || question.replicaWaitElapsed;
}

function choosePrimary(candidates: readonly ReadCandidate[], question: ReadRequirements): string | undefined {
	const eligible = candidates.filter(candidate => candidate.isPrimary && mayServeRead(candidate.status, question.neededPoint));
	return leastUsed(eligible, question.localDataCentre)?.status.member;
}

function leastUsed(candidates: readonly ReadCandidate[], localDataCentre: string): ReadCandidate | undefined {
	const free = candidates.filter(candidate => candidate.freeSlots > 0);
	const ordered = free.toSorted((first, second) =>
		first.slotUtilization - second.slotUtilization
		|| Number(second.dataCentre === localDataCentre) - Number(first.dataCentre === localDataCentre)
		|| first.status.member.localeCompare(second.status.member));
	return ordered[0];
}
