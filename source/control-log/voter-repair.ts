import {type Cancel, type Milliseconds} from '../clock/clock.js';
import {type Leadership} from './leadership.js';
import {promoteLearner, removeLostVoter, mayChangeList} from './log-rules.js';
import {type DescribeVoterResponse} from './messages.js';
import {
	voterKey, type VoterList, type VoterRecord,
} from './types.js';
import {type VoterTiming} from './voter-options.js';
import {type VoterState} from './voter-state.js';

/** Replaces voters that lost their disks or fell silent for good, while this voter leads. */
export class VoterRepair {
	readonly #cancel: Cancel;
	/** Start of the leadership; silence before it does not count. */
	readonly #startedAt: Milliseconds;
	/** New identities found, by the key of the lost one. */
	readonly #found = new Map<string, VoterRecord>();
	/** Commit index at the last check. */
	#checkedIndex = Number.POSITIVE_INFINITY;
	/** Commit index at the check before it, up to which a learner must have caught up. */
	#roundIndex = Number.POSITIVE_INFINITY;
	#changing = false;
	#stopped = false;

	constructor(private readonly state: VoterState, private readonly leadership: Leadership, private readonly timing: VoterTiming) {
		this.#startedAt = state.options.clock.now();
		this.#cancel = state.options.clock.repeat(timing.checkPeriod, () => {
			this.#check();
		});
	}

	/** Ends the search. */
	stop(): void {
		this.#stopped = true;
		this.#cancel();
	}

	#check(): void {
		const {list} = this.state.log;
		for (const record of [...list.voters, ...list.learners]) {
			const isSelf = voterKey(record) === voterKey(this.state.self);
			if (!isSelf && !this.leadership.heardFrom(record, this.timing.checkPeriod)) {
				void this.#describe(record);
			}
		}

		this.#chooseCandidates(list);

		this.#roundIndex = this.#checkedIndex;
		this.#checkedIndex = this.state.commitIndex;
		void this.#change();
	}

	/** Gives each voter that was silent for long a live instance that is not in the list. */
	#chooseCandidates(list: VoterList): void {
		const {clock, spareInstances} = this.state.options;
		const {replaceAfter} = this.timing;
		if (!spareInstances || clock.now() - this.#startedAt < replaceAfter) {
			return;
		}

		const silent = list.voters.filter(voter => voterKey(voter) !== voterKey(this.state.self) && !this.leadership.heardFrom(voter, replaceAfter));
		const used = new Set([...list.voters, ...list.learners].map(record => record.name));
		const free = [...spareInstances()].filter(candidate => !used.has(candidate.name));
		for (const voter of silent) {
			const chosen = this.#found.get(voterKey(voter)) ?? free.shift();
			if (chosen) {
				this.#found.set(voterKey(voter), chosen);
				this.leadership.addLearner(chosen);
			}
		}
	}

	/** Asks the process at the address of a silent voter whether it has another disk now. */
	async #describe(lost: VoterRecord): Promise<void> {
		const address = this.state.addressOf(lost);
		try {
			const answer = await this.state.options.linkClient.request(address, 'describeVoter', null, this.timing.requestTimeout) as DescribeVoterResponse;
			const isNewDisk = answer.name === lost.name && answer.diskId !== lost.diskId;
			const isFree = answer.group === null || answer.group === this.state.group;
			if (this.#stopped || !isNewDisk || !isFree) {
				return;
			}

			const found = {name: answer.name, diskId: answer.diskId, address};
			if (this.#found.get(voterKey(lost))?.diskId !== found.diskId) {
				this.state.options.observer.event('voterDiskLost', lost.name, `disk ${lost.diskId} was replaced by ${found.diskId}`);
				this.#found.set(voterKey(lost), found);
			}

			this.leadership.addLearner(found);
		} catch {
			// The voter cannot be reached; the next check asks again.
		}
	}

	async #change(): Promise<void> {
		const list = this.#changing ? undefined : this.#nextList();
		if (!list) {
			return;
		}

		this.#changing = true;
		try {
			await this.leadership.propose({kind: 'changeVoters', list});
			this.state.options.observer.event('votersChanged', this.state.self.name, describeList(list));
		} catch {
			// The next check finds out what is in force.
		} finally {
			this.#changing = false;
		}

		// The learner becomes a voter as soon as the list without the lost identity is committed.
		if (!this.#stopped) {
			void this.#change();
		}
	}

	#nextList(): VoterList | undefined {
		const question = this.leadership.changeQuestion(this.#roundIndex);
		const {list} = question;
		if (!mayChangeList(question)) {
			return undefined;
		}

		for (const learner of list.learners) {
			const newer = this.#found.get(voterKey(learner));
			if (newer) {
				return {voters: list.voters, learners: list.learners.map(other => other === learner ? newer : other)};
			}

			const added = promoteLearner(question, learner);
			if (added) {
				return added;
			}
		}

		// A learner in the list is a change that has not ended; the next one waits for it.
		return list.learners.length > 0 ? undefined : this.#nextListWithoutLost();
	}

	#nextListWithoutLost(): VoterList | undefined {
		const question = this.leadership.changeQuestion(this.#roundIndex);
		for (const voter of question.list.voters) {
			const replacement = this.#found.get(voterKey(voter));
			const list = replacement && removeLostVoter(question, voter, replacement);
			if (list) {
				return list;
			}
		}

		return undefined;
	}
}

function describeList(list: VoterList): string {
	const voters = list.voters.map(voter => voterKey(voter)).join(', ');
	const learners = list.learners.map(learner => voterKey(learner)).join(', ');
	return learners === '' ? `voters ${voters}` : `voters ${voters}; learners ${learners}`;
}
