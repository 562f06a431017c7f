import {changeOutcome} from '../source/control-log/change-rules.js';
import {
	grantsVote, isCaughtUp, isQuorum, promoteLearner, removeLostVoter, newEntries, nextCommitIndex, type VoterChangeInput,
} from '../source/control-log/log-rules.js';
import {voterKey, type VoterList} from '../source/control-log/types.js';
import {
	commonLogLength, isSameEntry, lastLogPosition, recordCommittedEntries, sortedByKey, toControlLogEntries, volatileState, voterIds, voterKeyOf, voterListContent, voterListOfLog, voterRecord,
	withVoter, type CommittedEntry, type ControlLogState,
} from './control-log-state.js';
import {Specification} from './explorer.js';

/** Rule that an exploration breaks on purpose, to show that the invariants detect it; `none` for the protocol as implemented. */
export type ControlLogMutation =
	| 'none'
	| 'voteFromEmptyDisk'
	| 'voteTwice'
	| 'commitOlderTerm'
	| 'addBeforeCaughtUp'
	| 'exchangeDirectly'
	| 'twoChangesAtOnce'
	| 'noRevisionCheck'
	| 'noChangeIdCheck';

/** Bounds of an exploration. */
export type ControlLogBounds = {
	/** Highest term; the first leader has term 1. */
	readonly highestTerm: number;
	/** Ids of the changes that operators submit, in order. All expect the same revision; a repeated id is a change that is resent. */
	readonly changes: readonly string[];
	/** Whether voters may restart, which resets their volatile state. */
	readonly votersMayRestart: boolean;
	/** Highest number of disks that are lost. */
	readonly lostDiskLimit: number;
	/** Whether a lost disk may come back and replace the new one. */
	readonly disksMayReturn: boolean;
	/** Highest number of entries in one append message. */
	readonly entriesPerMessage: number;
	/** Whether a follower's answer to an append message may be lost. */
	readonly answersMayBeLost: boolean;
	/** Highest number of states to explore. */
	readonly stateLimit: number;
};

/** Step of a voter or an operator; `stand` is a voter that starts an election. */
type ControlLogStep =
	| {readonly type: 'stand'; readonly voter: number}
	| {readonly type: 'vote'; readonly voter: number; readonly candidate: number}
	| {readonly type: 'append'; readonly voter: number; readonly leader: number; readonly answerLost: boolean}
	| {readonly type: 'submit'; readonly leader: number}
	| {readonly type: 'restart'; readonly voter: number}
	| {readonly type: 'loseDisk'; readonly voter: number}
	| {readonly type: 'returnDisk'; readonly voter: number}
	| {readonly type: 'remove'; readonly voter: number; readonly leader: number}
	| {readonly type: 'add'; readonly voter: number; readonly leader: number};

/** Model of the control log: elections, replication, commit and voter replacement among three voters that may restart or lose their disks. The decisions are made by the functions of source/control-log. */
export class ControlLogSpecification extends Specification<ControlLogState, ControlLogStep> {
	override readonly title = 'control log';

	constructor(private readonly mutation: ControlLogMutation, private readonly bounds: ControlLogBounds) {
		super();
	}

	override get stateLimit(): number {
		return this.bounds.stateLimit;
	}

	override initial(): ControlLogState {
		const list = {term: 1, content: voterListContent({voters: voterIds.map(id => voterRecord(id, 0)), learners: []}, 0)};
		const voters = voterIds.map(id => ({
			diskNumber: 0, term: 1, votedFor: voterKeyOf(0, 0), log: id === 0 ? [list, {term: 1, content: 'opening'}] : [list], ...volatileState,
		}));
		return {
			voters: [{...voters[0], role: 'leader', commitIndex: 1}, voters[1], voters[2]],
			committed: [{...list, leaderTerm: 0}],
			submittedChanges: 0,
			lostDiskCount: 0,
			returnableDisks: [null, null, null],
			recordedViolation: null,
		};
	}

	override steps(): readonly ControlLogStep[] {
		const steps: ControlLogStep[] = [];
		for (const voter of voterIds) {
			steps.push({type: 'stand', voter}, {type: 'submit', leader: voter});
			if (this.bounds.votersMayRestart) {
				steps.push({type: 'restart', voter});
			}

			if (this.bounds.lostDiskLimit > 0) {
				steps.push({type: 'loseDisk', voter});
			}

			if (this.bounds.disksMayReturn) {
				steps.push({type: 'returnDisk', voter});
			}

			for (const other of voterIds.filter(id => id !== voter)) {
				steps.push({type: 'vote', voter, candidate: other}, {
					type: 'append', voter, leader: other, answerLost: false,
				});
				if (this.bounds.answersMayBeLost) {
					steps.push({
						type: 'append', voter, leader: other, answerLost: true,
					});
				}

				if (this.bounds.lostDiskLimit > 0) {
					steps.push({type: 'remove', voter, leader: other}, {type: 'add', voter, leader: other});
				}
			}
		}

		return steps;
	}

	override next(state: ControlLogState, step: ControlLogStep): ControlLogState {
		switch (step.type) {
			case 'stand': {
				return this.#startElection(state, step.voter);
			}

			case 'vote': {
				return this.#vote(state, step.voter, step.candidate);
			}

			case 'append': {
				return this.#append(state, step.voter, step.leader, step.answerLost);
			}

			case 'submit': {
				return this.#submit(state, step.leader);
			}

			case 'restart': {
				const voter = state.voters[step.voter];
				return voter.role === 'follower' ? state : withVoter(state, step.voter, volatileState);
			}

			case 'loseDisk': {
				return this.#loseDisk(state, step.voter);
			}

			case 'returnDisk': {
				return this.#returnDisk(state, step.voter);
			}

			case 'remove': {
				return this.#remove(state, step.voter, step.leader);
			}

			case 'add': {
				return this.#add(state, step.voter, step.leader);
			}
		}
	}

	override violation(state: ControlLogState): string | undefined {
		return state.recordedViolation ?? this.#missingEntry(state) ?? this.#contradictoryAnswer(state.committed);
	}

	#startElection(state: ControlLogState, id: number): ControlLogState {
		const voter = state.voters[id];
		const isVoter = voterListOfLog(voter.log).voters.some(other => voterKey(other) === voterKeyOf(id, voter.diskNumber));
		if (!isVoter || voter.role === 'leader' || voter.term >= this.bounds.highestTerm) {
			return state;
		}

		return withVoter(state, id, {
			...volatileState, term: voter.term + 1, votedFor: voterKeyOf(id, voter.diskNumber), role: 'candidate', votes: [voterKeyOf(id, voter.diskNumber)],
		});
	}

	#vote(state: ControlLogState, id: number, candidateId: number): ControlLogState {
		const voter = state.voters[id];
		const candidate = state.voters[candidateId];
		const list = voterListOfLog(candidate.log);
		const target = list.voters.find(other => other.name === `v${id}`);
		if (candidate.role !== 'candidate' || !target || candidate.votes.includes(voterKey(target))) {
			return state;
		}

		const ignoresEmptyDisk = this.mutation === 'voteFromEmptyDisk' && voter.log.length === 0;
		const granted = grantsVote({
			termAndVote: {term: voter.term, votedFor: this.mutation === 'voteTwice' ? null : voter.votedFor},
			ownLastPosition: lastLogPosition(voter.log),
			ownIdentity: ignoresEmptyDisk ? target : voterRecord(id, voter.diskNumber),
			hasLog: ignoresEmptyDisk || voter.log.length > 0,
			// The model has no clock: a voter may lose contact with its leader at any time.
			heardLeaderRecently: false,
			term: candidate.term,
			candidate: voterRecord(candidateId, candidate.diskNumber),
			candidateLastPosition: lastLogPosition(candidate.log),
			target,
		});
		const newTermVolatileState = candidate.term > voter.term ? volatileState : {};
		if (!granted) {
			const learnsTerm = candidate.term > voter.term && voter.log.length > 0;
			return learnsTerm ? withVoter(state, id, {...newTermVolatileState, term: candidate.term, votedFor: null}) : state;
		}

		const voted = withVoter(state, id, {...newTermVolatileState, term: candidate.term, votedFor: voterKeyOf(candidateId, candidate.diskNumber)});
		const votes = [...candidate.votes, voterKey(target)].sort();
		return isQuorum(list.voters, new Set(votes))
			? withVoter(voted, candidateId, {...volatileState, role: 'leader', log: [...candidate.log, {term: candidate.term, content: 'opening'}]})
			: withVoter(voted, candidateId, {votes});
	}

	#append(state: ControlLogState, id: number, leaderId: number, answerLost: boolean): ControlLogState {
		const voter = state.voters[id];
		const leader = state.voters[leaderId];
		const targetKey = voterKeyOf(id, voter.diskNumber);
		const list = voterListOfLog(leader.log);
		const isKnown = [...list.voters, ...list.learners].some(other => voterKey(other) === targetKey);
		const isReplacement = !isKnown && this.bounds.lostDiskLimit > 0 && list.voters.some(other => other.name === `v${id}`) && voter.diskNumber > 0;
		if (leader.role !== 'leader' || (!isKnown && !isReplacement)) {
			return state;
		}

		if (voter.term > leader.term) {
			return answerLost ? state : withVoter(state, leaderId, {...volatileState, term: voter.term, votedFor: null});
		}

		// Simplifications of the model: the leader finds the last common entry in one step, and a learner with an empty log gets the entries instead of a snapshot.
		const commonLength = commonLogLength(voter.log, leader.log);
		const sentEntries = toControlLogEntries(leader.log).slice(commonLength, commonLength + this.bounds.entriesPerMessage);
		const addedEntries = newEntries(sentEntries, index => voter.log[index - 1]?.term);
		const log = addedEntries.length > 0 ? leader.log.slice(0, commonLength + sentEntries.length) : voter.log;
		const newTermPersistentState = leader.term > voter.term ? {term: leader.term, votedFor: null} : {};
		const appended = withVoter(state, id, {...volatileState, ...newTermPersistentState, log});
		const matchIndex = commonLength + sentEntries.length;
		if (answerLost || (leader.matchIndexes[targetKey] ?? 0) >= matchIndex) {
			const changed = addedEntries.length > 0 || leader.term > voter.term || voter.role !== 'follower';
			return changed ? appended : state;
		}

		return this.#commit(withVoter(appended, leaderId, {matchIndexes: sortedByKey({...leader.matchIndexes, [targetKey]: matchIndex})}), leaderId);
	}

	#commit(state: ControlLogState, leaderId: number): ControlLogState {
		const leader = state.voters[leaderId];
		const {voters} = voterListOfLog(leader.log);
		const input = {
			commitIndex: leader.commitIndex,
			term: leader.term,
			voters,
			matchIndex: (key: string) => key === voterKeyOf(leaderId, leader.diskNumber) ? leader.log.length : leader.matchIndexes[key] ?? 0,
			termAt: (index: number) => this.mutation === 'commitOlderTerm' && index > 0 ? leader.term : leader.log[index - 1]?.term,
		};
		const commitIndex = nextCommitIndex(input);
		return commitIndex === leader.commitIndex ? state : recordCommittedEntries(withVoter(state, leaderId, {commitIndex}), leaderId, commitIndex);
	}

	#submit(state: ControlLogState, id: number): ControlLogState {
		const voter = state.voters[id];
		const change = this.bounds.changes[state.submittedChanges];
		return voter.role !== 'leader' || change === undefined
			? state
			: {...withVoter(state, id, {log: [...voter.log, {term: voter.term, content: `change ${change}`}]}), submittedChanges: state.submittedChanges + 1};
	}

	#loseDisk(state: ControlLogState, id: number): ControlLogState {
		return state.lostDiskCount >= this.bounds.lostDiskLimit
			? state
			: {
				...withVoter(state, id, {
					...volatileState, diskNumber: state.voters[id].diskNumber + 1, term: 0, votedFor: null, log: [],
				}),
				lostDiskCount: state.lostDiskCount + 1,
				returnableDisks: this.bounds.disksMayReturn
					? state.returnableDisks.map((disk, voterId) => voterId === id ? {...state.voters[id], ...volatileState} : disk)
					: state.returnableDisks,
			};
	}

	#returnDisk(state: ControlLogState, id: number): ControlLogState {
		const returned = state.returnableDisks[id];
		return returned
			? {...withVoter(state, id, returned), returnableDisks: state.returnableDisks.map((disk, voterId) => voterId === id ? {...state.voters[id], ...volatileState} : disk)}
			: state;
	}

	#voterChangeInput(state: ControlLogState, leaderId: number): VoterChangeInput {
		const leader = state.voters[leaderId];
		const list = voterListOfLog(leader.log);
		const lastListIndex = leader.log.findLastIndex(entry => entry.content.startsWith('voters')) + 1;
		const openingIndex = leader.log.findIndex(entry => entry.term === leader.term) + 1;
		const skipsCommitChecks = this.mutation === 'twoChangesAtOnce';
		return {
			list,
			voterListCommitted: skipsCommitChecks || leader.commitIndex >= lastListIndex,
			currentTermCommitted: skipsCommitChecks || leader.commitIndex >= openingIndex,
			catchUpIndex: this.mutation === 'addBeforeCaughtUp' ? 0 : leader.commitIndex,
			matchIndex: key => leader.matchIndexes[key] ?? 0,
			liveVoters: new Set(voterIds.map(id => voterKeyOf(id, state.voters[id].diskNumber))),
		};
	}

	#remove(state: ControlLogState, id: number, leaderId: number): ControlLogState {
		const leader = state.voters[leaderId];
		const replacement = voterRecord(id, state.voters[id].diskNumber);
		const list = voterListOfLog(leader.log);
		const lost = list.voters.find(voter => voter.name === replacement.name && voter.diskId !== replacement.diskId);
		if (leader.role !== 'leader' || !lost || list.learners.length > 0) {
			return state;
		}

		const input = this.#voterChangeInput(state, leaderId);
		if (this.mutation === 'exchangeDirectly') {
			const voters = [...list.voters.filter(voter => voter !== lost), replacement];
			return isCaughtUp(input, replacement) ? this.#changeVoterList(state, leaderId, {voters, learners: []}) : state;
		}

		const reducedList = removeLostVoter(input, lost, replacement);
		return reducedList ? this.#changeVoterList(state, leaderId, reducedList) : state;
	}

	#add(state: ControlLogState, id: number, leaderId: number): ControlLogState {
		const leader = state.voters[leaderId];
		const learner = voterListOfLog(leader.log).learners.find(other => voterKey(other) === voterKeyOf(id, state.voters[id].diskNumber));
		if (leader.role !== 'leader' || !learner) {
			return state;
		}

		const enlargedList = promoteLearner(this.#voterChangeInput(state, leaderId), learner);
		return enlargedList ? this.#changeVoterList(state, leaderId, enlargedList) : state;
	}

	#changeVoterList(state: ControlLogState, leaderId: number, list: VoterList): ControlLogState {
		const {log, term, commitIndex} = state.voters[leaderId];
		return this.#commit(withVoter(state, leaderId, {log: [...log, {term, content: voterListContent(list, commitIndex)}]}), leaderId);
	}

	/** Leader completeness: a leader must hold every entry that leaders of earlier terms committed. */
	#missingEntry({voters, committed}: ControlLogState): string | undefined {
		const isMissing = voters.some(voter => voter.role === 'leader' && committed.some((entry, arrayIndex) => entry.leaderTerm < voter.term && !isSameEntry(entry, voter.log[arrayIndex])));
		return isMissing ? 'a committed entry is missing in the log of a later leader' : undefined;
	}

	/** Applies the committed changes with `changeOutcome`. A resent change must get the same answer each time. All changes expect the same revision, so only one may be accepted. */
	#contradictoryAnswer(committed: readonly CommittedEntry[]): string | undefined {
		const answers = new Map<string, number>();
		let revision = 0;
		for (const {content} of committed.filter(entry => entry.content.startsWith('change'))) {
			const outcome = changeOutcome({
				knownDigest: this.mutation !== 'noChangeIdCheck' && answers.has(content) ? content : undefined,
				digest: content,
				expectedRevision: this.mutation === 'noRevisionCheck' ? revision : 0,
				filesRevision: revision,
				revision,
			});
			if (outcome === 'known') {
				continue;
			}

			revision += outcome === 'accepted' ? 1 : 0;
			// The answer is the new revision, or -1 for a refusal.
			const answer = outcome === 'accepted' ? revision : -1;
			if (answers.has(content) && answers.get(content) !== answer) {
				return 'a resent change is applied twice or gets another answer';
			}

			answers.set(content, answer);
		}

		return revision > 1 ? 'two changes with equal expected revisions are accepted' : undefined;
	}
}
