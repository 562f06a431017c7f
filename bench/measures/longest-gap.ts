/** Returns the longest interval between successive accepted writes that ends after the fault. A gap that has not ended counts up to the end of the observation. */
export function longestGap(acceptedAt: readonly number[], faultAt: number, observedUntil: number): number {
	const sortedTimes = [...acceptedAt.toSorted((first, second) => first - second), observedUntil];
	let longest = 0;
	let previousTime = sortedTimes[0];
	for (const time of sortedTimes) {
		if (time > faultAt) {
			longest = Math.max(longest, time - previousTime);
		}

		previousTime = time;
	}

	return longest;
}
