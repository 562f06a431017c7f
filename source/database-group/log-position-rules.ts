import {type Milliseconds} from '../clock/clock.js';
import {
	type FreshnessFloor, type LogPosition, type MemberObservation, type MemberStatus,
} from './types.js';

/** Log position of an empty log, before the first entry. Every log has reached it. */
export const initialLogPosition: LogPosition = {term: 0, position: 0};

/** Returns the number of members that form a majority. */
export function majoritySize(memberCount: number): number {
	return Math.floor(memberCount / 2) + 1;
}

/** Compares two log positions by term, then by position. */
export function compareLogPositions(first: LogPosition, second: LogPosition): number {
	return first.term - second.term || first.position - second.position;
}

/** Returns whether a log that ends at the position has no entries. */
export function isEmptyLog(position: LogPosition): boolean {
	return compareLogPositions(position, initialLogPosition) === 0;
}

/** Returns a log position in words for logs. */
export function describeLogPosition(position: LogPosition | undefined): string {
	if (!position) {
		return 'unknown';
	}

	return isEmptyLog(position) ? 'empty log' : `${position.term}.${position.position}`;
}

/** Returns the later of two log positions. */
export function laterLogPosition(first: LogPosition, second: LogPosition): LogPosition {
	return compareLogPositions(first, second) >= 0 ? first : second;
}

/** Returns the earlier of two log positions. */
export function earlierLogPosition(first: LogPosition, second: LogPosition): LogPosition {
	return compareLogPositions(first, second) <= 0 ? first : second;
}

/**
Returns whether a log that ends at the held position contains every acknowledged write at or below the needed position.

A log whose last entry has a later term contains all writes acknowledged in earlier terms, whatever its length: a former primary may have had a longer tail that was never acknowledged.
*/
export function coversLogPosition(held: LogPosition, needed: LogPosition): boolean {
	return compareLogPositions(held, needed) >= 0;
}

/** Returns the log position of the last durable entry of a member. */
export function receivedLogPosition(status: MemberStatus): LogPosition {
	return {term: status.logTerm, position: status.receivedPosition};
}

/**
Returns whether a write at the log position may be acknowledged: a majority of members that includes the primary holds it, each with a log whose last entry has the term of the write.

A member whose last entry has another term does not count, because its log may have diverged.
*/
export function isWriteConfirmed(write: LogPosition, primary: string, statuses: readonly MemberStatus[], memberCount: number): boolean {
	const holders = statuses.filter(status => status.logTerm === write.term && status.receivedPosition >= write.position);
	return holders.length >= majoritySize(memberCount) && holders.some(status => status.member === primary);
}

/** Returns the freshness floor that starts at `startedAt`, or undefined when no majority has responded to requests sent at that time or later. */
export function freshnessFloor(startedAt: Milliseconds, observations: readonly MemberObservation[], memberCount: number): FreshnessFloor | undefined {
	const recentObservations = observations.filter(observation => observation.askedAt >= startedAt);
	if (recentObservations.length < majoritySize(memberCount)) {
		return undefined;
	}

	let logPosition = initialLogPosition;
	for (const {status} of recentObservations) {
		logPosition = laterLogPosition(logPosition, receivedLogPosition(status));
	}

	return {startedAt, logPosition};
}

/**
Returns whether a member may serve a read that needs the log position.

While a member is still applying entries, the term of its last applied entry is unknown and may be lower than its log term. A log term of at least the needed one is then not enough: the needed position must have been applied as well. Both together suffice, because an acknowledged write keeps its position in every later log.
*/
export function mayServeRead(status: MemberStatus, needed: LogPosition): boolean {
	return hasAppliedAll(status)
		? coversLogPosition(receivedLogPosition(status), needed)
		: status.logTerm >= needed.term && status.appliedPosition >= needed.position;
}

/** Returns the latest log position that the member is known to have applied, or the one that the read needed if that is later. The term and the position returned always belong to the same entry; combining those of two entries could give a later term with an earlier position. */
export function knownAppliedLogPosition(status: MemberStatus, needed: LogPosition): LogPosition {
	if (hasAppliedAll(status)) {
		return laterLogPosition(needed, receivedLogPosition(status));
	}

	return status.logTerm === needed.term ? laterLogPosition(needed, {term: needed.term, position: status.appliedPosition}) : needed;
}

function hasAppliedAll(status: MemberStatus): boolean {
	return status.appliedPosition >= status.receivedPosition;
}

/**
Returns the newest freshness floor that follows from the latest observations of the members, or undefined without a majority.

The majority consists of the members polled most recently. The floor starts when the earliest of them was polled; members polled before that are ignored.
*/
export function latestFloor(observations: readonly MemberObservation[], memberCount: number): FreshnessFloor | undefined {
	const newestFirst = observations.toSorted((first, second) => second.askedAt - first.askedAt);
	const last = newestFirst[majoritySize(memberCount) - 1];
	return last && freshnessFloor(last.askedAt, observations, memberCount);
}

/** Returns the history with the floor added. To keep the floors about `spacing` apart, the added floor replaces the last one if it starts less than `spacing` after the one before the last. When there are more floors than the capacity, the oldest are dropped. */
export function addFloor(history: readonly FreshnessFloor[], floor: FreshnessFloor, spacing: Milliseconds, capacity: number): readonly FreshnessFloor[] {
	const last = history.at(-1);
	if (last && floor.startedAt <= last.startedAt) {
		return history;
	}

	const beforeLast = history.at(-2);
	const kept = beforeLast && floor.startedAt - beforeLast.startedAt < spacing ? history.slice(0, -1) : history;
	return [...kept, floor].slice(-capacity);
}

/** Returns the floor with the lowest log position among those that started at the given time or later, or undefined when there is none. */
export function lowestFloorSince(history: readonly FreshnessFloor[], since: Milliseconds): FreshnessFloor | undefined {
	let lowest: FreshnessFloor | undefined;
	for (const floor of history) {
		if (floor.startedAt >= since && (!lowest || compareLogPositions(floor.logPosition, lowest.logPosition) < 0)) {
			lowest = floor;
		}
	}

	return lowest;
}

/** Returns the observations with the given one added, unless the response to a later request to the same member is already included. */
export function addObservation(observations: ReadonlyMap<string, MemberObservation>, added: MemberObservation): ReadonlyMap<string, MemberObservation> {
	const present = observations.get(added.status.member);
	return present && present.askedAt > added.askedAt ? observations : new Map([...observations, [added.status.member, added]]);
}
