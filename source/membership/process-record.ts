import {type Address} from '../links/address.js';

/** Kinds of processes. */
export type ProcessRole = 'entry' | 'pool' | 'control';

/** State of a process as the fleet sees it. */
export type ProcessState = 'alive' | 'suspect' | 'failed' | 'left' | 'draining';

/** What is known about one process. */
export type ProcessRecord = {
	readonly name: string;
	readonly role: ProcessRole;
	readonly instance: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly linkAddress: Address;
	readonly gossipAddress: Address;
	/** Raised by the process itself to refute a suspicion. */
	readonly incarnation: number;
	readonly state: ProcessState;
	readonly configurationRevision: number;
};

/** Returns whether the process takes new work. */
export function takesNewWork(record: ProcessRecord): boolean {
	return record.state === 'alive' || record.state === 'suspect';
}
