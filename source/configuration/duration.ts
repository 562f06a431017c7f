import {type Milliseconds} from '../clock/clock.js';

const unitMilliseconds = {
	ms: 1,
	s: 1000,
	m: 60_000,
	h: 3_600_000,
} as const;

const durationPattern = /^(?<amount>\d{1,9})(?<unit>ms|s|m|h)$/v;

/** Parses a duration with a unit, such as `200ms`, `5s`, `2m` or `24h`, to milliseconds; returns undefined when the text is not a duration. */
export function parseDuration(text: string): Milliseconds | undefined {
	const groups = durationPattern.exec(text)?.groups;
	return groups && Number(groups.amount) * unitMilliseconds[groups.unit as keyof typeof unitMilliseconds];
}
