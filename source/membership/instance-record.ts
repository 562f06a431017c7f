import {type Address} from '../links/address.js';

/** Kinds of processes. */
export type ProcessRole = 'entry' | 'pool' | 'control';

/** State of a process as the fleet sees it. */
export type InstanceState = 'alive' | 'suspect' | 'failed' | 'left' | 'draining';

/** What is known about one process. */
export type InstanceRecord = {
	readonly name: string;
	readonly role: ProcessRole;
	readonly instance: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly linkAddress: Address;
	readonly gossipAddress: Address;
	/** Raised by the process itself to refute a suspicion. */
	readonly incarnation: number;
	readonly state: InstanceState;
	readonly configurationRevision: number;
};

/** Returns whether the process takes new work. */
export function takesNewWork(record: InstanceRecord): boolean {
	return record.state === 'alive' || record.state === 'suspect';
}
