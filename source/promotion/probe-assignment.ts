import {divideConnections} from '../connection-budget/connection-budget.js';
import {ownershipOrder, type OwnershipCandidate} from '../ownership/rendezvous.js';

/** How a control instance probes a member. */
export type ProbeMode =
	/** On a connection that it keeps. */
	| 'kept'
	/** On a connection that it opens for each probe or series of commands. */
	| 'brief'
	/** Not at all; it relies on what the leader reports. */
	| 'none';

/** A member, and the control instances that share the probing of it. */
export type ProbeAssignmentInput = {
	readonly member: string;
	/** Maximum number of connections that the member accepts. */
	readonly connectionLimit: number;
	/** The control instances that are live, including this one. */
	readonly controls: readonly OwnershipCandidate[];
	/** Name of this control instance. */
	readonly name: string;
	/** Name of the leader of the control log, if one is known. */
	readonly leader: string | undefined;
};

/** Returns how this control instance probes the member. Where connections are scarce, the leader comes first, since it sends the commands of a failover; all instances agree on the others by rendezvous order. */
export function assignProbe({
	member, connectionLimit, controls, name, leader,
}: ProbeAssignmentInput): ProbeMode {
	const {controlConnections, isScarce} = divideConnections({connectionLimit, controlCount: Math.max(1, controls.length)});
	if (!isScarce) {
		return 'kept';
	}

	if (controlConnections === 0) {
		return name === leader ? 'brief' : 'none';
	}

	const others = ownershipOrder(member, controls.filter(control => control.name !== leader)).map(control => control.name);
	const keepers = leader === undefined ? others : [leader, ...others];
	return keepers.slice(0, controlConnections).includes(name) ? 'kept' : 'none';
}
