import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {firstBatch} from './entry-size.js';
import {
	isLeaseValid, nextCommitIndex, quorumValue, type VoterChangeInput,
} from './log-rules.js';
import {type AppendResponse} from './messages.js';
import {Peer} from './peer.js';
import {
	voterKey, type Command, type ControlLogEntry, type VoterIdentity, type VoterRecord,
} from './types.js';
import {type VoterOptions, type VoterTiming} from './voter-options.js';
import {type VoterState} from './voter-state.js';

/** Promise callbacks of a command that waits for its commit. */
type PendingResult = {
	readonly resolve: (result: unknown) => void;
	readonly reject: (error: BuckthornhitchError) => void;
};

type Proposal = PendingResult & {readonly command: Command};

/** Request that waits until a quorum acknowledges a message sent at or after `requestedAt`. */
type PendingConfirmation = {
	readonly requestedAt: Milliseconds;
	readonly resolve: () => void;
	readonly reject: (error: BuckthornhitchError) => void;
};

/** Term of a leadership and callbacks for the events that end it. */
export type LeadershipOptions = {
	readonly term: number;
	/** A peer responded with a higher term. */
	readonly onHigherTerm: (term: number) => void;
	/** No quorum acknowledged this leader within the maximum election timeout. */
	readonly onQuorumLost: () => void;
};

/** Limit on the entries in one message, so that a follower handles it within the request timeout. */
const maximumEntriesPerMessage = 64;

/** Leadership of one term: replicates the log, advances the commit index and confirms reads. */
export class Leadership {
	readonly #peers = new Map<string, Peer>();
	/** Learners that are not in the voter list yet, by key. */
	readonly #newLearners = new Map<string, VoterRecord>();
	/** Appended commands that wait for their commit, by index. */
	readonly #pendingEntries = new Map<number, PendingResult>();
	readonly #pendingConfirmations = new Set<PendingConfirmation>();
	readonly #startedAt: Milliseconds;
	readonly #cancelHeartbeat: Cancel;
	readonly #voterOptions: VoterOptions;
	/** Commands that are not appended yet. */
	#proposals: Proposal[] = [];
	/** Index of the no-op entry that starts the term. */
	#noOpIndex = Number.POSITIVE_INFINITY;
	#stopped = false;

	constructor(
		private readonly state: VoterState,
		private readonly timing: VoterTiming,
		private readonly leadershipOptions: LeadershipOptions,
	) {
		this.#voterOptions = state.options;
		this.#startedAt = this.#voterOptions.clock.now();
		this.#cancelHeartbeat = this.#voterOptions.clock.repeat(timing.heartbeatPeriod, () => {
			this.#sendHeartbeats();
		});
	}

	/** Term of this leadership. */
	get term(): number {
		return this.leadershipOptions.term;
	}

	/** Whether an entry of this term is committed; from then on, every entry that an earlier leader committed is applied here. */
	get currentTermCommitted(): boolean {
		return this.state.commitIndex >= this.#noOpIndex;
	}

	/** Whether the lease is valid, so that this leader may answer reads without asking a quorum. Acknowledgements of messages sent before a suspected suspension of the instance do not count, because the monotonic clock stops during a suspension. */
	get leaseLive(): boolean {
		return !this.#stopped && this.currentTermCommitted
			&& quorumValue(this.#voters, this.#lastAcknowledgedSendTime) > this.#voterOptions.clock.lastSuspectedSuspension()
			&& isLeaseValid(this.#voterOptions.clock.now(), this.timing.leaseDuration, this.#voters, this.#lastAcknowledgedSendTime);
	}

	/** Starts the term by appending a no-op entry. */
	start(): void {
		this.#noOpIndex = this.state.log.lastPosition.index + 1;
		this.propose({kind: 'opening'}).catch(() => {
			// The command is rejected only if the leadership ends, which the voter handles.
		});
	}

	/** Ends the leadership. Appended commands and confirmations fail with notConfirmed, commands not appended yet with notLeader. */
	stop(): void {
		this.#stopped = true;
		this.#cancelHeartbeat();
		const error = new BuckthornhitchError('notConfirmed', 'The leader stepped down before a quorum confirmed.');
		for (const pendingResult of [...this.#pendingEntries.values(), ...this.#pendingConfirmations]) {
			pendingResult.reject(error);
		}

		for (const proposal of this.#proposals) {
			proposal.reject(new BuckthornhitchError('notLeader', ''));
		}

		this.#pendingEntries.clear();
		this.#pendingConfirmations.clear();
		this.#proposals = [];
	}

	/** Resolves once a quorum acknowledged a message sent at or after the call, or at once while the lease is valid. Rejects with notConfirmed after the timeout or when the leadership ends. */
	async confirm(timeout: Milliseconds): Promise<void> {
		if (this.leaseLive) {
			return;
		}

		return new Promise((resolve, reject) => {
			const finish = (): void => {
				cancel();
				this.#pendingConfirmations.delete(confirmation);
			};

			const confirmation: PendingConfirmation = {
				requestedAt: this.#voterOptions.clock.now(),
				resolve() {
					finish();
					resolve();
				},
				reject(error) {
					finish();
					reject(error);
				},
			};
			const cancel = this.#voterOptions.clock.schedule(timeout, () => {
				confirmation.reject(new BuckthornhitchError('notConfirmed', 'No quorum acknowledged this leader in time.'));
			});
			this.#pendingConfirmations.add(confirmation);
			this.#sendHeartbeats();
		});
	}

	/** Appends a command; resolves with its result once it is committed. Rejects with notConfirmed if the outcome is unknown, or with notLeader if the command was not appended. */
	async propose(command: Command): Promise<unknown> {
		return new Promise((resolve, reject) => {
			this.#proposals.push({command, resolve, reject});
			if (this.#proposals.length === 1) {
				this.#scheduleAppend();
			}
		});
	}

	/** Starts replication to a learner that is not in the voter list yet. Replaces an earlier learner of the same name. */
	addLearner(learner: VoterRecord): void {
		for (const [key, other] of this.#newLearners) {
			if (other.name === learner.name) {
				this.#newLearners.delete(key);
			}
		}

		this.#newLearners.set(voterKey(learner), learner);
		this.replicate();
	}

	/** Returns whether a peer acknowledged a message sent less than `maximumAge` ago. */
	hasAcknowledgedWithin(identity: VoterIdentity, maximumAge: Milliseconds): boolean {
		return this.#voterOptions.clock.now() - this.#lastAcknowledgedSendTime(voterKey(identity)) < maximumAge;
	}

	/** Returns the input of `mayChangeVoters`, `removeLostVoter` and `promoteLearner`. `catchUpIndex` is the index that a learner must have reached. */
	voterChangeInput(catchUpIndex: number): VoterChangeInput {
		const {log, commitIndex} = this.state;
		return {
			list: log.voterList,
			voterListCommitted: commitIndex >= log.voterListIndex,
			currentTermCommitted: this.currentTermCommitted,
			catchUpIndex,
			matchIndex: this.#matchIndex,
			liveVoters: new Set(log.voterList.voters.filter(voter => this.hasAcknowledgedWithin(voter, this.timing.leaseDuration)).map(voter => voterKey(voter))),
		};
	}

	/** Starts replication to every peer for which no replication is running. */
	replicate(): void {
		for (const peer of this.#currentPeers()) {
			void this.#replicateTo(peer);
		}
	}

	get #voters(): readonly VoterRecord[] {
		return this.state.log.voterList.voters;
	}

	readonly #lastAcknowledgedSendTime = (key: string): Milliseconds =>
		key === voterKey(this.state.self) ? this.#voterOptions.clock.now() : this.#peers.get(key)?.lastAcknowledgedSendTime ?? Number.NEGATIVE_INFINITY;

	readonly #matchIndex = (key: string): number =>
		key === voterKey(this.state.self) ? this.state.durableIndex : this.#peers.get(key)?.matchIndex ?? 0;

	#currentPeers(): readonly Peer[] {
		const {voterList, lastPosition} = this.state.log;
		for (const record of [...voterList.voters, ...voterList.learners, ...this.#newLearners.values()]) {
			const key = voterKey(record);
			if (key !== voterKey(this.state.self) && !this.#peers.has(key)) {
				this.#peers.set(key, new Peer(record, lastPosition.index + 1));
			}
		}

		return [...this.#peers.values()].filter(peer => this.#isReplicationTarget(peer.record));
	}

	#isReplicationTarget(record: VoterRecord): boolean {
		const key = voterKey(record);
		const {voters, learners} = this.state.log.voterList;
		return this.#newLearners.has(key) || [...voters, ...learners].some(other => voterKey(other) === key);
	}

	/** Queues an append behind the pending storage work. Commands proposed until it runs share one sync, up to the size of a batch. */
	#scheduleAppend(): void {
		void this.state.runExclusive(async () => this.#appendProposals()).catch(() => undefined);
	}

	async #appendProposals(): Promise<void> {
		const proposals = firstBatch(this.#proposals);
		this.#proposals = this.#proposals.slice(proposals.length);
		if (this.#stopped || proposals.length === 0) {
			return;
		}

		if (this.#proposals.length > 0) {
			this.#scheduleAppend();
		}

		const firstIndex = this.state.log.lastPosition.index + 1;
		const entries: ControlLogEntry[] = [];
		for (const [offset, proposal] of proposals.entries()) {
			entries.push({index: firstIndex + offset, term: this.term, command: proposal.command});
			this.#pendingEntries.set(firstIndex + offset, proposal);
		}

		await this.state.append(entries, () => {
			this.replicate();
		});
		this.#advanceCommitIndex();
		await this.state.compact(this.timing);
	}

	#sendHeartbeats(): void {
		const lastQuorumAt = Math.max(this.#startedAt, quorumValue(this.#voters, this.#lastAcknowledgedSendTime));
		if (this.#voterOptions.clock.now() - lastQuorumAt > this.timing.maximumElectionTimeout) {
			this.leadershipOptions.onQuorumLost();
			return;
		}

		for (const peer of this.#currentPeers()) {
			void (peer.isReplicating ? this.#sendMessage(peer, true) : this.#replicateTo(peer));
		}
	}

	async #replicateTo(peer: Peer): Promise<void> {
		if (peer.isReplicating) {
			return;
		}

		peer.isReplicating = true;
		try {
			let hasResponded = await this.#sendMessage(peer, false);
			while (hasResponded && !this.#stopped && peer.nextIndex <= this.state.log.lastPosition.index) {
				hasResponded = await this.#sendMessage(peer, false);
			}
		} finally {
			peer.isReplicating = false;
		}
	}

	/** Sends one message; resolves with whether the peer responded. */
	async #sendMessage(peer: Peer, isHeartbeat: boolean): Promise<boolean> {
		const sentAt = this.#voterOptions.clock.now();
		const message = peer.nextMessage(this.state, this.term, isHeartbeat ? 0 : maximumEntriesPerMessage);
		const timeout = message.name === 'installSnapshot' ? this.timing.snapshotTimeout : this.timing.requestTimeout;
		try {
			const response = await this.#voterOptions.linkClient.request(this.state.addressOf(peer.record), message.name, message.body, timeout) as AppendResponse;
			this.#handleResponse(peer, response, sentAt);
			return true;
		} catch {
			return false;
		}
	}

	#handleResponse(peer: Peer, response: AppendResponse, sentAt: Milliseconds): void {
		if (response.term > this.term) {
			this.leadershipOptions.onHigherTerm(response.term);
			return;
		}

		if (this.#stopped || response.term < this.term) {
			return;
		}

		peer.recordResponse(response, sentAt);
		this.#advanceCommitIndex();
	}

	#advanceCommitIndex(): void {
		if (this.#stopped) {
			return;
		}

		const index = nextCommitIndex({
			commitIndex: this.state.commitIndex,
			term: this.term,
			voters: this.#voters,
			matchIndex: this.#matchIndex,
			termAt: index => this.state.log.termAt(index),
		});
		for (const [committedIndex, result] of this.state.commitUpTo(index)) {
			this.#pendingEntries.get(committedIndex)?.resolve(result);
			this.#pendingEntries.delete(committedIndex);
		}

		this.#settleConfirmations();
	}

	#settleConfirmations(): void {
		const quorumAt = quorumValue(this.#voters, this.#lastAcknowledgedSendTime);
		for (const confirmation of this.#pendingConfirmations) {
			if (this.currentTermCommitted && quorumAt >= confirmation.requestedAt) {
				confirmation.resolve();
			}
		}
	}
}
