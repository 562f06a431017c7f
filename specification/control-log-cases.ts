import {ControlLogSpecification, type ControlLogBounds, type ControlLogMutation} from './control-log.js';
import {explore} from './explorer.js';
import {type VerificationCase} from './verification-case.js';

const smallBounds: ControlLogBounds = {
	highestTerm: 2, changes: [], votersMayRestart: false, lostDiskLimit: 0, disksMayReturn: false, entriesPerMessage: 9, answersMayBeLost: false, stateLimit: 1_000_000,
};

function createCase(name: string, mutation: ControlLogMutation, description: string | null, bounds: Partial<ControlLogBounds>): VerificationCase {
	return {
		name: `control log, ${name}`,
		mutation: description,
		run: () => explore(new ControlLogSpecification(mutation, {...smallBounds, ...bounds})),
	};
}

/** Explorations of the control log as implemented; none may find a violation. */
export const controlLogProtocolCases: readonly VerificationCase[] = [
	createCase('three terms and two changes with one revision', 'none', null, {highestTerm: 3, changes: ['a', 'b']}),
	createCase('four terms, one entry in a message', 'none', null, {highestTerm: 4, entriesPerMessage: 1}),
	createCase('a resent change, restarts and lost answers', 'none', null, {changes: ['a', 'a', 'b'], votersMayRestart: true, answersMayBeLost: true}),
	createCase('a lost disk and restarts', 'none', null, {changes: ['a'], lostDiskLimit: 1, votersMayRestart: true}),
	createCase('a lost disk in three terms', 'none', null, {highestTerm: 3, lostDiskLimit: 1}),
	createCase('a lost disk that comes back', 'none', null, {lostDiskLimit: 1, disksMayReturn: true}),
	createCase('two lost disks', 'none', null, {lostDiskLimit: 2}),
];

/** Explorations with one rule of the control log broken at a time; each must find a violation. */
export const controlLogMutationCases: readonly VerificationCase[] = [
	createCase('empty disk', 'voteFromEmptyDisk', 'a voter with an empty disk votes under its old identity', {lostDiskLimit: 1}),
	createCase('votes', 'voteTwice', 'a voter votes twice in a term', {highestTerm: 3}),
	createCase('commit', 'commitOlderTerm', 'an entry of an older term is committed by counting', {highestTerm: 4, entriesPerMessage: 1}),
	createCase('catching up', 'addBeforeCaughtUp', 'a voter is replaced before the new one has caught up', {highestTerm: 1, changes: ['a'], lostDiskLimit: 1}),
	createCase('replacement', 'exchangeDirectly', 'one entry exchanges the lost identity for the new one', {lostDiskLimit: 1}),
	createCase('changes of the list', 'twoChangesAtOnce', 'a list changes before the one before it is committed', {lostDiskLimit: 2}),
	createCase('revisions', 'noRevisionCheck', 'the expected revision is not checked', {changes: ['a', 'b']}),
	createCase('change ids', 'noChangeIdCheck', 'the change id is not checked', {changes: ['a', 'a']}),
];

/** All explorations of the control log. */
export const controlLogCases: readonly VerificationCase[] = [...controlLogProtocolCases, ...controlLogMutationCases];
