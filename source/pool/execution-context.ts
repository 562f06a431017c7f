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

/** Slot on a member that an admitted request holds, with the connections to the member. */
export type MemberGrant = {
	readonly status: MemberStatus;
	readonly isPrimary: boolean;
	readonly connections: MemberConnections;
	/** Releases the slot; further calls have no effect. */
	readonly releaseSlot: () => void;
};

/** State and dependencies that the executors of one database share. */
export type ExecutionContext = {
	readonly database: string;
	readonly poolName: string;
	readonly dataCentre: string;
	readonly board: GroupBlackboard;
	readonly clock: Clock;
	readonly slots: SlotTable;
	/** Read-your-writes reads and statements of read-only transactions. */
	readonly readQueue: AdmissionQueue<MemberGrant>;
	/** Bounded-staleness reads, which state a maximum age. They have a queue of their own so that neither kind of read can fill the queue of the other. */
	readonly boundedStalenessQueue: AdmissionQueue<MemberGrant>;
	readonly writeQueue: AdmissionQueue<MemberGrant>;
	readonly writeConfirmation: WriteConfirmation;
	readonly transactions: TransactionTable;
	readonly retryBudget: SlidingWindowRetryBudget;
	readonly metrics: PoolMetrics;
	readonly limits: () => Limits;
	readonly timeouts: () => Timeouts;
	/** Returns the connections to a member, or undefined while this pool must not use it. */
	readonly connectionsTo: (member: string) => MemberConnections | undefined;
	/** Records a member status that was read on a connection that carried a statement. */
	readonly recordObservation: (observation: MemberObservation) => void;
	/** Polls the member immediately, because a connection to it failed or it rejected a write. */
	readonly pollMember: (member: string) => void;
	/** Admits waiting requests, after a slot or a member became available. */
	readonly dispatch: () => void;
};

/** Request of an entry with its arrival time, its deadline on this pool's clock, and the link it arrived on. */
export type PoolRequest = ExecuteRequest & {
	readonly arrivedAt: Milliseconds;
	readonly deadlineAt: Milliseconds;
	readonly linkId: number;
};

/** Returns the primary that accepts writes, whether or not this pool may use it. */
export function findPrimary(board: GroupBlackboard): MemberStatus | undefined {
	const members = board.read('members');
	const statuses = [...board.read('observations').values()].map(({status}) => status).filter(status => members.has(status.member));
	return activePrimary(statuses, board.read('suspects'));
}

/** Returns the other pool that holds the member's lease according to the latest observation, or undefined if there is none. */
export function findOtherLeaseHolder(context: ExecutionContext, member: string): string | undefined {
	const observation = context.board.read('observations').get(member);
	if (!observation) {
		return undefined;
	}

	const {leaseHolder, leaseRemaining} = observation.status;
	const isExpired = observation.askedAt + leaseRemaining <= context.clock.now();
	return leaseHolder === '' || leaseHolder === context.poolName || isExpired ? undefined : leaseHolder;
}

/** Creates the error of a request that may or may not have taken effect. */
export function createOutcomeUnknownError(detail: string): BuckthornhitchError {
	return new BuckthornhitchError('outcomeUnknown', detail);
}

/** Member that served a request, and its role. */
export type ServedBy = {
	readonly member: string;
	readonly role: MemberRole;
};

/** Builds the response to an `execute` request. Without a position, the response carries the initial log position. */
export function buildExecuteResponse(bytes: ExecuteResponse['bytes'], transactionStatus: TransactionStatus, {member, role}: ServedBy, position: LogPosition | null): ExecuteResponse {
	return {
		bytes, transactionStatus, point: position ?? initialLogPosition, servedBy: member, servedByRole: role,
	};
}
