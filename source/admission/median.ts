/** Returns the median of the numbers, or undefined if there are none. Of an even count, the lower of the two in the middle. */
export function median(values: readonly number[]): number | undefined {
	return values.toSorted((first, second) => first - second).at(Math.floor((values.length - 1) / 2));
}
