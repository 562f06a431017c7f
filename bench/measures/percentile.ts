/** Returns the percentile by nearest rank: the smallest of the values for which at least the fraction (0 to 1) of all values are less than or equal to it; NaN without values. */
export function percentile(values: readonly number[], fraction: number): number {
	const sorted = values.toSorted((first, second) => first - second);
	const rank = Math.max(1, Math.ceil(sorted.length * fraction));
	return sorted[rank - 1] ?? Number.NaN;
}

/** Returns the part divided by the whole; NaN when the whole is 0. */
export function ratioOf(part: number, whole: number): number {
	return whole === 0 ? Number.NaN : part / whole;
}
