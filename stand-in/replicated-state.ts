import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {DelayQueue} from './delay-queue.js';
import {MemberLog} from './member-log.js';
import {ReplicationSender, ReplicationReceiver, type EntriesMessage} from './replication.js';
import {SqlError} from './sql-error.js';
import {Tables, Transaction, type Change} from './tables.js';

/** Simulated delays of replication. They may be changed at any time. */
export type ReplicationDelays = {
	/** Delay until a replica appends received entries to its log. */
	receiveDelay: Milliseconds;
	/** Delay until a replica applies appended entries to its tables. */
	applyDelay: Milliseconds;
};

/** Log, durable state and tables of one member, and its replication as the primary or a replica. */
export class ReplicatedState {
	readonly tables = new Tables();
	readonly #log: MemberLog;
	#appliedPosition = 0;
	#receiver: ReplicationReceiver | undefined;
	readonly #senders = new Set<ReplicationSender>();
	readonly #applyQueue: DelayQueue;

	constructor(private readonly name: string, private readonly clock: Clock, private readonly delays: ReplicationDelays, folder: string | undefined) {
		this.#log = new MemberLog(folder);
		this.#applyQueue = new DelayQueue(clock);
	}

	get log(): MemberLog {
		return this.#log;
	}

	get appliedPosition(): number {
		return this.#appliedPosition;
	}

	get isPrimary(): boolean {
		return this.#log.state.primaryMember === this.name;
	}

	/** Whether this member is the primary and has not promised a higher term. */
	get isAcceptingWrites(): boolean {
		const {promisedTerm, primaryTerm} = this.#log.state;
		return this.isPrimary && promisedTerm === primaryTerm;
	}

	/** Rebuilds the tables from the log and resumes the role that the member had before it stopped. */
	start(): void {
		this.#rebuildTables(this.#log.length);
		this.#startReceiver();
	}

	stop(): void {
		this.#applyQueue.clear();
		this.#closeReplication();
	}

	/** Promises a term, after which the member takes part in no lower one. Throws 55000 unless the term is higher than the promised one. */
	promise(term: number): void {
		refuseIf(term <= this.#log.state.promisedTerm, `term ${this.#log.state.promisedTerm} is already promised`);
		this.#closeReplication();
		this.#log.saveState({promisedTerm: term});
	}

	/** Makes this member the primary of the term that it promised last. Throws 55000 for any other term and if the term has another primary. */
	promote(term: number): void {
		const {promisedTerm, primaryTerm} = this.#log.state;
		refuseIf(term !== promisedTerm, `the promised term is ${promisedTerm}`);
		refuseIf(term === primaryTerm && !this.isPrimary, `term ${term} has another primary`);
		if (term === primaryTerm) {
			return;
		}

		this.#applyQueue.clear();
		this.#log.append([{term, changes: []}]);
		this.#applyThrough(this.#log.length);
		this.#log.saveState({primaryTerm: term, primaryMember: this.name, primaryAddress: ''});
	}

	/** Promises the term and replicates from its primary. Throws 55000 if a higher term is promised or the term has another primary. */
	follow(term: number, primary: string, address: string): void {
		const {promisedTerm, primaryTerm, primaryMember} = this.#log.state;
		refuseIf(term < promisedTerm, `term ${promisedTerm} is promised`);
		refuseIf(primary === this.name, 'a member cannot follow itself');
		refuseIf(term === primaryTerm && primary !== primaryMember, `term ${term} has another primary`);
		if (term === primaryTerm && this.#receiver?.address === address) {
			return;
		}

		this.#closeReplication();
		this.#log.saveState({
			promisedTerm: term, primaryTerm: term, primaryMember: primary, primaryAddress: address,
		});
		this.#startReceiver();
	}

	beginTransaction(): Transaction {
		return new Transaction(this.tables, this.isPrimary ? this.#log.state.primaryTerm : null);
	}

	/** Throws 25006 on a replica and 55000 on a primary that may no longer write in the term. */
	assertWritable(term: number | null): void {
		if (!this.isPrimary || term === null) {
			throw new SqlError('25006', 'cannot execute a write on a replica');
		}

		refuseIf(!this.isAcceptingWrites || term !== this.#log.state.primaryTerm, 'this primary has been superseded');
	}

	/** Appends the changes as one log entry, applies it and sends it to the replicas. Throws as `assertWritable` does. */
	commit(term: number | null, changes: readonly Change[]): void {
		if (changes.length === 0) {
			return;
		}

		this.assertWritable(term);
		this.#log.append([{term: this.#log.state.primaryTerm, changes}]);
		this.#applyThrough(this.#log.length);
		for (const sender of this.#senders) {
			sender.sendNewEntries();
		}
	}

	/** Replicates the log over the connection if this member is the primary that the replica requests. */
	serveReplica(socket: Socket, received: Buffer): void {
		const sender = new ReplicationSender({
			socket,
			received,
			clock: this.clock,
			log: this.#log,
			isPrimary: (term, name) => this.isAcceptingWrites && term === this.#log.state.primaryTerm && name === this.name,
			onClose: () => {
				this.#senders.delete(sender);
			},
		});
		this.#senders.add(sender);
	}

	#startReceiver(): void {
		const {promisedTerm, primaryTerm, primaryMember, primaryAddress} = this.#log.state;
		if (primaryAddress !== '' && promisedTerm === primaryTerm) {
			this.#receiver = new ReplicationReceiver({
				clock: this.clock,
				term: primaryTerm,
				primary: primaryMember,
				address: primaryAddress,
				log: this.#log,
				receiveDelay: () => this.delays.receiveDelay,
				onEntries: message => {
					this.#handleEntries(message);
				},
			});
		}
	}

	#handleEntries({after, entries}: EntriesMessage): void {
		if (after < this.#log.length) {
			this.#truncateLog(after);
		}

		this.#log.append(entries);
		const end = this.#log.length;
		this.#applyQueue.add(this.delays.applyDelay, () => {
			this.#applyThrough(end);
		});
	}

	#truncateLog(position: number): void {
		this.#applyQueue.clear();
		this.#log.truncate(position);
		if (this.#appliedPosition > position) {
			this.#rebuildTables(position);
		}
	}

	#rebuildTables(position: number): void {
		this.tables.clear();
		this.#appliedPosition = 0;
		this.#applyThrough(position);
	}

	#applyThrough(position: number): void {
		for (const {changes} of this.#log.entriesAfter(this.#appliedPosition, position - this.#appliedPosition)) {
			this.tables.apply(changes);
		}

		this.#appliedPosition = position;
	}

	#closeReplication(): void {
		this.#receiver?.close();
		this.#receiver = undefined;
		for (const sender of this.#senders) {
			sender.close();
		}
	}
}

function refuseIf(condition: boolean, reason: string): void {
	if (condition) {
		throw new SqlError('55000', reason);
	}
}
