import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {DelayLine} from './delay-line.js';
import {MemberLog} from './member-log.js';
import {FollowerFeed, PrimaryFollower, type EntriesMessage} from './replication.js';
import {SqlError} from './sql-error.js';
import {Tables, Transaction, type Change} from './tables.js';

/** Delays of replication, which may be changed at any time. */
export type ReplicationDelays = {
	/** Time until a replica adds what it was sent to its log. */
	receiveDelay: Milliseconds;
	/** Time until a replica applies what is in its log. */
	applyDelay: Milliseconds;
};

/** Log, promise and tables of one member, with its part in the replication of the group. */
export class ReplicatedState {
	readonly tables = new Tables();
	readonly #log: MemberLog;
	#applied = 0;
	#follower: PrimaryFollower | undefined;
	readonly #feeds = new Set<FollowerFeed>();
	readonly #applyLine: DelayLine;

	constructor(private readonly name: string, private readonly clock: Clock, private readonly delays: ReplicationDelays, folder: string | undefined) {
		this.#log = new MemberLog(folder);
		this.#applyLine = new DelayLine(clock);
	}

	get log(): MemberLog {
		return this.#log;
	}

	get appliedPosition(): number {
		return this.#applied;
	}

	get isPrimary(): boolean {
		return this.#log.state.primaryMember === this.name;
	}

	/** Whether this member is primary and has promised no later term. */
	get isAcceptingWrites(): boolean {
		const {promisedTerm, primaryTerm} = this.#log.state;
		return this.isPrimary && promisedTerm === primaryTerm;
	}

	/** Applies the log and resumes the role that the member had. */
	start(): void {
		this.#rebuild(this.#log.length);
		this.#followPrimary();
	}

	stop(): void {
		this.#applyLine.clear();
		this.#closeReplication();
	}

	/** Promises a term that is higher than any before. Throws 55000. */
	promise(term: number): void {
		refuseIf(term <= this.#log.state.promisedTerm, `term ${this.#log.state.promisedTerm} is already promised`);
		this.#closeReplication();
		this.#log.save({promisedTerm: term});
	}

	/** Makes this member the primary of the term that it promised last. Throws 55000. */
	promote(term: number): void {
		const {promisedTerm, primaryTerm} = this.#log.state;
		refuseIf(term !== promisedTerm, `the promised term is ${promisedTerm}`);
		refuseIf(term === primaryTerm && !this.isPrimary, `term ${term} has another primary`);
		if (term === primaryTerm) {
			return;
		}

		this.#applyLine.clear();
		this.#log.append([{term, changes: []}]);
		this.#applyThrough(this.#log.length);
		this.#log.save({primaryTerm: term, primaryMember: this.name, primaryAddress: ''});
	}

	/** Follows the primary of a term at or above the promised one, which it promises as well. Throws 55000. */
	follow(term: number, primary: string, address: string): void {
		const {promisedTerm, primaryTerm, primaryMember} = this.#log.state;
		refuseIf(term < promisedTerm, `term ${promisedTerm} is promised`);
		refuseIf(primary === this.name, 'a member cannot follow itself');
		refuseIf(term === primaryTerm && primary !== primaryMember, `term ${term} has another primary`);
		if (term === primaryTerm && this.#follower?.address === address) {
			return;
		}

		this.#closeReplication();
		this.#log.save({
			promisedTerm: term, primaryTerm: term, primaryMember: primary, primaryAddress: address,
		});
		this.#followPrimary();
	}

	beginTransaction(): Transaction {
		return new Transaction(this.tables, this.isPrimary ? this.#log.state.primaryTerm : null);
	}

	/** Throws 25006 on a replica, 55000 on a primary that may not write in the term any more. */
	assertWritable(term: number | null): void {
		if (!this.isPrimary || term === null) {
			throw new SqlError('25006', 'cannot execute a write on a replica');
		}

		refuseIf(!this.isAcceptingWrites || term !== this.#log.state.primaryTerm, 'this primary has been superseded');
	}

	/** Writes the changes as one log entry. Throws as assertWritable does. */
	commit(term: number | null, changes: readonly Change[]): void {
		if (changes.length === 0) {
			return;
		}

		this.assertWritable(term);
		this.#log.append([{term: this.#log.state.primaryTerm, changes}]);
		this.#applyThrough(this.#log.length);
		for (const feed of this.#feeds) {
			feed.push();
		}
	}

	/** Sends the log to a follower over the connection while this member is the primary that it asks for. */
	serveFollower(socket: Socket, received: Buffer): void {
		const feed = new FollowerFeed({
			socket,
			received,
			clock: this.clock,
			log: this.#log,
			isPrimary: (term, name) => this.isAcceptingWrites && term === this.#log.state.primaryTerm && name === this.name,
			onClose: () => {
				this.#feeds.delete(feed);
			},
		});
		this.#feeds.add(feed);
	}

	#followPrimary(): void {
		const {promisedTerm, primaryTerm, primaryMember, primaryAddress} = this.#log.state;
		if (primaryAddress !== '' && promisedTerm === primaryTerm) {
			this.#follower = new PrimaryFollower({
				clock: this.clock,
				term: primaryTerm,
				primary: primaryMember,
				address: primaryAddress,
				log: this.#log,
				receiveDelay: () => this.delays.receiveDelay,
				onEntries: message => {
					this.#receive(message);
				},
			});
		}
	}

	#receive({after, entries}: EntriesMessage): void {
		if (after < this.#log.length) {
			this.#truncate(after);
		}

		this.#log.append(entries);
		const end = this.#log.length;
		this.#applyLine.add(this.delays.applyDelay, () => {
			this.#applyThrough(end);
		});
	}

	#truncate(position: number): void {
		this.#applyLine.clear();
		this.#log.truncate(position);
		if (this.#applied > position) {
			this.#rebuild(position);
		}
	}

	#rebuild(position: number): void {
		this.tables.clear();
		this.#applied = 0;
		this.#applyThrough(position);
	}

	#applyThrough(position: number): void {
		for (const {changes} of this.#log.after(this.#applied, position - this.#applied)) {
			this.tables.apply(changes);
		}

		this.#applied = position;
	}

	#closeReplication(): void {
		this.#follower?.close();
		this.#follower = undefined;
		for (const feed of this.#feeds) {
			feed.close();
		}
	}
}

function refuseIf(condition: boolean, reason: string): void {
	if (condition) {
		throw new SqlError('55000', reason);
	}
}
