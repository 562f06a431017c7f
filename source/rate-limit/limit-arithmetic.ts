import {type Milliseconds} from '../clock/clock.js';
import {type RateLimit} from '../customers/types.js';

/** Settings of the platform that say how rate limits are measured. */
export type RateLimitSettings = {
	/** Length of the sliding window in which operations are counted. */
	readonly window: Milliseconds;
	/** Share of the limit by which a window may exceed it. */
	readonly overage: number;
	/** Operations by which a window may exceed the limit in addition. */
	readonly slack: number;
};

/** Settings where the platform gives none: the limit itself, in windows of 5 s. */
export const defaultRateLimitSettings: RateLimitSettings = {window: 5000, overage: 0, slack: 0};

/** Share of the permitted operations at which the limiter aims. The rest covers the time between the admission of an operation and its arrival at a member, which moves operations into a later window. */
const aimedShare = 0.95;

const millisecondsPerSecond = 1000;

/** Returns the number of operations in a window at the customer's rate, without its burst. It may be fractional. */
export function operationsAtRate({ratePerSecond}: RateLimit, {window}: RateLimitSettings): number {
	return ratePerSecond * window / millisecondsPerSecond;
}

/** Returns the number of operations that are permitted in each sliding window. It may be fractional. */
export function permittedOperations(limit: RateLimit, settings: RateLimitSettings): number {
	return ((operationsAtRate(limit, settings) + limit.burst) * (1 + settings.overage)) + settings.slack;
}

/** Returns the number of operations to admit in each sliding window. It is rounded up where the permitted number allows, so that a customer with a permitted sum of few operations does not lose one of them. */
export function aimedOperations(limit: RateLimit, settings: RateLimitSettings): number {
	const permitted = permittedOperations(limit, settings);
	return Math.min(Math.floor(permitted), Math.ceil(permitted * aimedShare));
}
