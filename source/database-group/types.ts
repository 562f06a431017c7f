import {type Milliseconds} from '../clock/clock.js';

/** Position in a replication log: the term of an entry and its index in the log. */
export type LogPosition = {
	readonly term: number;
	readonly position: number;
};

/** Replication role of a member. */
export type MemberRole = 'primary' | 'replica';

/** Status that a member reports about itself. */
export type MemberStatus = {
	readonly member: string;
	/** Highest term that the member has promised to a coordinator; it rejects lower ones. */
	readonly promisedTerm: number;
	/** Term of the last entry in the log. */
	readonly logTerm: number;
	/** Position of the last entry that is durable on the member; decides acknowledgement and promotion. */
	readonly receivedPosition: number;
	/** Position of the last entry that is visible to reads on the member. */
	readonly appliedPosition: number;
	readonly role: MemberRole;
	/** Term in which the member was promoted, or term of the primary that it follows. */
	readonly primaryTerm: number;
	readonly primaryMember: string;
	/** Whether the member is a primary that has started its term and accepts writes. */
	readonly acceptingWrites: boolean;
	/** Number of statements that the member executes at the same time. */
	readonly slots: number;
	readonly connectionLimit: number;
	readonly connections: number;
	readonly leaseHolder: string;
	readonly leaseRemaining: Milliseconds;
};

/** A member's status and the time at which it was requested, on the clock of the requesting process. */
export type MemberObservation = {
	readonly askedAt: Milliseconds;
	readonly status: MemberStatus;
};

/** Minimum log position that a member must have applied to serve a read as of `startedAt`: every write acknowledged before that time is at or below `point`. */
export type FreshnessFloor = {
	readonly startedAt: Milliseconds;
	readonly logPosition: LogPosition;
};
