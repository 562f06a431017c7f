import {createHash} from 'node:crypto';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {Election, bootstrapIndex} from './election.js';
import {Leadership} from './leadership.js';
import {grantsVote, matchesLog, newEntries} from './log-rules.js';
import {
	type AppendRequest, type AppendResponse, type BootstrapRequest, type DescribeVoterResponse, type SnapshotRequest, type VoteRequest, type VoteResponse, type VoterRequest,
} from './messages.js';
import {
	voterKey, type Command, type Snapshot, type VoterList, type TermAndVote, type VoterRecord, type VoterRole,
} from './types.js';
import {defaultVoterTiming, type VoterOptions, type VoterTiming} from './voter-options.js';
import {VoterReplacement} from './voter-replacement.js';
import {VoterState} from './voter-state.js';

/** Voter of the control log: a Raft server that answers the requests of the other voters and leads when elected. */
export class Voter extends Controller {
	readonly #state: VoterState;
	readonly #timing: VoterTiming;
	readonly #election: Election;
	#leadership: Leadership | undefined;
	#voterReplacement: VoterReplacement | undefined;
	#cancelRecovery: Cancel | undefined;
	#stopped = false;

	constructor(private readonly options: VoterOptions) {
		super();
		this.#timing = options.timing ?? defaultVoterTiming;
		this.#state = new VoterState(options, error => {
			this.#handleStorageFailure(error);
		});
		const handleHigherTerm = (term: number): void => {
			void this.#adoptHigherTerm(term);
		};

		this.#election = new Election(this.#state, this.#timing, () => {
			this.#becomeLeader(handleHigherTerm);
		}, handleHigherTerm);
	}

	/** This voter's identity and link address. */
	get self(): VoterRecord {
		return this.#state.self;
	}

	/** Role in the group; `failed` after a storage failure. */
	get role(): VoterRole {
		return this.#state.role;
	}

	/** Current term and this voter's vote in it. */
	get termAndVote(): TermAndVote {
		return this.#state.termAndVote;
	}

	/** The current voter list: the latest in this voter's log, committed or not. */
	get voterList(): VoterList {
		return this.#state.log.voterList;
	}

	/** Whether a change of the voter list is in progress: the list is not known to be committed, or contains a learner. */
	get voterChangePending(): boolean {
		return this.#state.commitIndex < this.#state.log.voterListIndex || this.voterList.learners.length > 0;
	}

	/** The leader as known to this voter, which may be outdated. */
	get leader(): VoterRecord | undefined {
		return this.#leadership ? this.self : this.#state.leader;
	}

	/** Whether this voter is the leader and its lease is valid. */
	get leaseLive(): boolean {
		return this.#leadership?.leaseLive ?? false;
	}

	/** Time since this voter last heard from the leader; 0 while it is the leader with a valid lease, infinite without a known leader. */
	get leaderSilence(): Milliseconds {
		if (this.leaseLive) {
			return 0;
		}

		return this.#state.leader ? this.options.clock.now() - this.#state.leaderHeardAt : Number.POSITIVE_INFINITY;
	}

	/** Highest index known to be committed. */
	get commitIndex(): number {
		return this.#state.commitIndex;
	}

	/** Loads the stored state and joins the group. Rejects with storageCorrupt or storageFailed. */
	async open(): Promise<void> {
		await this.#state.load();
		this.start();
	}

	override start(): void {
		this.#election.restartTimer();
	}

	override async stop(): Promise<void> {
		this.#stopped = true;
		this.#election.stop();
		this.#cancelRecovery?.();
		this.#stepDown();
		await this.#state.runExclusive(async () => undefined).catch(() => undefined);
		await this.options.storage.close();
	}

	/** Resolves once a quorum confirms this voter as the leader, or immediately while its lease is valid. Rejects with storageFailed, notBootstrapped, notConfirmed or notLeader; the detail of notLeader is the leader's address if known. */
	async confirmLeadership(timeout: Milliseconds): Promise<void> {
		this.#state.throwIfStorageFailed();
		if (this.#state.group === null) {
			throw new BuckthornhitchError('notBootstrapped', '');
		}

		if (!this.#leadership) {
			throw new BuckthornhitchError('notLeader', this.#state.leader?.address ?? '');
		}

		return this.#leadership.confirm(timeout);
	}

	/** Appends a command and resolves with its result once committed. Rejects as `confirmLeadership` does; after notConfirmed the command may still take effect. */
	async propose(command: Command, timeout: Milliseconds): Promise<unknown> {
		const start = this.options.clock.now();
		await this.confirmLeadership(timeout);
		if (!this.#leadership) {
			throw new BuckthornhitchError('notLeader', this.#state.leader?.address ?? '');
		}

		const result = this.#leadership.propose(command);
		return new Promise((resolve, reject) => {
			const cancel = this.options.clock.schedule(Math.max(0, timeout - (this.options.clock.now() - start)), () => {
				reject(new BuckthornhitchError('notConfirmed', 'No quorum confirmed the change in time.'));
			});
			const forwardResult = async (): Promise<void> => {
				try {
					resolve(await result);
				} catch (error) {
					reject(toBuckthornhitchError(error));
				} finally {
					cancel();
				}
			};

			void forwardResult();
		});
	}

	/** Answers `describeVoter`. */
	describe(): DescribeVoterResponse {
		const {name, diskId} = this.self;
		return {
			name, diskId, group: this.#state.group, lastIndex: this.#state.log.lastPosition.index, term: this.termAndVote.term,
		};
	}

	/** Sets the first voter list of this voter. Rejects with alreadyBootstrapped if it already has another list. */
	async bootstrap(request: BootstrapRequest): Promise<void> {
		const voters = request.voters.toSorted((first, second) => voterKey(first).localeCompare(voterKey(second)));
		if (!voters.some(voter => voterKey(voter) === voterKey(this.self))) {
			throw new BuckthornhitchError('invalidSetting', `The voter list does not name ${voterKey(this.self)}.`);
		}

		const group = groupIdOf(voters);
		return this.#state.runExclusive(async () => {
			if (this.#state.group === group) {
				return;
			}

			if (this.#state.group !== null) {
				throw new BuckthornhitchError('alreadyBootstrapped', '');
			}

			const snapshot: Snapshot = {
				index: bootstrapIndex, term: 1, group, list: {voters, learners: []}, image: undefined,
			};
			await this.#state.saveTermAndVote({term: Math.max(1, this.termAndVote.term), votedFor: this.termAndVote.votedFor});
			await this.#state.installSnapshot(snapshot);
			this.#state.setRole(this.#state.passiveRole());
			this.#election.restartTimer();
			this.options.observer.event('bootstrapped', this.self.name, voters.map(voter => voterKey(voter)).join(', '));
		});
	}

	/** Answers `requestVote`. */
	async handleVote(request: VoteRequest): Promise<VoteResponse> {
		return this.#state.runExclusive(async () => {
			const {termAndVote, group} = this.#state;
			const heardLeaderRecently = this.#heardLeaderRecently();
			const granted = group === request.group && grantsVote({
				termAndVote,
				ownLastPosition: this.#state.log.lastPosition,
				ownIdentity: this.self,
				hasLog: group !== null,
				heardLeaderRecently,
				term: request.term,
				candidate: request.candidate,
				candidateLastPosition: {index: request.lastIndex, term: request.lastTerm},
				target: request.target,
			});
			if (request.preliminary || heardLeaderRecently || group !== request.group || request.term < termAndVote.term) {
				return {term: termAndVote.term, granted};
			}

			await this.#recordVote(request, granted);
			return {term: this.termAndVote.term, granted};
		});
	}

	/** Answers `appendEntries`. */
	async handleAppend(request: AppendRequest): Promise<AppendResponse> {
		this.#checkTarget(request);
		return this.#state.runExclusive(async () => {
			const {log} = this.#state;
			if (!await this.#acceptLeader(request, request.leader)) {
				return {term: this.termAndVote.term, accepted: false, index: 0};
			}

			const {term} = request;
			if (this.#state.group === null || !matchesLog(request.previousTerm, log.termAt(request.previousIndex))) {
				const index = this.#state.group === null ? 0 : Math.min(log.lastPosition.index, request.previousIndex - 1);
				return {term, accepted: false, index: Math.max(index, this.#state.commitIndex)};
			}

			await this.#state.append(newEntries(request.entries, index => log.termAt(index)));
			const index = request.previousIndex + request.entries.length;
			this.#state.commitUpTo(Math.min(request.commitIndex, index));
			this.#state.setRole(this.#state.passiveRole());
			await this.#state.compact(this.#timing);
			return {term, accepted: true, index};
		});
	}

	/** Answers `installSnapshot`. */
	async handleSnapshot(request: SnapshotRequest): Promise<AppendResponse> {
		this.#checkTarget(request);
		return this.#state.runExclusive(async () => {
			if (!await this.#acceptLeader(request, request.leader)) {
				return {term: this.termAndVote.term, accepted: false, index: 0};
			}

			if (request.snapshot.index > this.#state.commitIndex) {
				await this.#state.installSnapshot(request.snapshot);
				this.#state.setRole(this.#state.passiveRole());
				this.options.observer.event('snapshotInstalled', this.self.name, `index ${request.snapshot.index} from ${request.leader.name}`);
			}

			return {term: request.term, accepted: true, index: Math.max(request.snapshot.index, this.#state.commitIndex)};
		});
	}

	#heardLeaderRecently(): boolean {
		const isRecent = this.options.clock.now() - this.#state.leaderHeardAt < this.#timing.minimumElectionTimeout;
		return isRecent || this.leaseLive;
	}

	async #recordVote(request: VoteRequest, granted: boolean): Promise<void> {
		const isHigherTerm = request.term > this.termAndVote.term;
		if (granted) {
			await this.#state.saveTermAndVote({term: request.term, votedFor: voterKey(request.candidate)});
			this.#election.restartTimer();
		} else if (isHigherTerm) {
			await this.#state.saveTermAndVote({term: request.term, votedFor: null});
		}

		if (isHigherTerm) {
			this.#stepDown();
		}
	}

	#checkTarget(request: VoterRequest): void {
		const {group} = this.#state;
		if (voterKey(request.target) !== voterKey(this.self) || (group !== null && group !== request.group)) {
			throw new BuckthornhitchError('notBootstrapped', `This is voter ${voterKey(this.self)} of group ${group ?? 'none'}.`);
		}
	}

	/** Accepts the sender as leader; resolves with false if its term is outdated. */
	async #acceptLeader(request: VoterRequest, leader: VoterRecord): Promise<boolean> {
		if (request.term < this.termAndVote.term) {
			return false;
		}

		if (request.term > this.termAndVote.term) {
			await this.#state.saveTermAndVote({term: request.term, votedFor: null});
		}

		this.#stepDown();
		this.#state.leader = leader;
		this.#state.leaderHeardAt = this.options.clock.now();
		this.#election.restartTimer();
		return true;
	}

	async #adoptHigherTerm(term: number): Promise<void> {
		await this.#state.runExclusive(async () => {
			if (term > this.termAndVote.term) {
				await this.#state.saveTermAndVote({term, votedFor: null});
				this.#stepDown();
			}
		}).catch(() => undefined);
	}

	#becomeLeader(handleHigherTerm: (term: number) => void): void {
		const {term} = this.termAndVote;
		this.#election.stop();
		this.#state.setRole('leader');
		this.#leadership = new Leadership(this.#state, this.#timing, {
			term,
			onHigherTerm: handleHigherTerm,
			onQuorumLost: () => {
				this.options.observer.event('leaseLost', this.self.name, `term ${term}`);
				this.#stepDown();
			},
		});
		this.#voterReplacement = new VoterReplacement(this.#state, this.#leadership, this.#timing);
		this.#leadership.start();
		this.options.logger.info(`became leader of term ${term}`);
		this.options.observer.event('elected', this.self.name, `term ${term}`);
	}

	#stepDown(): void {
		const leadership = this.#leadership;
		this.#leadership = undefined;
		this.#voterReplacement?.stop();
		this.#voterReplacement = undefined;
		leadership?.stop();
		this.#state.setRole(this.#state.passiveRole());
		if (leadership && !this.#stopped) {
			this.options.logger.info(`no longer leader of term ${leadership.term}`);
			this.#election.restartTimer();
		}
	}

	#handleStorageFailure(error: BuckthornhitchError): void {
		this.options.logger.error(`the voter does not participate until its data folder can be written: ${error.message}`);
		this.options.observer.event('storageFailed', this.self.name, error.detail);
		this.#stepDown();
		this.#election.stop();
		this.#state.setRole('failed');
		this.#scheduleRecovery();
	}

	#scheduleRecovery(): void {
		this.#cancelRecovery?.();
		this.#cancelRecovery = this.options.clock.schedule(this.#timing.voterCheckPeriod, () => {
			void this.#state.recover().then(recovered => {
				if (this.#stopped) {
					return;
				}

				if (!recovered) {
					this.#scheduleRecovery();
					return;
				}

				this.options.observer.event('storageRecovered', this.self.name, '');
				this.#election.restartTimer();
			});
		});
	}
}

function groupIdOf(voters: readonly VoterRecord[]): string {
	return createHash('sha256').update(JSON.stringify(voters.map(voter => voterKey(voter)))).digest('hex').slice(0, 24);
}
