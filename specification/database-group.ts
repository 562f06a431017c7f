import {
	coversLogPosition, freshnessFloor, isWriteConfirmed, mayServeRead, majoritySize,
} from '../source/database-group/log-position-rules.js';
import {chooseMemberToPromote} from '../source/database-group/promotion-rules.js';
import {type LogPosition, type MemberStatus} from '../source/database-group/types.js';
import {
	commonPrefix, holds, pointOf, shows, statusOf, withMember, type GroupPromise, type GroupState, type GroupStep, type Member, type Write,
} from './database-group-state.js';
import {Specification} from './explorer.js';

/** Rules that a mutation may break. */
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

/** Sizes of an exploration. */
export type GroupBounds = {
	readonly terms: number;
	readonly writes: number;
	readonly coordinators: number;
	readonly restarts: boolean;
	/** Whether replicas apply entries later than they receive them. */
	readonly lateApplying: boolean;
	/** Whether the pool's view of members may be old when it acknowledges. */
	readonly staleObservations: boolean;
	readonly states: number;
};

const memberCount = 3;
const memberIds = [0, 1, 2] as const;

/** Promotion, fencing, acknowledgement and session reads of a group of three members. */
export class DatabaseGroupSpecification extends Specification<GroupState, GroupStep> {
	override readonly title = 'database group';

	constructor(private readonly mutation: GroupMutation, private readonly bounds: GroupBounds) {
		super();
	}

	override get bound(): number {
		return this.bounds.states;
	}

	override initial(): GroupState {
		const members = memberIds.map(id => ({
			promised: 1, log: [{term: 1, write: 0}], applied: 1, primaryTerm: id === 0 ? 1 : 0, follows: id === 0 ? 0 : 1,
		}));
		return {
			members, promises: [], writes: [], choices: [], observed: [null, null, null],
		};
	}

	override steps(state: GroupState): readonly GroupStep[] {
		const steps: GroupStep[] = [];
		for (const member of memberIds) {
			steps.push({type: 'replicate', member}, {type: 'write', member});
			if (this.bounds.lateApplying) {
				steps.push({type: 'apply', member});
			}

			if (this.bounds.restarts) {
				steps.push({type: 'restart', member});
			}

			if (this.bounds.staleObservations) {
				steps.push({type: 'observe', member});
			}

			for (let term = 2; term <= this.bounds.terms; term++) {
				steps.push({type: 'follow', member, term});
				for (let coordinator = 0; coordinator < this.bounds.coordinators; coordinator++) {
					steps.push({
						type: 'promise', member, term, coordinator,
					});
				}
			}
		}

		for (let term = 2; term <= this.bounds.terms; term++) {
			for (let coordinator = 0; coordinator < this.bounds.coordinators; coordinator++) {
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
				const {applied, log} = state.members[step.member];
				return applied < log.length ? withMember(state, step.member, {applied: applied + 1}) : state;
			}

			case 'write': {
				return this.#write(state, step.member);
			}

			case 'observe': {
				return {...state, observed: state.observed.with(step.member, pointOf(state.members[step.member]))};
			}

			case 'acknowledge': {
				return this.#acknowledge(state, step.write);
			}

			case 'restart': {
				return withMember(state, step.member, {primaryTerm: 0, follows: 0});
			}
		}
	}

	override violation(state: GroupState): string | undefined {
		return this.#lostWrite(state) ?? this.#staleRead(state) ?? this.#lowFloor(state);
	}

	#promise(state: GroupState, step: GroupStep & {type: 'promise'}): GroupState {
		const member = state.members[step.member];
		const alreadyPromised = this.mutation === 'promiseTwice' ? step.term < member.promised : step.term <= member.promised;
		if (alreadyPromised || state.promises.some(promise => promise.member === step.member && promise.term === step.term && promise.coordinator === step.coordinator)) {
			return state;
		}

		const promise: GroupPromise = {
			term: step.term, coordinator: step.coordinator, member: step.member, point: pointOf(member),
		};
		const promises = [...state.promises, promise].toSorted((first, second) => first.term - second.term || first.coordinator - second.coordinator || first.member - second.member);
		return {...withMember(state, step.member, {promised: step.term}), promises};
	}

	#promote(state: GroupState, term: number, coordinator: number): GroupState {
		const choice = `${term}.${coordinator}`;
		if (state.choices.includes(choice) && this.mutation !== 'chooseAgain') {
			return state;
		}

		const granted = state.promises.filter(promise => promise.term === term && (promise.coordinator === coordinator || this.mutation === 'countForeignPromise'));
		const statuses = granted.map(promise => statusOf(promise.member, promise.point, term));
		const chosen = this.#chooseMember(term, statuses);
		if (chosen === undefined) {
			return state;
		}

		const member = state.members[chosen];
		if (member.promised !== term || member.primaryTerm >= term) {
			return state;
		}

		const opening = this.mutation === 'noOpeningEntry' ? [] : [{term, write: 0}];
		const promoted = withMember(state, chosen, {
			primaryTerm: term, follows: 0, log: [...member.log, ...opening], applied: member.log.length + opening.length,
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
		if (primary === -1 || primary === follower || member.promised > term || member.follows === term) {
			return state;
		}

		const common = commonPrefix(member.log, state.members[primary].log);
		return withMember(state, follower, {
			promised: term, follows: term, primaryTerm: 0, log: member.log.slice(0, common), applied: Math.min(member.applied, common),
		});
	}

	#replicate(state: GroupState, follower: number): GroupState {
		const member = state.members[follower];
		const primary = state.members.find(other => other.primaryTerm === member.follows && member.follows > 0);
		const refused = member.promised > member.follows && this.mutation !== 'replicateBelowPromise';
		const entry = primary?.log[member.log.length];
		if (!primary || refused || !entry || commonPrefix(member.log, primary.log) < member.log.length) {
			return state;
		}

		const log = [...member.log, entry];
		return withMember(state, follower, {log, applied: this.bounds.lateApplying ? member.applied : log.length});
	}

	#write(state: GroupState, id: number): GroupState {
		const member = state.members[id];
		if (member.primaryTerm === 0 || member.promised !== member.primaryTerm || state.writes.length >= this.bounds.writes) {
			return state;
		}

		const log = [...member.log, {term: member.primaryTerm, write: state.writes.length + 1}];
		const write: Write = {point: {term: member.primaryTerm, position: log.length}, primary: id, acknowledged: false};
		return {...withMember(state, id, {log, applied: log.length}), writes: [...state.writes, write]};
	}

	#acknowledge(state: GroupState, index: number): GroupState {
		const write = state.writes[index];
		if (write.acknowledged) {
			return state;
		}

		const points = this.bounds.staleObservations ? state.observed : state.members.map(member => pointOf(member));
		const statuses = points.flatMap((point, member) => point ? [statusOf(member, point, 0)] : []);
		if (!this.#mayAcknowledge(write, statuses)) {
			return state;
		}

		return {...state, writes: state.writes.with(index, {...write, acknowledged: true})};
	}

	#mayAcknowledge(write: Write, statuses: readonly MemberStatus[]): boolean {
		if (this.mutation === 'acknowledgeOnPrimary') {
			return true;
		}

		if (this.mutation === 'countPositionWithoutTerm') {
			return statuses.filter(status => status.receivedPosition >= write.point.position).length >= majoritySize(memberCount);
		}

		return isWriteConfirmed(write.point, String(write.primary), statuses, memberCount);
	}

	#lostWrite(state: GroupState): string | undefined {
		for (const [index, write] of state.writes.entries()) {
			const lost = write.acknowledged && state.members.some(member => member.primaryTerm > write.point.term && !holds(member, write, index));
			if (lost) {
				return `acknowledged write ${index + 1} is missing on a later primary`;
			}
		}

		return undefined;
	}

	#staleRead(state: GroupState): string | undefined {
		for (const [index, write] of state.writes.entries()) {
			const stale = write.acknowledged && state.members.some(member => this.#mayRead(member, write.point) && !shows(member, write, index));
			if (stale) {
				return `a member that may serve the session's read lacks its write ${index + 1}`;
			}
		}

		return undefined;
	}

	#mayRead(member: Member, needed: LogPosition): boolean {
		if (this.mutation === 'tokenWithoutTerm') {
			return member.applied >= needed.position;
		}

		if (this.mutation === 'termOfReceivedEntry') {
			return coversLogPosition({term: pointOf(member).term, position: member.applied}, needed);
		}

		return mayServeRead({...statusOf(0, pointOf(member), 0), appliedPosition: member.applied}, needed);
	}

	#lowFloor(state: GroupState): string | undefined {
		const sets = this.mutation === 'floorFromOneMember' ? [[0], [1], [2]] : [[0, 1], [0, 2], [1, 2]];
		for (const set of sets) {
			const observations = set.map(id => ({askedAt: 0, status: statusOf(id, pointOf(state.members[id]), 0)}));
			const floor = this.mutation === 'floorFromOneMember' ? {point: pointOf(state.members[set[0]])} : freshnessFloor(0, observations, memberCount);
			const low = floor && state.members.some(member => this.#mayRead(member, floor.point)
				&& state.writes.some((write, index) => write.acknowledged && !shows(member, write, index)));
			if (low) {
				return 'a member at the floor of a majority lacks an acknowledged write';
			}
		}

		return undefined;
	}
}
