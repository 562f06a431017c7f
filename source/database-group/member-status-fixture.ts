import {type MemberStatus} from './types.js';

/** Status for tests of a replica that has applied all it received. */
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
