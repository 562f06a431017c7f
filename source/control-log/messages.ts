import {
	type ControlLogEntry, type Snapshot, type VoterIdentity, type VoterRecord,
} from './types.js';

/** Common fields of `requestVote`, `appendEntries` and `installSnapshot`. */
export type VoterRequest = {
	readonly group: string;
	readonly term: number;
	/** The intended receiver. A voter with another disk refuses the request. */
	readonly target: VoterIdentity;
};

/** Request `requestVote`: asks for a vote in a term. */
export type VoteRequest = VoterRequest & {
	readonly candidate: VoterRecord;
	readonly lastIndex: number;
	readonly lastTerm: number;
	/** Whether this is a pre-vote: it asks whether a vote would be granted and changes no state. */
	readonly preliminary: boolean;
};

/** Response to `requestVote`. */
export type VoteResponse = {
	readonly term: number;
	readonly granted: boolean;
};

/** Request `appendEntries`; a heartbeat if it has no entries. */
export type AppendRequest = VoterRequest & {
	readonly leader: VoterRecord;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly ControlLogEntry[];
	readonly commitIndex: number;
};

/** Request `installSnapshot`: sent to a peer that needs entries that the leader has compacted. */
export type SnapshotRequest = VoterRequest & {
	readonly leader: VoterRecord;
	readonly snapshot: Snapshot;
};

/** Response to `appendEntries` and `installSnapshot`. */
export type AppendResponse = {
	readonly term: number;
	readonly accepted: boolean;
	/** If accepted, the index up to which the log matches the leader's; otherwise the highest index up to which it may match. */
	readonly index: number;
};

/** Response to `describeVoter`: the voter's identity, its group (null without a voter list), and its last log index and term. */
export type DescribeVoterResponse = VoterIdentity & {
	readonly group: string | null;
	readonly lastIndex: number;
	readonly term: number;
};

/** Request `bootstrap`: sets the first voter list. */
export type BootstrapRequest = {
	readonly voters: readonly VoterRecord[];
};
