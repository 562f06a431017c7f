import {type Buffer} from 'node:buffer';
import {createServer, type Server, type Socket} from 'node:net';
import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {SystemClock} from '../source/clock/system-clock.js';
import {type MemberStatus} from '../source/database-group/types.js';
import {parseAddress, type Address} from '../source/links/address.js';
import {Announcer, type AnnouncerOptions} from './announcer.js';
import {ClientSession, type SessionHost} from './client-session.js';
import {findFunctionCall} from './expressions.js';
import {MemberLease} from './member-lease.js';
import {typeOids, type ResultColumn} from './postgres-messages.js';
import {ReplicatedState} from './replicated-state.js';
import {type SessionTransaction} from './session-transaction.js';
import {SlotSemaphore} from './slot-semaphore.js';
import {SqlError} from './sql-error.js';
import {
	describeStatement, executeStatement, isWrite, type StatementResult,
} from './statement-executor.js';
import {type ParsedStatement} from './statement-parser.js';
import {type Transaction, type Value} from './tables.js';

/** Settings of a stand-in member. */
export type StandInMemberOptions = {
	readonly name: string;
	/** Address to listen on. With port 0 the first start picks a free port, which later starts reuse. */
	readonly address?: Address;
	/** Maximum number of concurrent statements. */
	readonly slots?: number;
	readonly connectionLimit?: number;
	/** Delay of connection setup. */
	readonly connectDelay?: Milliseconds;
	/** Execution time of every statement. */
	readonly serviceTime?: Milliseconds;
	readonly receiveDelay?: Milliseconds;
	readonly applyDelay?: Milliseconds;
	/** Folder for the files of the log and the durable state, which are synced on every change. Without one both are kept in memory only, where they survive stop and start. */
	readonly dataFolder?: string;
	/** Announcements of the member to entries; none are sent if absent. */
	readonly announcement?: AnnouncerOptions;
	readonly clock?: Clock;
	/** Called for each statement that arrives inside the transaction of another caller, with a description. */
	readonly onMisplacedStatement?: (description: string) => void;
};

/** Text with which a member describes a statement that arrived inside the transaction of another caller. */
export const misplacedStatementText = 'inside the transaction of another caller';

const appNamePrefix = 'buckthornhitch/';

const statusColumns: readonly ResultColumn[] = Object.entries({
	member: 'text', promised_term: 'int8', log_term: 'int8', received_position: 'int8', applied_position: 'int8', role: 'text', primary_term: 'int8', primary_member: 'text',
	accepting_writes: 'boolean', slots: 'int8', connection_limit: 'int8', connections: 'int8', lease_holder: 'text', lease_remaining: 'int8',
} as const).map(([name, type]) => ({name, typeOid: typeOids[type]}));

/** Simulated backend server of a database group with the PostgreSQL protocol, for tests, measurements and the demonstration. */
export class StandInMember implements SessionHost {
	connectDelay: Milliseconds;
	serviceTime: Milliseconds;
	receiveDelay: Milliseconds;
	applyDelay: Milliseconds;
	/** Highest number of connections open at the same time so far. */
	maximumConnections = 0;
	/** Number of statements received so far, not counting calls of the `group_*` functions. */
	statementsReceived = 0;
	/** Number of marked statements that arrived inside the transaction of another caller. They are executed nevertheless, as a backend server would. */
	misplacedStatementCount = 0;
	readonly #clock: Clock;
	readonly #slotSemaphore: SlotSemaphore;
	readonly #lease: MemberLease;
	readonly #state: ReplicatedState;
	readonly #announcer: Announcer | undefined;
	readonly #sessions = new Set<ClientSession>();
	readonly #sockets = new Set<Socket>();
	#server: Server | undefined;
	#address: Address;

	constructor(private readonly options: StandInMemberOptions) {
		this.connectDelay = options.connectDelay ?? 12;
		this.serviceTime = options.serviceTime ?? 0;
		this.receiveDelay = options.receiveDelay ?? 0;
		this.applyDelay = options.applyDelay ?? 0;
		this.#address = options.address ?? '127.0.0.1:0';
		this.#clock = options.clock ?? new SystemClock();
		this.#slotSemaphore = new SlotSemaphore(this.#slots);
		this.#lease = new MemberLease(this.#clock);
		this.#state = new ReplicatedState(options.name, this.#clock, this, options.dataFolder);
		this.#announcer = options.announcement && new Announcer(options.announcement, options.name, this.#clock);
	}

	get name(): string {
		return this.options.name;
	}

	/** Address that the member listens on; known after the start. */
	get address(): Address {
		return this.#address;
	}

	/** Highest number of statements executed at the same time so far. */
	get maximumSlotsInUse(): number {
		return this.#slotSemaphore.maximumInUse;
	}

	get #slots(): number {
		return this.options.slots ?? 3;
	}

	get #connectionLimit(): number {
		return this.options.connectionLimit ?? 45;
	}

	/** Starts listening and resumes the role stored with the log. Rejects if the address is in use. */
	async start(): Promise<void> {
		const {host, port} = parseAddress(this.#address);
		const server = createServer(socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
			// eslint-disable-next-line no-new
			new ClientSession(socket, this);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		const bound = server.address();
		this.#address = `${host}:${typeof bound === 'object' && bound ? bound.port : port}`;
		this.#server = server;
		this.#state.start();
		this.#announcer?.start(this.#address);
	}

	/** Closes all connections at once, as a crash does. The log and the durable state stay. */
	async stop(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			if (this.#server) {
				this.#server.close(() => {
					resolve();
				});
			} else {
				resolve();
			}
		});
		this.#server = undefined;
		this.#announcer?.stop();
		this.#state.stop();
		this.#lease.clear();
		for (const session of this.#sessions) {
			session.terminate();
		}

		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await closed;
	}

	/** Announces that the member is leaving. It still executes statements. */
	async leave(): Promise<void> {
		await this.#announcer?.leave(this.#address);
	}

	/** Returns the status as `group_status()` does. */
	status(): MemberStatus {
		const {log, appliedPosition, isPrimary, isAcceptingWrites} = this.#state;
		return {
			member: this.name,
			promisedTerm: log.state.promisedTerm,
			logTerm: log.lastTerm,
			receivedPosition: log.length,
			appliedPosition,
			role: isPrimary ? 'primary' : 'replica',
			primaryTerm: log.state.primaryTerm,
			primaryMember: log.state.primaryMember,
			acceptingWrites: isAcceptingWrites,
			slots: this.#slots,
			connectionLimit: this.#connectionLimit,
			connections: this.#sessions.size,
			leaseHolder: this.#lease.holder,
			leaseRemaining: Math.ceil(this.#lease.remaining),
		};
	}

	/** Calls a group function and returns the status after it. Throws 55000 if the member refuses the call and 42883 for an unknown name. */
	callGroupFunction(name: string, values: readonly Value[]): MemberStatus {
		const [first, second, third] = values;
		const groupFunctions: Readonly<Record<string, () => void>> = {
			group_status: () => undefined,
			group_lease: () => {
				this.#terminateSessionsOf(this.#lease.grant(String(first), Number(second)));
			},
			group_release: () => {
				this.#lease.release(String(first));
			},
			group_promise: () => {
				this.#state.promise(Number(first));
			},
			group_promote: () => {
				this.#state.promote(Number(first));
			},
			group_follow: () => {
				this.#state.follow(Number(first), String(second), String(third));
			},
		};
		if (!(name in groupFunctions)) {
			throw new SqlError('42883', `function ${name} does not exist`);
		}

		groupFunctions[name]();
		return this.status();
	}

	async addSession(session: ClientSession): Promise<void> {
		if (this.#sessions.size >= this.#connectionLimit) {
			throw new SqlError('53300', 'sorry, too many clients already');
		}

		this.#sessions.add(session);
		this.maximumConnections = Math.max(this.maximumConnections, this.#sessions.size);
		if (this.connectDelay > 0) {
			await this.#clock.sleep(this.connectDelay);
		}
	}

	removeSession(session: ClientSession): void {
		this.#sessions.delete(session);
	}

	beginTransaction(): Transaction {
		return this.#state.beginTransaction();
	}

	commit(transaction: Transaction): void {
		this.#state.commit(transaction.primaryTerm, transaction.changes());
	}

	describe(statement: ParsedStatement, transaction: Transaction): readonly ResultColumn[] | undefined {
		return findFunctionCall(statement)?.name.startsWith('group_') ? statusColumns : describeStatement(statement, transaction);
	}

	async execute(statement: ParsedStatement, values: readonly Value[], transaction: SessionTransaction): Promise<StatementResult> {
		const call = findFunctionCall(statement);
		if (call?.name.startsWith('group_')) {
			return statusResult(this.callGroupFunction(call.name, call.values(values)));
		}

		this.statementsReceived++;
		const sleepTime = call?.name === 'pg_sleep' ? Number(call.values(values)[0]) * 1000 : 0;
		return this.#slotSemaphore.run(async () => {
			if (this.serviceTime + sleepTime > 0) {
				await this.#clock.sleep(this.serviceTime + sleepTime);
			}

			transaction.assertNotTerminated();
			return this.#executeWithoutDelay(statement, values, transaction);
		});
	}

	recordMisplacedStatement(mark: string, caller: string): void {
		this.misplacedStatementCount++;
		this.options.onMisplacedStatement?.(`a statement of ${mark} arrived ${misplacedStatementText}, ${caller}`);
	}

	serveReplica(socket: Socket, received: Buffer): void {
		this.#state.serveReplica(socket, received);
	}

	#executeWithoutDelay(statement: ParsedStatement, values: readonly Value[], {current, isReadOnly}: SessionTransaction): StatementResult {
		if (['begin', 'start transaction', 'commit', 'rollback'].includes(statement.type)) {
			return {tag: statement.type.toUpperCase(), rows: []};
		}

		if (isWrite(statement)) {
			this.#state.assertWritable(current.primaryTerm);
			if (isReadOnly) {
				throw new SqlError('25006', 'cannot execute a write in a read-only transaction');
			}
		}

		return executeStatement(statement, current, values);
	}

	#terminateSessionsOf(holder: string | undefined): void {
		for (const session of this.#sessions) {
			if (holder !== undefined && session.applicationName === appNamePrefix + holder) {
				session.terminate();
			}
		}
	}
}

function statusResult(status: MemberStatus): StatementResult {
	const values = Object.values({...status, acceptingWrites: status.acceptingWrites ? 't' : 'f'});
	return {tag: 'SELECT 1', columns: statusColumns, rows: [values]};
}
