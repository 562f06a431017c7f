import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {firstBatch} from './entry-size.js';
import {
	isLeaseLive, nextCommitIndex, quorumValue, type VoterChangeInput,
} from './log-rules.js';
import {type AppendResponse} from './messages.js';
import {Peer} from './peer.js';
import {
	voterKey, type Command, type ControlLogEntry, type VoterIdentity, type VoterRecord,
} from './types.js';
import {type VoterOptions, type VoterTiming} from './voter-options.js';
import {type VoterState} from './voter-state.js';

type Settle = {
	readonly resolve: (answer: unknown) => void;
	readonly reject: (error: BuckthornhitchError) => void;
};

type Proposal = Settle & {readonly command: Command};

type Confirmation = {
	readonly askedAt: Milliseconds;
	readonly resolve: () => void;
	readonly reject: (error: BuckthornhitchError) => void;
};

/** The term that is led, and what ends it. */
export type LeadershipEvents = {
	readonly term: number;
	readonly onHigherTerm: (term: number) => void;
	readonly onLeaseLost: () => void;
};

/** Entries in one message; bounds the time that a follower needs for it. */
const entriesPerMessage = 64;

/** Work of a voter while it is the leader of one term. */
export class Leadership {
	readonly #peers = new Map<string, Peer>();
	readonly #learners = new Map<string, VoterRecord>();
	readonly #waiting = new Map<number, Settle>();
	readonly #confirmations = new Set<Confirmation>();
	readonly #startedAt: Milliseconds;
	readonly #cancelHeartbeat: Cancel;
	readonly #options: VoterOptions;
	#proposals: Proposal[] = [];
	#openingIndex = Number.POSITIVE_INFINITY;
	#stopped = false;

	constructor(
		private readonly state: VoterState,
		private readonly timing: VoterTiming,
		private readonly events: LeadershipEvents,
	) {
		this.#options = state.options;
		this.#startedAt = this.#options.clock.now();
		this.#cancelHeartbeat = this.#options.clock.repeat(timing.heartbeat, () => {
			this.#heartbeat();
		});
	}

	/** The term that is led. */
	get term(): number {
		return this.events.term;
	}

	/** Whether an entry of this term is committed, so that every earlier accepted entry is carried out here. */
	get openingCommitted(): boolean {
		return this.state.commitIndex >= this.#openingIndex;
	}

	/** Whether this leader may speak for the group without asking. */
	get leaseLive(): boolean {
		return !this.#stopped && this.openingCommitted
			&& quorumValue(this.#voters, this.#acknowledgedAt) > this.#options.clock.lastSuspectedSuspension()
			&& isLeaseLive(this.#options.clock.now(), this.timing.leaseDuration, this.#voters, this.#acknowledgedAt);
	}

	/** Starts the term with an entry of its own. */
	start(): void {
		this.#openingIndex = this.state.log.end.index + 1;
		this.propose({kind: 'opening'}).catch(() => {
			// The end of the leadership is reported where it is noticed.
		});
	}

	/** Ends the leadership; the outcome of what is waiting is unknown. */
	stop(): void {
		this.#stopped = true;
		this.#cancelHeartbeat();
		const error = new BuckthornhitchError('notConfirmed', 'The leader stepped down before a quorum confirmed.');
		for (const settle of [...this.#waiting.values(), ...this.#confirmations]) {
			settle.reject(error);
		}

		for (const proposal of this.#proposals) {
			proposal.reject(new BuckthornhitchError('notLeader', ''));
		}

		this.#waiting.clear();
		this.#confirmations.clear();
		this.#proposals = [];
	}

	/** Resolves when a quorum acknowledged this leader at or after the call, or at once while the lease lives. Rejects with notConfirmed. */
	async confirm(timeout: Milliseconds): Promise<void> {
		if (this.leaseLive) {
			return;
		}

		return new Promise((resolve, reject) => {
			const finish = (): void => {
				cancel();
				this.#confirmations.delete(confirmation);
			};

			const confirmation: Confirmation = {
				askedAt: this.#options.clock.now(),
				resolve() {
					finish();
					resolve();
				},
				reject(error) {
					finish();
					reject(error);
				},
			};
			const cancel = this.#options.clock.schedule(timeout, () => {
				confirmation.reject(new BuckthornhitchError('notConfirmed', 'No quorum acknowledged this leader in time.'));
			});
			this.#confirmations.add(confirmation);
			this.#heartbeat();
		});
	}

	/** Appends a command; resolves with its answer once it is committed. Rejects with notConfirmed when this is not known. */
	async propose(command: Command): Promise<unknown> {
		return new Promise((resolve, reject) => {
			this.#proposals.push({command, resolve, reject});
			if (this.#proposals.length === 1) {
				this.#scheduleAppend();
			}
		});
	}

	/** Sends the log to a learner that is not in the list yet. */
	addLearner(learner: VoterRecord): void {
		for (const [key, other] of this.#learners) {
			if (other.name === learner.name) {
				this.#learners.delete(key);
			}
		}

		this.#learners.set(voterKey(learner), learner);
		this.replicate();
	}

	/** Returns whether a peer acknowledged this leader within a time in milliseconds. */
	heardFrom(identity: VoterIdentity, within: Milliseconds): boolean {
		return this.#options.clock.now() - this.#acknowledgedAt(voterKey(identity)) < within;
	}

	/** Returns what a change of the list is decided by; the round index is the commit index up to which a learner must have caught up. */
	changeQuestion(catchUpIndex: number): VoterChangeInput {
		const {log, commitIndex} = this.state;
		return {
			list: log.list,
			listCommitted: commitIndex >= log.listIndex,
			currentTermCommitted: this.openingCommitted,
			catchUpIndex,
			matchIndex: this.#matchIndex,
			liveVoters: new Set(log.list.voters.filter(voter => this.heardFrom(voter, this.timing.leaseDuration)).map(voter => voterKey(voter))),
		};
	}

	/** Sends new entries to every peer that is not busy. */
	replicate(): void {
		for (const peer of this.#currentPeers()) {
			void this.#feed(peer);
		}
	}

	get #voters(): readonly VoterRecord[] {
		return this.state.log.list.voters;
	}

	readonly #acknowledgedAt = (key: string): Milliseconds =>
		key === voterKey(this.state.self) ? this.#options.clock.now() : this.#peers.get(key)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY;

	readonly #matchIndex = (key: string): number =>
		key === voterKey(this.state.self) ? this.state.durableIndex : this.#peers.get(key)?.matchIndex ?? 0;

	#currentPeers(): readonly Peer[] {
		const {list, end} = this.state.log;
		for (const record of [...list.voters, ...list.learners, ...this.#learners.values()]) {
			const key = voterKey(record);
			if (key !== voterKey(this.state.self) && !this.#peers.has(key)) {
				this.#peers.set(key, new Peer(record, end.index + 1));
			}
		}

		return [...this.#peers.values()].filter(peer => this.#isWanted(peer.record));
	}

	#isWanted(record: VoterRecord): boolean {
		const key = voterKey(record);
		const {voters, learners} = this.state.log.list;
		return this.#learners.has(key) || [...voters, ...learners].some(other => voterKey(other) === key);
	}

	/** What is proposed until the storage is free is appended in one sync. */
	#scheduleAppend(): void {
		void this.state.serially(async () => this.#appendProposals()).catch(() => undefined);
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

		const first = this.state.log.end.index + 1;
		const entries: ControlLogEntry[] = [];
		for (const [offset, proposal] of proposals.entries()) {
			entries.push({index: first + offset, term: this.term, command: proposal.command});
			this.#waiting.set(first + offset, proposal);
		}

		await this.state.append(entries, () => {
			this.replicate();
		});
		this.#advanceCommit();
		await this.state.compact(this.timing);
	}

	#heartbeat(): void {
		const lastQuorum = Math.max(this.#startedAt, quorumValue(this.#voters, this.#acknowledgedAt));
		if (this.#options.clock.now() - lastQuorum > this.timing.maximumElectionTimeout) {
			this.events.onLeaseLost();
			return;
		}

		for (const peer of this.#currentPeers()) {
			void (peer.busy ? this.#send(peer, true) : this.#feed(peer));
		}
	}

	async #feed(peer: Peer): Promise<void> {
		if (peer.busy) {
			return;
		}

		peer.busy = true;
		try {
			let sent = await this.#send(peer, false);
			while (sent && !this.#stopped && peer.nextIndex <= this.state.log.end.index) {
				sent = await this.#send(peer, false);
			}
		} finally {
			peer.busy = false;
		}
	}

	/** Sends one message; resolves with whether the peer answered. */
	async #send(peer: Peer, heartbeatOnly: boolean): Promise<boolean> {
		const sentAt = this.#options.clock.now();
		const message = peer.nextMessage(this.state, this.term, heartbeatOnly ? 0 : entriesPerMessage);
		const timeout = message.name === 'installSnapshot' ? this.timing.snapshotTimeout : this.timing.requestTimeout;
		try {
			const response = await this.#options.linkClient.request(this.state.addressOf(peer.record), message.name, message.body, timeout) as AppendResponse;
			this.#receive(peer, response, sentAt);
			return true;
		} catch {
			return false;
		}
	}

	#receive(peer: Peer, response: AppendResponse, sentAt: Milliseconds): void {
		if (response.term > this.term) {
			this.events.onHigherTerm(response.term);
			return;
		}

		if (this.#stopped || response.term < this.term) {
			return;
		}

		peer.receive(response, sentAt);
		this.#advanceCommit();
	}

	#advanceCommit(): void {
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
		for (const [committed, answer] of this.state.commit(index)) {
			this.#waiting.get(committed)?.resolve(answer);
			this.#waiting.delete(committed);
		}

		this.#settleConfirmations();
	}

	#settleConfirmations(): void {
		const quorumAt = quorumValue(this.#voters, this.#acknowledgedAt);
		for (const confirmation of this.#confirmations) {
			if (this.openingCommitted && quorumAt >= confirmation.askedAt) {
				confirmation.resolve();
			}
		}
	}
}
