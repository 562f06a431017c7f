import {explore} from './explorer.js';
import {RateLimitSpecification, type LimitBounds, type LimitMutation} from './rate-limit.js';
import {type VerificationCase} from './verification-case.js';

/** Limit of 4 operations, of which the owner may grant 3 and the other control instance 1 before they hear of each other's grants. */
const smallBounds: LimitBounds = {
	entryCount: 2, limit: 4, requestLimit: 1, operationsPerRequest: 3, changeLimit: 1, faults: [], faultLimit: 1, lateMessages: [],
};

function createCase(name: string, mutation: LimitMutation, description: string | null, bounds: Partial<LimitBounds>): VerificationCase {
	return {
		name: `rate limits, ${name}`,
		mutation: description,
		run: () => explore(new RateLimitSpecification(mutation, {...smallBounds, ...bounds})),
	};
}

/** Explorations of the limits as implemented; none may find a violation. */
export const limitProtocolCases: readonly VerificationCase[] = [
	createCase('two entry instances that change their control instance', 'none', null, {}),
	createCase('late and repeated shares', 'none', null, {lateMessages: ['share'], requestLimit: 2, changeLimit: 0}),
	createCase('late and repeated reports', 'none', null, {lateMessages: ['report'], requestLimit: 2, changeLimit: 0}),
	createCase('late and repeated requests and reports', 'none', null, {lateMessages: ['request', 'report'], changeLimit: 0}),
	createCase('an entry instance is restarted', 'none', null, {faults: ['entryRestart'], changeLimit: 0}),
	createCase('a control instance is frozen', 'none', null, {faults: ['controlFreeze']}),
	createCase('a control instance is restarted', 'none', null, {faults: ['controlRestart']}),
	createCase('a partition after all sums were acknowledged', 'none', null, {faults: ['quietPartition'], requestLimit: 2, changeLimit: 0}),
	createCase('three entry instances', 'none', null, {entryCount: 3, changeLimit: 0}),
];

/** Explorations with one rule broken at a time; each must find a violation. */
export const limitMutationCases: readonly VerificationCase[] = [
	createCase('freeze', 'forgetGrantsAfterFreeze', 'a control instance forgets its grants after a freeze', {
		entryCount: 1, requestLimit: 2, changeLimit: 0, faults: ['controlFreeze'],
	}),
	createCase('partition', 'fullLimitInPartition', 'both halves of a partition grant the full limit', {faults: ['quietPartition'], changeLimit: 0}),
	createCase('reports', 'reportIncrements', 'reports are counted as increments', {lateMessages: ['report'], requestLimit: 2, changeLimit: 0}),
	createCase('acknowledgement', 'ignoreUnacknowledged', 'grants that the other control instance does not know are not reserved', {requestLimit: 2, changeLimit: 0}),
	createCase('start', 'grantAfterStart', 'a control instance grants before it has heard the other one', {
		entryCount: 1, requestLimit: 2, changeLimit: 2, faults: ['controlRestart'],
	}),
];

/** Explorations that show a fault of the limits as implemented. */
export const knownLimitFaultCases: readonly VerificationCase[] = [
	createCase('a partition before a grant is acknowledged', 'none', null, {faults: ['partition'], changeLimit: 0}),
	createCase('an entry instance and its control instance are restarted', 'none', null, {
		entryCount: 1, changeLimit: 2, faults: ['entryRestart', 'controlRestart'], faultLimit: 2,
	}),
].map(known => ({...known, isKnownFault: true}));

/** All explorations of the limits. */
export const limitCases: readonly VerificationCase[] = [...limitProtocolCases, ...limitMutationCases, ...knownLimitFaultCases];
