/** Returns the value below which a fraction (0 to 1) of the values lies; NaN without values. */
export function quantile(values: readonly number[], fraction: number): number {
	const sorted = values.toSorted((first, second) => first - second);
	return sorted.length === 0 ? Number.NaN : sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
}

/** Returns the arithmetic mean; NaN without values. */
export function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
