import {Blackboard} from '../blackboard/blackboard.js';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {initialLogPosition} from './log-position-rules.js';
import {type FreshnessFloor, type LogPosition, type MemberObservation} from './types.js';

/** A member of the accepted member set whose address is known. */
export type GroupMember = {
	readonly member: string;
	readonly address: Address;
	readonly dataCentre: string;
	/** Whether the member is about to leave and asks for no new work. */
	readonly leaving: boolean;
};

/** Rank of this pool in the ownership order of the database. */
export type Ownership = {
	/** 0 for the owner; negative when this pool accepts no new work. */
	readonly rank: number;
	/** Pools in ownership order. */
	readonly order: readonly string[];
};

/** State of one database that the controllers of a pool share through the blackboard. */
export type GroupBlackboardEntries = {
	readonly members: ReadonlyMap<string, GroupMember>;
	/** Configured number of members, the basis of majorities. */
	readonly memberCount: number;
	/** Latest status of each member that has responded. */
	readonly observations: ReadonlyMap<string, MemberObservation>;
	/** Freshness floors, oldest first. */
	readonly floors: readonly FreshnessFloor[];
	/** Members suspected of having failed: they responded on no connection, not even on a new one. */
	readonly suspects: ReadonlySet<string>;
	/** The last member whose monitor connection stopped responding while a new connection worked. */
	readonly memberWithUnresponsiveConnection: string | undefined;
	/** For each member, the time on this pool's clock at which its lease expires. */
	readonly leases: ReadonlyMap<string, Milliseconds>;
	readonly ownership: Ownership;
	/** Whether this pool is handing the database over: it releases its leases and acquires no new ones. */
	readonly isReleasingLeases: boolean;
	/** Highest log position of the writes that wait for confirmation. */
	readonly unconfirmedWritePosition: LogPosition | undefined;
	/** Highest log position that a write of this pool has reached on the primary. */
	readonly latestWritePosition: LogPosition;
	/** Number of reads that wait until a member has applied the log position they need, or for a new freshness floor. */
	readonly waitingReadCount: number;
	/** Whether new writes wait because a switchover is in progress. */
	readonly writesPaused: boolean;
	/** Number of writes and open transactions on the primary. */
	readonly writesInProgress: number;
};

/** Blackboard of one database. */
export type GroupBlackboard = Blackboard<GroupBlackboardEntries>;

/** Creates the blackboard of a database with its initial state. */
export function createGroupBlackboard(memberCount: number): GroupBlackboard {
	return new Blackboard<GroupBlackboardEntries>({
		members: new Map(),
		memberCount,
		observations: new Map(),
		floors: [],
		suspects: new Set(),
		memberWithUnresponsiveConnection: undefined,
		leases: new Map(),
		ownership: {rank: -1, order: []},
		isReleasingLeases: false,
		unconfirmedWritePosition: undefined,
		latestWritePosition: initialLogPosition,
		waitingReadCount: 0,
		writesPaused: false,
		writesInProgress: 0,
	});
}

/** Returns whether this pool holds the member's lease at the given time. */
export function holdsLease(board: GroupBlackboard, member: string, now: Milliseconds): boolean {
	return (board.read('leases').get(member) ?? 0) > now;
}

/** Returns whether this pool may send requests to the member at the given time: the member is known, leased and not suspected. */
export function mayUseMember(board: GroupBlackboard, member: string, now: Milliseconds): boolean {
	return board.read('members').has(member) && holdsLease(board, member, now) && !board.read('suspects').has(member);
}
