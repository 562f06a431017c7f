import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type VoterOptions, type VoterTiming} from './voter-options.js';
import {
	voterKey, type ControlLogEntry, type Snapshot, type TermAndVote, type VoterRecord, type VoterRole,
} from './types.js';
import {VoterLog} from './voter-log.js';

/** Durable and volatile state of one voter; work passed to `runExclusive` runs one at a time. */
export class VoterState {
	readonly log = new VoterLog();
	/** Latest leader of the current term that this voter heard from. */
	leader: VoterRecord | undefined;
	/** When the voter last heard from a leader. A start counts too, since the voter may have heard from a leader just before it restarted. */
	leaderHeardAt: Milliseconds = 0;
	#diskId = '';
	#termAndVote: TermAndVote = {term: 0, votedFor: null};
	#role: VoterRole = 'waiting';
	#commitIndex = 0;
	#appliedIndex = 0;
	#durableIndex = 0;
	/** Index of the last entry that was loaded from storage. */
	#lastLoadedIndex = 0;
	#storageFailure: BuckthornhitchError | undefined;
	#queue: Promise<unknown> = Promise.resolve();

	constructor(readonly options: VoterOptions, private readonly onStorageFailure: (error: BuckthornhitchError) => void) {}

	/** This voter's identity and address. */
	get self(): VoterRecord {
		return {name: this.options.name, diskId: this.#diskId, address: this.options.address};
	}

	/** The current term and this voter's vote in it. */
	get termAndVote(): TermAndVote {
		return this.#termAndVote;
	}

	/** Role in the group; `failed` after a storage failure. */
	get role(): VoterRole {
		return this.#role;
	}

	/** Highest index known to be committed. */
	get commitIndex(): number {
		return this.#commitIndex;
	}

	/** Index of the last entry that is durable in this voter's storage. */
	get durableIndex(): number {
		return this.#durableIndex;
	}

	/** Id of the group of voters, or null before this voter received a voter list. */
	get group(): string | null {
		return this.log.snapshot?.group ?? null;
	}

	/** Whether the current voter list contains this voter with its current disk. */
	get isVoter(): boolean {
		return this.log.voterList.voters.some(voter => voterKey(voter) === voterKey(this.self));
	}

	/** Returns the current link address of a voter. */
	addressOf({name, address}: VoterRecord): Address {
		return this.options.addressOf?.(name) ?? address;
	}

	/** Runs the work after all previously queued work. After a failed write, all work is rejected with storageFailed until the storage recovers. */
	async runExclusive<Result>(work: () => Promise<Result>): Promise<Result> {
		const run = async (): Promise<Result> => {
			this.throwIfStorageFailed();
			try {
				return await work();
			} catch (error) {
				const failure = toBuckthornhitchError(error);
				if (failure.codeName === 'storageFailed') {
					this.#reportStorageFailure(failure);
				}

				throw failure;
			}
		};

		const result = this.#queue.then(run);
		this.#queue = result.catch(() => undefined);
		return result;
	}

	/** Throws storageFailed while the storage has not recovered from a failed write. */
	throwIfStorageFailed(): void {
		if (this.#storageFailure) {
			throw new BuckthornhitchError('storageFailed', this.#storageFailure.detail);
		}
	}

	/** Loads the stored state and applies the entries known to be committed. Rejects with storageCorrupt or storageFailed. */
	async load(): Promise<void> {
		const stored = await this.options.storage.load();
		this.#diskId = stored.diskId;
		this.#termAndVote = stored.termAndVote;
		this.log.load(stored);
		this.#durableIndex = this.log.lastPosition.index;
		this.#lastLoadedIndex = this.log.lastPosition.index;
		this.#restore(stored.snapshot);
		this.commitUpTo(stored.commitIndex);
		this.leader = undefined;
		this.leaderHeardAt = this.options.clock.now();
		this.setRole(this.passiveRole());
	}

	/** Reloads the stored state and tries a write after a storage failure; resolves with whether the storage works again. */
	async recover(): Promise<boolean> {
		const attempt = this.#queue.then(async () => {
			try {
				const stored = await this.options.storage.load();
				await this.options.storage.saveTermAndVote(stored.termAndVote);
				await this.load();
				this.#storageFailure = undefined;
				return true;
			} catch (error) {
				this.options.logger.warn(`the data folder still cannot be read or written: ${toBuckthornhitchError(error).message}`);
				return false;
			}
		});
		this.#queue = attempt;
		return attempt;
	}

	/** Returns this voter's role while it is neither leader nor candidate. */
	passiveRole(): VoterRole {
		if (this.group === null) {
			return 'waiting';
		}

		return this.isVoter ? 'follower' : 'learner';
	}

	/** Sets the role and reports a change to the observer. */
	setRole(role: VoterRole): void {
		if (role !== this.#role) {
			this.#role = role;
			this.options.observer.roleChanged(role);
		}
	}

	/** Stores the term and vote durably, then puts them into effect. */
	async saveTermAndVote(termAndVote: TermAndVote): Promise<void> {
		await this.options.storage.saveTermAndVote(termAndVote);
		if (termAndVote.term > this.#termAndVote.term) {
			this.leader = undefined;
		}

		this.#termAndVote = termAndVote;
	}

	/** Appends entries to the log and stores them. `onAppended` is called before the entries are durable, so that a leader can replicate them during its own sync. */
	async append(entries: readonly ControlLogEntry[], onAppended: () => void = () => undefined): Promise<void> {
		if (entries.length === 0) {
			return;
		}

		this.log.append(entries);
		onAppended();
		await this.options.storage.append(entries, this.#commitIndex);
		this.#durableIndex = this.log.lastPosition.index;
	}

	/** Replaces the log and the state machine's state by a snapshot. The log entries after the snapshot are kept if the log contains the snapshot's last entry. */
	async installSnapshot(snapshot: Snapshot): Promise<void> {
		const containsSnapshotEntry = this.log.termAt(snapshot.index) === snapshot.term;
		const remainingEntries = containsSnapshotEntry ? this.log.entriesAfter(snapshot.index) : [];
		await this.options.storage.saveSnapshot(snapshot, remainingEntries);
		this.log.reset(snapshot, remainingEntries);
		this.#durableIndex = this.log.lastPosition.index;
		this.#restore(snapshot);
		this.options.observer.restored();
	}

	/** Raises the commit index and applies the newly committed entries; returns their results by index. */
	commitUpTo(index: number): ReadonlyMap<number, unknown> {
		const results = new Map<number, unknown>();
		this.#commitIndex = Math.max(this.#commitIndex, Math.min(index, this.log.lastPosition.index));
		while (this.#appliedIndex < this.#commitIndex) {
			const entry = this.log.entryAt(this.#appliedIndex + 1)!;
			const result = this.options.stateMachine.apply(entry);
			this.#appliedIndex = entry.index;
			results.set(entry.index, result);
			this.options.observer.committed(entry, result, entry.index <= this.#lastLoadedIndex);
		}

		return results;
	}

	/** Compacts the applied entries into a snapshot if the log exceeds one of the limits. */
	async compact(limits: Pick<VoterTiming, 'compactAfterEntries' | 'compactAfterCharacters'>): Promise<void> {
		const index = this.#appliedIndex;
		const isBelowLimits = index - this.log.snapshotIndex <= limits.compactAfterEntries && this.log.entryCharacters <= limits.compactAfterCharacters;
		if (isBelowLimits || index === this.log.snapshotIndex) {
			return;
		}

		const snapshot: Snapshot = {
			index,
			term: this.log.termAt(index)!,
			group: this.group!,
			list: this.log.voterListAt(index),
			image: this.options.stateMachine.snapshot(),
		};
		const remainingEntries = this.log.entriesAfter(index);
		await this.options.storage.saveSnapshot(snapshot, remainingEntries);
		this.log.reset(snapshot, remainingEntries);
		this.options.observer.event('compacted', this.options.name, `snapshot at index ${index}`);
	}

	#restore(snapshot: Snapshot | undefined): void {
		this.options.stateMachine.restore(snapshot?.image);
		this.#commitIndex = snapshot?.index ?? 0;
		this.#appliedIndex = this.#commitIndex;
	}

	#reportStorageFailure(error: BuckthornhitchError): void {
		this.#storageFailure = error;
		this.onStorageFailure(error);
	}
}
