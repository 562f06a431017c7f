import {type AdmissionQueue} from '../admission/admission-queue.js';
import {type SlidingWindowRetryBudget} from '../admission/sliding-window-retry-budget.js';
import {type SlotTable} from '../admission/slot-table.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Limits, type Timeouts} from '../configuration/types.js';
import {type GroupBlackboard} from '../database-group/group-state.js';
import {activePrimary} from '../database-group/promotion-rules.js';
import {initialLogPosition} from '../database-group/log-position-rules.js';
import {
	type LogPosition, type MemberObservation, type MemberRole, type MemberStatus,
} from '../database-group/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberConnections} from './member-connections.js';
import {type ExecuteRequest, type ExecuteResponse, type TransactionStatus} from './messages.js';
import {type PoolMetrics} from './pool-metrics.js';
import {type TransactionTable} from './transaction-table.js';
import {type WriteConfirmation} from './write-confirmation.js';

/** A slot on a member with the connections to it. */
export type MemberGrant = {
	readonly status: MemberStatus;
	readonly isPrimary: boolean;
	readonly connections: MemberConnections;
	readonly releaseSlot: () => void;
};

/** What the executors of one database share. */
export type ExecutionContext = {
	readonly database: string;
	readonly poolName: string;
	readonly dataCentre: string;
	readonly board: GroupBlackboard;
	readonly clock: Clock;
	readonly slots: SlotTable;
	/** Reads that need the session's own writes, and statements of read-only transactions. */
	readonly readQueue: AdmissionQueue<MemberGrant>;
	/** Reads with a stated maximum age; apart from the others, so that neither kind fills the queue of the other. */
	readonly lookupQueue: AdmissionQueue<MemberGrant>;
	readonly writeQueue: AdmissionQueue<MemberGrant>;
	readonly confirmation: WriteConfirmation;
	readonly transactions: TransactionTable;
	readonly retryBudget: SlidingWindowRetryBudget;
	readonly metrics: PoolMetrics;
	readonly limits: () => Limits;
	readonly timeouts: () => Timeouts;
	/** Returns the connections to a member, or undefined while its lease is not held. */
	readonly connectionsOf: (member: string) => MemberConnections | undefined;
	/** Takes an observation made on a connection that carried a statement. */
	readonly observe: (observation: MemberObservation) => void;
	/** Polls the member now, because a connection to it failed. */
	readonly checkMember: (member: string) => void;
	/** Admits waiting requests after something became free. */
	readonly dispatch: () => void;
};

/** A request with what the pool knows about its arrival. */
export type PoolRequest = ExecuteRequest & {
	readonly arrivedAt: Milliseconds;
	readonly deadlineAt: Milliseconds;
	readonly linkId: number;
};

/** Returns the primary that takes writes, whether or not this pool may use it. */
export function primaryOf(board: GroupBlackboard): MemberStatus | undefined {
	const members = board.read('members');
	const statuses = [...board.read('observations').values()].map(({status}) => status).filter(status => members.has(status.member));
	return activePrimary(statuses, board.read('suspects'));
}

/** Returns the pool that holds the member's lease as far as this pool knows, if it is another one. */
export function otherHolder(context: ExecutionContext, member: string): string | undefined {
	const observation = context.board.read('observations').get(member);
	if (!observation) {
		return undefined;
	}

	const {leaseHolder, leaseRemaining} = observation.status;
	const expired = observation.askedAt + leaseRemaining <= context.clock.now();
	return leaseHolder === '' || leaseHolder === context.poolName || expired ? undefined : leaseHolder;
}

/** Returns the error of a request whose answer was lost after it was sent. */
export function outcomeUnknown(detail: string): BuckthornhitchError {
	return new BuckthornhitchError('outcomeUnknown', detail);
}

/** Member that served a request, with its role. */
export type ServedBy = {
	readonly member: string;
	readonly role: MemberRole;
};

/** Builds the response to a request. */
export function buildResponse(bytes: ExecuteResponse['bytes'], transactionStatus: TransactionStatus, {member, role}: ServedBy, point: LogPosition | null): ExecuteResponse {
	return {
		bytes, transactionStatus, point: point ?? initialLogPosition, servedBy: member, servedByRole: role,
	};
}
