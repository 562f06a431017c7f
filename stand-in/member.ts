import {type Buffer} from 'node:buffer';
import {createServer, type Server, type Socket} from 'node:net';
import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {SystemClock} from '../source/clock/system-clock.js';
import {type MemberStatus} from '../source/database-group/types.js';
import {parseAddress, type Address} from '../source/links/address.js';
import {Announcer, type AnnouncerOptions} from './announcer.js';
import {ClientSession, type SessionHost} from './client-session.js';
import {calledFunction} from './expressions.js';
import {MemberLease} from './member-lease.js';
import {typeIds, type ResultColumn} from './postgres-messages.js';
import {ReplicatedState} from './replicated-state.js';
import {type SessionTransaction} from './session-transaction.js';
import {SlotGate} from './slot-gate.js';
import {SqlError} from './sql-error.js';
import {
	describeStatement, executeStatement, isWrite, type Result,
} from './statement-executor.js';
import {type ParsedStatement} from './statement-parser.js';
import {type Transaction, type Value} from './tables.js';

/** Settings of a stand-in member. */
export type StandInMemberOptions = {
	readonly name: string;
	/** Address to listen on; port 0 takes a free one, which later starts keep. */
	readonly address?: Address;
	readonly slots?: number;
	readonly connectionLimit?: number;
	/** Time that setting up a connection takes. */
	readonly connectDelay?: Milliseconds;
	/** Time that every statement takes. */
	readonly serviceTime?: Milliseconds;
	readonly receiveDelay?: Milliseconds;
	readonly applyDelay?: Milliseconds;
	/** Folder of the synced files; without one the log is kept in memory and survives stop and start. */
	readonly dataFolder?: string;
	/** Entries that the member announces itself to. */
	readonly announcement?: AnnouncerOptions;
	readonly clock?: Clock;
};

const holderNamePrefix = 'buckthornhitch/';

const statusColumns: readonly ResultColumn[] = Object.entries({
	member: 'text', promised_term: 'int8', log_term: 'int8', received_position: 'int8', applied_position: 'int8', role: 'text', primary_term: 'int8', primary_member: 'text',
	accepting_writes: 'boolean', slots: 'int8', connection_limit: 'int8', connections: 'int8', lease_holder: 'text', lease_remaining: 'int8',
} as const).map(([name, type]) => ({name, typeId: typeIds[type]}));

/** Backend server of a database group that speaks the PostgreSQL protocol, for tests, measurements and the demonstration. */
export class StandInMember implements SessionHost {
	connectDelay: Milliseconds;
	serviceTime: Milliseconds;
	receiveDelay: Milliseconds;
	applyDelay: Milliseconds;
	/** Most connections open at once so far. */
	maximumConnections = 0;
	/** Number of statements received, without group functions. */
	statementsReceived = 0;
	readonly #clock: Clock;
	readonly #gate: SlotGate;
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
		this.#gate = new SlotGate(this.#slots);
		this.#lease = new MemberLease(this.#clock);
		this.#state = new ReplicatedState(options.name, this.#clock, this, options.dataFolder);
		this.#announcer = options.announcement && new Announcer(options.announcement, options.name, this.#clock);
	}

	get name(): string {
		return this.options.name;
	}

	/** Address that the member listens on; known once it has started. */
	get address(): Address {
		return this.#address;
	}

	get maximumSlotsInUse(): number {
		return this.#gate.maximumInUse;
	}

	get #slots(): number {
		return this.options.slots ?? 3;
	}

	get #connectionLimit(): number {
		return this.options.connectionLimit ?? 45;
	}

	/** Opens the address and resumes the role that the log records. Rejects when the address is in use. */
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

	/** Closes all connections at once, as a crash does; what is durable stays. */
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

	/** Announces that the member asks for no new work; it goes on serving. */
	async leave(): Promise<void> {
		await this.#announcer?.leave(this.#address);
	}

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

	/** Calls a group function. Throws 55000 when the member refuses, 42883 for an unknown name. */
	callGroupFunction(name: string, values: readonly Value[]): MemberStatus {
		const [first, second, third] = values;
		const calls: Readonly<Record<string, () => void>> = {
			group_status: () => undefined,
			group_lease: () => {
				this.#closeConnectionsOf(this.#lease.grant(String(first), Number(second)));
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
		if (!(name in calls)) {
			throw new SqlError('42883', `function ${name} does not exist`);
		}

		calls[name]();
		return this.status();
	}

	async admit(session: ClientSession): Promise<void> {
		if (this.#sessions.size >= this.#connectionLimit) {
			throw new SqlError('53300', 'sorry, too many clients already');
		}

		this.#sessions.add(session);
		this.maximumConnections = Math.max(this.maximumConnections, this.#sessions.size);
		if (this.connectDelay > 0) {
			await this.#clock.sleep(this.connectDelay);
		}
	}

	forget(session: ClientSession): void {
		this.#sessions.delete(session);
	}

	beginTransaction(): Transaction {
		return this.#state.beginTransaction();
	}

	commit(transaction: Transaction): void {
		this.#state.commit(transaction.term, transaction.changes());
	}

	describe(statement: ParsedStatement, transaction: Transaction): readonly ResultColumn[] | undefined {
		return calledFunction(statement)?.name.startsWith('group_') ? statusColumns : describeStatement(statement, transaction);
	}

	async execute(statement: ParsedStatement, values: readonly Value[], transaction: SessionTransaction): Promise<Result> {
		const call = calledFunction(statement);
		if (call?.name.startsWith('group_')) {
			return statusResult(this.callGroupFunction(call.name, call.values(values)));
		}

		this.statementsReceived++;
		const sleepTime = call?.name === 'pg_sleep' ? Number(call.values(values)[0]) * 1000 : 0;
		return this.#gate.run(async () => {
			if (this.serviceTime + sleepTime > 0) {
				await this.#clock.sleep(this.serviceTime + sleepTime);
			}

			transaction.assertOpen();
			return this.#executeNow(statement, values, transaction);
		});
	}

	serveFollower(socket: Socket, received: Buffer): void {
		this.#state.serveFollower(socket, received);
	}

	#executeNow(statement: ParsedStatement, values: readonly Value[], {current, isReadOnly}: SessionTransaction): Result {
		if (['begin', 'start transaction', 'commit', 'rollback'].includes(statement.type)) {
			return {tag: statement.type.toUpperCase(), rows: []};
		}

		if (isWrite(statement)) {
			this.#state.assertWritable(current.term);
			if (isReadOnly) {
				throw new SqlError('25006', 'cannot execute a write in a read-only transaction');
			}
		}

		return executeStatement(statement, current, values);
	}

	#closeConnectionsOf(holder: string | undefined): void {
		for (const session of this.#sessions) {
			if (holder !== undefined && session.applicationName === holderNamePrefix + holder) {
				session.terminate();
			}
		}
	}
}

function statusResult(status: MemberStatus): Result {
	const values = Object.values({...status, acceptingWrites: status.acceptingWrites ? 't' : 'f'});
	return {tag: 'SELECT 1', columns: statusColumns, rows: [values]};
}
