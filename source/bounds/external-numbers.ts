import * as z from 'zod';
import {type Milliseconds} from '../clock/clock.js';

// Numbers that come from outside: configurations, settings, announcements, replies of members and flags. One that is not allowed is refused. One that is allowed but larger than the product has a use for is lowered to the bound, since nothing that it permits differs.

/** Longest time that is told apart from one without end: ten years. */
export const longestDuration: Milliseconds = 10 * 365 * 24 * 3_600_000;

/** Largest count, such as one of connections or of operations in a second, that is told apart from one without limit. */
export const largestCount = 1_000_000_000;

const wholeNumberPattern = /^\d{1,16}$/v;

/** Returns a schema for a time in milliseconds that may be fractional. Longer times than the longest are shortened to it. */
export function durationSchema() {
	return z.number().min(0).transform(duration => Math.min(duration, longestDuration));
}

/** Returns a schema for a time in seconds, with the bounds of `durationSchema`. */
export function secondsSchema() {
	return z.number().min(0).transform(seconds => Math.min(seconds, longestDuration / 1000));
}

/** Returns a schema for an amount that may be fractional, such as a rate. Larger ones than the largest count are lowered to it. */
export function amountSchema() {
	return z.number().min(0).transform(amount => Math.min(amount, largestCount));
}

/** Returns a schema for a whole number of things. Larger ones than the largest count are lowered to it. */
export function countSchema() {
	return z.number().min(0).refine(count => Number.isInteger(count), 'not a whole number').transform(count => Math.min(count, largestCount));
}

/** Returns a schema for a whole number that identifies something, such as a version or a time of day, and must be exact: larger ones than the largest exact number are refused. */
export function exactNumberSchema({least = 0, most = Number.MAX_SAFE_INTEGER} = {}) {
	return z.number().int().min(least).max(most);
}

/** Returns a schema for a rank, of which lower ones come first. It may be negative or fractional; a larger one than the largest count, in either direction, is brought to it. */
export function rankSchema() {
	return z.number().transform(rank => Math.max(-largestCount, Math.min(rank, largestCount)));
}

/** Returns a schema for a network port. */
export function portSchema() {
	return exactNumberSchema({least: 1, most: 65_535});
}

/** Parses a whole number in decimal digits. Returns undefined for any other text and for numbers that are not exact. */
export function parseWholeNumber(text: string | undefined): number | undefined {
	const value = text !== undefined && wholeNumberPattern.test(text) ? Number(text) : undefined;
	return value !== undefined && Number.isSafeInteger(value) ? value : undefined;
}

/** Shortens a time to the longest one. */
export function boundDuration(duration: Milliseconds): Milliseconds {
	return Math.min(duration, longestDuration);
}
