import {AdmissionQueue} from '../admission/admission-queue.js';
import {SlidingWindowRetryBudget} from '../admission/sliding-window-retry-budget.js';
import {SlotTable} from '../admission/slot-table.js';
import {Controller} from '../blackboard/blackboard.js';
import {waitForCondition} from '../blackboard/wait-for-condition.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type DatabaseConfiguration, type Limits, type Timeouts} from '../configuration/types.js';
import {createGroupBlackboard, mayUseMember, type GroupBlackboard} from '../database-group/group-state.js';
import {type MemberClientFactory} from '../database-group/member-client.js';
import {MonitorController} from '../database-group/monitor-controller.js';
import {GroupPromotionController} from '../database-group/group-promotion-controller.js';
import {type Logger} from '../observability/logger.js';
import {type BackendConnector} from '../postgres-protocol/backend-connection.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Timeline} from '../timeline/timeline.js';
import {ConnectionTable} from './connection-table.js';
import {
	findPrimary, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {FailoverGapController} from './failover-gap-controller.js';
import {
	type AbandonRequest, type AbandonResponse, type ExecuteRequest, type ExecuteResponse,
} from './messages.js';
import {type PoolMetrics} from './pool-metrics.js';
import {findRedirectTarget, ReadExecutor} from './read-executor.js';
import {IdempotentRequestExecutor} from './idempotent-request-executor.js';
import {RequestRetentionController} from './request-retention-controller.js';
import {opensTransaction} from './statement-text.js';
import {TransactionExecutor} from './transaction-executor.js';
import {TransactionTable} from './transaction-table.js';
import {WriteConfirmation} from './write-confirmation.js';
import {WriteExecutor} from './write-executor.js';

/** Dependencies and settings of a DatabaseService. */
export type DatabaseServiceOptions = {
	readonly configuration: () => DatabaseConfiguration;
	readonly poolName: string;
	readonly dataCentre: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly connector: BackendConnector;
	readonly clients: MemberClientFactory;
	readonly limits: () => Limits;
	readonly timeouts: () => Timeouts;
	readonly metrics: PoolMetrics;
	readonly timeline: Timeline;
	readonly logger: Logger;
};

/** Number of waiting reads that a dispatch tries on the primary. */
const primaryAttemptsPerDispatch = 4;

/** State of the handover of a database. While finishing, no new transaction is accepted; while releasing, no new request at all. */
type ServiceState = 'serving' | 'finishing' | 'releasing';

/** Serves one database: runs its controllers and executors and holds its queues, connections and transactions. */
export class DatabaseService extends Controller {
	readonly name: string;
	readonly board: GroupBlackboard;
	readonly promotion: GroupPromotionController;
	readonly context: ExecutionContext;
	readonly retention: RequestRetentionController;
	readonly #monitor: MonitorController;
	readonly #connections: ConnectionTable;
	readonly #failoverGap: FailoverGapController;
	readonly #readExecutor: ReadExecutor;
	readonly #writeExecutor: WriteExecutor;
	readonly #transactionExecutor: TransactionExecutor;
	readonly #cancels: Cancel[] = [];
	#state: ServiceState = 'serving';
	/** Pool to which requests are redirected during a handover; undefined when this process is shutting down. */
	#successor: string | undefined;
	#requestsInProgress = 0;
	/** Requests in progress that belong to a transaction. A request that opens one is counted here before the transaction is in the table. */
	#transactionRequestsInProgress = 0;
	/** Called once, when the next request or transaction ends. */
	readonly #completionListeners: Array<() => void> = [];

	constructor(private readonly options: DatabaseServiceOptions) {
		super();
		const {configuration, clock, random, timeouts, timeline, logger, clients, metrics} = options;
		this.name = configuration().name;
		this.board = createGroupBlackboard(configuration().memberCount);
		const sharedOptions = {
			database: this.name, board: this.board, clock, random, timeouts, timeline, logger,
		};
		this.#monitor = new MonitorController({...sharedOptions, holder: options.poolName, clients});
		this.promotion = new GroupPromotionController({...sharedOptions, monitor: this.#monitor});
		this.#failoverGap = new FailoverGapController({
			...sharedOptions, observeGap: gap => {
				metrics.failoverGap.observe({database: this.name}, gap / 1000);
			},
		});
		this.context = this.#createContext();
		this.#connections = new ConnectionTable({
			...options, board: this.board, database: this.name, slots: this.context.slots, pollMember: this.context.pollMember,
		});
		this.#readExecutor = new ReadExecutor(this.context);
		this.#writeExecutor = new WriteExecutor(this.context, new IdempotentRequestExecutor(this.context));
		this.retention = new RequestRetentionController({
			context: this.context,
			executeWrite: async request => this.#writeExecutor.execute(request),
			recordEvent(kind, detail) {
				timeline.record('pool', kind, configuration().name, detail);
			},
		});
		this.#transactionExecutor = new TransactionExecutor(this.context, this.#writeExecutor);
	}

	override start(): void {
		this.context.writeConfirmation.start();
		this.#connections.start();
		this.#failoverGap.start();
		this.promotion.start();
		this.retention.start();
		this.#monitor.start();
		const dispatch = (): void => {
			this.context.dispatch();
		};

		for (const name of ['observations', 'leases', 'suspects', 'members', 'writesPaused', 'floors'] as const) {
			this.#cancels.push(this.board.watch(name, dispatch));
		}
	}

	override stop(): void {
		for (const cancel of this.#cancels.splice(0)) {
			cancel();
		}

		this.context.transactions.closeAll();
		this.#monitor.stop();
		this.promotion.stop();
		this.retention.stop();
		this.#failoverGap.stop();
		this.#connections.stop();
		this.context.writeConfirmation.stop();
	}

	/** Runs a request of an entry. Rejects with a BuckthornhitchError. */
	async execute(request: ExecuteRequest, linkId: number): Promise<ExecuteResponse> {
		const arrivedAt = this.options.clock.now();
		this.context.retryBudget.countRequest();
		const transactionRequestCount = request.transactionId === null ? 0 : 1;
		this.#transactionRequestsInProgress += transactionRequestCount;
		try {
			return await this.#trackRequest(async () => this.#execute({
				...request, arrivedAt, deadlineAt: arrivedAt + request.deadline, linkId,
			}));
		} finally {
			this.#transactionRequestsInProgress -= transactionRequestCount;
			this.#notifyCompletion();
		}
	}

	/** Records a request id as abandoned, or returns the outcome already recorded for it. Rejects with a BuckthornhitchError. */
	async abandon({requestId, deadline}: AbandonRequest): Promise<AbandonResponse> {
		const deadlineAt = this.options.clock.now() + deadline;
		return this.#trackRequest(async () => {
			this.#checkOwner();
			if (this.#state === 'releasing') {
				throw this.#createHandoverError();
			}

			return this.#writeExecutor.abandon(requestId, deadlineAt);
		});
	}

	/** Hands the database over once its transactions and requests have ended, at the latest after the drain time. The successor is the pool that takes over; undefined when this process is shutting down. */
	async handOver(successor: string | undefined): Promise<void> {
		if (this.#state !== 'serving') {
			return;
		}

		const {clock, limits} = this.options;
		const deadlineAt = clock.now() + limits().drainTime;
		this.#successor = successor;
		this.#setState('finishing');
		await this.#waitUntil(() => this.context.transactions.size === 0 && this.#transactionRequestsInProgress === 0, deadlineAt);
		this.context.transactions.closeAll();
		this.#setState('releasing');
		await this.#waitUntil(() => this.#requestsInProgress === 0, deadlineAt);
		this.board.write('isReleasingLeases', true);
		this.#connections.closeAll('the lease is given back');
		await this.#monitor.releaseLeases();
		if (successor !== undefined) {
			this.board.write('isReleasingLeases', false);
			this.#setState('serving');
		}
	}

	/** Switches the primary role over to the member. Rejects with a BuckthornhitchError. */
	async promote(member: string): Promise<void> {
		this.#checkOwner();
		await this.promotion.switchOver(member);
	}

	/** Whether no request is in progress and no transaction is open. */
	get isIdle(): boolean {
		return this.#requestsInProgress === 0 && this.context.transactions.size === 0;
	}

	/** Returns the number of open connections to the member, without the monitor connection. */
	connectionCount(member: string): number {
		return this.#connections.connectionsTo(member)?.openCount ?? 0;
	}

	/** Resolves with true once a primary accepts writes and this pool may use it, or with false after the timeout. */
	async whenWritable(timeout: Milliseconds): Promise<boolean> {
		const condition = (): boolean => {
			const primary = findPrimary(this.board);
			return Boolean(primary && mayUseMember(this.board, primary.member, this.options.clock.now()));
		};

		return waitForCondition({board: this.board, names: ['observations', 'leases', 'suspects'], condition}, this.options.clock, timeout);
	}

	/** Counts the request as in progress until it settles, and counts a failure in the rejections metric. */
	async #trackRequest<Result>(work: () => Promise<Result>): Promise<Result> {
		this.#requestsInProgress++;
		try {
			return await work();
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			this.context.metrics.rejections.inc({database: this.name, code: String(failure.code)});
			throw failure;
		} finally {
			this.#requestsInProgress--;
			this.#notifyCompletion();
		}
	}

	async #execute(request: PoolRequest): Promise<ExecuteResponse> {
		const {transactions} = this.context;
		const transaction = request.transactionId === null ? undefined : transactions.get(request.transactionId);
		if (transaction) {
			return this.#transactionExecutor.execute(request, transaction);
		}

		this.#checkNewRequest(request);
		if (request.access === 'write') {
			return this.#writeExecutor.execute(request);
		}

		return await this.#readExecutor.execute(request) ?? this.#writeExecutor.execute(request);
	}

	#checkNewRequest(request: PoolRequest): void {
		const {transactionId} = request;
		if (transactionId !== null && (this.context.transactions.wasLost(transactionId) || !opensTransaction(request.bytes))) {
			throw new BuckthornhitchError('transactionLost', 'The pool does not hold this transaction.');
		}

		this.#checkOwner();
		if (this.#state === 'releasing' || (this.#state === 'finishing' && transactionId !== null)) {
			throw this.#createHandoverError();
		}
	}

	#checkOwner(): void {
		const target = findRedirectTarget(this.context);
		if (target !== undefined) {
			throw new BuckthornhitchError('notOwner', target);
		}
	}

	#createHandoverError(): BuckthornhitchError {
		return this.#successor === undefined ? new BuckthornhitchError('draining', '') : new BuckthornhitchError('notOwner', this.#successor);
	}

	#createContext(): ExecutionContext {
		const {clock, limits, timeouts, metrics, poolName, dataCentre} = this.options;
		const queueLength = (): number => limits().queueLength;
		const slots = new SlotTable();
		const readQueue = new AdmissionQueue<MemberGrant>(clock, queueLength);
		const boundedStalenessQueue = new AdmissionQueue<MemberGrant>(clock, queueLength);
		const writeQueue = new AdmissionQueue<MemberGrant>(clock, queueLength);
		return {
			database: this.name,
			poolName,
			dataCentre,
			board: this.board,
			clock,
			slots,
			readQueue,
			boundedStalenessQueue,
			writeQueue,
			writeConfirmation: new WriteConfirmation(this.board, clock),
			transactions: new TransactionTable(() => {
				this.#notifyCompletion();
			}),
			retryBudget: new SlidingWindowRetryBudget(clock),
			metrics,
			limits,
			timeouts,
			connectionsTo: member => this.#connections.connectionsTo(member),
			recordObservation: observation => {
				this.#monitor.observe(observation);
			},
			pollMember: member => {
				this.#monitor.pollNow(member);
			},
			dispatch: () => {
				writeQueue.dispatch();
				readQueue.dispatch(this.#createReadCapacityTest());
				boundedStalenessQueue.dispatch(this.#createReadCapacityTest());
			},
		};
	}

	/** Returns a function that tells whether a dispatch should try the next waiting read. If there are replicas, a read may use the primary only after it has waited for one of them. While only the primary has free slots, a dispatch therefore tries only the `primaryAttemptsPerDispatch` reads that have waited longest. */
	#createReadCapacityTest(): () => boolean {
		const {slots} = this.context;
		const primary = findPrimary(this.board)?.member;
		const now = this.options.clock.now();
		const usable = [...this.board.read('members').values()].filter(({member, leaving}) => !leaving && mayUseMember(this.board, member, now));
		const replicas = usable.filter(({member}) => member !== primary);
		let primaryAttempts = primaryAttemptsPerDispatch;
		return () => replicas.some(({member}) => slots.freeSlots(member, 'read', false) > 0)
			|| (primary !== undefined && slots.freeSlots(primary, 'read', true) > 0 && primaryAttempts-- > 0);
	}

	#setState(state: ServiceState): void {
		this.#state = state;
		const detail = this.#successor === undefined ? state : `${state}, successor ${this.#successor}`;
		this.options.timeline.record('pool', 'handover', this.name, detail);
		this.options.logger.info(`${this.name}: handover: ${detail}`);
	}

	async #waitUntil(condition: () => boolean, deadlineAt: Milliseconds): Promise<void> {
		const {clock} = this.options;
		while (!condition() && clock.now() < deadlineAt) {
			await new Promise<void>(resolve => {
				const cancel = clock.schedule(deadlineAt - clock.now(), resolve);
				this.#completionListeners.push(() => {
					cancel();
					resolve();
				});
			});
		}
	}

	#notifyCompletion(): void {
		for (const listener of this.#completionListeners.splice(0)) {
			listener();
		}
	}
}
