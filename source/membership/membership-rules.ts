import {type Milliseconds} from '../clock/clock.js';
import {type ProcessRecord, type ProcessState} from './process-record.js';

/** What the fleet believes about whether a process runs; draining is kept apart, so that a suspicion does not hide it. */
export type Health = 'alive' | 'suspect' | 'failed' | 'left';

/** A record as the processes exchange it. */
export type GossipRecord = ProcessRecord & {
	readonly health: Health;
	readonly draining: boolean;
};

/** Each process probes one peer in this many milliseconds. */
export const probePeriod: Milliseconds = 1000;

/** A probe without an answer after this many milliseconds is repeated through other processes. Longer than a pause of 300 ms. */
export const directProbeTimeout: Milliseconds = 400;

/** Processes that are asked to repeat a probe. */
export const indirectProbeCount = 3;

const suspicionPeriods = 3;
const transmissionsPerLogarithm = 4;

const healthRank: Readonly<Record<Health, number>> = {
	alive: 0, suspect: 1, failed: 2, left: 3,
};

/** Returns whether the candidate is newer knowledge of the same process: the higher incarnation wins, then the worse health. */
export function supersedes(candidate: GossipRecord, known: GossipRecord): boolean {
	if (candidate.incarnation !== known.incarnation) {
		return candidate.incarnation > known.incarnation;
	}

	return healthRank[candidate.health] > healthRank[known.health];
}

/**
Returns the entry to hold after hearing the candidate, or undefined when it brings nothing new.

A process that is believed alive is only suspected when others call it failed, so that it can refute what an isolated process or another half of a partition concluded. Ended processes that are not known are not added.
*/
export function resolveEntry(candidate: GossipRecord, known: GossipRecord | undefined): GossipRecord | undefined {
	if (!known) {
		return isLive(candidate) ? candidate : undefined;
	}

	if (!supersedes(candidate, known)) {
		return undefined;
	}

	return candidate.health === 'failed' && known.health === 'alive' ? withHealth(candidate, 'suspect') : candidate;
}

/** Returns whether the process counts as running. */
export function isLive(entry: GossipRecord): boolean {
	return entry.health === 'alive' || entry.health === 'suspect';
}

/** Returns the entry with another health. */
export function withHealth(entry: GossipRecord, health: Health): GossipRecord {
	return {...entry, health, state: publicState(health, entry.draining)};
}

/** Returns the state that other parts see. */
export function publicState(health: Health, draining: boolean): ProcessState {
	return draining && (health === 'alive' || health === 'suspect') ? 'draining' : health;
}

/** Returns how long a suspected process may refute before it counts as failed; news needs a time that grows with the logarithm of the group size. */
export function suspicionTime(liveCount: number): Milliseconds {
	return suspicionPeriods * probePeriod * Math.max(1, Math.log10(liveCount + 1));
}

/** Returns how often one process passes an update on. */
export function transmissionLimit(liveCount: number): number {
	return transmissionsPerLogarithm * Math.ceil(Math.log10(liveCount + 1));
}
