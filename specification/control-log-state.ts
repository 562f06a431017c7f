import {currentVoterList} from '../source/control-log/log-rules.js';
import {
	voterKey, type ControlLogEntry, type VoterIdentity, type VoterList, type VoterRecord,
} from '../source/control-log/types.js';

/** An entry as term and content: `opening`, `change ID`, or `voters KEY,KEY learners KEY caught N`. */
export type ControlEntryModel = {readonly term: number; readonly content: string};

/** One voter: what its disk holds, and what it keeps in memory. */
export type VoterModel = {
	readonly disk: number;
	readonly term: number;
	readonly votedFor: string | null;
	readonly log: readonly ControlEntryModel[];
	readonly role: 'follower' | 'candidate' | 'leader';
	readonly votes: readonly string[];
	readonly match: Readonly<Record<string, number>>;
	/** Commit index of a leader. */
	readonly commit: number;
};

/** An entry that a leader committed. */
export type CommittedEntry = ControlEntryModel & {
	/** Term of the leader that committed the entry. */
	readonly by: number;
};

/** State of the group, with what was ever committed. */
export type ControlState = {
	readonly voters: readonly VoterModel[];
	readonly committed: readonly CommittedEntry[];
	readonly submitted: number;
	readonly lostDisks: number;
	/** Lost disks that may come back, by voter. */
	readonly shelf: ReadonlyArray<VoterModel | null>;
	readonly broken: string | null;
};

/** Numbers of the voters. */
export const voterIds = [0, 1, 2] as const;
/** What a voter keeps in memory after a restart. */
export const volatileState = {
	role: 'follower', votes: [], match: {}, commit: 0,
} as const;

/** Returns the identity of a voter with its n-th disk. */
export function record(voter: number, disk: number): VoterRecord {
	return {name: `v${voter}`, diskId: String(disk), address: ''};
}

/** Returns the key of a voter with its n-th disk. */
export function key(voter: number, disk: number): string {
	return voterKey(record(voter, disk));
}

function fromKey(text: string): VoterRecord {
	const [name, diskId] = text.split('/');
	return {name, diskId, address: ''};
}

/** Returns the content of an entry with a list; `caught` is the commit index when the change began. */
export function listContent(list: VoterList, caught: number): string {
	const voters = list.voters.map(voter => voterKey(voter)).sort().join(',');
	return `voters ${voters} learners ${list.learners.map(learner => voterKey(learner)).join(',')} caught ${caught}`;
}

const knownLists = new Map<string, VoterList>();

function listOf(content: string): VoterList {
	const known = knownLists.get(content);
	if (known) {
		return known;
	}

	const [, voters, , learners] = content.split(' ');
	const list = {
		voters: voters.split(',').map(text => fromKey(text)),
		learners: learners === '' ? [] : learners.split(',').map(text => fromKey(text)),
	};
	knownLists.set(content, list);
	return list;
}

/** Returns the log in the product's form. */
export function logEntries(log: readonly ControlEntryModel[]): readonly ControlLogEntry[] {
	return log.map(({term, content}, position) => ({
		index: position + 1,
		term,
		command: content.startsWith('voters') ? {kind: 'changeVoters', list: listOf(content)} : {kind: 'opening'},
	}));
}

/** Returns the list in force. */
export function listOfLog(log: readonly ControlEntryModel[]): VoterList {
	return currentVoterList({voters: [], learners: []}, logEntries(log));
}

/** Returns the state with one voter changed. */
export function withVoter(state: ControlState, id: number, change: Partial<VoterModel>): ControlState {
	return {...state, voters: state.voters.map((voter, position) => position === id ? {...voter, ...change} : voter)};
}

/** Returns index and term of the last entry. */
export function endOf(log: readonly ControlEntryModel[]): {readonly index: number; readonly term: number} {
	return {index: log.length, term: log.at(-1)?.term ?? 0};
}

/** Returns whether two entries are the same. */
export function isSame(first: ControlEntryModel, second: ControlEntryModel | undefined): boolean {
	return first.term === second?.term && first.content === second.content;
}

/** Returns the length of the common beginning of two logs. */
export function commonLength(first: readonly ControlEntryModel[], second: readonly ControlEntryModel[]): number {
	let length = 0;
	while (length < first.length && length < second.length && first[length].term === second[length].term) {
		length++;
	}

	return length;
}

/** Returns the record with its keys in order, so that equal states have one form. */
export function sortedRecord(values: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
	return Object.fromEntries(Object.entries(values).sort(([first], [second]) => first.localeCompare(second)));
}

/** Notes what a leader committed, and whether it contradicts what was committed before. */
export function recordCommitted(state: ControlState, leaderId: number, commit: number): ControlState {
	const {log, term} = state.voters[leaderId];
	const committed = [...state.committed];
	for (let position = 0; position < commit; position++) {
		const known = committed[position];
		if (known && !isSame(known, log[position])) {
			return {...state, broken: 'two different entries are committed at one index'};
		}

		committed[position] = known ?? {...log[position], by: term};
	}

	const newlyCommitted = log.slice(state.committed.length, commit);
	const behind = newlyCommitted.some(entry => addsVoterBehind(state, entry));
	return {...state, committed, broken: behind ? 'a voter counts before it holds the accepted entries' : state.broken};
}

/** Returns whether the entry makes a voter of a process whose log does not hold what was committed when the change began. */
function addsVoterBehind({voters}: ControlState, {content}: ControlEntryModel): boolean {
	if (!content.startsWith('voters')) {
		return false;
	}

	const caught = Number(content.split(' ').at(-1));
	return listOf(content).voters.some(({name, diskId}: VoterIdentity) => {
		const voter = voters[Number(name.slice(1))];
		return String(voter.disk) === diskId && voter.disk > 0 && voter.log.length < caught;
	});
}
