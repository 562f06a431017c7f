import {type Address} from '../links/address.js';
import {compareLogPositions, majoritySize, receivedLogPosition} from './log-position-rules.js';
import {activePrimary} from './promotion-rules.js';
import {type MemberStatus} from './types.js';

/** What a coordinator knows when it decides. */
export type PromotionView = {
	readonly memberCount: number;
	/** Latest statuses of the members with a known address, suspects included. */
	readonly statuses: readonly MemberStatus[];
	readonly suspects: ReadonlySet<string>;
	/** Members that ask for no new work. */
	readonly leaving: ReadonlySet<string>;
	readonly addresses: ReadonlyMap<string, Address>;
};

/** Reason for a promotion. */
export type PromotionReason = 'newGroup' | 'primaryFailed' | 'noMemberActsAsPrimary' | 'unfinishedPromotion' | 'promiseOfLaterTerm' | 'primaryNotAnnounced';

/** What the group needs from a coordinator. */
export type PromotionDecision =
	| {readonly kind: 'none'}
	| {readonly kind: 'promote'; readonly reason: PromotionReason; readonly preferred?: string}
	| {readonly kind: 'follow'; readonly primary: MemberStatus; readonly members: readonly string[]};

const nothing: PromotionDecision = {kind: 'none'};

/** Decides whether the group needs a promotion or members that follow the primary. */
export function decidePromotion(view: PromotionView): PromotionDecision {
	const reachable = view.statuses.filter(status => !view.suspects.has(status.member));
	if (reachable.length < majoritySize(view.memberCount)) {
		return nothing;
	}

	const primary = activePrimary(view.statuses, view.suspects);
	return primary ? keepFollowing(view, reachable, primary) : replacePrimary(view, reachable);
}

function keepFollowing(view: PromotionView, reachable: readonly MemberStatus[], primary: MemberStatus): PromotionDecision {
	const others = reachable.filter(status => status.member !== primary.member);
	const notFollowing = others.filter(status => status.role === 'primary' || status.primaryTerm !== primary.primaryTerm || status.primaryMember !== primary.member);
	const mayFollow = notFollowing.filter(status => status.promisedTerm <= primary.primaryTerm);
	if (mayFollow.length > 0) {
		return {kind: 'follow', primary, members: mayFollow.map(status => status.member)};
	}

	// A member that promised a later term rejects the log of this primary until the primary starts a later term itself.
	return reachable.some(status => status.promisedTerm > primary.primaryTerm) ? {kind: 'promote', reason: 'promiseOfLaterTerm', preferred: primary.member} : nothing;
}

function replacePrimary(view: PromotionView, reachable: readonly MemberStatus[]): PromotionDecision {
	const latestTerm = Math.max(0, ...view.statuses.map(status => status.primaryTerm));
	const preferred = preferredMember(view, reachable);
	if (latestTerm === 0) {
		// A member that has not answered yet may be the primary already.
		const heard = new Set(view.statuses.map(status => status.member));
		const allHeard = [...view.addresses.keys()].every(member => heard.has(member) || view.suspects.has(member));
		return allHeard ? {kind: 'promote', reason: 'newGroup', preferred} : nothing;
	}

	const name = view.statuses.find(status => status.primaryTerm === latestTerm && status.primaryMember !== '')?.primaryMember;
	const known = view.statuses.find(status => status.member === name);
	if (name === undefined || (known && known.role !== 'primary' && !view.suspects.has(name))) {
		return {kind: 'promote', reason: 'noMemberActsAsPrimary', preferred};
	}

	if (view.suspects.has(name)) {
		return {kind: 'promote', reason: 'primaryFailed', preferred};
	}

	if (known) {
		return {kind: 'promote', reason: 'unfinishedPromotion', preferred};
	}

	return view.addresses.has(name) ? nothing : {kind: 'promote', reason: 'primaryNotAnnounced', preferred};
}

/** Returns the reachable member with the highest log point that stays in the group, or undefined. */
export function preferredMember(view: PromotionView, reachable: readonly MemberStatus[]): string | undefined {
	const staying = reachable.filter(status => !view.leaving.has(status.member));
	return staying.toSorted((first, second) => compareLogPositions(receivedLogPosition(second), receivedLogPosition(first)))[0]?.member;
}
