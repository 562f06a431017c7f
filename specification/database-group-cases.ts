import {DatabaseGroupSpecification, type GroupBounds, type GroupMutation} from './database-group.js';
import {explore} from './explorer.js';
import {type VerificationCase} from './registry.js';

const fullBounds: GroupBounds = {
	terms: 3, writes: 2, coordinators: 1, restarts: false, lateApplying: false, staleObservations: false, states: 5_000_000,
};
const restartBounds: GroupBounds = {...fullBounds, terms: 2, restarts: true};
const coordinatorBounds: GroupBounds = {...fullBounds, terms: 2, coordinators: 2};
const applyingBounds: GroupBounds = {...fullBounds, terms: 2, lateApplying: true};
const staleBounds: GroupBounds = {
	...fullBounds, terms: 2, writes: 1, staleObservations: true,
};

function caseOf(name: string, mutation: GroupMutation, description: string | null, bounds: GroupBounds): VerificationCase {
	return {name, mutation: description, run: () => explore(new DatabaseGroupSpecification(mutation, bounds))};
}

/** Explorations of the database group. */
export const databaseGroupCases: readonly VerificationCase[] = [
	caseOf('database group, two terms, two writes, restarts', 'none', null, restartBounds),
	caseOf('database group, two coordinators of one term', 'none', null, coordinatorBounds),
	caseOf('database group, replicas that apply late', 'none', null, applyingBounds),
	caseOf('database group, acknowledgement by old observations', 'none', null, staleBounds),
	caseOf('database group, three terms, two writes', 'none', null, fullBounds),
	caseOf('database group', 'acknowledgeOnPrimary', 'acknowledge before a majority holds the write', fullBounds),
	caseOf('database group', 'countPositionWithoutTerm', 'count positions without their terms', fullBounds),
	caseOf('database group', 'onePromise', 'promote after one promise', fullBounds),
	caseOf('database group', 'promoteLongestLog', 'promote the longest log whatever its term', {...fullBounds, writes: 3}),
	caseOf('database group', 'promiseTwice', 'promise a term twice', coordinatorBounds),
	caseOf('database group', 'chooseAgain', 'choose the member to promote again when a late promise comes', fullBounds),
	caseOf('database group', 'countForeignPromise', 'count promises given to another coordinator', coordinatorBounds),
	caseOf('database group', 'replicateBelowPromise', 'take replication of a term below the promise', fullBounds),
	caseOf('database group', 'tokenWithoutTerm', 'compare session tokens by position alone', fullBounds),
	caseOf('database group', 'termOfReceivedEntry', 'compare the term of the last entry received with the position applied', applyingBounds),
	caseOf('database group', 'floorFromOneMember', 'take a floor from one member', fullBounds),
	caseOf('database group', 'noOpeningEntry', 'open a term without an entry', fullBounds),
];
