/** Limit on the operations of a customer, counted over all instances. */
export type RateLimit = {
	readonly ratePerSecond: number;
	/** Operations that a customer may send at once beyond the rate. */
	readonly burst: number;
};

/** A customer, whose callers identify themselves with API keys. */
export type Customer = {
	readonly name: string;
	/** Digests of the customer's API keys (see `digestKey`). Keys themselves are not kept, so that they cannot reach links, logs or memory dumps. */
	readonly keyDigests: readonly string[];
	/** Priority of the customer; 0 is the highest. */
	readonly priority: number;
	/** Undefined when the customer is not limited. */
	readonly rateLimit: RateLimit | undefined;
};
