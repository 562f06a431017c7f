import {createHash} from 'node:crypto';

/** A pool that is eligible to own databases. */
export type OwnershipCandidate = {
	readonly name: string;
	readonly dataCentre: string;
};

/** Returns the candidates in ownership order for the key: those in the preferred data centre first, then by rendezvous (highest random weight) hash. */
export function ownershipOrder<Candidate extends OwnershipCandidate>(key: string, candidates: readonly Candidate[], preferredDataCentre?: string): readonly Candidate[] {
	const scored = candidates.map(candidate => ({
		candidate,
		preferred: candidate.dataCentre === preferredDataCentre,
		score: rendezvousScore(key, candidate.name),
	}));
	scored.sort((first, second) => Number(second.preferred) - Number(first.preferred) || second.score - first.score || first.candidate.name.localeCompare(second.candidate.name));
	return scored.map(({candidate}) => candidate);
}

const scoreLengthBytes = 6;

function rendezvousScore(key: string, name: string): number {
	return createHash('sha1').update(`${key}\n${name}`).digest().readUIntBE(0, scoreLengthBytes);
}
