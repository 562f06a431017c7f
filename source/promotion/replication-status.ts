import {type LogPosition} from '../database-group/types.js';

/** Answer of a member to the question for its status. */
export type ReplicationStatus = {
	readonly role: 'primary' | 'replica';
	/** Highest term that the member knows. */
	readonly term: number;
	/** Last entry that it received. */
	readonly received: LogPosition;
	/** Term below which it takes no entries. */
	readonly pausedTerm: number;
};

/** Reads the answer of a member to the question for its status. */
export abstract class ReplicationStatusParser {
	/** Returns the status, or undefined when the rows are not one. */
	abstract parse(rows: readonly string[]): ReplicationStatus | undefined;
}
