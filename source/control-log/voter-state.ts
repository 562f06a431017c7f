import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type VoterOptions, type VoterTiming} from './voter-options.js';
import {
	voterKey, type ControlLogEntry, type Snapshot, type VoterPromise, type VoterRecord, type VoterRole,
} from './types.js';
import {VoterLog} from './voter-log.js';

/** Durable and volatile state of one voter, whose changes run one after the other. */
export class VoterState {
	readonly log = new VoterLog();
	/** Last leader heard from in the present term. */
	leader: VoterRecord | undefined;
	/** Time at which the voter last heard from a leader, or started: before a restart it may have heard from one. */
	heardAt: Milliseconds = 0;
	#diskId = '';
	#promise: VoterPromise = {term: 0, votedFor: null};
	#role: VoterRole = 'waiting';
	#commitIndex = 0;
	#appliedIndex = 0;
	#durableIndex = 0;
	#loadedIndex = 0;
	#failure: BuckthornhitchError | undefined;
	#queue: Promise<unknown> = Promise.resolve();

	constructor(readonly options: VoterOptions, private readonly onFailure: (error: BuckthornhitchError) => void) {}

	/** This voter's identity and address. */
	get self(): VoterRecord {
		return {name: this.options.name, diskId: this.#diskId, address: this.options.address};
	}

	/** The highest term seen and the vote in it. */
	get promise(): VoterPromise {
		return this.#promise;
	}

	/** The present role. */
	get role(): VoterRole {
		return this.#role;
	}

	/** Index of the last entry known to be committed. */
	get commitIndex(): number {
		return this.#commitIndex;
	}

	/** Index of the last own entry that is synced. */
	get durableIndex(): number {
		return this.#durableIndex;
	}

	/** The group of voters that this one belongs to, or null before it received a voter list. */
	get group(): string | null {
		return this.log.snapshot?.group ?? null;
	}

	/** Whether the list in force names this voter with this disk. */
	get isVoter(): boolean {
		return this.log.list.voters.some(voter => voterKey(voter) === voterKey(this.self));
	}

	/** Returns where a voter is reached now. */
	addressOf({name, address}: VoterRecord): Address {
		return this.options.addressOf?.(name) ?? address;
	}

	/** Runs the work after all work given before; a failed write ends the voter's part in the group until it recovers. */
	async serially<Result>(work: () => Promise<Result>): Promise<Result> {
		const run = async (): Promise<Result> => {
			this.checkStorage();
			try {
				return await work();
			} catch (error) {
				const failure = toBuckthornhitchError(error);
				if (failure.codeName === 'storageFailed') {
					this.#fail(failure);
				}

				throw failure;
			}
		};

		const result = this.#queue.then(run);
		this.#queue = result.catch(() => undefined);
		return result;
	}

	/** Throws storageFailed while the data folder cannot be written. */
	checkStorage(): void {
		if (this.#failure) {
			throw new BuckthornhitchError('storageFailed', this.#failure.detail);
		}
	}

	/** Reads the data folder. Rejects with storageCorrupt or storageFailed. */
	async load(): Promise<void> {
		const stored = await this.options.storage.load();
		this.#diskId = stored.diskId;
		this.#promise = stored.promise;
		this.log.load(stored);
		this.#durableIndex = this.log.end.index;
		this.#loadedIndex = this.log.end.index;
		this.#restore(stored.snapshot);
		this.commit(stored.commitIndex);
		this.leader = undefined;
		this.heardAt = this.options.clock.now();
		this.setRole(this.restingRole());
	}

	/** Tries the data folder again after a failed write; resolves with whether it works. */
	async recover(): Promise<boolean> {
		const attempt = this.#queue.then(async () => {
			try {
				const stored = await this.options.storage.load();
				await this.options.storage.savePromise(stored.promise);
				await this.load();
				this.#failure = undefined;
				return true;
			} catch (error) {
				this.options.logger.warn(`the data folder still fails: ${toBuckthornhitchError(error).message}`);
				return false;
			}
		});
		this.#queue = attempt;
		return attempt;
	}

	/** Returns the role of a voter that neither leads nor stands for election. */
	restingRole(): VoterRole {
		if (this.group === null) {
			return 'waiting';
		}

		return this.isVoter ? 'follower' : 'learner';
	}

	/** Takes a role. */
	setRole(role: VoterRole): void {
		if (role !== this.#role) {
			this.#role = role;
			this.options.observer.roleChanged(role);
		}
	}

	/** Stores a promise before it counts. */
	async savePromise(promise: VoterPromise): Promise<void> {
		await this.options.storage.savePromise(promise);
		if (promise.term > this.#promise.term) {
			this.leader = undefined;
		}

		this.#promise = promise;
	}

	/** Adds entries to the log and stores them; `added` is called before the sync ends. */
	async append(entries: readonly ControlLogEntry[], added: () => void = () => undefined): Promise<void> {
		if (entries.length === 0) {
			return;
		}

		this.log.append(entries);
		added();
		await this.options.storage.append(entries, this.#commitIndex);
		this.#durableIndex = this.log.end.index;
	}

	/** Replaces log and state by a snapshot; keeps the entries that follow it in the own log. */
	async install(snapshot: Snapshot): Promise<void> {
		const follows = this.log.termAt(snapshot.index) === snapshot.term;
		const rest = follows ? this.log.entriesAfter(snapshot.index) : [];
		await this.options.storage.saveSnapshot(snapshot, rest);
		this.log.reset(snapshot, rest);
		this.#durableIndex = this.log.end.index;
		this.#restore(snapshot);
		this.options.observer.restored();
	}

	/** Raises the commit index and carries out what became committed; returns the answers by index. */
	commit(index: number): ReadonlyMap<number, unknown> {
		const answers = new Map<number, unknown>();
		this.#commitIndex = Math.max(this.#commitIndex, Math.min(index, this.log.end.index));
		while (this.#appliedIndex < this.#commitIndex) {
			const entry = this.log.entryAt(this.#appliedIndex + 1)!;
			const answer = this.options.stateMachine.apply(entry);
			this.#appliedIndex = entry.index;
			answers.set(entry.index, answer);
			this.options.observer.committed(entry, answer, entry.index <= this.#loadedIndex);
		}

		return answers;
	}

	/** Replaces the carried out entries by a snapshot when they are more, or hold more characters, than the limits. */
	async compact(limits: Pick<VoterTiming, 'compactAfter' | 'compactAfterCharacters'>): Promise<void> {
		const index = this.#appliedIndex;
		const isSmall = index - this.log.baseIndex <= limits.compactAfter && this.log.characters <= limits.compactAfterCharacters;
		if (isSmall || index === this.log.baseIndex) {
			return;
		}

		const snapshot: Snapshot = {
			index,
			term: this.log.termAt(index)!,
			group: this.group!,
			list: this.log.listAt(index),
			image: this.options.stateMachine.snapshot(),
		};
		const rest = this.log.entriesAfter(index);
		await this.options.storage.saveSnapshot(snapshot, rest);
		this.log.reset(snapshot, rest);
		this.options.observer.event('compacted', this.options.name, `snapshot at index ${index}`);
	}

	#restore(snapshot: Snapshot | undefined): void {
		this.options.stateMachine.restore(snapshot?.image);
		this.#commitIndex = snapshot?.index ?? 0;
		this.#appliedIndex = this.#commitIndex;
	}

	#fail(error: BuckthornhitchError): void {
		this.#failure = error;
		this.onFailure(error);
	}
}
