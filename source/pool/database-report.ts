import {type Milliseconds} from '../clock/clock.js';
import {holdsLease, type GroupMember} from '../database-group/group-state.js';
import {type DatabaseService} from './database-service.js';
import {findPrimary} from './execution-context.js';
import {type DatabaseReport, type MemberReport} from './messages.js';

/** Builds the report on a database that operators see. */
export function buildDatabaseReport(service: DatabaseService, now: Milliseconds): DatabaseReport {
	const {board, context, name} = service;
	const members = [...board.read('members').values()];
	const primary = findPrimary(board);
	return {
		database: name,
		leaseHeld: members.some(({member}) => holdsLease(board, member, now)),
		primary: primary?.member ?? null,
		term: Math.max(0, ...[...board.read('observations').values()].map(({status}) => status.primaryTerm)),
		members: members.map(member => buildMemberReport(service, member)),
		waitingReads: context.readQueue.length + context.boundedStalenessQueue.length,
		waitingWrites: context.writeQueue.length + context.writeConfirmation.pendingCount,
	};
}

function buildMemberReport(service: DatabaseService, {member, address, dataCentre, leaving}: GroupMember): MemberReport {
	const {board, context} = service;
	const status = board.read('observations').get(member)?.status;
	const usage = context.slots.usageOf(member);
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
		slotsInUse: usage.reads + usage.writes,
		connections: service.connectionCount(member),
	};
}
