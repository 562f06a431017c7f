import {DatabaseGroupSpecification, type GroupBounds, type GroupMutation} from './database-group.js';
import {explore} from './explorer.js';
import {type VerificationCase} from './verification-case.js';

const fullBounds: GroupBounds = {
	highestTerm: 3, writeLimit: 2, coordinatorsPerTerm: 1, membersMayRestart: false, replicasApplyLate: false, staleObservations: false, stateLimit: 5_000_000,
};
const restartBounds: GroupBounds = {...fullBounds, highestTerm: 2, membersMayRestart: true};
const coordinatorBounds: GroupBounds = {...fullBounds, highestTerm: 2, coordinatorsPerTerm: 2};
const lateApplyingBounds: GroupBounds = {...fullBounds, highestTerm: 2, replicasApplyLate: true};
const staleObservationBounds: GroupBounds = {
	...fullBounds, highestTerm: 2, writeLimit: 1, staleObservations: true,
};

function createCase(name: string, mutation: GroupMutation, description: string | null, bounds: GroupBounds): VerificationCase {
	return {name, mutation: description, run: () => explore(new DatabaseGroupSpecification(mutation, bounds))};
}

/** All explorations of the database group. */
export const databaseGroupCases: readonly VerificationCase[] = [
	createCase('database group, two terms, two writes, restarts', 'none', null, restartBounds),
	createCase('database group, two coordinators of one term', 'none', null, coordinatorBounds),
	createCase('database group, replicas that apply late', 'none', null, lateApplyingBounds),
	createCase('database group, acknowledgement by old observations', 'none', null, staleObservationBounds),
	createCase('database group, three terms, two writes', 'none', null, fullBounds),
	createCase('database group', 'acknowledgeOnPrimary', 'acknowledge before a majority holds the write', fullBounds),
	createCase('database group', 'countPositionWithoutTerm', 'count positions without their terms', fullBounds),
	createCase('database group', 'onePromise', 'promote after one promise', fullBounds),
	createCase('database group', 'promoteLongestLog', 'promote the longest log whatever its term', {...fullBounds, writeLimit: 3}),
	createCase('database group', 'promiseTwice', 'promise a term twice', coordinatorBounds),
	createCase('database group', 'chooseAgain', 'choose the member to promote again when a late promise comes', fullBounds),
	createCase('database group', 'countForeignPromise', 'count promises given to another coordinator', coordinatorBounds),
	createCase('database group', 'replicateBelowPromise', 'take replication of a term below the promise', fullBounds),
	createCase('database group', 'tokenWithoutTerm', 'compare session tokens by position alone', fullBounds),
	createCase('database group', 'termOfReceivedEntry', 'compare the term of the last entry received with the position applied', lateApplyingBounds),
	createCase('database group', 'floorFromOneMember', 'take a floor from one member', fullBounds),
	createCase('database group', 'noOpeningEntry', 'open a term without an entry', fullBounds),
];
