import {Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {type Milliseconds} from '../clock/clock.js';
import {waitForCondition} from '../blackboard/wait-for-condition.js';
import {mayUseMember} from '../database-group/group-state.js';
import {initialLogPosition, lowestFloorSince, knownAppliedLogPosition} from '../database-group/log-position-rules.js';
import {parseMemberStatus} from '../database-group/member-status-row.js';
import {type LogPosition, type MemberStatus} from '../database-group/types.js';
import {type BackendConnection} from '../postgres-protocol/backend-connection.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {readTextRows} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {selectReadMember, type ReadCandidate} from '../routing/read-member-selection.js';
import {
	buildResponse, otherHolder, outcomeUnknown, primaryOf, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {type ExecuteResponse} from './messages.js';
import {notSentPause, statusQueryBytes, wasRefusedAsReadOnly} from './write-executor.js';

/** Progress of one read over its attempts. */
type ReadProgress = {
	readonly failedMembers: Set<string>;
	/** Point that the read needs; undefined while it follows from the stated age at each attempt. */
	readonly fixedPoint: LogPosition | undefined;
	/** Called with the member when its answer is late. */
	readonly onLate: (member: string) => void;
	mayHaveRun: boolean;
	/** Whether another run of the read was faster. */
	isAbandoned: boolean;
	/** Closes the connection in use. */
	closeConnection: () => void;
};

/** Statements around a read on the primary. A function called by the read might write otherwise, and its effects would not be confirmed. */
const readOnlyGuard = {
	before: [serialize.query('SET default_transaction_read_only = on')],
	after: [serialize.query('SET default_transaction_read_only = off')],
};
const noGuard: typeof readOnlyGuard = {before: [], after: []};

/** Members on which a read runs at the same time when an answer is late. */
const parallelReads = 2;

/** A result, or undefined when the member refused the statement as a write. */
type ReadResult = ExecuteResponse | undefined;

/** Runs reads outside of transactions, and statements that open a read-only transaction. */
export class ReadExecutor {
	constructor(private readonly context: ExecutionContext) {}

	/** Runs the read on an eligible member; resolves with undefined when the member refused it as a write. Rejects with a numbered code. */
	async execute(request: PoolRequest): Promise<ReadResult> {
		const fixedPoint = await this.#fixedPoint(request);
		return request.transactionId === null ? this.#race(request, fixedPoint) : this.#attempt(request, createProgress(fixedPoint));
	}

	/** Runs the read; a connection may have stopped responding for good, so a late answer is sought on another member as well. */
	async #race(request: PoolRequest, fixedPoint: LogPosition | undefined): Promise<ReadResult> {
		const {retryBudget, metrics, database} = this.context;
		return new Promise((resolve, reject) => {
			const runs: ReadProgress[] = [];
			let failures = 0;
			const start = (failedMembers: readonly string[]): void => {
				const progress = createProgress(fixedPoint, failedMembers, member => {
					if (runs.length < parallelReads && retryBudget.tryRetry()) {
						metrics.retries.inc({database});
						start([member]);
					}
				});
				runs.push(progress);
				void runOnce(progress);
			};

			const runOnce = async (progress: ReadProgress): Promise<void> => {
				try {
					resolve(await this.#attempt(request, progress));
					for (const other of runs.filter(run => run !== progress)) {
						abandon(other);
					}
				} catch (error) {
					failures++;
					if (failures === runs.length) {
						const mayHaveRun = runs.some(run => run.mayHaveRun);
						reject(mayHaveRun ? outcomeUnknown(toBuckthornhitchError(error).message) : toBuckthornhitchError(error));
					}
				}
			};

			start([]);
		});
	}

	async #attempt(request: PoolRequest, progress: ReadProgress): Promise<ReadResult> {
		for (;;) {
			const grant = await this.#takeMember(request, progress);
			let wasSent = false;
			try {
				return await this.#run(request, grant, progress);
			} catch (error) {
				wasSent = this.#noteFailure(error, grant, progress);
			} finally {
				grant.releaseSlot();
				this.context.dispatch();
			}

			await this.#beforeNextAttempt(wasSent, progress);
		}
	}

	async #fixedPoint(request: PoolRequest): Promise<LogPosition | undefined> {
		if (request.maximumAge !== null && request.maximumAge > 0) {
			return undefined;
		}

		return request.neededPoint ?? this.#pointOfNewFloor(request);
	}

	async #pointOfNewFloor(request: PoolRequest): Promise<LogPosition> {
		const {board, clock} = this.context;
		const newFloor = () => lowestFloorSince(board.read('floors'), request.arrivedAt);
		const condition = (): boolean => newFloor() !== undefined;
		const found = await this.#whileAwaiting(async () => waitForCondition({board, names: ['floors'], condition}, clock, request.deadlineAt - clock.now()));
		const floor = newFloor();
		if (!found || !floor) {
			throw new BuckthornhitchError('noFreshMember', 'No majority of members answered in time.');
		}

		return floor.point;
	}

	async #takeMember(request: PoolRequest, progress: ReadProgress): Promise<MemberGrant> {
		const {clock, limits, dispatch} = this.context;
		const isLookup = progress.fixedPoint === undefined;
		const queue = isLookup ? this.context.lookupQueue : this.context.readQueue;
		const startedAt = clock.now();
		const immediate = queue.length === 0 ? this.#tryMember(request, progress, startedAt) : undefined;
		if (immediate) {
			return immediate;
		}

		const slotWaitEnd = startedAt + ((request.deadlineAt - startedAt) / 2);
		const cancels = [startedAt + limits().replicaWait, slotWaitEnd].map(at => clock.schedule(at - startedAt, dispatch));
		try {
			const enter = async (): Promise<MemberGrant> => queue.enter({
				attempt: () => this.#tryMember(request, progress, startedAt),
				deadlineAt: request.deadlineAt,
				createDeadlineError: () => this.#deadlineError(request, progress),
			});
			// A lookup that has a floor waits for a slot only, which polls do not bring nearer.
			return await (isLookup && this.#pointOfAge(request, startedAt) ? enter() : this.#whileAwaiting(enter));
		} finally {
			for (const cancel of cancels) {
				cancel();
			}
		}
	}

	/** Has the members polled more often while the read waits. */
	async #whileAwaiting<Result>(action: () => Promise<Result>): Promise<Result> {
		const {board} = this.context;
		board.write('waitingReadCount', board.read('waitingReadCount') + 1);
		try {
			return await action();
		} finally {
			board.write('waitingReadCount', board.read('waitingReadCount') - 1);
		}
	}

	#tryMember(request: PoolRequest, progress: ReadProgress, startedAt: Milliseconds): MemberGrant | undefined {
		const {clock, limits, connectionsOf, slots} = this.context;
		if (progress.isAbandoned) {
			throw new BuckthornhitchError('deadlinePassed', 'Another run of the read was faster.');
		}

		const now = clock.now();
		const neededPoint = progress.fixedPoint ?? this.#pointOfAge(request, now);
		if (!neededPoint) {
			return undefined;
		}

		const candidates = this.#candidates(now);
		const member = selectReadMember(candidates, {
			neededPoint,
			localDataCentre: this.context.dataCentre,
			replicaWaitElapsed: now - startedAt >= limits().replicaWait,
			slotWaitElapsed: now - startedAt >= (request.deadlineAt - startedAt) / 2,
			failedMembers: progress.failedMembers,
		});
		const chosen = candidates.find(({status}) => status.member === member);
		const connections = chosen && connectionsOf(chosen.status.member);
		return chosen && connections && {
			status: chosen.status, isPrimary: chosen.isPrimary, connections, releaseSlot: slots.take(chosen.status.member, 'read'),
		};
	}

	#pointOfAge(request: PoolRequest, now: Milliseconds): LogPosition | undefined {
		return lowestFloorSince(this.context.board.read('floors'), now - (request.maximumAge ?? 0))?.point;
	}

	#candidates(now: Milliseconds): readonly ReadCandidate[] {
		const {board, slots} = this.context;
		const primary = primaryOf(board)?.member;
		const candidates: ReadCandidate[] = [];
		for (const {member, dataCentre, leaving} of board.read('members').values()) {
			const status = board.read('observations').get(member)?.status;
			if (!status || leaving || !mayUseMember(board, member, now)) {
				continue;
			}

			const isPrimary = member === primary || status.role === 'primary';
			const use = slots.usageOf(member);
			candidates.push({
				status, dataCentre, isPrimary, freeSlots: slots.freeSlots(member, 'read', isPrimary), slotUtilization: (use.reads + use.writes) / Math.max(1, use.slots),
			});
		}

		return candidates;
	}

	#deadlineError(request: PoolRequest, progress: ReadProgress): BuckthornhitchError {
		if (progress.mayHaveRun) {
			return outcomeUnknown('The read was sent and its answer was lost.');
		}

		const neededPoint = progress.fixedPoint ?? this.#pointOfAge(request, this.context.clock.now());
		return neededPoint
			? new BuckthornhitchError('deadlinePassed', 'No eligible member had a free slot in time.')
			: new BuckthornhitchError('noFreshMember', 'No majority of members answered within the stated age.');
	}

	async #run(request: PoolRequest, grant: MemberGrant, progress: ReadProgress): Promise<ReadResult> {
		const {board, clock, limits, timeouts} = this.context;
		const connection = await grant.connections.acquire(request.deadlineAt);
		if (!mayUseMember(board, grant.status.member, clock.now())) {
			grant.connections.release(connection);
			throw new BuckthornhitchError('linkNotSent', `The lease of ${grant.status.member} lapsed.`);
		}

		const needsPoint = progress.fixedPoint !== undefined && request.transactionId === null;
		const askedAt = clock.now();
		progress.closeConnection = () => {
			grant.connections.discard(connection, 'read: no answer while another member has answered');
		};

		const cancelLate = clock.schedule(timeouts().silence, () => {
			progress.onLate(grant.status.member);
		});
		try {
			const parts = needsPoint ? [request.bytes, statusQueryBytes] : [request.bytes];
			const guard = grant.isPrimary && request.transactionId === null ? readOnlyGuard : noGuard;
			const sent = [...guard.before, ...parts, ...guard.after];
			const responses = await connection.exchange(Buffer.concat(sent), sent.length, limits().statementTimeout);
			const [bytes, statusBytes] = responses.slice(guard.before.length, guard.before.length + parts.length);
			const status = statusBytes ? this.#observedStatus(statusBytes, askedAt) : grant.status;
			const neededPoint = progress.fixedPoint ?? this.#pointOfAge(request, askedAt) ?? initialLogPosition;
			const point = knownAppliedLogPosition(status, neededPoint);
			return this.#answer(request, grant, connection, {bytes, point});
		} catch (error) {
			grant.connections.discard(connection, `read: ${toBuckthornhitchError(error).detail}`);
			throw error;
		} finally {
			cancelLate();
			progress.closeConnection = () => undefined;
		}
	}

	#observedStatus(bytes: Buffer, askedAt: Milliseconds): MemberStatus {
		const status = parseMemberStatus(readTextRows(splitBackendMessages(bytes))[0]);
		this.context.observe({askedAt, status});
		return status;
	}

	#answer(request: PoolRequest, grant: MemberGrant, connection: BackendConnection, {bytes, point}: {readonly bytes: Buffer; readonly point: LogPosition}): ReadResult {
		const {metrics, database} = this.context;
		const {member} = grant.status;
		const role = grant.isPrimary ? 'primary' : 'replica';
		const {transactionStatus} = connection;
		if (transactionStatus === 'idle') {
			grant.connections.release(connection);
			if (wasRefusedAsReadOnly(bytes)) {
				return undefined;
			}
		} else if (request.transactionId === null) {
			throw outcomeUnknown('The statement opened a transaction outside of a transaction block.');
		} else {
			this.#keep(request, grant, connection);
		}

		metrics.reads.inc({database, role, stated_age: String(request.maximumAge !== null)});
		return buildResponse(bytes, transactionStatus, {member, role}, point);
	}

	#keep(request: PoolRequest, grant: MemberGrant, connection: BackendConnection): void {
		this.context.transactions.add({
			id: request.transactionId ?? '',
			member: grant.status.member,
			role: grant.isPrimary ? 'primary' : 'replica',
			term: grant.status.primaryTerm,
			connection,
			connections: grant.connections,
			linkId: request.linkId,
			finish: () => undefined,
			busy: false,
		});
	}

	/** Notes a failed attempt and returns whether the read was sent; rethrows what another member cannot do better. */
	#noteFailure(error: unknown, grant: MemberGrant, progress: ReadProgress): boolean {
		const failure = toBuckthornhitchError(error);
		if (failure.codeName === 'deadlinePassed') {
			throw progress.mayHaveRun ? outcomeUnknown('The read was sent and its answer was lost.') : failure;
		}

		if (failure.codeName === 'outcomeUnknown' || progress.isAbandoned) {
			throw failure;
		}

		this.context.checkMember(grant.status.member);
		progress.failedMembers.add(grant.status.member);
		return failure.codeName !== 'linkNotSent';
	}

	/** Only a read that was sent counts as a retry: one that found no connection has put no load on a member. */
	async #beforeNextAttempt(wasSent: boolean, progress: ReadProgress): Promise<void> {
		const {retryBudget, metrics, database, clock} = this.context;
		if (!wasSent) {
			await clock.sleep(notSentPause);
			return;
		}

		progress.mayHaveRun = true;
		if (!retryBudget.tryRetry()) {
			throw outcomeUnknown('The read was sent, its answer was lost, and the retry budget is spent.');
		}

		metrics.retries.inc({database});
	}
}

function createProgress(fixedPoint: LogPosition | undefined, failedMembers: readonly string[] = [], onLate: ReadProgress['onLate'] = () => undefined): ReadProgress {
	return {
		failedMembers: new Set(failedMembers), fixedPoint, onLate, mayHaveRun: false, isAbandoned: false, closeConnection: () => undefined,
	};
}

function abandon(progress: ReadProgress): void {
	progress.isAbandoned = true;
	progress.closeConnection();
}

/** Returns the pool to which a read should go because another one holds all leases, or undefined. */
export function otherOwner(context: ExecutionContext): string | undefined {
	const members = [...context.board.read('members').keys()];
	if (members.some(member => mayUseMember(context.board, member, context.clock.now()))) {
		return undefined;
	}

	const holder = members.map(member => otherHolder(context, member)).find(name => name !== undefined);
	const {rank, order} = context.board.read('ownership');
	return holder ?? (rank === 0 || order.length === 0 ? undefined : order[0]);
}
