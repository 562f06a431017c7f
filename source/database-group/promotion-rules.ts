import {compareLogPositions, majoritySize, receivedLogPosition} from './log-position-rules.js';
import {type MemberStatus} from './types.js';

/** Returns a term above every term that the members have seen. */
export function nextTerm(statuses: readonly MemberStatus[]): number {
	let highest = 0;
	for (const status of statuses) {
		highest = Math.max(highest, status.promisedTerm, status.logTerm, status.primaryTerm);
	}

	return highest + 1;
}

/**
Returns the member to promote for the term, or undefined when no majority has promised it.

The statuses must be the answers to this coordinator's own promise calls: a term that a member promised to another coordinator does not count. Among a majority, the member with the highest log point holds every acknowledged write.
*/
export function chooseMemberToPromote(term: number, statuses: readonly MemberStatus[], memberCount: number, preferred?: string): MemberStatus | undefined {
	const promised = statuses.filter(status => status.promisedTerm === term);
	if (promised.length < majoritySize(memberCount)) {
		return undefined;
	}

	const ordered = promised.toSorted((first, second) =>
		compareLogPositions(receivedLogPosition(second), receivedLogPosition(first))
		|| Number(second.member === preferred) - Number(first.member === preferred)
		|| first.member.localeCompare(second.member));
	return ordered[0];
}

/** Returns the primary of the highest term promised among the statuses, or undefined while that term has none. */
export function currentPrimary(statuses: readonly MemberStatus[]): MemberStatus | undefined {
	const highestPromise = Math.max(0, ...statuses.map(status => status.promisedTerm));
	return statuses.find(status => status.role === 'primary' && status.primaryTerm === highestPromise && status.acceptingWrites);
}

/**
Returns the primary that takes writes, or undefined while there is none.

A primary counts as superseded as soon as any member reports a primary of a later term, whether or not that primary can be seen. A mere promise of a later term does not count: its coordinator may have failed, and no write is acknowledged without a majority anyway.
*/
export function activePrimary(statuses: readonly MemberStatus[], suspects: ReadonlySet<string>): MemberStatus | undefined {
	const latestTerm = Math.max(0, ...statuses.map(status => status.primaryTerm));
	return statuses.find(status => status.role === 'primary' && status.acceptingWrites && status.primaryTerm === latestTerm && !suspects.has(status.member));
}
