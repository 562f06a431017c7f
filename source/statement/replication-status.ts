import {type LogPosition} from '../database-group/types.js';

/** Replication status as a member reports it. */
export type ReplicationStatus = {
	readonly role: 'primary' | 'replica';
	/** Highest term that the member knows. */
	readonly term: number;
	/** Last log position that it received. */
	readonly received: LogPosition;
	/** Lowest term from which the member accepts log entries; it refuses those of lower terms. */
	readonly minimumAcceptedTerm: number;
};

/** Parses the answer of a member to a status query. */
export abstract class ReplicationStatusParser {
	/** Returns the status, or undefined when the rows do not form one. */
	abstract parse(rows: readonly string[]): ReplicationStatus | undefined;
}
