import {type ExplorationResult} from './explorer.js';

/** An exploration that `npm run verify` runs. */
export type VerificationCase = {
	readonly name: string;
	/** Describes the rule that is broken on purpose, or null for the protocol as implemented. */
	readonly mutation: string | null;
	/** Whether the protocol as implemented is known to have a violation, which KNOWN-RED.txt lists. */
	readonly isKnownFault?: boolean;
	readonly run: () => ExplorationResult;
};
