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
	primaryOf, type ExecutionContext, type MemberGrant, type PoolRequest,
} from './execution-context.js';
import {FailoverGapController} from './failover-gap-controller.js';
import {
	type AbandonRequest, type AbandonResponse, type ExecuteRequest, type ExecuteResponse,
} from './messages.js';
import {type PoolMetrics} from './pool-metrics.js';
import {otherOwner, ReadExecutor} from './read-executor.js';
import {IdempotentRequestExecutor} from './idempotent-request-executor.js';
import {RequestRetentionController} from './request-retention-controller.js';
import {opensTransaction} from './statement-text.js';
import {TransactionExecutor} from './transaction-executor.js';
import {TransactionTable} from './transaction-table.js';
import {WriteConfirmation} from './write-confirmation.js';
import {WriteExecutor} from './write-executor.js';

/** What the service of a database needs. */
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

/** Reads that are tried on the primary each time that something becomes free. */
const primaryAttemptsPerDispatch = 4;

/** Stages of giving a database up: no new transactions while open ones finish, then nothing new. */
type ServiceState = 'serving' | 'finishing' | 'releasing';

/** Serves one database: its controllers, queues, connections and transactions. */
export class DatabaseService extends Controller {
	readonly name: string;
	readonly board: GroupBlackboard;
	readonly promotion: GroupPromotionController;
	readonly context: ExecutionContext;
	readonly retention: RequestRetentionController;
	readonly #monitor: MonitorController;
	readonly #connections: ConnectionTable;
	readonly #gap: FailoverGapController;
	readonly #reads: ReadExecutor;
	readonly #writes: WriteExecutor;
	readonly #transactions: TransactionExecutor;
	readonly #cancels: Cancel[] = [];
	#state: ServiceState = 'serving';
	/** Pool to which requests are sent while this one gives the database up; undefined when the process stops. */
	#successor: string | undefined;
	#inProgress = 0;
	/** Requests under way of a transaction; one that opens a transaction is not in the table yet. */
	#transactionRequests = 0;
	readonly #onIdle: Array<() => void> = [];

	constructor(private readonly options: DatabaseServiceOptions) {
		super();
		const {configuration, clock, random, timeouts, timeline, logger, clients, metrics} = options;
		this.name = configuration().name;
		this.board = createGroupBlackboard(configuration().memberCount);
		const shared = {
			database: this.name, board: this.board, clock, random, timeouts, timeline, logger,
		};
		this.#monitor = new MonitorController({...shared, holder: options.poolName, clients});
		this.promotion = new GroupPromotionController({...shared, monitor: this.#monitor});
		this.#gap = new FailoverGapController({
			...shared, observeGap: gap => {
				metrics.failoverGap.observe({database: this.name}, gap / 1000);
			},
		});
		this.context = this.#createContext();
		this.#connections = new ConnectionTable({
			...options, board: this.board, database: this.name, slots: this.context.slots, checkMember: this.context.checkMember,
		});
		this.#reads = new ReadExecutor(this.context);
		this.#writes = new WriteExecutor(this.context, new IdempotentRequestExecutor(this.context));
		this.retention = new RequestRetentionController({
			context: this.context,
			execute: async request => this.#writes.execute(request),
			record(kind, detail) {
				timeline.record('pool', kind, configuration().name, detail);
			},
		});
		this.#transactions = new TransactionExecutor(this.context, this.#writes);
	}

	override start(): void {
		this.context.confirmation.start();
		this.#connections.start();
		this.#gap.start();
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
		this.#gap.stop();
		this.#connections.stop();
		this.context.confirmation.stop();
	}

	/** Runs a request of an entry. Rejects with a numbered code. */
	async execute(request: ExecuteRequest, linkId: number): Promise<ExecuteResponse> {
		const arrivedAt = this.options.clock.now();
		this.context.retryBudget.countRequest();
		const transactionRequests = request.transactionId === null ? 0 : 1;
		this.#transactionRequests += transactionRequests;
		try {
			return await this.#track(async () => this.#execute({
				...request, arrivedAt, deadlineAt: arrivedAt + request.deadline, linkId,
			}));
		} finally {
			this.#transactionRequests -= transactionRequests;
			this.#notifyIdle();
		}
	}

	/** Records a request id as abandoned, or returns what is recorded under it. Rejects with a numbered code. */
	async abandon({requestId, deadline}: AbandonRequest): Promise<AbandonResponse> {
		const deadlineAt = this.options.clock.now() + deadline;
		return this.#track(async () => {
			this.#checkOwner();
			if (this.#state === 'releasing') {
				throw this.#handoverError();
			}

			return this.#writes.abandon(requestId, deadlineAt);
		});
	}

	/** Gives the database up after its transactions and requests have ended, at the latest after the drain time. The successor is the pool that takes over; undefined when the process stops. */
	async giveUp(successor: string | undefined): Promise<void> {
		if (this.#state !== 'serving') {
			return;
		}

		const {clock, limits} = this.options;
		const until = clock.now() + limits().drainTime;
		this.#successor = successor;
		this.#setState('finishing');
		await this.#whenIdle(() => this.context.transactions.size === 0 && this.#transactionRequests === 0, until);
		this.context.transactions.closeAll();
		this.#setState('releasing');
		await this.#whenIdle(() => this.#inProgress === 0, until);
		this.board.write('isReleasingLeases', true);
		this.#connections.closeAll('the lease is given back');
		await this.#monitor.releaseLeases();
		if (successor !== undefined) {
			this.board.write('isReleasingLeases', false);
			this.#setState('serving');
		}
	}

	/** Makes the member primary as a planned change. Rejects with a numbered code. */
	async promote(member: string): Promise<void> {
		this.#checkOwner();
		await this.promotion.switchOver(member);
	}

	/** Whether no request is under way and no transaction is open. */
	get isIdle(): boolean {
		return this.#inProgress === 0 && this.context.transactions.size === 0;
	}

	/** Number of open connections to members, without monitor connections. */
	connectionCount(member: string): number {
		return this.#connections.of(member)?.open ?? 0;
	}

	/** Resolves with true once a primary takes writes, or with false after the timeout in milliseconds. */
	async whenWritable(timeout: Milliseconds): Promise<boolean> {
		const condition = (): boolean => {
			const primary = primaryOf(this.board);
			return Boolean(primary && mayUseMember(this.board, primary.member, this.options.clock.now()));
		};

		return waitForCondition({board: this.board, names: ['observations', 'leases', 'suspects'], condition}, this.options.clock, timeout);
	}

	/** Counts the work as in progress until it ends, and its failure as a rejection. */
	async #track<Result>(work: () => Promise<Result>): Promise<Result> {
		this.#inProgress++;
		try {
			return await work();
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			this.context.metrics.rejections.inc({database: this.name, code: String(failure.code)});
			throw failure;
		} finally {
			this.#inProgress--;
			this.#notifyIdle();
		}
	}

	async #execute(request: PoolRequest): Promise<ExecuteResponse> {
		const {transactions} = this.context;
		const transaction = request.transactionId === null ? undefined : transactions.get(request.transactionId);
		if (transaction) {
			return this.#transactions.execute(request, transaction);
		}

		this.#checkNewWork(request);
		if (request.access === 'write') {
			return this.#writes.execute(request);
		}

		return await this.#reads.execute(request) ?? this.#writes.execute(request);
	}

	#checkNewWork(request: PoolRequest): void {
		const {transactionId} = request;
		if (transactionId !== null && (this.context.transactions.wasLost(transactionId) || !opensTransaction(request.bytes))) {
			throw new BuckthornhitchError('transactionLost', 'The pool does not hold this transaction.');
		}

		this.#checkOwner();
		if (this.#state === 'releasing' || (this.#state === 'finishing' && transactionId !== null)) {
			throw this.#handoverError();
		}
	}

	#checkOwner(): void {
		const owner = otherOwner(this.context);
		if (owner !== undefined) {
			throw new BuckthornhitchError('notOwner', owner);
		}
	}

	#handoverError(): BuckthornhitchError {
		return this.#successor === undefined ? new BuckthornhitchError('draining', '') : new BuckthornhitchError('notOwner', this.#successor);
	}

	#createContext(): ExecutionContext {
		const {clock, limits, timeouts, metrics, poolName, dataCentre} = this.options;
		const queueLength = (): number => limits().queueLength;
		const slots = new SlotTable();
		const readQueue = new AdmissionQueue<MemberGrant>(clock, queueLength);
		const lookupQueue = new AdmissionQueue<MemberGrant>(clock, queueLength);
		const writeQueue = new AdmissionQueue<MemberGrant>(clock, queueLength);
		return {
			database: this.name,
			poolName,
			dataCentre,
			board: this.board,
			clock,
			slots,
			readQueue,
			lookupQueue,
			writeQueue,
			confirmation: new WriteConfirmation(this.board, clock),
			transactions: new TransactionTable(() => {
				this.#notifyIdle();
			}),
			retryBudget: new SlidingWindowRetryBudget(clock),
			metrics,
			limits,
			timeouts,
			connectionsOf: member => this.#connections.of(member),
			observe: observation => {
				this.#monitor.observe(observation);
			},
			checkMember: member => {
				this.#monitor.pollNow(member);
			},
			dispatch: () => {
				writeQueue.dispatch();
				readQueue.dispatch(this.#readCapacity());
				lookupQueue.dispatch(this.#readCapacity());
			},
		};
	}

	/** Returns a test of whether waiting reads can still be admitted. While only the primary has free slots, just the longest waiting reads are tried, since later ones may not use it yet. */
	#readCapacity(): () => boolean {
		const {slots} = this.context;
		const primary = primaryOf(this.board)?.member;
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

	async #whenIdle(condition: () => boolean, until: Milliseconds): Promise<void> {
		const {clock} = this.options;
		while (!condition() && clock.now() < until) {
			await new Promise<void>(resolve => {
				const cancel = clock.schedule(until - clock.now(), resolve);
				this.#onIdle.push(() => {
					cancel();
					resolve();
				});
			});
		}
	}

	#notifyIdle(): void {
		for (const listener of this.#onIdle.splice(0)) {
			listener();
		}
	}
}
