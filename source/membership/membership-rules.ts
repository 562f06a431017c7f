import {type Milliseconds} from '../clock/clock.js';
import {type ProcessRecord, type ProcessState} from './process-record.js';

/** State of a process in the failure detector. Draining is a separate flag, so that a suspicion does not hide it. */
export type Health = 'alive' | 'suspect' | 'failed' | 'left';

/** Process record as exchanged by gossip and anti-entropy. */
export type GossipRecord = ProcessRecord & {
	readonly health: Health;
	readonly draining: boolean;
};

/** Period at which each process probes one peer. */
export const probePeriod: Milliseconds = 1000;

/** Time after which an unanswered probe is repeated through other processes. It is longer than 300 ms, so that a process pause of that length does not lead to indirect probes. */
export const directProbeTimeout: Milliseconds = 400;

/** Number of processes asked to repeat an unanswered probe. */
export const indirectProbeCount = 3;

const suspicionMultiplier = 3;
const transmissionMultiplier = 4;

const healthRank: Readonly<Record<Health, number>> = {
	alive: 0, suspect: 1, failed: 2, left: 3,
};

/** Returns whether the candidate supersedes the known record of the same process: the higher incarnation wins, then the worse health. */
export function supersedes(candidate: GossipRecord, known: GossipRecord): boolean {
	if (candidate.incarnation !== known.incarnation) {
		return candidate.incarnation > known.incarnation;
	}

	return healthRank[candidate.health] > healthRank[known.health];
}

/**
Returns the record to hold after receiving the candidate, or undefined when the known record does not change.

If the known record is alive and the candidate is failed, the result is suspect, so that the process can refute the report. Such a report may come from an isolated process or from the other side of a partition. Failed and left processes that are not known are not added.
*/
export function resolveRecord(candidate: GossipRecord, known: GossipRecord | undefined): GossipRecord | undefined {
	if (!known) {
		return isLive(candidate) ? candidate : undefined;
	}

	if (!supersedes(candidate, known)) {
		return undefined;
	}

	return candidate.health === 'failed' && known.health === 'alive' ? withHealth(candidate, 'suspect') : candidate;
}

/** Returns whether the process counts as running: alive or suspect. */
export function isLive(record: GossipRecord): boolean {
	return record.health === 'alive' || record.health === 'suspect';
}

/** Returns the record with another health and the state that follows from it. */
export function withHealth(record: GossipRecord, health: Health): GossipRecord {
	return {...record, health, state: toProcessState(health, record.draining)};
}

/** Returns the process state for a health and the draining flag. */
export function toProcessState(health: Health, draining: boolean): ProcessState {
	return draining && (health === 'alive' || health === 'suspect') ? 'draining' : health;
}

/** Returns the time that a suspect process has to refute before it counts as failed. It grows with the logarithm of the number of processes, as the time that gossip takes does. */
export function suspicionTimeout(liveCount: number): Milliseconds {
	return suspicionMultiplier * probePeriod * Math.max(1, Math.log10(liveCount + 1));
}

/** Returns how many times one process transmits an update. */
export function transmissionLimit(liveCount: number): number {
	return transmissionMultiplier * Math.ceil(Math.log10(liveCount + 1));
}
