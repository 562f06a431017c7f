import {compareLogPositions, majoritySize, receivedLogPosition} from './log-position-rules.js';
import {type MemberStatus} from './types.js';

/** Returns a term higher than every term that the members have reported. */
export function nextTerm(statuses: readonly MemberStatus[]): number {
	let highest = 0;
	for (const status of statuses) {
		highest = Math.max(highest, status.promisedTerm, status.logTerm, status.primaryTerm);
	}

	return highest + 1;
}

/**
Returns the member to promote in the term, or undefined when no majority has promised it.

The statuses must be the responses to this coordinator's own promise calls: a term that a member promised to another coordinator does not count. Among a majority, the member with the highest log position holds every acknowledged write.
*/
export function chooseMemberToPromote(term: number, statuses: readonly MemberStatus[], memberCount: number, preferred?: string): MemberStatus | undefined {
	const promisingMembers = statuses.filter(status => status.promisedTerm === term);
	if (promisingMembers.length < majoritySize(memberCount)) {
		return undefined;
	}

	const ordered = promisingMembers.toSorted((first, second) =>
		compareLogPositions(receivedLogPosition(second), receivedLogPosition(first))
		|| Number(second.member === preferred) - Number(first.member === preferred)
		|| first.member.localeCompare(second.member));
	return ordered[0];
}

/** Returns the primary of the highest term promised by any member, or undefined while that term has no primary. */
export function primaryOfHighestPromisedTerm(statuses: readonly MemberStatus[]): MemberStatus | undefined {
	const highestPromise = Math.max(0, ...statuses.map(status => status.promisedTerm));
	return statuses.find(status => status.role === 'primary' && status.primaryTerm === highestPromise && status.acceptingWrites);
}

/**
Returns the primary that accepts writes, or undefined when there is none.

A primary is superseded as soon as any member reports a primary of a later term, even if that primary is not reachable. A promise of a later term alone does not supersede it: the coordinator may have failed, and no write is acknowledged without a majority anyway.
*/
export function activePrimary(statuses: readonly MemberStatus[], suspects: ReadonlySet<string>): MemberStatus | undefined {
	const latestTerm = Math.max(0, ...statuses.map(status => status.primaryTerm));
	return statuses.find(status => status.role === 'primary' && status.acceptingWrites && status.primaryTerm === latestTerm && !suspects.has(status.member));
}
