import {type Milliseconds} from '../clock/clock.js';
import {
	voterKey, type LogEnd, type ControlLogEntry, type VoterIdentity, type VoterList, type VoterPromise, type VoterRecord,
} from './types.js';

/** Returns how many of the voters are a majority. */
export function majority(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/** Returns whether the identities named in the set contain a majority of the voters. */
export function isQuorum(voters: readonly VoterIdentity[], keys: ReadonlySet<string>): boolean {
	return voters.filter(voter => keys.has(voterKey(voter))).length >= majority(voters.length);
}

/**
Returns whether the votes elect a leader.

The first election after bootstrap needs every voter, so that two overlapping first lists cannot both start a group.
*/
export function isElected(voters: readonly VoterIdentity[], votes: ReadonlySet<string>, firstElection: boolean): boolean {
	return firstElection
		? voters.every(voter => votes.has(voterKey(voter)))
		: isQuorum(voters, votes);
}

/** Returns whether the candidate's log is at least as long as the voter's own, by term and then by index. */
export function isUpToDate(candidate: LogEnd, own: LogEnd): boolean {
	return candidate.term === own.term ? candidate.index >= own.index : candidate.term > own.term;
}

/** What a voter decides a vote by. */
export type VoteInput = {
	readonly promise: VoterPromise;
	readonly ownLastPosition: LogEnd;
	readonly ownIdentity: VoterIdentity;
	/** Whether the voter has a log that began with a voter list; a voter with an empty disk has none. */
	readonly hasLog: boolean;
	/** Whether the voter heard from a leader, or started, within the minimum election timeout. */
	readonly heardLeaderRecently: boolean;
	readonly term: number;
	readonly candidate: VoterIdentity;
	readonly candidateLastPosition: LogEnd;
	readonly target: VoterIdentity;
};

/** Returns whether a voter grants its vote. */
export function grantsVote(question: VoteInput): boolean {
	const {promise, term, candidate} = question;
	if (!question.hasLog || question.heardLeaderRecently || voterKey(question.target) !== voterKey(question.ownIdentity)) {
		return false;
	}

	const free = term > promise.term
		|| (term === promise.term && (promise.votedFor === null || promise.votedFor === voterKey(candidate)));
	return free && isUpToDate(question.candidateLastPosition, question.ownLastPosition);
}

/** Returns whether a log continues a leader's log after the previous entry; `termAt` is the term of the own entry, if it is held. */
export function matchesLog(previousTerm: number, termAt: number | undefined): boolean {
	return termAt === previousTerm;
}

/** Returns the part of the received entries that the own log does not hold already. */
export function newEntries(entries: readonly ControlLogEntry[], termAt: (index: number) => number | undefined): readonly ControlLogEntry[] {
	const firstNew = entries.findIndex(entry => termAt(entry.index) !== entry.term);
	return firstNew === -1 ? [] : entries.slice(firstNew);
}

/** Returns the highest value that a majority of the voters reaches; unknown voters count as the fallback. */
export function quorumValue(voters: readonly VoterIdentity[], valueOf: (key: string) => number): number {
	const values = voters.map(voter => valueOf(voterKey(voter)));
	values.sort((first, second) => second - first);
	return values[majority(voters.length) - 1];
}

/** What a leader decides the commit index by. */
export type CommitInput = {
	readonly commitIndex: number;
	readonly term: number;
	readonly voters: readonly VoterIdentity[];
	/** Last index durable on a voter and equal to the leader's log. */
	readonly matchIndex: (key: string) => number;
	readonly termAt: (index: number) => number | undefined;
};

/** Returns the new commit index; only an entry of the current term is committed by counting. */
export function nextCommitIndex(question: CommitInput): number {
	const index = quorumValue(question.voters, question.matchIndex);
	const counts = index > question.commitIndex && question.termAt(index) === question.term;
	return counts ? index : question.commitIndex;
}

/**
Returns whether a leader may still speak for the group.

`acknowledgedAt` is the time on the leader's own clock at which it sent the last message that the voter acknowledged.
*/
export function isLeaseLive(now: Milliseconds, lease: Milliseconds, voters: readonly VoterIdentity[], acknowledgedAt: (key: string) => Milliseconds): boolean {
	return now - quorumValue(voters, acknowledgedAt) < lease;
}

/** Returns the list in force after the entries: a list counts from the moment it is in the log. */
export function currentVoterList(base: VoterList, entries: readonly ControlLogEntry[]): VoterList {
	const last = entries.findLast(entry => entry.command.kind === 'changeVoters');
	return last?.command.kind === 'changeVoters' ? last.command.list : base;
}

/** What a leader decides a change of the voter list by. */
export type VoterChangeInput = {
	readonly list: VoterList;
	/** Whether the entry of the list in force is committed. */
	readonly listCommitted: boolean;
	/** Whether the leader has committed an entry of its own term. */
	readonly currentTermCommitted: boolean;
	/** Commit index at the start of the present round of catching up. Under load a learner never holds the very last entry, so that it cannot be asked for. */
	readonly catchUpIndex: number;
	readonly matchIndex: (key: string) => number;
	/** Voters that acknowledged the leader within its lease, the leader included. */
	readonly liveVoters: ReadonlySet<string>;
};

/** Returns whether a learner holds every entry that was committed when the round began. */
export function isCaughtUp(question: VoterChangeInput, learner: VoterIdentity): boolean {
	return question.matchIndex(voterKey(learner)) >= question.catchUpIndex;
}

/** Returns whether the list may change at all: one change at a time, by a leader that has committed in its own term. */
export function mayChangeList(question: VoterChangeInput): boolean {
	return question.listCommitted && question.currentTermCommitted;
}

/**
Returns the list that takes the lost identity out, or undefined while this is not allowed.

The lost identity is removed by one entry and the new one added by the next. Each of the two lists shares a voter with every majority of the list before it, which a direct exchange does not guarantee: the lost disk may have voted for another leader, or may come back.
*/
export function removeLostVoter(question: VoterChangeInput, lost: VoterIdentity, replacement: VoterRecord): VoterList | undefined {
	const voters = question.list.voters.filter(voter => voterKey(voter) !== voterKey(lost));
	const allowed = mayChangeList(question) && voters.length === question.list.voters.length - 1
		&& isCaughtUp(question, replacement) && isQuorum(voters, question.liveVoters);
	return allowed ? {voters, learners: [...question.list.learners, replacement]} : undefined;
}

/** Returns the list in which the learner is a voter, or undefined while this is not allowed. */
export function promoteLearner(question: VoterChangeInput, learner: VoterRecord): VoterList | undefined {
	const allowed = mayChangeList(question) && isCaughtUp(question, learner) && isQuorum(question.list.voters, question.liveVoters);
	if (!allowed) {
		return undefined;
	}

	return {
		voters: [...question.list.voters, learner],
		learners: question.list.learners.filter(other => voterKey(other) !== voterKey(learner)),
	};
}
