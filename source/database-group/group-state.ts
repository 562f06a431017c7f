import {Blackboard} from '../blackboard/blackboard.js';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {initialLogPosition} from './log-position-rules.js';
import {type FreshnessFloor, type LogPosition, type MemberObservation} from './types.js';

/** A member of the accepted set whose address is known. */
export type GroupMember = {
	readonly member: string;
	readonly address: Address;
	readonly dataCentre: string;
	/** Whether the member asks for no new work. */
	readonly leaving: boolean;
};

/** Place of this pool in the ownership order of the database. */
export type Ownership = {
	/** 0 for the owner; negative when this pool takes no new work. */
	readonly rank: number;
	/** Pools in ownership order. */
	readonly order: readonly string[];
};

/** State of one database that the controllers of a pool share. */
export type GroupEntries = {
	readonly members: ReadonlyMap<string, GroupMember>;
	/** Configured number of members; majorities refer to it. */
	readonly memberCount: number;
	readonly observations: ReadonlyMap<string, MemberObservation>;
	/** Freshness floors, oldest first. */
	readonly floors: readonly FreshnessFloor[];
	/** Members that failed on a fresh connection too. */
	readonly suspects: ReadonlySet<string>;
	/** Member whose monitor connection last stopped responding while a fresh one worked. */
	readonly unresponsiveConnection: string | undefined;
	/** Time on this pool's clock until which it may use each member. */
	readonly leases: ReadonlyMap<string, Milliseconds>;
	readonly ownership: Ownership;
	/** Whether this pool gives its leases back and takes no new ones. */
	readonly yielding: boolean;
	/** Highest point of the writes that wait for their confirmation. */
	readonly awaitedPoint: LogPosition | undefined;
	/** Highest point that a write of this pool has reached on the primary. */
	readonly latestWritePoint: LogPosition;
	/** Reads that wait for a fresher member or a new floor. */
	readonly awaitingReads: number;
	/** Whether new writes wait because a planned change of the primary is under way. */
	readonly writesPaused: boolean;
	/** Writes and open transactions that occupy the primary. */
	readonly writesInProgress: number;
};

/** Blackboard of one database. */
export type GroupBlackboard = Blackboard<GroupEntries>;

/** Returns the blackboard of a database before anything is known about it. */
export function createGroupBlackboard(memberCount: number): GroupBlackboard {
	return new Blackboard<GroupEntries>({
		members: new Map(),
		memberCount,
		observations: new Map(),
		floors: [],
		suspects: new Set(),
		unresponsiveConnection: undefined,
		leases: new Map(),
		ownership: {rank: -1, order: []},
		yielding: false,
		awaitedPoint: undefined,
		latestWritePoint: initialLogPosition,
		awaitingReads: 0,
		writesPaused: false,
		writesInProgress: 0,
	});
}

/** Returns whether this pool holds the lease of the member at the time. */
export function holdsLease(board: GroupBlackboard, member: string, now: Milliseconds): boolean {
	return (board.read('leases').get(member) ?? 0) > now;
}

/** Returns whether this pool may send work to the member at the time. */
export function mayUseMember(board: GroupBlackboard, member: string, now: Milliseconds): boolean {
	return board.read('members').has(member) && holdsLease(board, member, now) && !board.read('suspects').has(member);
}
