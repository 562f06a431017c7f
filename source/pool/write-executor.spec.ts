import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AdmissionQueue} from '../admission/admission-queue.js';
import {SlotTable} from '../admission/slot-table.js';
import {ManualClock} from '../clock/manual-clock.js';
import {createGroupBlackboard} from '../database-group/group-state.js';
import {replicaStatus} from '../database-group/member-status-fixture.js';
import {type ExecutionContext, type MemberGrant, type PoolRequest} from './execution-context.js';
import {type MemberConnections} from './member-connections.js';
import {type IdempotentRequestExecutor} from './idempotent-request-executor.js';
import {WriteExecutor} from './write-executor.js';

// A switchover waits for the writes in progress. A write counted only after it had a connection could run on the old primary during a switchover.
test('a write counts as in progress on the primary as soon as it is admitted', () => {
	const clock = new ManualClock();
	const board = createGroupBlackboard(1);
	const status = {
		...replicaStatus('a', 1, 1), role: 'primary' as const, acceptingWrites: true, leaseHolder: 'pool-1', leaseRemaining: 1000,
	};
	board.write('members', new Map([['a', {
		member: 'a', address: 'a:1', dataCentre: 'here', leaving: false,
	}]]));
	board.write('observations', new Map([['a', {askedAt: 0, status}]]));
	board.write('leases', new Map([['a', 1000]]));
	board.write('writesPaused', true);
	const slots = new SlotTable();
	slots.resize('a', 3);
	const writeQueue = new AdmissionQueue<MemberGrant>(clock, () => 10);
	// Promise.race([]) never settles, so the write never gets a connection.
	const context: Partial<ExecutionContext> = {
		board, clock, writeQueue, poolName: 'pool-1', slots, connectionsTo: () => ({acquire: async () => Promise.race([])}) as unknown as MemberConnections,
	};
	const writes = new WriteExecutor(context as ExecutionContext, {validate() {/* The request has no id to validate. */}} as unknown as IdempotentRequestExecutor);
	void writes.execute({requestId: null, transactionId: 't', deadlineAt: 1000} as PoolRequest);

	board.write('writesPaused', false);
	writeQueue.dispatch();

	assert.equal(writeQueue.length, 0);
	assert.equal(board.read('writesInProgress'), 1);
});
