import {replicaStatus} from '../source/database-group/member-status-fixture.js';
import {type LogPosition, type MemberStatus} from '../source/database-group/types.js';

/** One entry of a member's log; the opening entry of a term has write 0. */
export type GroupEntryModel = {readonly term: number; readonly write: number};

/** One member of the group. */
export type Member = {
	readonly promised: number;
	readonly log: readonly GroupEntryModel[];
	/** Number of entries that reads on the member see. */
	readonly applied: number;
	/** Term for which the member is primary, or 0. */
	readonly primaryTerm: number;
	/** Term whose primary the member follows, or 0. */
	readonly follows: number;
};

/** A promise as the coordinator received it: the term, the coordinator, and the member's log point. */
export type GroupPromise = {
	readonly term: number;
	readonly coordinator: number;
	readonly member: number;
	readonly point: LogPosition;
};

/** One write and where its primary holds it. */
export type Write = {
	readonly point: LogPosition;
	readonly primary: number;
	readonly acknowledged: boolean;
};

/** State of the group, of its coordinators and of the pool that acknowledges. */
export type GroupState = {
	readonly members: readonly Member[];
	readonly promises: readonly GroupPromise[];
	readonly writes: readonly Write[];
	/** Choices that coordinators made, as `term.coordinator`; each chooses once. */
	readonly choices: readonly string[];
	/** Last status that the observing pool has of each member; null when it has none. */
	readonly observed: ReadonlyArray<LogPosition | null>;
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
export function withMember(state: GroupState, id: number, change: Partial<Member>): GroupState {
	return {...state, members: state.members.with(id, {...state.members[id], ...change})};
}

/** Returns the log point of a member. */
export function pointOf(member: Member): LogPosition {
	return {term: member.log.at(-1)?.term ?? 0, position: member.log.length};
}

/** Returns whether a member's log holds the write. */
export function holds(member: Member, write: Write, index: number): boolean {
	const entry = member.log[write.point.position - 1];
	return entry?.term === write.point.term && entry.write === index + 1;
}

/** Returns whether reads on the member see the write. */
export function shows(member: Member, write: Write, index: number): boolean {
	return member.applied >= write.point.position && holds(member, write, index);
}

/** Returns the number of entries that two logs have in common from the start. */
export function commonPrefix(first: readonly GroupEntryModel[], second: readonly GroupEntryModel[]): number {
	let length = 0;
	while (length < first.length && length < second.length && first[length].term === second[length].term && first[length].write === second[length].write) {
		length++;
	}

	return length;
}

/** Returns the status of a member at a log point, as the product's rules take it. */
export function statusOf(member: number, point: LogPosition, promisedTerm: number): MemberStatus {
	return {...replicaStatus(String(member), point.term, point.position), promisedTerm};
}
