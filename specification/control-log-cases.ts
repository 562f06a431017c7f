import {ControlLogSpecification, type ControlBounds, type ControlMutation} from './control-log.js';
import {explore} from './explorer.js';
import {type VerificationCase} from './registry.js';

const small: ControlBounds = {
	terms: 2, changes: [], restarts: false, lostDisks: 0, returnedDisks: false, entriesPerMessage: 9, lostAnswers: false, states: 1_000_000,
};

function controlCase(name: string, mutation: ControlMutation, description: string | null, bounds: Partial<ControlBounds>): VerificationCase {
	return {
		name: `control log, ${name}`,
		mutation: description,
		run: () => explore(new ControlLogSpecification(mutation, {...small, ...bounds})),
	};
}

/** The control log as built. */
export const controlLogProtocol: readonly VerificationCase[] = [
	controlCase('three terms and two changes with one revision', 'none', null, {terms: 3, changes: ['a', 'b']}),
	controlCase('four terms, one entry in a message', 'none', null, {terms: 4, entriesPerMessage: 1}),
	controlCase('a resent change, restarts and lost answers', 'none', null, {changes: ['a', 'a', 'b'], restarts: true, lostAnswers: true}),
	controlCase('a lost disk and restarts', 'none', null, {changes: ['a'], lostDisks: 1, restarts: true}),
	controlCase('a lost disk in three terms', 'none', null, {terms: 3, lostDisks: 1}),
	controlCase('a lost disk that comes back', 'none', null, {lostDisks: 1, returnedDisks: true}),
	controlCase('two lost disks', 'none', null, {lostDisks: 2}),
];

/** The control log with one rule broken at a time. */
export const controlLogMutations: readonly VerificationCase[] = [
	controlCase('empty disk', 'voteFromEmptyDisk', 'a voter with an empty disk votes under its old identity', {lostDisks: 1}),
	controlCase('votes', 'voteTwice', 'a voter votes twice in a term', {terms: 3}),
	controlCase('commit', 'commitOlderTerm', 'an entry of an older term is committed by counting', {terms: 4, entriesPerMessage: 1}),
	controlCase('catching up', 'addBeforeCaughtUp', 'a voter is replaced before the new one has caught up', {terms: 1, changes: ['a'], lostDisks: 1}),
	controlCase('replacement', 'exchangeDirectly', 'one entry exchanges the lost identity for the new one', {lostDisks: 1}),
	controlCase('changes of the list', 'twoChangesAtOnce', 'a list changes before the one before it is committed', {lostDisks: 2}),
	controlCase('revisions', 'noRevisionCheck', 'the expected revision is not checked', {changes: ['a', 'b']}),
	controlCase('change ids', 'noChangeIdCheck', 'the change id is not checked', {changes: ['a', 'a']}),
];

/** Explorations of the control log. */
export const controlLogCases: readonly VerificationCase[] = [...controlLogProtocol, ...controlLogMutations];
