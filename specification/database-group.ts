import {
	coversLogPosition, freshnessFloor, isWriteConfirmed, mayServeRead, majoritySize,
} from '../source/database-group/log-position-rules.js';
import {chooseMemberToPromote} from '../source/database-group/promotion-rules.js';
import {type LogPosition, type MemberStatus} from '../source/database-group/types.js';
import {
	commonMemberLogLength, createMemberStatus, holdsWrite, logPositionOf, showsWrite, withMember, type GroupPromise, type GroupState, type GroupStep, type MemberModel, type WriteModel,
} from './database-group-state.js';
import {Specification} from './explorer.js';

/** Rule that an exploration breaks on purpose, to show that the invariants detect it; `none` for the protocol as implemented. */
export type GroupMutation =
	| 'none'
	| 'acknowledgeOnPrimary'
	| 'countPositionWithoutTerm'
	| 'onePromise'
	| 'promoteLongestLog'
	| 'promiseTwice'
	| 'replicateBelowPromise'
	| 'tokenWithoutTerm'
	| 'termOfReceivedEntry'
	| 'floorFromOneMember'
	| 'noOpeningEntry'
	| 'countForeignPromise'
	| 'chooseAgain';

/** Bounds of an exploration. */
export type GroupBounds = {
	/** Highest term; the first primary has term 1. */
	readonly highestTerm: number;
	/** Highest number of writes. */
	readonly writeLimit: number;
	/** Number of coordinators that may try a promotion in one term. */
	readonly coordinatorsPerTerm: number;
	/** Whether members may restart, after which they are neither primary nor replica of a term. */
	readonly membersMayRestart: boolean;
	/** Whether replicas may apply entries later than they receive them. */
	readonly replicasApplyLate: boolean;
	/** Whether the member statuses from which the pool decides to acknowledge a write may be out of date. */
	readonly staleObservations: boolean;
	/** Highest number of states to explore. */
	readonly stateLimit: number;
};

const memberCount = 3;
const memberIds = [0, 1, 2] as const;

/** Model of a database group of three members: promotion, fencing, acknowledgement of writes, and session reads. The decisions are made by the functions of source/database-group. */
export class DatabaseGroupSpecification extends Specification<GroupState, GroupStep> {
	override readonly title = 'database group';

	constructor(private readonly mutation: GroupMutation, private readonly bounds: GroupBounds) {
		super();
	}

	override get stateLimit(): number {
		return this.bounds.stateLimit;
	}

	override initial(): GroupState {
		const members = memberIds.map(id => ({
			promisedTerm: 1, log: [{term: 1, write: 0}], appliedPosition: 1, primaryTerm: id === 0 ? 1 : 0, followedTerm: id === 0 ? 0 : 1,
		}));
		return {
			members, promises: [], writes: [], choices: [], observedPositions: [null, null, null],
		};
	}

	override steps(state: GroupState): readonly GroupStep[] {
		const steps: GroupStep[] = [];
		for (const member of memberIds) {
			steps.push({type: 'replicate', member}, {type: 'write', member});
			if (this.bounds.replicasApplyLate) {
				steps.push({type: 'apply', member});
			}

			if (this.bounds.membersMayRestart) {
				steps.push({type: 'restart', member});
			}

			if (this.bounds.staleObservations) {
				steps.push({type: 'observe', member});
			}

			for (let term = 2; term <= this.bounds.highestTerm; term++) {
				steps.push({type: 'follow', member, term});
				for (let coordinator = 0; coordinator < this.bounds.coordinatorsPerTerm; coordinator++) {
					steps.push({
						type: 'promise', member, term, coordinator,
					});
				}
			}
		}

		for (let term = 2; term <= this.bounds.highestTerm; term++) {
			for (let coordinator = 0; coordinator < this.bounds.coordinatorsPerTerm; coordinator++) {
				steps.push({type: 'promote', term, coordinator});
			}
		}

		for (const write of state.writes.keys()) {
			steps.push({type: 'acknowledge', write});
		}

		return steps;
	}

	override next(state: GroupState, step: GroupStep): GroupState {
		switch (step.type) {
			case 'promise': {
				return this.#promise(state, step);
			}

			case 'promote': {
				return this.#promote(state, step.term, step.coordinator);
			}

			case 'follow': {
				return this.#follow(state, step.member, step.term);
			}

			case 'replicate': {
				return this.#replicate(state, step.member);
			}

			case 'apply': {
				const {appliedPosition, log} = state.members[step.member];
				return appliedPosition < log.length ? withMember(state, step.member, {appliedPosition: appliedPosition + 1}) : state;
			}

			case 'write': {
				return this.#write(state, step.member);
			}

			case 'observe': {
				return {...state, observedPositions: state.observedPositions.with(step.member, logPositionOf(state.members[step.member]))};
			}

			case 'acknowledge': {
				return this.#acknowledge(state, step.write);
			}

			case 'restart': {
				return withMember(state, step.member, {primaryTerm: 0, followedTerm: 0});
			}
		}
	}

	override violation(state: GroupState): string | undefined {
		return this.#lostWrite(state) ?? this.#staleRead(state) ?? this.#tooLowFloor(state);
	}

	#promise(state: GroupState, step: GroupStep & {type: 'promise'}): GroupState {
		const member = state.members[step.member];
		const alreadyPromised = this.mutation === 'promiseTwice' ? step.term < member.promisedTerm : step.term <= member.promisedTerm;
		if (alreadyPromised || state.promises.some(promise => promise.member === step.member && promise.term === step.term && promise.coordinator === step.coordinator)) {
			return state;
		}

		const promise: GroupPromise = {
			term: step.term, coordinator: step.coordinator, member: step.member, logPosition: logPositionOf(member),
		};
		const promises = [...state.promises, promise].toSorted((first, second) => first.term - second.term || first.coordinator - second.coordinator || first.member - second.member);
		return {...withMember(state, step.member, {promisedTerm: step.term}), promises};
	}

	#promote(state: GroupState, term: number, coordinator: number): GroupState {
		const choice = `${term}.${coordinator}`;
		if (state.choices.includes(choice) && this.mutation !== 'chooseAgain') {
			return state;
		}

		const countedPromises = state.promises.filter(promise => promise.term === term && (promise.coordinator === coordinator || this.mutation === 'countForeignPromise'));
		const statuses = countedPromises.map(promise => createMemberStatus(promise.member, promise.logPosition, term));
		const chosenId = this.#chooseMember(term, statuses);
		if (chosenId === undefined) {
			return state;
		}

		const member = state.members[chosenId];
		if (member.promisedTerm !== term || member.primaryTerm >= term) {
			return state;
		}

		const openingEntries = this.mutation === 'noOpeningEntry' ? [] : [{term, write: 0}];
		const promoted = withMember(state, chosenId, {
			primaryTerm: term, followedTerm: 0, log: [...member.log, ...openingEntries], appliedPosition: member.log.length + openingEntries.length,
		});
		return {...promoted, choices: [...new Set([...state.choices, choice])].toSorted()};
	}

	#chooseMember(term: number, statuses: readonly MemberStatus[]): number | undefined {
		if (this.mutation === 'onePromise') {
			return statuses.length > 0 ? Number(statuses[0].member) : undefined;
		}

		if (this.mutation === 'promoteLongestLog') {
			const byLength = statuses.toSorted((first, second) => second.receivedPosition - first.receivedPosition);
			return statuses.length >= majoritySize(memberCount) ? Number(byLength[0].member) : undefined;
		}

		const chosen = chooseMemberToPromote(term, statuses, memberCount);
		return chosen && Number(chosen.member);
	}

	#follow(state: GroupState, follower: number, term: number): GroupState {
		const member = state.members[follower];
		const primary = state.members.findIndex(other => other.primaryTerm === term);
		if (primary === -1 || primary === follower || member.promisedTerm > term || member.followedTerm === term) {
			return state;
		}

		const commonLength = commonMemberLogLength(member.log, state.members[primary].log);
		return withMember(state, follower, {
			promisedTerm: term, followedTerm: term, primaryTerm: 0, log: member.log.slice(0, commonLength), appliedPosition: Math.min(member.appliedPosition, commonLength),
		});
	}

	#replicate(state: GroupState, follower: number): GroupState {
		const member = state.members[follower];
		const primary = state.members.find(other => other.primaryTerm === member.followedTerm && member.followedTerm > 0);
		const isRefused = member.promisedTerm > member.followedTerm && this.mutation !== 'replicateBelowPromise';
		const entry = primary?.log[member.log.length];
		if (!primary || isRefused || !entry || commonMemberLogLength(member.log, primary.log) < member.log.length) {
			return state;
		}

		const log = [...member.log, entry];
		return withMember(state, follower, {log, appliedPosition: this.bounds.replicasApplyLate ? member.appliedPosition : log.length});
	}

	#write(state: GroupState, id: number): GroupState {
		const member = state.members[id];
		if (member.primaryTerm === 0 || member.promisedTerm !== member.primaryTerm || state.writes.length >= this.bounds.writeLimit) {
			return state;
		}

		const log = [...member.log, {term: member.primaryTerm, write: state.writes.length + 1}];
		const write: WriteModel = {logPosition: {term: member.primaryTerm, position: log.length}, primary: id, acknowledged: false};
		return {...withMember(state, id, {log, appliedPosition: log.length}), writes: [...state.writes, write]};
	}

	#acknowledge(state: GroupState, index: number): GroupState {
		const write = state.writes[index];
		if (write.acknowledged) {
			return state;
		}

		const logPositions = this.bounds.staleObservations ? state.observedPositions : state.members.map(member => logPositionOf(member));
		const statuses = logPositions.flatMap((logPosition, member) => logPosition ? [createMemberStatus(member, logPosition, 0)] : []);
		if (!this.#mayAcknowledge(write, statuses)) {
			return state;
		}

		return {...state, writes: state.writes.with(index, {...write, acknowledged: true})};
	}

	#mayAcknowledge(write: WriteModel, statuses: readonly MemberStatus[]): boolean {
		if (this.mutation === 'acknowledgeOnPrimary') {
			return true;
		}

		if (this.mutation === 'countPositionWithoutTerm') {
			return statuses.filter(status => status.receivedPosition >= write.logPosition.position).length >= majoritySize(memberCount);
		}

		return isWriteConfirmed(write.logPosition, String(write.primary), statuses, memberCount);
	}

	#lostWrite(state: GroupState): string | undefined {
		for (const [index, write] of state.writes.entries()) {
			const isLost = write.acknowledged && state.members.some(member => member.primaryTerm > write.logPosition.term && !holdsWrite(member, write, index));
			if (isLost) {
				return `acknowledged write ${index + 1} is missing on a later primary`;
			}
		}

		return undefined;
	}

	#staleRead(state: GroupState): string | undefined {
		for (const [index, write] of state.writes.entries()) {
			const isStale = write.acknowledged && state.members.some(member => this.#mayServeRead(member, write.logPosition) && !showsWrite(member, write, index));
			if (isStale) {
				return `a member that may serve the session's read lacks its write ${index + 1}`;
			}
		}

		return undefined;
	}

	#mayServeRead(member: MemberModel, requiredPosition: LogPosition): boolean {
		if (this.mutation === 'tokenWithoutTerm') {
			return member.appliedPosition >= requiredPosition.position;
		}

		if (this.mutation === 'termOfReceivedEntry') {
			return coversLogPosition({term: logPositionOf(member).term, position: member.appliedPosition}, requiredPosition);
		}

		return mayServeRead({...createMemberStatus(0, logPositionOf(member), 0), appliedPosition: member.appliedPosition}, requiredPosition);
	}

	/** A freshness floor is the highest log position that a majority reports. A member that may serve reads at the floor must show every write that was acknowledged before. */
	#tooLowFloor(state: GroupState): string | undefined {
		const reportingSubsets = this.mutation === 'floorFromOneMember' ? [[0], [1], [2]] : [[0, 1], [0, 2], [1, 2]];
		for (const subset of reportingSubsets) {
			const observations = subset.map(id => ({askedAt: 0, status: createMemberStatus(id, logPositionOf(state.members[id]), 0)}));
			const floor = this.mutation === 'floorFromOneMember' ? {logPosition: logPositionOf(state.members[subset[0]])} : freshnessFloor(0, observations, memberCount);
			const isTooLow = floor && state.members.some(member => this.#mayServeRead(member, floor.logPosition)
				&& state.writes.some((write, index) => write.acknowledged && !showsWrite(member, write, index)));
			if (isTooLow) {
				return 'a member at the floor of a majority lacks an acknowledged write';
			}
		}

		return undefined;
	}
}
