import {Controller} from '../blackboard/blackboard.js';
import {waitForCondition} from '../blackboard/wait-for-condition.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Timeouts} from '../configuration/types.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Timeline} from '../timeline/timeline.js';
import {type GroupBlackboard} from './group-state.js';
import {
	coversLogPosition, initialLogPosition, laterLogPosition, receivedLogPosition,
} from './log-position-rules.js';
import {type MonitorController} from './monitor-controller.js';
import {
	decidePromotion, preferredMember, type PromotionDecision, type PromotionReason, type PromotionView,
} from './promotion-decision.js';
import {activePrimary, chooseMemberToPromote, nextTerm} from './promotion-rules.js';
import {type MemberStatus} from './types.js';

/** Dependencies of a {@link GroupPromotionController}. */
export type GroupPromotionOptions = {
	readonly database: string;
	readonly board: GroupBlackboard;
	readonly monitor: MonitorController;
	readonly clock: Clock;
	readonly random: Random;
	readonly timeouts: () => Timeouts;
	readonly timeline: Timeline;
	readonly logger: Logger;
};

/** Timeout of a promotion; the member applies its whole log before it starts its term. */
const promotionTimeout: Milliseconds = 3000;

/** Time that a promotion started by another coordinator is given to finish. */
const unfinishedPromotionGracePeriod: Milliseconds = 1000;

/** A primary announces itself every second; one that has not done so for this long has failed or left. */
const unannouncedPrimaryGracePeriod: Milliseconds = 5000;

/** Delay between the detection of a reason for a promotion and the start of the promotion, in addition to the stagger by rank. */
const gracePeriods: Readonly<Record<PromotionReason, Milliseconds>> = {
	newGroup: 0,
	primaryFailed: 0,
	noMemberActsAsPrimary: 0,
	unfinishedPromotion: unfinishedPromotionGracePeriod,
	promiseOfLaterTerm: unfinishedPromotionGracePeriod,
	primaryNotAnnounced: unannouncedPrimaryGracePeriod,
};

/** Delay after a failed promotion: a base and a random part, so that two coordinators whose promotions conflicted do not retry at the same time. */
const promotionRetryDelay: Milliseconds = 50;
const promotionRetryJitter: Milliseconds = 150;

/** Maximum time for which a switchover pauses new writes. */
const switchoverTimeout: Milliseconds = 5000;

/** Delay before the switchover from a leaving primary is retried after a failure. */
const switchoverRetryDelay: Milliseconds = 1000;

/**
Coordinates failover for one database group: promotes a member when the group lacks a primary, makes the others follow it, and performs switchovers.

A pool that runs this controller is a coordinator of the group. A group may have several coordinators at the same time, so a member is promoted only after a majority has promised a new term to the coordinator.
*/
export class GroupPromotionController extends Controller {
	#operationInProgress = false;
	#actionNeededSince: Milliseconds | undefined;
	/** Value of `since` for which `#ensureFreshView` last polled the members. */
	#lastPolledSince: Milliseconds | undefined;
	#earliestAttemptAt: Milliseconds = 0;
	readonly #cancels: Cancel[] = [];

	constructor(private readonly options: GroupPromotionOptions) {
		super();
	}

	override start(): void {
		const {board, clock, timeouts} = this.options;
		const evaluate = (): void => {
			void this.#evaluate();
		};

		this.#cancels.push(
			board.watch('observations', evaluate),
			board.watch('suspects', evaluate),
			board.watch('members', evaluate),
			clock.repeat(timeouts().heartbeat, evaluate),
		);
	}

	override stop(): void {
		for (const cancel of this.#cancels.splice(0)) {
			cancel();
		}
	}

	/** Makes the member the primary without losing a write. Rejects with noPrimary, memberRefused, memberUnreachable or deadlinePassed; after deadlinePassed nothing has changed. */
	async switchOver(target: string): Promise<void> {
		const {board} = this.options;
		const primary = this.#primary();
		if (!board.read('members').has(target)) {
			throw new BuckthornhitchError('memberRefused', `"${target}" is not a member of ${this.options.database}.`);
		}

		if (board.read('suspects').has(target) || !board.read('observations').has(target)) {
			throw new BuckthornhitchError('memberUnreachable', `"${target}" does not answer.`);
		}

		if (!primary || this.#operationInProgress) {
			throw new BuckthornhitchError('noPrimary', 'A promotion is under way.');
		}

		if (primary.member !== target) {
			await this.#performSwitchover(primary, target);
		}
	}

	async #performSwitchover(primary: MemberStatus, target: string): Promise<void> {
		const {board, clock} = this.options;
		this.#operationInProgress = true;
		this.#recordEvent('planned change started', target, `from ${primary.member}`);
		board.write('writesPaused', true);
		try {
			const deadline = clock.now() + switchoverTimeout;
			await this.#waitForCatchUp(primary.member, target, deadline);
			const promoted = await this.#promote('planned', target);
			if (promoted !== target) {
				throw new BuckthornhitchError('memberRefused', promoted === undefined ? 'The promotion did not succeed; see the time line.' : `"${promoted}" was promoted, since its log is longer.`);
			}
		} catch (error) {
			this.#recordEvent('planned change failed', target, toBuckthornhitchError(error).message);
			throw error;
		} finally {
			this.#operationInProgress = false;
			board.write('writesPaused', false);
		}
	}

	async #waitForCatchUp(primary: string, target: string, deadline: Milliseconds): Promise<void> {
		const {board, clock} = this.options;
		const drained = await waitForCondition({board, names: ['writesInProgress'], condition: () => board.read('writesInProgress') === 0}, clock, deadline - clock.now());
		if (!drained) {
			throw new BuckthornhitchError('deadlinePassed', 'Transactions are still open on the primary.');
		}

		// Only the pool that holds the primary's lease writes to it, so this pool usually knows the last log position. If it does not, the responses to the promise calls show a log longer than the target's, and the target is not promoted.
		const primaryObservation = board.read('observations').get(primary);
		const endOfLog = laterLogPosition(board.read('latestWritePosition'), primaryObservation ? receivedLogPosition(primaryObservation.status) : initialLogPosition);
		const hasCaughtUp = (): boolean => {
			const targetObservation = board.read('observations').get(target);
			return Boolean(targetObservation && coversLogPosition(receivedLogPosition(targetObservation.status), endOfLog));
		};

		// The target usually has the whole log already; polling it first would delay its promise by a round trip.
		const caughtUp = hasCaughtUp() || await this.#withFrequentPolls(async () => waitForCondition({board, names: ['observations'], condition: hasCaughtUp}, clock, deadline - clock.now()));
		if (!caughtUp) {
			throw new BuckthornhitchError('deadlinePassed', `"${target}" has not received the whole log.`);
		}
	}

	/** Runs the action with the number of waiting reads increased by one, so that the monitor polls the members frequently. */
	async #withFrequentPolls<Result>(action: () => Promise<Result>): Promise<Result> {
		const {board} = this.options;
		board.write('waitingReadCount', board.read('waitingReadCount') + 1);
		try {
			return await action();
		} finally {
			board.write('waitingReadCount', board.read('waitingReadCount') - 1);
		}
	}

	async #evaluate(): Promise<void> {
		const {board, clock} = this.options;
		if (this.#operationInProgress) {
			return;
		}

		const view = this.#view();
		const decision = decidePromotion(view);
		if (decision.kind === 'none') {
			this.#actionNeededSince = undefined;
			await this.#replaceLeavingPrimary(view);
			return;
		}

		this.#actionNeededSince ??= clock.now();

		const {rank} = board.read('ownership');
		const actAt = Math.max(this.#earliestAttemptAt, this.#actionNeededSince + this.#delayBefore(decision, rank));
		if (rank < 0 || clock.now() < actAt || !this.#ensureFreshView(view, actAt)) {
			return;
		}

		this.#operationInProgress = true;
		try {
			await this.#execute(decision);
		} finally {
			this.#operationInProgress = false;
			this.#actionNeededSince = undefined;
		}
	}

	/**
	Returns whether the status of every member that is not suspected was requested at `since` or later. If not, polls the members, but only once for each value of `since`.

	Statuses of different ages can look like a group without a primary, and another pool may have promoted a member during the staggered delay of this one.
	*/
	#ensureFreshView(view: PromotionView, since: Milliseconds): boolean {
		const {board, monitor} = this.options;
		const observations = board.read('observations');
		const isFresh = view.statuses.every(({member}) => view.suspects.has(member) || (observations.get(member)?.askedAt ?? 0) >= since);
		if (!isFresh && this.#lastPolledSince !== since) {
			this.#lastPolledSince = since;
			monitor.pollNow();
		}

		return isFresh;
	}

	#delayBefore(decision: PromotionDecision, rank: number): Milliseconds {
		const stagger = rank * this.options.timeouts().promotionStagger;
		return stagger + (decision.kind === 'promote' ? gracePeriods[decision.reason] : 0);
	}

	async #execute(decision: PromotionDecision): Promise<void> {
		if (decision.kind === 'follow') {
			await this.#makeMembersFollow(decision.primary, decision.members);
			this.#delayNextAttempt(this.options.timeouts().heartbeat, 0);
		} else if (decision.kind === 'promote' && await this.#promote(decision.reason, decision.preferred) === undefined) {
			this.#delayNextAttempt(promotionRetryDelay, promotionRetryJitter);
		}
	}

	async #replaceLeavingPrimary(view: PromotionView): Promise<void> {
		const {board, clock} = this.options;
		const primary = this.#primary();
		if (!primary || !view.leaving.has(primary.member) || board.read('ownership').rank !== 0 || clock.now() < this.#earliestAttemptAt) {
			return;
		}

		const target = preferredMember(view, view.statuses.filter(status => !view.suspects.has(status.member) && status.member !== primary.member));
		if (target !== undefined) {
			this.#delayNextAttempt(switchoverRetryDelay, 0);
			await this.switchOver(target).catch(() => {
				// The failure is recorded on the time line; a later evaluation retries.
			});
		}
	}

	/** Promotes a member; resolves with its name, or with undefined when the promotion failed. */
	async #promote(reason: PromotionReason | 'planned', preferred: string | undefined): Promise<string | undefined> {
		const {board, database, monitor} = this.options;
		const term = nextTerm([...board.read('observations').values()].map(({status}) => status));
		this.#recordEvent('promotion started', database, `term ${term}, reason ${reason}`);
		const responses = await this.#collectPromises(term);
		const chosen = chooseMemberToPromote(term, responses, board.read('memberCount'), preferred);
		if (!chosen) {
			this.#recordEvent('promotion failed', database, `term ${term}: ${responses.length} of ${board.read('memberCount')} members promised`);
			monitor.pollNow();
			return undefined;
		}

		const others = responses.map(response => response.member).filter(member => member !== chosen.member);
		const [promoted] = await Promise.all([
			this.#promoteChosen(chosen.member, term),
			// No other member can become the primary of this term, so the others can follow without waiting for the promotion.
			this.#makeMembersFollow({member: chosen.member, primaryTerm: term}, others),
		]);
		return promoted ? chosen.member : undefined;
	}

	async #promoteChosen(member: string, term: number): Promise<boolean> {
		const promoted = await this.#callMember(member, 'promote', async client => client.promote(term, promotionTimeout));
		if (promoted) {
			this.#recordEvent('member promoted', member, `term ${term}`);
			// New writes may reach the new primary before the others follow it; they are acknowledged only after a majority holds them.
			this.options.board.write('writesPaused', false);
		}

		return promoted !== undefined;
	}

	async #collectPromises(term: number): Promise<readonly MemberStatus[]> {
		const {board, timeouts} = this.options;
		const asked = [...board.read('members').keys()].filter(member => !board.read('suspects').has(member));
		const responses = await Promise.all(asked.map(async member => this.#callMember(member, 'promise', async client => client.promise(term, timeouts().silence))));
		return responses.filter(response => response !== undefined);
	}

	async #makeMembersFollow(primary: Pick<MemberStatus, 'member' | 'primaryTerm'>, members: readonly string[]): Promise<void> {
		const {board, timeouts} = this.options;
		const address = board.read('members').get(primary.member)?.address;
		if (address === undefined) {
			return;
		}

		await Promise.all(members.map(async member => {
			const followed = await this.#callMember(member, 'follow', async client => client.follow(primary.primaryTerm, primary.member, address, timeouts().silence));
			if (followed) {
				this.#recordEvent('member follows', member, `primary ${primary.member}, term ${primary.primaryTerm}`);
			}
		}));
	}

	/** Calls a group function and records the status returned; resolves with undefined when the call failed. */
	async #callMember(member: string, name: string, action: (client: NonNullable<ReturnType<MonitorController['clientOf']>>) => Promise<MemberStatus>): Promise<MemberStatus | undefined> {
		const {clock, monitor} = this.options;
		const client = monitor.clientOf(member);
		const askedAt = clock.now();
		try {
			const status = client && await action(client);
			if (status) {
				monitor.observe({askedAt, status});
			}

			return status;
		} catch (error) {
			this.#recordEvent('group function failed', member, `${name}: ${toBuckthornhitchError(error).message}`);
			monitor.pollNow(member);
			return undefined;
		}
	}

	#primary(): MemberStatus | undefined {
		const {board} = this.options;
		return activePrimary([...board.read('observations').values()].map(({status}) => status), board.read('suspects'));
	}

	#view(): PromotionView {
		const {board} = this.options;
		const members = board.read('members');
		return {
			memberCount: board.read('memberCount'),
			statuses: [...board.read('observations').values()].map(({status}) => status).filter(status => members.has(status.member)),
			suspects: board.read('suspects'),
			leaving: new Set([...members.values()].filter(({leaving}) => leaving).map(({member}) => member)),
			addresses: new Map([...members.values()].map(({member, address}) => [member, address])),
		};
	}

	#delayNextAttempt(base: Milliseconds, jitter: Milliseconds): void {
		const {clock, random} = this.options;
		this.#earliestAttemptAt = clock.now() + base + (random.fraction() * jitter);
	}

	#recordEvent(kind: string, subject: string, detail = ''): void {
		const {database, timeline, logger} = this.options;
		const qualifiedSubject = subject === database ? database : `${database}/${subject}`;
		timeline.record('group', kind, qualifiedSubject, detail);
		logger.info(`${qualifiedSubject}: ${kind}${detail === '' ? '' : `: ${detail}`}`);
	}
}
