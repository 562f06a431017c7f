/** Returns the smallest value that at least the share (0 to 1) of the values does not exceed; NaN without values. */
export function percentile(values: readonly number[], share: number): number {
	const ordered = values.toSorted((first, second) => first - second);
	const rank = Math.max(1, Math.ceil(ordered.length * share));
	return ordered[rank - 1] ?? Number.NaN;
}

/** Returns the part of the whole, or NaN when the whole is empty. */
export function shareOf(part: number, whole: number): number {
	return whole === 0 ? Number.NaN : part / whole;
}
