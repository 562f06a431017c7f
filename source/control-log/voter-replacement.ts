import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type Leadership} from './leadership.js';
import {promoteLearner, removeLostVoter, mayChangeVoters} from './log-rules.js';
import {type DescribeVoterResponse} from './messages.js';
import {
	voterKey, type VoterList, type VoterRecord,
} from './types.js';
import {type VoterTiming} from './voter-options.js';
import {type VoterState} from './voter-state.js';

/** Replaces voters that lost their disk or stopped answering, while this voter is the leader. */
export class VoterReplacement {
	readonly #cancel: Cancel;
	/** Start of the leadership. No spare instance is assigned within `replaceVoterAfter` of it, because only a lack of responses to this leader counts. */
	readonly #startedAt: Milliseconds;
	/** Replacements by the key of the lost voter. */
	readonly #replacements = new Map<string, VoterRecord>();
	#commitIndexAtLastCheck = Number.POSITIVE_INFINITY;
	/** Commit index at the check before the latest one. A learner must reach it to become a voter. */
	#catchUpIndex = Number.POSITIVE_INFINITY;
	#changePending = false;
	#stopped = false;

	constructor(private readonly state: VoterState, private readonly leadership: Leadership, private readonly timing: VoterTiming) {
		this.#startedAt = state.options.clock.now();
		this.#cancel = state.options.clock.repeat(timing.voterCheckPeriod, () => {
			this.#checkVoters();
		});
	}

	/** Stops the checks. */
	stop(): void {
		this.#stopped = true;
		this.#cancel();
	}

	#checkVoters(): void {
		const {voterList} = this.state.log;
		for (const record of [...voterList.voters, ...voterList.learners]) {
			const isSelf = voterKey(record) === voterKey(this.state.self);
			if (!isSelf && !this.leadership.hasAcknowledgedWithin(record, this.timing.voterCheckPeriod)) {
				void this.#detectReplacedDisk(record);
			}
		}

		this.#assignSpareInstances(voterList);

		this.#catchUpIndex = this.#commitIndexAtLastCheck;
		this.#commitIndexAtLastCheck = this.state.commitIndex;
		void this.#proposeNextChange();
	}

	/** Assigns a live instance that is not in the voter list to each voter that has been silent for too long. */
	#assignSpareInstances(list: VoterList): void {
		const {clock, spareInstances} = this.state.options;
		const {replaceVoterAfter} = this.timing;
		if (!spareInstances || clock.now() - this.#startedAt < replaceVoterAfter) {
			return;
		}

		const silentVoters = list.voters.filter(voter => voterKey(voter) !== voterKey(this.state.self) && !this.leadership.hasAcknowledgedWithin(voter, replaceVoterAfter));
		const listedNames = new Set([...list.voters, ...list.learners].map(record => record.name));
		const unlistedInstances = [...spareInstances()].filter(candidate => !listedNames.has(candidate.name));
		for (const voter of silentVoters) {
			const replacement = this.#replacements.get(voterKey(voter)) ?? unlistedInstances.shift();
			if (replacement) {
				this.#replacements.set(voterKey(voter), replacement);
				this.leadership.addLearner(replacement);
			}
		}
	}

	/** Requests the disk id of a voter that does not respond. If the process has a new disk, it replaces the voter, unless it belongs to another group. */
	async #detectReplacedDisk(voter: VoterRecord): Promise<void> {
		const address = this.state.addressOf(voter);
		try {
			const response = await this.state.options.linkClient.request(address, 'describeVoter', null, this.timing.requestTimeout) as DescribeVoterResponse;
			const isNewDisk = response.name === voter.name && response.diskId !== voter.diskId;
			const isUsable = response.group === null || response.group === this.state.group;
			if (this.#stopped || !isNewDisk || !isUsable) {
				return;
			}

			const replacement = {name: response.name, diskId: response.diskId, address};
			if (this.#replacements.get(voterKey(voter))?.diskId !== replacement.diskId) {
				this.state.options.observer.event('voterDiskLost', voter.name, `disk ${voter.diskId} was replaced by ${replacement.diskId}`);
				this.#replacements.set(voterKey(voter), replacement);
			}

			this.leadership.addLearner(replacement);
		} catch {
			// The voter is unreachable; the next check asks again.
		}
	}

	async #proposeNextChange(): Promise<void> {
		const list = this.#changePending ? undefined : this.#nextVoterList();
		if (!list) {
			return;
		}

		this.#changePending = true;
		try {
			await this.leadership.propose({kind: 'changeVoters', list});
			this.state.options.observer.event('votersChanged', this.state.self.name, describeVoterList(list));
		} catch {
			// The outcome is unknown; the next check reads the current voter list.
		} finally {
			this.#changePending = false;
		}

		// Once the list without the lost voter is committed, the learner can become a voter at once.
		if (!this.#stopped) {
			void this.#proposeNextChange();
		}
	}

	#nextVoterList(): VoterList | undefined {
		const input = this.leadership.voterChangeInput(this.#catchUpIndex);
		const {list} = input;
		if (!mayChangeVoters(input)) {
			return undefined;
		}

		for (const learner of list.learners) {
			const newerReplacement = this.#replacements.get(voterKey(learner));
			if (newerReplacement) {
				return {voters: list.voters, learners: list.learners.map(other => other === learner ? newerReplacement : other)};
			}

			const listWithLearnerPromoted = promoteLearner(input, learner);
			if (listWithLearnerPromoted) {
				return listWithLearnerPromoted;
			}
		}

		// A learner in the list belongs to an unfinished change, which must end before the next one starts.
		return list.learners.length > 0 ? undefined : this.#voterListWithReplacement();
	}

	#voterListWithReplacement(): VoterList | undefined {
		const input = this.leadership.voterChangeInput(this.#catchUpIndex);
		for (const voter of input.list.voters) {
			const replacement = this.#replacements.get(voterKey(voter));
			const list = replacement && removeLostVoter(input, voter, replacement);
			if (list) {
				return list;
			}
		}

		return undefined;
	}
}

function describeVoterList(list: VoterList): string {
	const voters = list.voters.map(voter => voterKey(voter)).join(', ');
	const learners = list.learners.map(learner => voterKey(learner)).join(', ');
	return learners === '' ? `voters ${voters}` : `voters ${voters}; learners ${learners}`;
}
