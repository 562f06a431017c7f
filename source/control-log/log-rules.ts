import {type Milliseconds} from '../clock/clock.js';
import {
	voterKey, type EntryPosition, type ControlLogEntry, type VoterIdentity, type VoterList, type TermAndVote, type VoterRecord,
} from './types.js';

/** Returns the size of the smallest majority. */
export function majority(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/** Returns whether the keys include a majority of the voters. */
export function isQuorum(voters: readonly VoterIdentity[], keys: ReadonlySet<string>): boolean {
	return voters.filter(voter => keys.has(voterKey(voter))).length >= majority(voters.length);
}

/**
Returns whether the votes elect a leader.

The first election after bootstrap needs the vote of every voter, so that two overlapping initial lists cannot both form a group.
*/
export function isElected(voters: readonly VoterIdentity[], votes: ReadonlySet<string>, isFirstElection: boolean): boolean {
	return isFirstElection
		? voters.every(voter => votes.has(voterKey(voter)))
		: isQuorum(voters, votes);
}

/** Returns whether the candidate's log is at least as up-to-date as the voter's own: its last entry has a higher term, or the same term and no lower index. */
export function isUpToDate(candidate: EntryPosition, own: EntryPosition): boolean {
	return candidate.term === own.term ? candidate.index >= own.index : candidate.term > own.term;
}

/** Input of `grantsVote`. */
export type VoteInput = {
	readonly termAndVote: TermAndVote;
	readonly ownLastPosition: EntryPosition;
	readonly ownIdentity: VoterIdentity;
	/** Whether the voter has a log that starts with a voter list. A voter with an empty disk has none and must not vote. */
	readonly hasLog: boolean;
	/** Whether the voter received a message from a leader, or started, within the minimum election timeout. */
	readonly heardLeaderRecently: boolean;
	readonly term: number;
	readonly candidate: VoterIdentity;
	readonly candidateLastPosition: EntryPosition;
	readonly target: VoterIdentity;
};

/** Returns whether a voter grants its vote to the candidate. */
export function grantsVote(input: VoteInput): boolean {
	const {termAndVote, term, candidate} = input;
	if (!input.hasLog || input.heardLeaderRecently || voterKey(input.target) !== voterKey(input.ownIdentity)) {
		return false;
	}

	const mayVoteInTerm = term > termAndVote.term
		|| (term === termAndVote.term && (termAndVote.votedFor === null || termAndVote.votedFor === voterKey(candidate)));
	return mayVoteInTerm && isUpToDate(input.candidateLastPosition, input.ownLastPosition);
}

/** Raft's log consistency check: returns whether this voter has the entry that precedes the new ones, with the same term as in the leader's log. `ownTerm` is the term of this voter's entry, or undefined if it is missing. */
export function matchesLog(previousTerm: number, ownTerm: number | undefined): boolean {
	return ownTerm === previousTerm;
}

/** Returns the received entries from the first one that the own log does not contain. */
export function newEntries(entries: readonly ControlLogEntry[], termAt: (index: number) => number | undefined): readonly ControlLogEntry[] {
	const firstNewOffset = entries.findIndex(entry => termAt(entry.index) !== entry.term);
	return firstNewOffset === -1 ? [] : entries.slice(firstNewOffset);
}

/** Returns the highest value that a majority of the voters has reached. */
export function quorumValue(voters: readonly VoterIdentity[], valueOf: (key: string) => number): number {
	const values = voters.map(voter => valueOf(voterKey(voter)));
	values.sort((first, second) => second - first);
	return values[majority(voters.length) - 1];
}

/** Input of `nextCommitIndex`. */
export type CommitInput = {
	readonly commitIndex: number;
	readonly term: number;
	readonly voters: readonly VoterIdentity[];
	/** Returns the highest index up to which the voter's durable log matches the leader's. */
	readonly matchIndex: (key: string) => number;
	readonly termAt: (index: number) => number | undefined;
};

/** Returns the new commit index. Only entries of the current term are committed by counting replicas (Raft, section 5.4.2). */
export function nextCommitIndex(input: CommitInput): number {
	const index = quorumValue(input.voters, input.matchIndex);
	const canCommit = index > input.commitIndex && input.termAt(index) === input.term;
	return canCommit ? index : input.commitIndex;
}

/**
Returns whether the leader's lease is valid, that is, whether it may answer reads without asking a quorum.

`lastAcknowledgedSendTime` returns the send time of the latest message that the voter acknowledged, on the leader's clock.
*/
export function isLeaseValid(now: Milliseconds, leaseDuration: Milliseconds, voters: readonly VoterIdentity[], lastAcknowledgedSendTime: (key: string) => Milliseconds): boolean {
	return now - quorumValue(voters, lastAcknowledgedSendTime) < leaseDuration;
}

/** Returns the voter list after the entries. A list applies as soon as it is in the log, committed or not. */
export function currentVoterList(base: VoterList, entries: readonly ControlLogEntry[]): VoterList {
	const lastChange = entries.findLast(entry => entry.command.kind === 'changeVoters');
	return lastChange?.command.kind === 'changeVoters' ? lastChange.command.list : base;
}

/** Input of `mayChangeVoters`, `isCaughtUp`, `removeLostVoter` and `promoteLearner`. */
export type VoterChangeInput = {
	readonly list: VoterList;
	/** Whether the entry with the current voter list is committed. */
	readonly voterListCommitted: boolean;
	/** Whether the leader has committed an entry of its own term. */
	readonly currentTermCommitted: boolean;
	/** Index that a learner must reach before it becomes a voter: the commit index at the second-latest periodic check of the voters. The last index of the log is not used, because under load a learner always lags behind it. */
	readonly catchUpIndex: number;
	readonly matchIndex: (key: string) => number;
	/** Keys of the voters that acknowledged the leader within its lease, including the leader. */
	readonly liveVoters: ReadonlySet<string>;
};

/** Returns whether a learner has every entry up to `catchUpIndex`. */
export function isCaughtUp(input: VoterChangeInput, learner: VoterIdentity): boolean {
	return input.matchIndex(voterKey(learner)) >= input.catchUpIndex;
}

/** Returns whether the voter list may change: one change at a time, and only by a leader that has committed an entry of its own term. */
export function mayChangeVoters(input: VoterChangeInput): boolean {
	return input.voterListCommitted && input.currentTermCommitted;
}

/**
Returns the voter list without the lost voter and with its replacement as a learner, or undefined while this is not allowed.

The lost voter is removed by one entry and its replacement becomes a voter by the next (`promoteLearner`). Majorities of two consecutive lists then overlap. Replacing the voter by a single entry would not guarantee this. The overlap is needed because the voter with the lost disk may have voted for another leader, and its disk may come back.
*/
export function removeLostVoter(input: VoterChangeInput, lost: VoterIdentity, replacement: VoterRecord): VoterList | undefined {
	const voters = input.list.voters.filter(voter => voterKey(voter) !== voterKey(lost));
	const allowed = mayChangeVoters(input) && voters.length === input.list.voters.length - 1
		&& isCaughtUp(input, replacement) && isQuorum(voters, input.liveVoters);
	return allowed ? {voters, learners: [...input.list.learners, replacement]} : undefined;
}

/** Returns the voter list in which the learner is a voter, or undefined while this is not allowed. */
export function promoteLearner(input: VoterChangeInput, learner: VoterRecord): VoterList | undefined {
	const allowed = mayChangeVoters(input) && isCaughtUp(input, learner) && isQuorum(input.list.voters, input.liveVoters);
	if (!allowed) {
		return undefined;
	}

	return {
		voters: [...input.list.voters, learner],
		learners: input.list.learners.filter(other => voterKey(other) !== voterKey(learner)),
	};
}
