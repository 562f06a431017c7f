/** Input of `changeOutcome`. */
export type ConfigurationChangeInput = {
	/** Digest recorded under the change id, or undefined for a new change id. */
	readonly knownDigest: string | undefined;
	readonly digest: string;
	readonly expectedRevision: number;
	/** Revision of the last change of the files. Registering a member raises only `revision`. */
	readonly filesRevision: number;
	readonly revision: number;
};

/** Outcome of a change of the files. `known`: the change is a resend and gets the recorded response. */
export type ChangeOutcome = 'accepted' | 'known' | 'changeIdReused' | 'revisionConflict';

/** Decides whether a change is accepted. A resend gets the recorded response. The expected revision must not be later than the current one, and the files must not have changed after it; members registered since then cause no conflict. */
export function changeOutcome(input: ConfigurationChangeInput): ChangeOutcome {
	if (input.knownDigest !== undefined) {
		return input.knownDigest === input.digest ? 'known' : 'changeIdReused';
	}

	const isCurrent = input.expectedRevision >= input.filesRevision && input.expectedRevision <= input.revision;
	return isCurrent ? 'accepted' : 'revisionConflict';
}
