/** Returns the longest time between successive accepted writes that ends after the fault. A gap that has not ended counts up to the end of the observation. */
export function longestGap(acceptedAt: readonly number[], faultAt: number, observedUntil: number): number {
	const ordered = [...acceptedAt.toSorted((first, second) => first - second), observedUntil];
	let longest = 0;
	let previous = ordered[0];
	for (const time of ordered) {
		if (time > faultAt) {
			longest = Math.max(longest, time - previous);
		}

		previous = time;
	}

	return longest;
}
