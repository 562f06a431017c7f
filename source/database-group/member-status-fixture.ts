import {type MemberStatus} from './types.js';

/** Returns the status of a replica that has applied all received entries, for tests. */
export function replicaStatus(member: string, logTerm: number, position: number): MemberStatus {
	return {
		member,
		promisedTerm: logTerm,
		logTerm,
		receivedPosition: position,
		appliedPosition: position,
		role: 'replica',
		primaryTerm: logTerm,
		primaryMember: 'a',
		acceptingWrites: false,
		slots: 3,
		connectionLimit: 45,
		connections: 0,
		leaseHolder: '',
		leaseRemaining: 0,
	};
}
