import {type BackendServer} from '../backend-directory/types.js';
import {type LogPosition} from '../database-group/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	MemberConnector, MemberConnection, MemberRefusedError, type MemberTarget,
} from '../statement/member-connection.js';
import {ReplicationStatusParser, type ReplicationStatus} from '../statement/replication-status.js';
import {
	type MemberStatement, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';

/** Statements that a member answers with its replication status. */
const statusKinds: ReadonlySet<MemberStatement['kind']> = new Set(['status', 'pause', 'resume', 'demote']);

const dataKinds: ReadonlySet<MemberStatement['kind']> = new Set(['read', 'write', 'execute', 'commit']);

/** Statement that a fake member received. */
export type ReceivedStatement = {
	/** Number of the connection that it was received on. */
	readonly connectionNumber: number;
	readonly statement: MemberStatement;
	/** Transaction state of the connection when the statement was received. */
	readonly transaction: TransactionState;
};

/** In-memory member whose replies are controlled by tests. */
export class FakeMemberServer {
	readonly received: ReceivedStatement[] = [];
	role: 'primary' | 'replica' = 'replica';
	point: LogPosition = {term: 1, position: 1};
	/** Highest term that the member knows, if it is later than the term of its last log entry. */
	knownTerm = 0;
	/** Lowest term from which the member accepts log entries. */
	minimumAcceptedTerm = 0;
	/** Reasons with which the next data statements are refused, in order. */
	readonly refusals: RefusalReason[] = [];
	/** Kinds of statements that are refused as failed. */
	readonly refusedKinds = new Set<MemberStatement['kind']>();
	/** Reason with which statements that set up a session are refused, if they are. */
	setupRefusal: RefusalReason | undefined;
	/** Kinds of statements whose replies are lost. The next reply on the connection is then taken for the missing one, since replies are matched by their order. */
	readonly lostReplies = new Set<MemberStatement['kind']>();
	/** Whether new connections are refused because of the connection limit. */
	refusesConnections = false;
	/** Whether the member sends no replies and accepts no connections. */
	isUnresponsive = false;
	/** Promise that new connections wait for. */
	connectBarrier: Promise<void> = Promise.resolve();
	/** Whether replies to statements of the held kinds are held until `releaseReplies` is called. */
	holdsReplies = false;
	/** Kinds of statements whose replies may be held; by default those that occupy a slot. */
	heldKinds: ReadonlySet<MemberStatement['kind']> = dataKinds;
	readonly connections: FakeMemberConnection[] = [];
	readonly #heldReplies: Array<() => void> = [];

	constructor(readonly server: BackendServer) {}

	/** Kinds of the statements received so far. */
	get receivedKinds(): readonly string[] {
		return this.received.map(({statement}) => statement.kind);
	}

	/** Status that the member reports. */
	get status(): ReplicationStatus {
		return {
			role: this.role, term: Math.max(this.knownTerm, this.point.term), received: this.point, minimumAcceptedTerm: this.minimumAcceptedTerm,
		};
	}

	/** Sends the held replies. */
	releaseReplies(): void {
		this.holdsReplies = false;
		for (const sendReply of this.#heldReplies.splice(0)) {
			sendReply();
		}
	}

	/** Runs the action now, or when held replies are released. */
	runWhenReleased(action: () => void): void {
		if (this.holdsReplies) {
			this.#heldReplies.push(action);
		} else {
			action();
		}
	}
}

/** Connection to a fake member. */
export class FakeMemberConnection extends MemberConnection {
	#isClosed = false;
	#transaction: TransactionState = 'idle';
	/** Whether the open transaction, if there is one, was begun as a write transaction. */
	#isWriteTransaction = false;
	readonly #listeners: Array<() => void> = [];
	/** Statements without a reply, oldest first. */
	readonly #pendingReplies: Array<(reply: StatementReply) => void> = [];

	constructor(private readonly member: FakeMemberServer, private readonly connectionNumber: number, readonly customer?: string) {
		super();
	}

	override get isClosed(): boolean {
		return this.#isClosed;
	}

	override async execute(statement: MemberStatement): Promise<StatementReply> {
		if (this.#isClosed) {
			throw new BuckthornhitchError('linkNotSent', this.member.server.id);
		}

		this.member.received.push({connectionNumber: this.connectionNumber, statement, transaction: this.#transaction});
		if (this.member.isUnresponsive) {
			return new Promise(() => {
				// The member never replies.
			});
		}

		const isDataStatement = dataKinds.has(statement.kind);
		return new Promise(resolve => {
			this.#pendingReplies.push(resolve);
			const sendReply = (): void => {
				const reply = this.#createReply(statement, isDataStatement);
				if (!this.member.lostReplies.has(statement.kind)) {
					this.#pendingReplies.shift()!(reply);
				}
			};

			if (this.member.heldKinds.has(statement.kind)) {
				this.member.runWhenReleased(sendReply);
			} else {
				sendReply();
			}
		});
	}

	override close(): void {
		this.#isClosed = true;
		for (const listener of this.#listeners.splice(0)) {
			listener();
		}
	}

	override onClosed(listener: () => void): void {
		this.#listeners.push(listener);
	}

	#createReply(statement: MemberStatement, isDataStatement: boolean): StatementReply {
		const reason = this.#refusalOf(statement, isDataStatement);
		if (reason) {
			return {
				outcome: 'refused', reason, detail: this.member.server.id, transaction: this.#transaction, point: this.member.point,
			};
		}

		this.#applyStatement(statement);
		const rows = statusKinds.has(statement.kind) ? [JSON.stringify(this.member.status)] : [];
		return {
			outcome: 'done', rows, signature: `signed ${this.member.server.id}`, transaction: this.#transaction, point: this.member.point,
		};
	}

	#refusalOf(statement: MemberStatement, isDataStatement: boolean): RefusalReason | undefined {
		const refused = isDataStatement ? this.member.refusals.shift() : undefined;
		if (refused) {
			return refused;
		}

		if (this.member.setupRefusal && (statement.kind === 'set' || statement.kind === 'prepare')) {
			return this.member.setupRefusal;
		}

		if (this.member.refusedKinds.has(statement.kind)) {
			return 'failed';
		}

		const after = 'after' in statement ? statement.after : undefined;
		if (after && (after.term !== this.member.point.term || after.position > this.member.point.position)) {
			return 'lagging';
		}

		// A member that has lost its role refuses every statement of a write transaction.
		const isInWriteTransaction = isDataStatement && this.#transaction === 'open' && this.#isWriteTransaction;
		const writes = statement.kind === 'write' || isInWriteTransaction || (statement.kind === 'begin' && !statement.isReadOnly);
		return writes && this.member.role === 'replica' ? 'readOnly' : undefined;
	}

	#applyStatement(statement: MemberStatement): void {
		if (statement.kind === 'begin') {
			this.#transaction = 'open';
			this.#isWriteTransaction = !statement.isReadOnly;
		} else if (statement.kind === 'commit' || statement.kind === 'rollback') {
			this.#transaction = 'idle';
		}

		if (statement.kind === 'pause' && this.member.role === 'replica' && statement.term > this.member.status.term) {
			this.member.minimumAcceptedTerm = statement.term;
		} else if (statement.kind === 'resume') {
			this.member.minimumAcceptedTerm = 0;
		} else if (statement.kind === 'demote' && statement.term > this.member.status.term) {
			this.member.role = 'replica';
		}

		if (statement.kind === 'write') {
			this.member.point = {term: Math.max(1, this.member.point.term), position: this.member.point.position + 1};
		}
	}
}

/** Opens connections to fake members. */
export class FakeMemberConnector extends MemberConnector {
	readonly #members: Map<string, FakeMemberServer>;
	#connectionCount = 0;

	constructor(members: readonly FakeMemberServer[]) {
		super();
		this.#members = new Map(members.map(member => [member.server.id, member]));
	}

	/** Accepts connections to a further member. */
	add(member: FakeMemberServer): void {
		this.#members.set(member.server.id, member);
	}

	override async connect({id, customer}: MemberTarget): Promise<MemberConnection> {
		const member = this.#members.get(id);
		if (!member || member.isUnresponsive) {
			throw new BuckthornhitchError('memberUnreachable', id);
		}

		if (member.refusesConnections) {
			throw new MemberRefusedError('connectionLimit', id);
		}

		await member.connectBarrier;
		const memberConnection = new FakeMemberConnection(member, ++this.#connectionCount, customer);
		member.connections.push(memberConnection);
		return memberConnection;
	}
}

/** Parses the status of a fake member. */
export class FakeReplicationStatusParser extends ReplicationStatusParser {
	override parse(rows: readonly string[]): ReplicationStatus | undefined {
		return rows.length === 0 ? undefined : JSON.parse(rows[0]) as ReplicationStatus;
	}
}
