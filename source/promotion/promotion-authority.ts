/** What became of a call to the authority. */
export type PromotionOutcome =
	| 'designated'
	/** A higher token was used, or the member is not running. */
	| 'refused'
	/** No answer came; the call may still be carried out later. */
	| 'unknown';

/** A promotion to ask for. */
export type PromotionRequest = {
	readonly service: string;
	readonly member: string;
	/** Instance that holds the duty. */
	readonly leader: string;
	/** Higher than the token of every earlier call. */
	readonly token: number;
};

/** Designates the primary of a service. */
export abstract class PromotionAuthority {
	/** Asks for a promotion and resolves with its outcome. */
	abstract promote(call: PromotionRequest): Promise<PromotionOutcome>;
}
