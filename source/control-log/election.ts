import {type Cancel} from '../clock/clock.js';
import {isElected} from './log-rules.js';
import {type VoteRequest, type VoteResponse} from './messages.js';
import {type VoterTiming} from './voter-options.js';
import {type VoterState} from './voter-state.js';
import {voterKey, type VoterRecord} from './types.js';

/** Index of the snapshot that bootstrap writes; a log that ends here has no entry of a leader yet. */
export const bootstrapIndex = 1;

/** Election timer and candidacy of a voter: starts an election when no leader was heard from within the timeout. */
export class Election {
	#cancelTimer: Cancel | undefined;
	/** Number of the election attempt, raised whenever the timer is restarted or stopped. Responses to an earlier attempt are ignored. */
	#attempt = 0;

	constructor(
		private readonly state: VoterState,
		private readonly timing: VoterTiming,
		private readonly onElected: () => void,
		private readonly onHigherTerm: (term: number) => void,
	) {}

	/** Restarts the randomized election timer and abandons a running election. */
	restartTimer(): void {
		this.stop();
		const {clock, random} = this.state.options;
		const {minimumElectionTimeout, maximumElectionTimeout} = this.timing;
		const delay = minimumElectionTimeout + random.integerBelow(maximumElectionTimeout - minimumElectionTimeout + 1);
		this.#cancelTimer = clock.schedule(delay, () => {
			this.restartTimer();
			if (this.#canStartElection()) {
				void this.#runElection();
			}
		});
	}

	/** Stops the timer; responses to a running election are ignored. */
	stop(): void {
		this.#attempt++;
		this.#cancelTimer?.();
	}

	#canStartElection(): boolean {
		const {role, isVoter, leaderHeardAt, options} = this.state;
		const isLeaderSilent = options.clock.now() - leaderHeardAt >= this.timing.minimumElectionTimeout;
		return isVoter && isLeaderSilent && (role === 'follower' || role === 'candidate');
	}

	async #runElection(): Promise<void> {
		const attempt = this.#attempt;
		const term = this.state.termAndVote.term + 1;
		// The pre-vote keeps a voter that cannot win from raising the term of the others.
		if (!await this.#collectVotes(attempt, term, true)) {
			return;
		}

		try {
			await this.state.runExclusive(async () => this.#becomeCandidate(attempt, term));
		} catch {
			// The storage failed; the voter has already taken the role `failed`.
			return;
		}

		if (this.#isCurrent(attempt) && this.state.termAndVote.term === term && await this.#collectVotes(attempt, term, false)
			&& this.#isCurrent(attempt) && this.state.termAndVote.term === term) {
			this.onElected();
		}
	}

	async #becomeCandidate(attempt: number, term: number): Promise<void> {
		if (this.#isCurrent(attempt) && this.#canStartElection() && this.state.termAndVote.term === term - 1) {
			await this.state.saveTermAndVote({term, votedFor: voterKey(this.state.self)});
			this.state.setRole('candidate');
		}
	}

	#isCurrent(attempt: number): boolean {
		return attempt === this.#attempt;
	}

	/** Requests votes from all voters; resolves with whether they elect this voter. */
	async #collectVotes(attempt: number, term: number, preliminary: boolean): Promise<boolean> {
		const {log, self} = this.state;
		const {voters} = log.voterList;
		const isFirstElection = log.lastPosition.index === bootstrapIndex;
		const votes = new Set([voterKey(self)]);
		return new Promise(resolve => {
			const resolveIfElected = (): void => {
				if (isElected(voters, votes, isFirstElection)) {
					resolve(true);
				}
			};

			resolveIfElected();
			const requests = voters.filter(voter => voterKey(voter) !== voterKey(self)).map(async voter => {
				if (await this.#requestVote(voter, term, preliminary) && this.#isCurrent(attempt)) {
					votes.add(voterKey(voter));
					resolveIfElected();
				}
			});
			void Promise.allSettled(requests).then(() => {
				resolve(false);
			});
		});
	}

	async #requestVote(voter: VoterRecord, term: number, preliminary: boolean): Promise<boolean> {
		const {log, self, group, options} = this.state;
		const body: VoteRequest = {
			group: group!,
			term,
			target: {name: voter.name, diskId: voter.diskId},
			candidate: self,
			lastIndex: log.lastPosition.index,
			lastTerm: log.lastPosition.term,
			preliminary,
		};
		try {
			const response = await options.linkClient.request(this.state.addressOf(voter), 'requestVote', body, this.timing.requestTimeout) as VoteResponse;
			if (response.term > term) {
				this.onHigherTerm(response.term);
				return false;
			}

			return response.granted;
		} catch {
			return false;
		}
	}
}
