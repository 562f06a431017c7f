import {type Address} from '../links/address.js';

/** Role of a process: an entry accepts callers, a pool runs statements over its connections to the backend servers, and a control process keeps the replicated control log. */
export type ProcessRole = 'entry' | 'pool' | 'control';

/** State of a process as seen by the other processes. */
export type ProcessState = 'alive' | 'suspect' | 'failed' | 'left' | 'draining';

/** Identity, addresses and state of one process. */
export type ProcessRecord = {
	readonly name: string;
	readonly role: ProcessRole;
	readonly instance: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly linkAddress: Address;
	readonly gossipAddress: Address;
	/** Incremented by the process itself to refute a suspicion, as in SWIM. */
	readonly incarnation: number;
	readonly state: ProcessState;
	readonly configurationRevision: number;
};

/** Returns whether the process accepts new work: it is running and not draining. */
export function takesNewWork(record: ProcessRecord): boolean {
	return record.state === 'alive' || record.state === 'suspect';
}
