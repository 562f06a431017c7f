import {
	type ControlLogEntry, type Snapshot, type VoterIdentity, type VoterRecord,
} from './types.js';

/** What every request between voters carries. */
export type VoterRequest = {
	readonly group: string;
	readonly term: number;
	/** The voter that the sender counts; a voter with another disk refuses. */
	readonly target: VoterIdentity;
};

/** Request `requestVote`. */
export type VoteRequest = VoterRequest & {
	readonly candidate: VoterRecord;
	readonly lastIndex: number;
	readonly lastTerm: number;
	/** Asks whether a vote would be granted, without raising the term. */
	readonly preliminary: boolean;
};

/** Response to `requestVote`. */
export type VoteResponse = {
	readonly term: number;
	readonly granted: boolean;
};

/** Request `appendEntries`; without entries it is a heartbeat. */
export type AppendRequest = VoterRequest & {
	readonly leader: VoterRecord;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly ControlLogEntry[];
	readonly commitIndex: number;
};

/** Request `installSnapshot`. */
export type SnapshotRequest = VoterRequest & {
	readonly leader: VoterRecord;
	readonly snapshot: Snapshot;
};

/** Response to `appendEntries` and `installSnapshot`. */
export type AppendResponse = {
	readonly term: number;
	readonly accepted: boolean;
	/** When accepted: last index known to equal the leader's log. Otherwise: last index that may equal it. */
	readonly index: number;
};

/** Response to `describeVoter`. */
export type DescribeVoterResponse = VoterIdentity & {
	readonly group: string | null;
	readonly lastIndex: number;
	readonly term: number;
};

/** Request `bootstrap`: the first voter list. */
export type BootstrapRequest = {
	readonly voters: readonly VoterRecord[];
};
