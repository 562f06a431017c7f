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
	voterKey, type Command, type Snapshot, type VoterList, type VoterPromise, type VoterRecord, type VoterRole,
} from './types.js';
import {defaultVoterTiming, type VoterOptions, type VoterTiming} from './voter-options.js';
import {VoterRepair} from './voter-repair.js';
import {VoterState} from './voter-state.js';

/** One voter of the control log: answers the other voters and leads when elected. */
export class Voter extends Controller {
	readonly #state: VoterState;
	readonly #timing: VoterTiming;
	readonly #election: Election;
	#leadership: Leadership | undefined;
	#repair: VoterRepair | undefined;
	#cancelRecovery: Cancel | undefined;
	#stopped = false;

	constructor(private readonly options: VoterOptions) {
		super();
		this.#timing = options.timing ?? defaultVoterTiming;
		this.#state = new VoterState(options, error => {
			this.#storageFailed(error);
		});
		const observeTerm = (term: number): void => {
			void this.#observeTerm(term);
		};

		this.#election = new Election(this.#state, this.#timing, () => {
			this.#lead(observeTerm);
		}, observeTerm);
	}

	/** Identity and address. */
	get self(): VoterRecord {
		return this.#state.self;
	}

	/** Present role. */
	get role(): VoterRole {
		return this.#state.role;
	}

	/** Highest term and the vote in it. */
	get promise(): VoterPromise {
		return this.#state.promise;
	}

	/** The voter list in force in this voter's log. */
	get voterList(): VoterList {
		return this.#state.log.list;
	}

	/** Whether a change of the voter list has not ended: the list is not known to be committed, or holds a learner. */
	get listChanging(): boolean {
		return this.#state.commitIndex < this.#state.log.listIndex || this.voterList.learners.length > 0;
	}

	/** The leader as far as this voter knows. */
	get leader(): VoterRecord | undefined {
		return this.#leadership ? this.self : this.#state.leader;
	}

	/** Whether this voter is the leader and may speak for the group. */
	get leaseLive(): boolean {
		return this.#leadership?.leaseLive ?? false;
	}

	/** Milliseconds since this voter last knew a leader that a quorum follows. */
	get leaderSilence(): Milliseconds {
		if (this.leaseLive) {
			return 0;
		}

		return this.#state.leader ? this.options.clock.now() - this.#state.heardAt : Number.POSITIVE_INFINITY;
	}

	/** Index of the last committed entry known here. */
	get commitIndex(): number {
		return this.#state.commitIndex;
	}

	/** Reads the data folder and takes part. Rejects with storageCorrupt or storageFailed. */
	async open(): Promise<void> {
		await this.#state.load();
		this.start();
	}

	override start(): void {
		this.#election.restart();
	}

	override async stop(): Promise<void> {
		this.#stopped = true;
		this.#election.stop();
		this.#cancelRecovery?.();
		this.#stepDown();
		await this.#state.serially(async () => undefined).catch(() => undefined);
		await this.options.storage.close();
	}

	/** Resolves while this voter is confirmed as the leader. Rejects with notLeader, whose detail is the leader's address if it is known, or with notConfirmed. */
	async confirmLeadership(timeout: Milliseconds): Promise<void> {
		this.#state.checkStorage();
		if (this.#state.group === null) {
			throw new BuckthornhitchError('notBootstrapped', '');
		}

		if (!this.#leadership) {
			throw new BuckthornhitchError('notLeader', this.#state.leader?.address ?? '');
		}

		return this.#leadership.confirm(timeout);
	}

	/** Appends a command and resolves with its answer. Rejects as `confirmLeadership` does; after notConfirmed the command may still take effect. */
	async propose(command: Command, timeout: Milliseconds): Promise<unknown> {
		const start = this.options.clock.now();
		await this.confirmLeadership(timeout);
		if (!this.#leadership) {
			throw new BuckthornhitchError('notLeader', this.#state.leader?.address ?? '');
		}

		const answer = this.#leadership.propose(command);
		return new Promise((resolve, reject) => {
			const cancel = this.options.clock.schedule(Math.max(0, timeout - (this.options.clock.now() - start)), () => {
				reject(new BuckthornhitchError('notConfirmed', 'No quorum confirmed the change in time.'));
			});
			const settle = async (): Promise<void> => {
				try {
					resolve(await answer);
				} catch (error) {
					reject(toBuckthornhitchError(error));
				} finally {
					cancel();
				}
			};

			void settle();
		});
	}

	/** Answers `describeVoter`. */
	describe(): DescribeVoterResponse {
		const {name, diskId} = this.self;
		return {
			name, diskId, group: this.#state.group, lastIndex: this.#state.log.end.index, term: this.promise.term,
		};
	}

	/** Gives this empty voter its first list. Rejects with alreadyBootstrapped, except for the same list again. */
	async bootstrap(request: BootstrapRequest): Promise<void> {
		const voters = request.voters.toSorted((first, second) => voterKey(first).localeCompare(voterKey(second)));
		if (!voters.some(voter => voterKey(voter) === voterKey(this.self))) {
			throw new BuckthornhitchError('invalidSetting', `The voter list does not name ${voterKey(this.self)}.`);
		}

		const group = groupOf(voters);
		return this.#state.serially(async () => {
			if (this.#state.group === group) {
				return;
			}

			if (this.#state.group !== null) {
				throw new BuckthornhitchError('alreadyBootstrapped', '');
			}

			const snapshot: Snapshot = {
				index: bootstrapIndex, term: 1, group, list: {voters, learners: []}, image: undefined,
			};
			await this.#state.savePromise({term: Math.max(1, this.promise.term), votedFor: this.promise.votedFor});
			await this.#state.install(snapshot);
			this.#state.setRole(this.#state.restingRole());
			this.#election.restart();
			this.options.observer.event('bootstrapped', this.self.name, voters.map(voter => voterKey(voter)).join(', '));
		});
	}

	/** Answers `requestVote`. */
	async handleVote(request: VoteRequest): Promise<VoteResponse> {
		return this.#state.serially(async () => {
			const {promise, group} = this.#state;
			const heardLeaderRecently = this.#leaderHeard();
			const granted = group === request.group && grantsVote({
				promise,
				ownLastPosition: this.#state.log.end,
				ownIdentity: this.self,
				hasLog: group !== null,
				heardLeaderRecently,
				term: request.term,
				candidate: request.candidate,
				candidateLastPosition: {index: request.lastIndex, term: request.lastTerm},
				target: request.target,
			});
			if (request.preliminary || heardLeaderRecently || group !== request.group || request.term < promise.term) {
				return {term: promise.term, granted};
			}

			await this.#answerVote(request, granted);
			return {term: this.promise.term, granted};
		});
	}

	/** Answers `appendEntries`. */
	async handleAppend(request: AppendRequest): Promise<AppendResponse> {
		this.#checkTarget(request);
		return this.#state.serially(async () => {
			const {log} = this.#state;
			if (!await this.#followLeader(request, request.leader)) {
				return {term: this.promise.term, accepted: false, index: 0};
			}

			const {term} = request;
			if (this.#state.group === null || !matchesLog(request.previousTerm, log.termAt(request.previousIndex))) {
				const index = this.#state.group === null ? 0 : Math.min(log.end.index, request.previousIndex - 1);
				return {term, accepted: false, index: Math.max(index, this.#state.commitIndex)};
			}

			await this.#state.append(newEntries(request.entries, index => log.termAt(index)));
			const index = request.previousIndex + request.entries.length;
			this.#state.commit(Math.min(request.commitIndex, index));
			this.#state.setRole(this.#state.restingRole());
			await this.#state.compact(this.#timing);
			return {term, accepted: true, index};
		});
	}

	/** Answers `installSnapshot`. */
	async handleSnapshot(request: SnapshotRequest): Promise<AppendResponse> {
		this.#checkTarget(request);
		return this.#state.serially(async () => {
			if (!await this.#followLeader(request, request.leader)) {
				return {term: this.promise.term, accepted: false, index: 0};
			}

			if (request.snapshot.index > this.#state.commitIndex) {
				await this.#state.install(request.snapshot);
				this.#state.setRole(this.#state.restingRole());
				this.options.observer.event('snapshotInstalled', this.self.name, `index ${request.snapshot.index} from ${request.leader.name}`);
			}

			return {term: request.term, accepted: true, index: Math.max(request.snapshot.index, this.#state.commitIndex)};
		});
	}

	#leaderHeard(): boolean {
		const heard = this.options.clock.now() - this.#state.heardAt < this.#timing.minimumElectionTimeout;
		return heard || this.leaseLive;
	}

	async #answerVote(request: VoteRequest, granted: boolean): Promise<void> {
		const higher = request.term > this.promise.term;
		if (granted) {
			await this.#state.savePromise({term: request.term, votedFor: voterKey(request.candidate)});
			this.#election.restart();
		} else if (higher) {
			await this.#state.savePromise({term: request.term, votedFor: null});
		}

		if (higher) {
			this.#stepDown();
		}
	}

	#checkTarget(request: VoterRequest): void {
		const {group} = this.#state;
		if (voterKey(request.target) !== voterKey(this.self) || (group !== null && group !== request.group)) {
			throw new BuckthornhitchError('notBootstrapped', `This is voter ${voterKey(this.self)} of group ${group ?? 'none'}.`);
		}
	}

	/** Follows the sender; resolves with false when its term has passed. */
	async #followLeader(request: VoterRequest, leader: VoterRecord): Promise<boolean> {
		if (request.term < this.promise.term) {
			return false;
		}

		if (request.term > this.promise.term) {
			await this.#state.savePromise({term: request.term, votedFor: null});
		}

		this.#stepDown();
		this.#state.leader = leader;
		this.#state.heardAt = this.options.clock.now();
		this.#election.restart();
		return true;
	}

	async #observeTerm(term: number): Promise<void> {
		await this.#state.serially(async () => {
			if (term > this.promise.term) {
				await this.#state.savePromise({term, votedFor: null});
				this.#stepDown();
			}
		}).catch(() => undefined);
	}

	#lead(observeTerm: (term: number) => void): void {
		const {term} = this.promise;
		this.#election.stop();
		this.#state.setRole('leader');
		this.#leadership = new Leadership(this.#state, this.#timing, {
			term,
			onHigherTerm: observeTerm,
			onLeaseLost: () => {
				this.options.observer.event('leaseLost', this.self.name, `term ${term}`);
				this.#stepDown();
			},
		});
		this.#repair = new VoterRepair(this.#state, this.#leadership, this.#timing);
		this.#leadership.start();
		this.options.logger.info(`leader of term ${term}`);
		this.options.observer.event('elected', this.self.name, `term ${term}`);
	}

	#stepDown(): void {
		const leadership = this.#leadership;
		this.#leadership = undefined;
		this.#repair?.stop();
		this.#repair = undefined;
		leadership?.stop();
		this.#state.setRole(this.#state.restingRole());
		if (leadership && !this.#stopped) {
			this.options.logger.info(`no longer leader of term ${leadership.term}`);
			this.#election.restart();
		}
	}

	#storageFailed(error: BuckthornhitchError): void {
		this.options.logger.error(`the voter takes no part until its data folder works: ${error.message}`);
		this.options.observer.event('storageFailed', this.self.name, error.detail);
		this.#stepDown();
		this.#election.stop();
		this.#state.setRole('failed');
		this.#scheduleRecovery();
	}

	#scheduleRecovery(): void {
		this.#cancelRecovery?.();
		this.#cancelRecovery = this.options.clock.schedule(this.#timing.checkPeriod, () => {
			void this.#state.recover().then(recovered => {
				if (this.#stopped) {
					return;
				}

				if (!recovered) {
					this.#scheduleRecovery();
					return;
				}

				this.options.observer.event('storageRecovered', this.self.name, '');
				this.#election.restart();
			});
		});
	}
}

function groupOf(voters: readonly VoterRecord[]): string {
	return createHash('sha256').update(JSON.stringify(voters.map(voter => voterKey(voter)))).digest('hex').slice(0, 24);
}
