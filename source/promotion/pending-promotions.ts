/** Requests to promote one member that may still be carried out, as a range of fencing tokens. */
export type PendingPromotion = {
	/** Id of the member; undefined in entries of earlier versions, which did not record it. */
	readonly member: string | undefined;
	/** Token of the first request. */
	readonly first: number;
	/** Token of the last request. */
	readonly last: number;
};

/** Returns the pending requests with a further one. There is one range for each member, so that a request that is repeated for hours takes no more room than a single one. */
export function addPromotion(pending: readonly PendingPromotion[], member: string | undefined, token: number): readonly PendingPromotion[] {
	const earlier = pending.find(promotion => promotion.member === member);
	return [...pending.filter(promotion => promotion !== earlier), {member, first: earlier?.first ?? token, last: token}];
}

/** Returns the pending requests without those up to a token, which the authority refuses from now on. */
export function settlePromotions(pending: readonly PendingPromotion[], settledToken: number): readonly PendingPromotion[] {
	return pending
		.filter(({last}) => last > settledToken)
		.map(promotion => ({...promotion, first: Math.max(promotion.first, settledToken + 1)}));
}
