import {type Cancel} from '../clock/clock.js';
import {isElected} from './log-rules.js';
import {type VoteRequest, type VoteResponse} from './messages.js';
import {type VoterTiming} from './voter-options.js';
import {type VoterState} from './voter-state.js';
import {voterKey, type VoterRecord} from './types.js';

/** Index of the snapshot that bootstrap writes. */
export const bootstrapIndex = 1;

/** Stands for election when no leader is heard. */
export class Election {
	#cancelTimer: Cancel | undefined;
	#attempt = 0;

	constructor(
		private readonly state: VoterState,
		private readonly timing: VoterTiming,
		private readonly onElected: () => void,
		private readonly onHigherTerm: (term: number) => void,
	) {}

	/** Starts the wait for a leader anew. */
	restart(): void {
		this.stop();
		const {clock, random} = this.state.options;
		const {minimumElectionTimeout, maximumElectionTimeout} = this.timing;
		const delay = minimumElectionTimeout + random.integerBelow(maximumElectionTimeout - minimumElectionTimeout + 1);
		this.#cancelTimer = clock.schedule(delay, () => {
			this.restart();
			if (this.#mayStand()) {
				void this.#stand();
			}
		});
	}

	/** Ends the wait and makes answers to an election under way count for nothing. */
	stop(): void {
		this.#attempt++;
		this.#cancelTimer?.();
	}

	#mayStand(): boolean {
		const {role, isVoter, heardAt, options} = this.state;
		const silent = options.clock.now() - heardAt >= this.timing.minimumElectionTimeout;
		return isVoter && silent && (role === 'follower' || role === 'candidate');
	}

	async #stand(): Promise<void> {
		const attempt = this.#attempt;
		const term = this.state.promise.term + 1;
		// The preliminary round keeps a voter that cannot win from raising the term of the others.
		if (!await this.#collect(attempt, term, true)) {
			return;
		}

		try {
			await this.state.serially(async () => this.#raiseTerm(attempt, term));
		} catch {
			// A failed write has ended this voter's part already.
			return;
		}

		if (this.#counts(attempt) && this.state.promise.term === term && await this.#collect(attempt, term, false)
			&& this.#counts(attempt) && this.state.promise.term === term) {
			this.onElected();
		}
	}

	async #raiseTerm(attempt: number, term: number): Promise<void> {
		if (this.#counts(attempt) && this.#mayStand() && this.state.promise.term === term - 1) {
			await this.state.savePromise({term, votedFor: voterKey(this.state.self)});
			this.state.setRole('candidate');
		}
	}

	#counts(attempt: number): boolean {
		return attempt === this.#attempt;
	}

	/** Asks all voters; resolves with whether enough of them granted it. */
	async #collect(attempt: number, term: number, preliminary: boolean): Promise<boolean> {
		const {log, self} = this.state;
		const {voters} = log.list;
		const firstElection = log.end.index === bootstrapIndex;
		const votes = new Set([voterKey(self)]);
		return new Promise(resolve => {
			const check = (): void => {
				if (isElected(voters, votes, firstElection)) {
					resolve(true);
				}
			};

			check();
			const asked = voters.filter(voter => voterKey(voter) !== voterKey(self)).map(async voter => {
				if (await this.#ask(voter, term, preliminary) && this.#counts(attempt)) {
					votes.add(voterKey(voter));
					check();
				}
			});
			void Promise.allSettled(asked).then(() => {
				resolve(false);
			});
		});
	}

	async #ask(voter: VoterRecord, term: number, preliminary: boolean): Promise<boolean> {
		const {log, self, group, options} = this.state;
		const body: VoteRequest = {
			group: group!,
			term,
			target: {name: voter.name, diskId: voter.diskId},
			candidate: self,
			lastIndex: log.end.index,
			lastTerm: log.end.term,
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
