import {replicaStatus} from '../source/database-group/member-status-fixture.js';
import {type LogPosition, type MemberStatus} from '../source/database-group/types.js';

/** Log entry of the model. Writes are numbered from 1; the entry that opens a term has write 0. */
export type GroupEntryModel = {readonly term: number; readonly write: number};

/** One member of the database group. */
export type MemberModel = {
	readonly promisedTerm: number;
	readonly log: readonly GroupEntryModel[];
	/** Number of log entries that are applied and so visible to reads on the member. */
	readonly appliedPosition: number;
	/** Term for which the member is primary, or 0. */
	readonly primaryTerm: number;
	/** Term whose primary the member follows, or 0. */
	readonly followedTerm: number;
};

/** A promise that a coordinator received, with the member's log position. */
export type GroupPromise = {
	readonly term: number;
	readonly coordinator: number;
	readonly member: number;
	readonly logPosition: LogPosition;
};

/** One write, with its primary and its position in the primary's log. */
export type WriteModel = {
	readonly logPosition: LogPosition;
	readonly primary: number;
	readonly acknowledged: boolean;
};

/** State of the members, of the coordinators of promotions, and of the pool that acknowledges writes. */
export type GroupState = {
	readonly members: readonly MemberModel[];
	readonly promises: readonly GroupPromise[];
	readonly writes: readonly WriteModel[];
	/** Coordinators that have chosen a member to promote, as `term.coordinator`; each chooses once a term. */
	readonly choices: readonly string[];
	/** Last log position that the pool has seen of each member, or null. */
	readonly observedPositions: ReadonlyArray<LogPosition | null>;
};

/** One step of a member, a coordinator or the pool. */
export type GroupStep =
	| {readonly type: 'promise'; readonly member: number; readonly term: number; readonly coordinator: number}
	| {readonly type: 'promote'; readonly term: number; readonly coordinator: number}
	| {readonly type: 'follow'; readonly member: number; readonly term: number}
	| {readonly type: 'replicate'; readonly member: number}
	| {readonly type: 'apply'; readonly member: number}
	| {readonly type: 'write'; readonly member: number}
	| {readonly type: 'observe'; readonly member: number}
	| {readonly type: 'acknowledge'; readonly write: number}
	| {readonly type: 'restart'; readonly member: number};

/** Returns the state with a changed member. */
export function withMember(state: GroupState, id: number, change: Partial<MemberModel>): GroupState {
	return {...state, members: state.members.with(id, {...state.members[id], ...change})};
}

/** Returns the position of the last entry in a member's log, whether or not it is applied. */
export function logPositionOf(member: MemberModel): LogPosition {
	return {term: member.log.at(-1)?.term ?? 0, position: member.log.length};
}

/** Returns whether a member's log holds the write. */
export function holdsWrite(member: MemberModel, write: WriteModel, index: number): boolean {
	const entry = member.log[write.logPosition.position - 1];
	return entry?.term === write.logPosition.term && entry.write === index + 1;
}

/** Returns whether the write is visible to reads on the member. */
export function showsWrite(member: MemberModel, write: WriteModel, index: number): boolean {
	return member.appliedPosition >= write.logPosition.position && holdsWrite(member, write, index);
}

/** Returns the length of the common prefix of two members' logs. */
export function commonMemberLogLength(first: readonly GroupEntryModel[], second: readonly GroupEntryModel[]): number {
	let length = 0;
	while (length < first.length && length < second.length && first[length].term === second[length].term && first[length].write === second[length].write) {
		length++;
	}

	return length;
}

/** Returns the status of a member at a log position, as the functions of source/database-group take it. */
export function createMemberStatus(member: number, logPosition: LogPosition, promisedTerm: number): MemberStatus {
	return {...replicaStatus(String(member), logPosition.term, logPosition.position), promisedTerm};
}
