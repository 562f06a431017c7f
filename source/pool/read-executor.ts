import {Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {type Milliseconds} from '../clock/clock.js';
import {waitForCondition} from '../blackboard/wait-for-condition.js';
import {mayUseMember} from '../database-group/group-state.js';
import {initialLogPosition, lowestFloorSince, knownAppliedLogPosition} from '../database-group/log-position-rules.js';
import {parseMemberStatus} from '../database-group/member-status-row.js';
import {type LogPosition, type MemberStatus} from '../database-group/types.js';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';
import {readTextRows} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {selectReadMember, type ReadCandidate} from '../routing/read-member-selection.js';
import {
	buildExecuteResponse, findOtherLeaseHolder, createOutcomeUnknownError, findPrimary, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {type ExecuteResponse} from './messages.js';
import {type PooledBackendConnection} from './pooled-backend-connection.js';
import {nextAttemptDelay, statusQueryBytes, wasRejectedAsReadOnly} from './write-executor.js';

/** State of one run of a read. A run makes attempts, on other members if possible, until one succeeds; a hedged read has up to two parallel runs. */
type ReadProgress = {
	/** Members on which an attempt failed. */
	readonly failedMembers: Set<string>;
	/** Log position that a member must have applied to serve the read; undefined for a bounded-staleness read, where each attempt derives it from the maximum age. */
	readonly requiredPosition: LogPosition | undefined;
	/** Called with the member when its response is late. */
	readonly onSlowResponse: (member: string) => void;
	/** Whether an attempt was sent whose outcome is unknown. */
	mayHaveRun: boolean;
	/** Whether another run of the read has already completed. */
	isCancelled: boolean;
	/** Closes the connection of the attempt in progress. */
	closeConnection: () => void;
};

/** Statements around a read on the primary. They keep functions called by the read from writing, since such writes would not wait for confirmation by a majority. */
const readOnlyGuard = {
	before: [serialize.query('SET default_transaction_read_only = on')],
	after: [serialize.query('SET default_transaction_read_only = off')],
};
const withoutGuard: typeof readOnlyGuard = {before: [], after: []};

/** Maximum number of parallel runs of a hedged read. */
const maximumParallelReads = 2;

/** Response, or undefined if the member rejected the statement as a write. */
type ReadResult = ExecuteResponse | undefined;

/** Runs reads outside transactions, and statements that open a read-only transaction. */
export class ReadExecutor {
	constructor(private readonly context: ExecutionContext) {}

	/** Runs the read on an eligible member; resolves with undefined if the member rejected it as a write. Rejects with a BuckthornhitchError. */
	async execute(request: PoolRequest): Promise<ReadResult> {
		const requiredPosition = await this.#determinePosition(request);
		return request.transactionId === null ? this.#executeHedged(request, requiredPosition) : this.#executeWithRetries(request, createProgress(requiredPosition));
	}

	/** Runs a hedged read: if a response is late, the read also runs on another member, because the connection may have stopped responding permanently. The first response wins. */
	async #executeHedged(request: PoolRequest, requiredPosition: LogPosition | undefined): Promise<ReadResult> {
		const {retryBudget, metrics, database} = this.context;
		return new Promise((resolve, reject) => {
			const runs: ReadProgress[] = [];
			let failures = 0;
			const start = (failedMembers: readonly string[]): void => {
				const progress = createProgress(requiredPosition, failedMembers, member => {
					if (runs.length < maximumParallelReads && retryBudget.tryRetry()) {
						metrics.retries.inc({database});
						start([member]);
					}
				});
				runs.push(progress);
				void runOnce(progress);
			};

			const runOnce = async (progress: ReadProgress): Promise<void> => {
				try {
					resolve(await this.#executeWithRetries(request, progress));
					for (const other of runs.filter(run => run !== progress)) {
						cancelRead(other);
					}
				} catch (error) {
					failures++;
					if (failures === runs.length) {
						const mayHaveRun = runs.some(run => run.mayHaveRun);
						reject(mayHaveRun ? createOutcomeUnknownError(toBuckthornhitchError(error).message) : toBuckthornhitchError(error));
					}
				}
			};

			start([]);
		});
	}

	async #executeWithRetries(request: PoolRequest, progress: ReadProgress): Promise<ReadResult> {
		for (;;) {
			const grant = await this.#admit(request, progress);
			let wasSent = false;
			try {
				return await this.#runOnMember(request, grant, progress);
			} catch (error) {
				wasSent = this.#handleFailure(error, grant, progress);
			} finally {
				grant.releaseSlot();
				this.context.dispatch();
			}

			await this.#prepareRetry(wasSent, progress);
		}
	}

	async #determinePosition(request: PoolRequest): Promise<LogPosition | undefined> {
		if (request.maximumAge !== null && request.maximumAge > 0) {
			return undefined;
		}

		return request.neededPoint ?? this.#waitForNewFloor(request);
	}

	/** Waits for a poll of a majority of members that began after the request arrived and returns the log position of its freshness floor. A member that has applied this position has every write that was acknowledged before the poll began. */
	async #waitForNewFloor(request: PoolRequest): Promise<LogPosition> {
		const {board, clock} = this.context;
		const floorSinceArrival = () => lowestFloorSince(board.read('floors'), request.arrivedAt);
		const condition = (): boolean => floorSinceArrival() !== undefined;
		const hasFloor = await this.#countAsWaiting(async () => waitForCondition({board, names: ['floors'], condition}, clock, request.deadlineAt - clock.now()));
		const floor = floorSinceArrival();
		if (!hasFloor || !floor) {
			throw new BuckthornhitchError('noFreshMember', 'No majority of members answered in time.');
		}

		return floor.logPosition;
	}

	async #admit(request: PoolRequest, progress: ReadProgress): Promise<MemberGrant> {
		const {clock, limits, dispatch} = this.context;
		const hasMaximumAge = progress.requiredPosition === undefined;
		const queue = hasMaximumAge ? this.context.boundedStalenessQueue : this.context.readQueue;
		const startedAt = clock.now();
		const immediateGrant = queue.length === 0 ? this.#tryAdmit(request, progress, startedAt) : undefined;
		if (immediateGrant) {
			return immediateGrant;
		}

		const slotWaitEnd = startedAt + ((request.deadlineAt - startedAt) / 2);
		const cancels = [startedAt + limits().replicaWait, slotWaitEnd].map(at => clock.schedule(at - startedAt, dispatch));
		try {
			const waitInQueue = async (): Promise<MemberGrant> => queue.enter({
				attempt: () => this.#tryAdmit(request, progress, startedAt),
				deadlineAt: request.deadlineAt,
				createDeadlineError: () => this.#createDeadlineError(request, progress),
			});
			// A bounded-staleness read with a freshness floor within its maximum age waits only for a slot. It is not counted as waiting, because extra polls would not make a slot available sooner.
			return await (hasMaximumAge && this.#positionForMaximumAge(request, startedAt) ? waitInQueue() : this.#countAsWaiting(waitInQueue));
		} finally {
			for (const cancel of cancels) {
				cancel();
			}
		}
	}

	/** Counts the read as waiting during the action; the monitor polls the members more often while any read waits. */
	async #countAsWaiting<Result>(action: () => Promise<Result>): Promise<Result> {
		const {board} = this.context;
		board.write('waitingReadCount', board.read('waitingReadCount') + 1);
		try {
			return await action();
		} finally {
			board.write('waitingReadCount', board.read('waitingReadCount') - 1);
		}
	}

	#tryAdmit(request: PoolRequest, progress: ReadProgress, startedAt: Milliseconds): MemberGrant | undefined {
		const {clock, limits, connectionsTo, slots} = this.context;
		if (progress.isCancelled) {
			throw new BuckthornhitchError('deadlinePassed', 'Another run of the read was faster.');
		}

		const now = clock.now();
		const neededPoint = progress.requiredPosition ?? this.#positionForMaximumAge(request, now);
		if (!neededPoint) {
			return undefined;
		}

		const candidates = this.#listCandidates(now);
		const member = selectReadMember(candidates, {
			neededPoint,
			localDataCentre: this.context.dataCentre,
			replicaWaitElapsed: now - startedAt >= limits().replicaWait,
			slotWaitElapsed: now - startedAt >= (request.deadlineAt - startedAt) / 2,
			failedMembers: progress.failedMembers,
		});
		const selected = candidates.find(({status}) => status.member === member);
		const connections = selected && connectionsTo(selected.status.member);
		return selected && connections && {
			status: selected.status, isPrimary: selected.isPrimary, connections, releaseSlot: slots.take(selected.status.member, 'read'),
		};
	}

	#positionForMaximumAge(request: PoolRequest, now: Milliseconds): LogPosition | undefined {
		return lowestFloorSince(this.context.board.read('floors'), now - (request.maximumAge ?? 0))?.logPosition;
	}

	#listCandidates(now: Milliseconds): readonly ReadCandidate[] {
		const {board, slots} = this.context;
		const primary = findPrimary(board)?.member;
		const candidates: ReadCandidate[] = [];
		for (const {member, dataCentre, leaving} of board.read('members').values()) {
			const status = board.read('observations').get(member)?.status;
			if (!status || leaving || !mayUseMember(board, member, now)) {
				continue;
			}

			const isPrimary = member === primary || status.role === 'primary';
			const usage = slots.usageOf(member);
			candidates.push({
				status, dataCentre, isPrimary, freeSlots: slots.freeSlots(member, 'read', isPrimary), slotUtilization: (usage.reads + usage.writes) / Math.max(1, usage.slots),
			});
		}

		return candidates;
	}

	#createDeadlineError(request: PoolRequest, progress: ReadProgress): BuckthornhitchError {
		if (progress.mayHaveRun) {
			return createOutcomeUnknownError('The read was sent and its answer was lost.');
		}

		const requiredPosition = progress.requiredPosition ?? this.#positionForMaximumAge(request, this.context.clock.now());
		return requiredPosition
			? new BuckthornhitchError('deadlinePassed', 'No eligible member had a free slot in time.')
			: new BuckthornhitchError('noFreshMember', 'No majority of members answered within the stated age.');
	}

	async #runOnMember(request: PoolRequest, grant: MemberGrant, progress: ReadProgress): Promise<ReadResult> {
		const {board, clock, limits, timeouts} = this.context;
		const connection = await grant.connections.acquire(request.deadlineAt);
		if (!mayUseMember(board, grant.status.member, clock.now())) {
			grant.connections.release(connection);
			throw new BuckthornhitchError('linkNotSent', `The lease of ${grant.status.member} lapsed.`);
		}

		const includesStatusQuery = progress.requiredPosition !== undefined && request.transactionId === null;
		const askedAt = clock.now();
		progress.closeConnection = () => {
			grant.connections.discard(connection, 'read: no answer while another member has answered');
		};

		const cancelSlowTimer = clock.schedule(timeouts().silence, () => {
			progress.onSlowResponse(grant.status.member);
		});
		try {
			const requestParts = includesStatusQuery ? [request.bytes, statusQueryBytes] : [request.bytes];
			const guard = grant.isPrimary && request.transactionId === null ? readOnlyGuard : withoutGuard;
			const messages = [...guard.before, ...requestParts, ...guard.after];
			const responses = await connection.exchange(Buffer.concat(messages), messages.length, limits().statementTimeout);
			const [bytes, statusBytes] = responses.slice(guard.before.length, guard.before.length + requestParts.length);
			const status = statusBytes ? this.#parseAndRecordStatus(statusBytes, askedAt) : grant.status;
			const requiredPosition = progress.requiredPosition ?? this.#positionForMaximumAge(request, askedAt) ?? initialLogPosition;
			const position = knownAppliedLogPosition(status, requiredPosition);
			return this.#completeRead(request, grant, connection, {bytes, position});
		} catch (error) {
			grant.connections.discard(connection, `read: ${toBuckthornhitchError(error).detail}`);
			throw error;
		} finally {
			cancelSlowTimer();
			progress.closeConnection = () => undefined;
		}
	}

	#parseAndRecordStatus(bytes: Buffer, askedAt: Milliseconds): MemberStatus {
		const status = parseMemberStatus(readTextRows(splitBackendMessages(bytes))[0]);
		this.context.recordObservation({askedAt, status});
		return status;
	}

	#completeRead(request: PoolRequest, grant: MemberGrant, connection: PooledBackendConnection, {bytes, position}: {readonly bytes: Buffer; readonly position: LogPosition}): ReadResult {
		const {metrics, database} = this.context;
		const {member} = grant.status;
		const role = grant.isPrimary ? 'primary' : 'replica';
		const {transactionStatus} = connection;
		if (transactionStatus === 'idle') {
			grant.connections.release(connection);
			if (wasRejectedAsReadOnly(bytes)) {
				return undefined;
			}
		} else if (request.transactionId === null) {
			throw createOutcomeUnknownError('The statement opened a transaction outside of a transaction block.');
		} else {
			this.#keepTransaction(request, grant, connection);
		}

		metrics.reads.inc({database, role, stated_age: String(request.maximumAge !== null)});
		return buildExecuteResponse(bytes, transactionStatus, {member, role}, position);
	}

	#keepTransaction(request: PoolRequest, grant: MemberGrant, connection: PooledBackendConnection): void {
		this.context.transactions.add({
			id: request.transactionId ?? '',
			member: grant.status.member,
			role: grant.isPrimary ? 'primary' : 'replica',
			term: grant.status.primaryTerm,
			connection,
			connections: grant.connections,
			linkId: request.linkId,
			onEnd: () => undefined,
			isBusy: false,
		});
	}

	/** Records a failed attempt and returns whether the read was sent; rethrows a failure that a retry cannot resolve. */
	#handleFailure(error: unknown, grant: MemberGrant, progress: ReadProgress): boolean {
		const failure = toBuckthornhitchError(error);
		if (failure.codeName === 'deadlinePassed') {
			throw progress.mayHaveRun ? createOutcomeUnknownError('The read was sent and its answer was lost.') : failure;
		}

		if (failure.codeName === 'outcomeUnknown' || progress.isCancelled) {
			throw failure;
		}

		this.context.pollMember(grant.status.member);
		progress.failedMembers.add(grant.status.member);
		return failure.codeName !== 'linkNotSent';
	}

	/** Prepares the next attempt. Only an attempt that was sent uses the retry budget; one that found no connection has put no load on a member. */
	async #prepareRetry(wasSent: boolean, progress: ReadProgress): Promise<void> {
		const {retryBudget, metrics, database, clock} = this.context;
		if (!wasSent) {
			await clock.sleep(nextAttemptDelay);
			return;
		}

		progress.mayHaveRun = true;
		if (!retryBudget.tryRetry()) {
			throw createOutcomeUnknownError('The read was sent, its answer was lost, and the retry budget is spent.');
		}

		metrics.retries.inc({database});
	}
}

function createProgress(requiredPosition: LogPosition | undefined, failedMembers: readonly string[] = [], onSlowResponse: ReadProgress['onSlowResponse'] = () => undefined): ReadProgress {
	return {
		failedMembers: new Set(failedMembers), requiredPosition, onSlowResponse, mayHaveRun: false, isCancelled: false, closeConnection: () => undefined,
	};
}

function cancelRead(progress: ReadProgress): void {
	progress.isCancelled = true;
	progress.closeConnection();
}

/** Returns the pool to which requests should be redirected while this pool may use no member: a lease holder, otherwise the owner. Returns undefined if there is none or this pool may use a member. */
export function findRedirectTarget(context: ExecutionContext): string | undefined {
	const members = [...context.board.read('members').keys()];
	if (members.some(member => mayUseMember(context.board, member, context.clock.now()))) {
		return undefined;
	}

	const holder = members.map(member => findOtherLeaseHolder(context, member)).find(name => name !== undefined);
	const {rank, order} = context.board.read('ownership');
	return holder ?? (rank === 0 || order.length === 0 ? undefined : order[0]);
}
