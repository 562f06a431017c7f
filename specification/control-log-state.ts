import {currentVoterList} from '../source/control-log/log-rules.js';
import {
	voterKey, type ControlLogEntry, type VoterIdentity, type VoterList, type VoterRecord,
} from '../source/control-log/types.js';

/** Log entry of the model. The content is `opening` (first entry of a term), `change ID`, or `voters KEY,KEY learners KEY caught N`, where N is the commit index when the voter change began. */
export type ControlEntryModel = {readonly term: number; readonly content: string};

/** One voter: the persistent state on its disk and its volatile state. */
export type VoterModel = {
	/** Number of the voter's disk; part of its identity. Each lost disk is replaced by one with a new number. */
	readonly diskNumber: number;
	readonly term: number;
	readonly votedFor: string | null;
	readonly log: readonly ControlEntryModel[];
	readonly role: 'follower' | 'candidate' | 'leader';
	readonly votes: readonly string[];
	/** Match index of each follower by voter key, as a leader knows it. */
	readonly matchIndexes: Readonly<Record<string, number>>;
	/** Commit index of a leader. */
	readonly commitIndex: number;
};

/** Entry that a leader committed. */
export type CommittedEntry = ControlEntryModel & {
	/** Term of the leader that committed the entry. */
	readonly leaderTerm: number;
};

/** State of all voters, with every entry that was ever committed. */
export type ControlLogState = {
	readonly voters: readonly VoterModel[];
	readonly committed: readonly CommittedEntry[];
	/** Number of changes that operators have submitted. */
	readonly submittedChanges: number;
	readonly lostDiskCount: number;
	/** For each voter, the lost disk that may come back, or null. */
	readonly returnableDisks: ReadonlyArray<VoterModel | null>;
	/** Invariant that a commit broke, or null. */
	readonly recordedViolation: string | null;
};

/** Ids of the three voters; an id is the index of the voter in `ControlLogState.voters`. */
export const voterIds = [0, 1, 2] as const;
/** Volatile state of a voter after a restart. */
export const volatileState = {
	role: 'follower', votes: [], matchIndexes: {}, commitIndex: 0,
} as const;

/** Returns the record by which voter lists name a voter with the given disk number. The model has no addresses. */
export function voterRecord(voter: number, diskNumber: number): VoterRecord {
	return {name: `v${voter}`, diskId: String(diskNumber), address: ''};
}

/** Returns the key `v<id>/<disk number>`, which identifies a voter and its disk in votes and match indexes. */
export function voterKeyOf(voter: number, diskNumber: number): string {
	return voterKey(voterRecord(voter, diskNumber));
}

function parseVoterKey(text: string): VoterRecord {
	const [name, diskId] = text.split('/');
	return {name, diskId, address: ''};
}

/** Returns the content of an entry with a voter list; `catchUpIndex` is the commit index when the change began. */
export function voterListContent(list: VoterList, catchUpIndex: number): string {
	const voters = list.voters.map(voter => voterKey(voter)).sort().join(',');
	return `voters ${voters} learners ${list.learners.map(learner => voterKey(learner)).join(',')} caught ${catchUpIndex}`;
}

const parsedVoterLists = new Map<string, VoterList>();

function parseVoterList(content: string): VoterList {
	const known = parsedVoterLists.get(content);
	if (known) {
		return known;
	}

	const [, voters, , learners] = content.split(' ');
	const list = {
		voters: voters.split(',').map(text => parseVoterKey(text)),
		learners: learners === '' ? [] : learners.split(',').map(text => parseVoterKey(text)),
	};
	parsedVoterLists.set(content, list);
	return list;
}

/** Converts the log to the entries that the rules in source/control-log work on. */
export function toControlLogEntries(log: readonly ControlEntryModel[]): readonly ControlLogEntry[] {
	return log.map(({term, content}, arrayIndex) => ({
		index: arrayIndex + 1,
		term,
		command: content.startsWith('voters') ? {kind: 'changeVoters', list: parseVoterList(content)} : {kind: 'opening'},
	}));
}

/** Returns the current voter list according to the log. */
export function voterListOfLog(log: readonly ControlEntryModel[]): VoterList {
	return currentVoterList({voters: [], learners: []}, toControlLogEntries(log));
}

/** Returns the state with one voter changed. */
export function withVoter(state: ControlLogState, id: number, change: Partial<VoterModel>): ControlLogState {
	return {...state, voters: state.voters.map((voter, voterId) => voterId === id ? {...voter, ...change} : voter)};
}

/** Returns the index and term of the last entry. */
export function lastLogPosition(log: readonly ControlEntryModel[]): {readonly index: number; readonly term: number} {
	return {index: log.length, term: log.at(-1)?.term ?? 0};
}

/** Returns whether two entries have the same term and content. */
export function isSameEntry(first: ControlEntryModel, second: ControlEntryModel | undefined): boolean {
	return first.term === second?.term && first.content === second.content;
}

/** Returns the length of the common prefix of two logs; entries with equal index and term are equal (Raft's log matching property). */
export function commonLogLength(first: readonly ControlEntryModel[], second: readonly ControlEntryModel[]): number {
	let length = 0;
	while (length < first.length && length < second.length && first[length].term === second[length].term) {
		length++;
	}

	return length;
}

/** Returns the record with its keys sorted, so that equal states have equal JSON. */
export function sortedByKey(values: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
	return Object.fromEntries(Object.entries(values).sort(([first], [second]) => first.localeCompare(second)));
}

/** Adds the entries that a leader committed to the state, and records a violation if they contradict entries committed before. */
export function recordCommittedEntries(state: ControlLogState, leaderId: number, commitIndex: number): ControlLogState {
	const {log, term} = state.voters[leaderId];
	const committed = [...state.committed];
	for (let arrayIndex = 0; arrayIndex < commitIndex; arrayIndex++) {
		const committedEntry = committed[arrayIndex];
		if (committedEntry && !isSameEntry(committedEntry, log[arrayIndex])) {
			return {...state, recordedViolation: 'two different entries are committed at one index'};
		}

		committed[arrayIndex] = committedEntry ?? {...log[arrayIndex], leaderTerm: term};
	}

	const newlyCommitted = log.slice(state.committed.length, commitIndex);
	const addsLagging = newlyCommitted.some(entry => addsLaggingVoter(state, entry));
	return {...state, committed, recordedViolation: addsLagging ? 'a voter is counted before it holds the committed entries' : state.recordedViolation};
}

/** Returns whether the entry adds a voter whose log lacks entries that were committed when the change began. */
function addsLaggingVoter({voters}: ControlLogState, {content}: ControlEntryModel): boolean {
	if (!content.startsWith('voters')) {
		return false;
	}

	const catchUpIndex = Number(content.split(' ').at(-1));
	return parseVoterList(content).voters.some(({name, diskId}: VoterIdentity) => {
		const voter = voters[Number(name.slice(1))];
		return String(voter.diskNumber) === diskId && voter.diskNumber > 0 && voter.log.length < catchUpIndex;
	});
}
