import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {MemberConnection, MemberConnector, type MemberTarget} from '../statement/member-connection.js';
import {
	type MemberStatement, type RefusalReason, type StatementReply, type TransactionState,
} from '../statement/types.js';

/** Position of the log of all members; no commits happen under these loads. */
const logPosition: LogPosition = {term: 1, position: 1};

/** Capacity of a member. */
export type MemberCapacity = {
	readonly slots: number;
	/** Requests that wait for a slot before the member refuses more as busy. */
	readonly queueLimit: number;
	readonly serviceTime: Milliseconds | (() => Milliseconds);
	/** Time for which opening a connection takes a slot; by default, it takes none. */
	readonly connectTime?: Milliseconds;
};

/** Member whose reads and writes take slots for a time, to play loads on the manual clock. */
export class LoadedMember {
	/** Times at which reads and writes arrived, by their ids. */
	readonly arrivals = new Map<string, Milliseconds>();
	/** Reads and writes that were refused as busy. */
	refused = 0;
	#busySlots = 0;
	readonly #queue: Array<() => void> = [];

	constructor(private readonly clock: Clock, readonly isPrimary: boolean, private readonly capacity: MemberCapacity) {}

	/** Runs a read or a write in a slot, or refuses it when the queue is full. */
	async run(id: string): Promise<RefusalReason | undefined> {
		this.arrivals.set(id, this.clock.now());
		if (this.#queue.length >= this.capacity.queueLimit) {
			this.refused++;
			return 'busy';
		}

		const {serviceTime} = this.capacity;
		await this.#occupySlot(typeof serviceTime === 'number' ? serviceTime : serviceTime());
		return undefined;
	}

	/** Accepts a connection. */
	async accept(): Promise<void> {
		const {connectTime} = this.capacity;
		if (connectTime !== undefined) {
			await this.#occupySlot(connectTime);
		}
	}

	/** Takes a slot for the duration, as soon as one is free. */
	async #occupySlot(duration: Milliseconds): Promise<void> {
		return new Promise(resolve => {
			this.#queue.push(() => {
				this.clock.schedule(duration, () => {
					this.#busySlots--;
					resolve();
					this.#startNext();
				});
			});
			this.#startNext();
		});
	}

	#startNext(): void {
		while (this.#busySlots < this.capacity.slots && this.#queue.length > 0) {
			this.#busySlots++;
			this.#queue.shift()!();
		}
	}
}

class LoadedMemberConnection extends MemberConnection {
	#transaction: TransactionState = 'idle';
	#isClosed = false;

	constructor(private readonly member: LoadedMember) {
		super();
	}

	override get isClosed(): boolean {
		return this.#isClosed;
	}

	override async execute(statement: MemberStatement): Promise<StatementReply> {
		const refused = this.#refusalOf(statement);
		// A statement that is sent before the reply does not change the state in it.
		const state = {transaction: this.#transaction, point: logPosition};
		const reason = await refused;
		if (reason) {
			return {
				outcome: 'refused', reason, detail: '', ...state,
			};
		}

		return {
			outcome: 'done', rows: [], signature: 'signed', ...state,
		};
	}

	override close(): void {
		this.#isClosed = true;
	}

	override onClosed(): void {
		// The members of these loads close no connection.
	}

	async #refusalOf(statement: MemberStatement): Promise<RefusalReason | undefined> {
		if (statement.kind === 'read' || statement.kind === 'write' || statement.kind === 'execute') {
			return this.member.run(statement.id);
		}

		if (statement.kind === 'begin' && !statement.isReadOnly && !this.member.isPrimary) {
			return 'readOnly';
		}

		this.#transaction = statement.kind === 'begin' ? 'open' : 'idle';
		return undefined;
	}
}

/** Opens connections to loaded members. */
export class LoadedMemberConnector extends MemberConnector {
	constructor(private readonly members: ReadonlyMap<string, LoadedMember>) {
		super();
	}

	override async connect({id}: MemberTarget): Promise<MemberConnection> {
		const member = this.members.get(id)!;
		await member.accept();
		return new LoadedMemberConnection(member);
	}
}
