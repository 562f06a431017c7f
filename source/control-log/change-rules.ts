/** What the outcome of a change is decided by. */
export type ConfigurationChangeInput = {
	/** Digest of the content under which the change id is known, or undefined for a new id. */
	readonly knownDigest: string | undefined;
	readonly digest: string;
	readonly expectedRevision: number;
	/** Revision at which the files last changed; registered members raise only the revision. */
	readonly filesRevision: number;
	readonly revision: number;
};

/** Outcome of a change; `known` means that it gets the answer recorded under its id. */
export type ChangeOutcome = 'accepted' | 'known' | 'changeIdReused' | 'revisionConflict';

/** Returns the outcome of a change of the files. */
export function changeOutcome(question: ConfigurationChangeInput): ChangeOutcome {
	if (question.knownDigest !== undefined) {
		return question.knownDigest === question.digest ? 'known' : 'changeIdReused';
	}

	const isCurrent = question.expectedRevision >= question.filesRevision && question.expectedRevision <= question.revision;
	return isCurrent ? 'accepted' : 'revisionConflict';
}
