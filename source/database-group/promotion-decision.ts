import {type Address} from '../links/address.js';
import {compareLogPositions, majoritySize, receivedLogPosition} from './log-position-rules.js';
import {activePrimary} from './promotion-rules.js';
import {type MemberStatus} from './types.js';

/** State of a database group as known to a coordinator, the input of its decisions. */
export type PromotionView = {
	readonly memberCount: number;
	/** Latest statuses of the members whose address is known, suspected ones included. */
	readonly statuses: readonly MemberStatus[];
	readonly suspects: ReadonlySet<string>;
	/** Members that are about to leave and ask for no new work. */
	readonly leaving: ReadonlySet<string>;
	readonly addresses: ReadonlyMap<string, Address>;
};

/** Reason for a promotion. */
export type PromotionReason = 'newGroup' | 'primaryFailed' | 'noMemberActsAsPrimary' | 'unfinishedPromotion' | 'promiseOfLaterTerm' | 'primaryNotAnnounced';

/** Action that the group needs from a coordinator. */
export type PromotionDecision =
	| {readonly kind: 'none'}
	| {readonly kind: 'promote'; readonly reason: PromotionReason; readonly preferred?: string}
	| {readonly kind: 'follow'; readonly primary: MemberStatus; readonly members: readonly string[]};

const noAction: PromotionDecision = {kind: 'none'};

/** Decides whether to promote a member, to make members follow the primary, or to do nothing. */
export function decidePromotion(view: PromotionView): PromotionDecision {
	const reachable = view.statuses.filter(status => !view.suspects.has(status.member));
	if (reachable.length < majoritySize(view.memberCount)) {
		return noAction;
	}

	const primary = activePrimary(view.statuses, view.suspects);
	return primary ? decideWithPrimary(view, reachable, primary) : decideWithoutPrimary(view, reachable);
}

function decideWithPrimary(view: PromotionView, reachable: readonly MemberStatus[], primary: MemberStatus): PromotionDecision {
	const others = reachable.filter(status => status.member !== primary.member);
	const notFollowing = others.filter(status => status.role === 'primary' || status.primaryTerm !== primary.primaryTerm || status.primaryMember !== primary.member);
	const followCandidates = notFollowing.filter(status => status.promisedTerm <= primary.primaryTerm);
	if (followCandidates.length > 0) {
		return {kind: 'follow', primary, members: followCandidates.map(status => status.member)};
	}

	// A member that has promised a later term rejects the log of this primary until the primary itself starts a later term.
	return reachable.some(status => status.promisedTerm > primary.primaryTerm) ? {kind: 'promote', reason: 'promiseOfLaterTerm', preferred: primary.member} : noAction;
}

function decideWithoutPrimary(view: PromotionView, reachable: readonly MemberStatus[]): PromotionDecision {
	const latestTerm = Math.max(0, ...view.statuses.map(status => status.primaryTerm));
	const preferred = preferredMember(view, reachable);
	if (latestTerm === 0) {
		// A member that has not responded yet may already be the primary.
		const reportingMembers = new Set(view.statuses.map(status => status.member));
		const allReported = [...view.addresses.keys()].every(member => reportingMembers.has(member) || view.suspects.has(member));
		return allReported ? {kind: 'promote', reason: 'newGroup', preferred} : noAction;
	}

	const primaryName = view.statuses.find(status => status.primaryTerm === latestTerm && status.primaryMember !== '')?.primaryMember;
	const primaryStatus = view.statuses.find(status => status.member === primaryName);
	if (primaryName === undefined || (primaryStatus && primaryStatus.role !== 'primary' && !view.suspects.has(primaryName))) {
		return {kind: 'promote', reason: 'noMemberActsAsPrimary', preferred};
	}

	if (view.suspects.has(primaryName)) {
		return {kind: 'promote', reason: 'primaryFailed', preferred};
	}

	if (primaryStatus) {
		return {kind: 'promote', reason: 'unfinishedPromotion', preferred};
	}

	return view.addresses.has(primaryName) ? noAction : {kind: 'promote', reason: 'primaryNotAnnounced', preferred};
}

/** Returns the reachable member with the highest log position that is not about to leave, or undefined when there is none. */
export function preferredMember(view: PromotionView, reachable: readonly MemberStatus[]): string | undefined {
	const staying = reachable.filter(status => !view.leaving.has(status.member));
	return staying.toSorted((first, second) => compareLogPositions(receivedLogPosition(second), receivedLogPosition(first)))[0]?.member;
}
