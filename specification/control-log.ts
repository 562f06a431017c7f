import {changeOutcome} from '../source/control-log/change-rules.js';
import {
	grantsVote, isCaughtUp, isQuorum, promoteLearner, removeLostVoter, newEntries, nextCommitIndex, type VoterChangeInput,
} from '../source/control-log/log-rules.js';
import {voterKey, type VoterList} from '../source/control-log/types.js';
import {
	commonLength, endOf, isSame, key, listContent, listOfLog, logEntries, record, recordCommitted, sortedRecord, voterIds, volatileState, withVoter, type CommittedEntry, type ControlState,
} from './control-log-state.js';
import {Specification} from './explorer.js';

/** Rules that a mutation may break. */
export type ControlMutation =
	| 'none'
	| 'voteFromEmptyDisk'
	| 'voteTwice'
	| 'commitOlderTerm'
	| 'addBeforeCaughtUp'
	| 'exchangeDirectly'
	| 'twoChangesAtOnce'
	| 'noRevisionCheck'
	| 'noChangeIdCheck';

/** Sizes of an exploration. */
export type ControlBounds = {
	/** Highest term; the first leader has term 1. */
	readonly terms: number;
	/** Changes that operators submit, in order; all expect the same revision, and a repeated one is resent. */
	readonly changes: readonly string[];
	readonly restarts: boolean;
	readonly lostDisks: number;
	/** Whether a lost disk may come back in place of the new one. */
	readonly returnedDisks: boolean;
	/** Entries in one message. */
	readonly entriesPerMessage: number;
	/** Whether a follower's answer may be lost. */
	readonly lostAnswers: boolean;
	readonly states: number;
};

type ControlStep =
	| {readonly type: 'stand'; readonly voter: number}
	| {readonly type: 'vote'; readonly voter: number; readonly candidate: number}
	| {readonly type: 'append'; readonly voter: number; readonly leader: number; readonly answerLost: boolean}
	| {readonly type: 'submit'; readonly leader: number}
	| {readonly type: 'restart'; readonly voter: number}
	| {readonly type: 'loseDisk'; readonly voter: number}
	| {readonly type: 'returnDisk'; readonly voter: number}
	| {readonly type: 'remove'; readonly voter: number; readonly leader: number}
	| {readonly type: 'add'; readonly voter: number; readonly leader: number};

/** Elections, replication, commit and replacement of voters among three voters that may restart or lose their disks. */
export class ControlLogSpecification extends Specification<ControlState, ControlStep> {
	override readonly title = 'control log';

	constructor(private readonly mutation: ControlMutation, private readonly bounds: ControlBounds) {
		super();
	}

	override get bound(): number {
		return this.bounds.states;
	}

	override initial(): ControlState {
		const list = {term: 1, content: listContent({voters: voterIds.map(id => record(id, 0)), learners: []}, 0)};
		const voters = voterIds.map(id => ({
			disk: 0, term: 1, votedFor: key(0, 0), log: id === 0 ? [list, {term: 1, content: 'opening'}] : [list], ...volatileState,
		}));
		return {
			voters: [{...voters[0], role: 'leader', commit: 1}, voters[1], voters[2]],
			committed: [{...list, by: 0}],
			submitted: 0,
			lostDisks: 0,
			shelf: [null, null, null],
			broken: null,
		};
	}

	override steps(): readonly ControlStep[] {
		const steps: ControlStep[] = [];
		for (const voter of voterIds) {
			steps.push({type: 'stand', voter}, {type: 'submit', leader: voter});
			if (this.bounds.restarts) {
				steps.push({type: 'restart', voter});
			}

			if (this.bounds.lostDisks > 0) {
				steps.push({type: 'loseDisk', voter});
			}

			if (this.bounds.returnedDisks) {
				steps.push({type: 'returnDisk', voter});
			}

			for (const other of voterIds.filter(id => id !== voter)) {
				steps.push({type: 'vote', voter, candidate: other}, {
					type: 'append', voter, leader: other, answerLost: false,
				});
				if (this.bounds.lostAnswers) {
					steps.push({
						type: 'append', voter, leader: other, answerLost: true,
					});
				}

				if (this.bounds.lostDisks > 0) {
					steps.push({type: 'remove', voter, leader: other}, {type: 'add', voter, leader: other});
				}
			}
		}

		return steps;
	}

	override next(state: ControlState, step: ControlStep): ControlState {
		switch (step.type) {
			case 'stand': {
				return this.#stand(state, step.voter);
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

	override violation(state: ControlState): string | undefined {
		return state.broken ?? this.#lostEntry(state) ?? this.#wrongAnswer(state.committed);
	}

	#stand(state: ControlState, id: number): ControlState {
		const voter = state.voters[id];
		const listed = listOfLog(voter.log).voters.some(other => voterKey(other) === key(id, voter.disk));
		if (!listed || voter.role === 'leader' || voter.term >= this.bounds.terms) {
			return state;
		}

		return withVoter(state, id, {
			...volatileState, term: voter.term + 1, votedFor: key(id, voter.disk), role: 'candidate', votes: [key(id, voter.disk)],
		});
	}

	#vote(state: ControlState, id: number, candidateId: number): ControlState {
		const voter = state.voters[id];
		const candidate = state.voters[candidateId];
		const list = listOfLog(candidate.log);
		const target = list.voters.find(other => other.name === `v${id}`);
		if (candidate.role !== 'candidate' || !target || candidate.votes.includes(voterKey(target))) {
			return state;
		}

		const deceived = this.mutation === 'voteFromEmptyDisk' && voter.log.length === 0;
		const granted = grantsVote({
			promise: {term: voter.term, votedFor: this.mutation === 'voteTwice' ? null : voter.votedFor},
			ownLastPosition: endOf(voter.log),
			ownIdentity: deceived ? target : record(id, voter.disk),
			hasLog: deceived || voter.log.length > 0,
			// Without clocks, any voter may stop hearing from its leader at any time.
			heardLeaderRecently: false,
			term: candidate.term,
			candidate: record(candidateId, candidate.disk),
			candidateLastPosition: endOf(candidate.log),
			target,
		});
		const raised = candidate.term > voter.term ? volatileState : {};
		if (!granted) {
			const learnsTerm = candidate.term > voter.term && voter.log.length > 0;
			return learnsTerm ? withVoter(state, id, {...raised, term: candidate.term, votedFor: null}) : state;
		}

		const voted = withVoter(state, id, {...raised, term: candidate.term, votedFor: key(candidateId, candidate.disk)});
		const votes = [...candidate.votes, voterKey(target)].sort();
		return isQuorum(list.voters, new Set(votes))
			? withVoter(voted, candidateId, {...volatileState, role: 'leader', log: [...candidate.log, {term: candidate.term, content: 'opening'}]})
			: withVoter(voted, candidateId, {votes});
	}

	#append(state: ControlState, id: number, leaderId: number, answerLost: boolean): ControlState {
		const voter = state.voters[id];
		const leader = state.voters[leaderId];
		const target = key(id, voter.disk);
		const list = listOfLog(leader.log);
		const isKnown = [...list.voters, ...list.learners].some(other => voterKey(other) === target);
		const isReplacement = !isKnown && this.bounds.lostDisks > 0 && list.voters.some(other => other.name === `v${id}`) && voter.disk > 0;
		if (leader.role !== 'leader' || (!isKnown && !isReplacement)) {
			return state;
		}

		if (voter.term > leader.term) {
			return answerLost ? state : withVoter(state, leaderId, {...volatileState, term: voter.term, votedFor: null});
		}

		// The search for the last common entry is one step here; a learner without a log gets the same by a snapshot.
		const common = commonLength(voter.log, leader.log);
		const sent = logEntries(leader.log).slice(common, common + this.bounds.entriesPerMessage);
		const added = newEntries(sent, index => voter.log[index - 1]?.term);
		const log = added.length > 0 ? leader.log.slice(0, common + sent.length) : voter.log;
		const promise = leader.term > voter.term ? {term: leader.term, votedFor: null} : {};
		const appended = withVoter(state, id, {...volatileState, ...promise, log});
		const index = common + sent.length;
		if (answerLost || (leader.match[target] ?? 0) >= index) {
			const changed = added.length > 0 || leader.term > voter.term || voter.role !== 'follower';
			return changed ? appended : state;
		}

		return this.#commit(withVoter(appended, leaderId, {match: sortedRecord({...leader.match, [target]: index})}), leaderId);
	}

	#commit(state: ControlState, leaderId: number): ControlState {
		const leader = state.voters[leaderId];
		const {voters} = listOfLog(leader.log);
		const question = {
			commitIndex: leader.commit,
			term: leader.term,
			voters,
			matchIndex: (text: string) => text === key(leaderId, leader.disk) ? leader.log.length : leader.match[text] ?? 0,
			termAt: (index: number) => this.mutation === 'commitOlderTerm' && index > 0 ? leader.term : leader.log[index - 1]?.term,
		};
		const commit = nextCommitIndex(question);
		return commit === leader.commit ? state : recordCommitted(withVoter(state, leaderId, {commit}), leaderId, commit);
	}

	#submit(state: ControlState, id: number): ControlState {
		const voter = state.voters[id];
		const change = this.bounds.changes[state.submitted];
		return voter.role !== 'leader' || change === undefined
			? state
			: {...withVoter(state, id, {log: [...voter.log, {term: voter.term, content: `change ${change}`}]}), submitted: state.submitted + 1};
	}

	#loseDisk(state: ControlState, id: number): ControlState {
		return state.lostDisks >= this.bounds.lostDisks
			? state
			: {
				...withVoter(state, id, {
					...volatileState, disk: state.voters[id].disk + 1, term: 0, votedFor: null, log: [],
				}),
				lostDisks: state.lostDisks + 1,
				shelf: this.bounds.returnedDisks
					? state.shelf.map((disk, position) => position === id ? {...state.voters[id], ...volatileState} : disk)
					: state.shelf,
			};
	}

	#returnDisk(state: ControlState, id: number): ControlState {
		const returned = state.shelf[id];
		return returned
			? {...withVoter(state, id, returned), shelf: state.shelf.map((disk, position) => position === id ? {...state.voters[id], ...volatileState} : disk)}
			: state;
	}

	#question(state: ControlState, leaderId: number): VoterChangeInput {
		const leader = state.voters[leaderId];
		const list = listOfLog(leader.log);
		const lastList = leader.log.findLastIndex(entry => entry.content.startsWith('voters')) + 1;
		const opening = leader.log.findIndex(entry => entry.term === leader.term) + 1;
		const careless = this.mutation === 'twoChangesAtOnce';
		return {
			list,
			listCommitted: careless || leader.commit >= lastList,
			currentTermCommitted: careless || leader.commit >= opening,
			catchUpIndex: this.mutation === 'addBeforeCaughtUp' ? 0 : leader.commit,
			matchIndex: text => leader.match[text] ?? 0,
			liveVoters: new Set(voterIds.map(id => key(id, state.voters[id].disk))),
		};
	}

	#remove(state: ControlState, id: number, leaderId: number): ControlState {
		const leader = state.voters[leaderId];
		const present = record(id, state.voters[id].disk);
		const list = listOfLog(leader.log);
		const lost = list.voters.find(voter => voter.name === present.name && voter.diskId !== present.diskId);
		if (leader.role !== 'leader' || !lost || list.learners.length > 0) {
			return state;
		}

		const question = this.#question(state, leaderId);
		if (this.mutation === 'exchangeDirectly') {
			const voters = [...list.voters.filter(voter => voter !== lost), present];
			return isCaughtUp(question, present) ? this.#changeList(state, leaderId, {voters, learners: []}) : state;
		}

		const without = removeLostVoter(question, lost, present);
		return without ? this.#changeList(state, leaderId, without) : state;
	}

	#add(state: ControlState, id: number, leaderId: number): ControlState {
		const leader = state.voters[leaderId];
		const learner = listOfLog(leader.log).learners.find(other => voterKey(other) === key(id, state.voters[id].disk));
		if (leader.role !== 'leader' || !learner) {
			return state;
		}

		const added = promoteLearner(this.#question(state, leaderId), learner);
		return added ? this.#changeList(state, leaderId, added) : state;
	}

	#changeList(state: ControlState, leaderId: number, list: VoterList): ControlState {
		const {log, term, commit} = state.voters[leaderId];
		return this.#commit(withVoter(state, leaderId, {log: [...log, {term, content: listContent(list, commit)}]}), leaderId);
	}

	/** A leader must hold everything that leaders of earlier terms committed. */
	#lostEntry({voters, committed}: ControlState): string | undefined {
		const lost = voters.some(voter => voter.role === 'leader' && committed.some((entry, position) => entry.by < voter.term && !isSame(entry, voter.log[position])));
		return lost ? 'an accepted entry is missing in the log of a later leader' : undefined;
	}

	/** Carries out the committed changes by the product's rule and compares the answers. */
	#wrongAnswer(committed: readonly CommittedEntry[]): string | undefined {
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
			const answer = outcome === 'accepted' ? revision : -1;
			if (answers.has(content) && answers.get(content) !== answer) {
				return 'a resent change is applied twice or gets another answer';
			}

			answers.set(content, answer);
		}

		return revision > 1 ? 'two changes with equal expected revisions are accepted' : undefined;
	}
}
