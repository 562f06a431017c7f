import {type Milliseconds} from '../clock/clock.js';

/** A place in a member's log: the term of the last entry held and its position. */
export type LogPosition = {
	readonly term: number;
	readonly position: number;
};

/** Role of a member. */
export type MemberRole = 'primary' | 'replica';

/** What a member reports about itself. */
export type MemberStatus = {
	readonly member: string;
	readonly promisedTerm: number;
	readonly logTerm: number;
	/** Last position that is durable on the member; counts for acknowledgement and promotion. */
	readonly receivedPosition: number;
	/** Last position that reads on the member see. */
	readonly appliedPosition: number;
	readonly role: MemberRole;
	/** Term for which the member was promoted or whose primary it follows. */
	readonly primaryTerm: number;
	readonly primaryMember: string;
	/** Whether the member is a primary that has opened its term and takes writes. */
	readonly acceptingWrites: boolean;
	readonly slots: number;
	readonly connectionLimit: number;
	readonly connections: number;
	readonly leaseHolder: string;
	readonly leaseRemaining: Milliseconds;
};

/** A status with the time on the asking process's clock at which the question was sent. */
export type MemberObservation = {
	readonly askedAt: Milliseconds;
	readonly status: MemberStatus;
};

/** Every write acknowledged before `startedAt` is at or below the point. */
export type FreshnessFloor = {
	readonly startedAt: Milliseconds;
	readonly point: LogPosition;
};
