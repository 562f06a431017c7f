/** Outcome of a promotion request. */
export type PromotionOutcome =
	/** The authority has designated the member, which still has to become the primary. */
	| 'designated'
	/** A request with a higher fencing token came first, or the member is not running. */
	| 'refused'
	/** No answer came; the request may still be carried out later. */
	| 'unknown';

/** Request to promote a member to the primary of its service. */
export type PromotionRequest = {
	readonly service: string;
	readonly member: string;
	/** Instance that leads the control log. */
	readonly leader: string;
	/** Fencing token; higher than that of every earlier request. */
	readonly token: number;
};

/** External authority that designates the primary of a service. */
export abstract class PromotionAuthority {
	/** Requests a promotion and resolves with its outcome. */
	abstract promote(request: PromotionRequest): Promise<PromotionOutcome>;
}
