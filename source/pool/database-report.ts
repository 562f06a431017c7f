import {type Milliseconds} from '../clock/clock.js';
import {holdsLease, type GroupMember} from '../database-group/group-state.js';
import {type DatabaseService} from './database-service.js';
import {primaryOf} from './execution-context.js';
import {type DatabaseReport, type MemberReport} from './messages.js';

/** Returns the state of a database for operators. */
export function reportDatabase(service: DatabaseService, now: Milliseconds): DatabaseReport {
	const {board, context, name} = service;
	const members = [...board.read('members').values()];
	const primary = primaryOf(board);
	return {
		database: name,
		leaseHeld: members.some(({member}) => holdsLease(board, member, now)),
		primary: primary?.member ?? null,
		term: Math.max(0, ...[...board.read('observations').values()].map(({status}) => status.primaryTerm)),
		members: members.map(member => reportMember(service, member)),
		waitingReads: context.readQueue.length + context.lookupQueue.length,
		waitingWrites: context.writeQueue.length + context.confirmation.length,
	};
}

function reportMember(service: DatabaseService, {member, address, dataCentre, leaving}: GroupMember): MemberReport {
	const {board, context} = service;
	const status = board.read('observations').get(member)?.status;
	const use = context.slots.usageOf(member);
	return {
		member,
		address,
		dataCentre,
		leaving,
		reachable: status !== undefined && !board.read('suspects').has(member),
		role: status?.role ?? 'replica',
		logTerm: status?.logTerm ?? 0,
		receivedPosition: status?.receivedPosition ?? 0,
		appliedPosition: status?.appliedPosition ?? 0,
		slotsInUse: use.reads + use.writes,
		connections: service.connectionCount(member),
	};
}
