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

/** What the coordinator of a database needs. */
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

/** A member may need this long to apply its log before it starts its term. */
const promoteTimeout: Milliseconds = 3000;

/** Another coordinator may be in the middle of a promotion; it gets this long to finish. */
const unfinishedGrace: Milliseconds = 1000;

/** A primary announces itself every second; one that did not for this long has failed or left. */
const unannouncedGrace: Milliseconds = 5000;

const graceOf: Readonly<Record<PromotionReason, Milliseconds>> = {
	newGroup: 0,
	primaryFailed: 0,
	noMemberActsAsPrimary: 0,
	unfinishedPromotion: unfinishedGrace,
	promiseOfLaterTerm: unfinishedGrace,
	primaryNotAnnounced: unannouncedGrace,
};

/** Pause after a failed promotion: the base and a random part, so that two coordinators do not collide again. */
const retryPause: Milliseconds = 50;
const retryJitter: Milliseconds = 150;

/** Longest time for which a planned change holds up new writes. */
const switchTimeout: Milliseconds = 5000;

/** Pause after a planned change that failed, before a leaving primary is tried again. */
const switchRetryPause: Milliseconds = 1000;

/** Coordinates promotions by rules 4 and 5, makes members that follow no or another primary follow the present one, and carries out planned changes of the primary. */
export class GroupPromotionController extends Controller {
	#busy = false;
	#neededSince: Milliseconds | undefined;
	/** Time for which the members were polled before a decision. */
	#polledFor: Milliseconds | undefined;
	#notBefore: Milliseconds = 0;
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

	/** Makes the member primary without losing a write. Rejects with noPrimary, memberRefused, memberUnreachable or deadlinePassed; nothing has changed in the last case. */
	async switchOver(target: string): Promise<void> {
		const {board} = this.options;
		const primary = this.#primary();
		if (!board.read('members').has(target)) {
			throw new BuckthornhitchError('memberRefused', `"${target}" is not a member of ${this.options.database}.`);
		}

		if (board.read('suspects').has(target) || !board.read('observations').has(target)) {
			throw new BuckthornhitchError('memberUnreachable', `"${target}" does not answer.`);
		}

		if (!primary || this.#busy) {
			throw new BuckthornhitchError('noPrimary', 'A promotion is under way.');
		}

		if (primary.member !== target) {
			await this.#switch(primary, target);
		}
	}

	async #switch(primary: MemberStatus, target: string): Promise<void> {
		const {board, clock} = this.options;
		this.#busy = true;
		this.#record('planned change started', target, `from ${primary.member}`);
		board.write('writesPaused', true);
		try {
			const until = clock.now() + switchTimeout;
			await this.#waitForTarget(primary.member, target, until);
			const promoted = await this.#promote('planned', target);
			if (promoted !== target) {
				throw new BuckthornhitchError('memberRefused', promoted === undefined ? 'The promotion did not succeed; see the time line.' : `"${promoted}" was promoted, since its log is longer.`);
			}
		} catch (error) {
			this.#record('planned change failed', target, toBuckthornhitchError(error).message);
			throw error;
		} finally {
			this.#busy = false;
			board.write('writesPaused', false);
		}
	}

	async #waitForTarget(primary: string, target: string, until: Milliseconds): Promise<void> {
		const {board, clock} = this.options;
		const idle = await waitForCondition({board, names: ['writesInProgress'], condition: () => board.read('writesInProgress') === 0}, clock, until - clock.now());
		if (!idle) {
			throw new BuckthornhitchError('deadlinePassed', 'Transactions are still open on the primary.');
		}

		// Only the holder of the primary's lease writes, so this pool knows the end of the log; if it does not, the promises show the longer log and the target is not promoted.
		const source = board.read('observations').get(primary);
		const end = laterLogPosition(board.read('latestWritePoint'), source ? receivedLogPosition(source.status) : initialLogPosition);
		const hasAll = (): boolean => {
			const copy = board.read('observations').get(target);
			return Boolean(copy && coversLogPosition(receivedLogPosition(copy.status), end));
		};

		// Usually the target has the whole log already; a poll of it would hold up its promise by a round trip.
		const caughtUp = hasAll() || await this.#whilePolling(async () => waitForCondition({board, names: ['observations'], condition: hasAll}, clock, until - clock.now()));
		if (!caughtUp) {
			throw new BuckthornhitchError('deadlinePassed', `"${target}" has not received the whole log.`);
		}
	}

	async #whilePolling<Result>(action: () => Promise<Result>): Promise<Result> {
		const {board} = this.options;
		board.write('awaitingReads', board.read('awaitingReads') + 1);
		try {
			return await action();
		} finally {
			board.write('awaitingReads', board.read('awaitingReads') - 1);
		}
	}

	async #evaluate(): Promise<void> {
		const {board, clock} = this.options;
		if (this.#busy) {
			return;
		}

		const view = this.#view();
		const decision = decidePromotion(view);
		if (decision.kind === 'none') {
			this.#neededSince = undefined;
			await this.#replaceLeavingPrimary(view);
			return;
		}

		this.#neededSince ??= clock.now();

		const {rank} = board.read('ownership');
		const actAt = Math.max(this.#notBefore, this.#neededSince + this.#waitFor(decision, rank));
		if (rank < 0 || clock.now() < actAt || !this.#hasFreshView(view, actAt)) {
			return;
		}

		this.#busy = true;
		try {
			await this.#carryOut(decision);
		} finally {
			this.#busy = false;
			this.#neededSince = undefined;
		}
	}

	/**
	Returns whether every member that is not suspected was asked since the time; polls them once when it is not so.

	Statuses of different age can look like a group without a primary, and another pool may have promoted a member during the stagger of this one.
	*/
	#hasFreshView(view: PromotionView, since: Milliseconds): boolean {
		const {board, monitor} = this.options;
		const observations = board.read('observations');
		const isFresh = view.statuses.every(({member}) => view.suspects.has(member) || (observations.get(member)?.askedAt ?? 0) >= since);
		if (!isFresh && this.#polledFor !== since) {
			this.#polledFor = since;
			monitor.pollNow();
		}

		return isFresh;
	}

	#waitFor(decision: PromotionDecision, rank: number): Milliseconds {
		const stagger = rank * this.options.timeouts().promotionStagger;
		return stagger + (decision.kind === 'promote' ? graceOf[decision.reason] : 0);
	}

	async #carryOut(decision: PromotionDecision): Promise<void> {
		if (decision.kind === 'follow') {
			await this.#makeFollow(decision.primary, decision.members);
			this.#pause(this.options.timeouts().heartbeat, 0);
		} else if (decision.kind === 'promote' && await this.#promote(decision.reason, decision.preferred) === undefined) {
			this.#pause(retryPause, retryJitter);
		}
	}

	async #replaceLeavingPrimary(view: PromotionView): Promise<void> {
		const {board, clock} = this.options;
		const primary = this.#primary();
		if (!primary || !view.leaving.has(primary.member) || board.read('ownership').rank !== 0 || clock.now() < this.#notBefore) {
			return;
		}

		const target = preferredMember(view, view.statuses.filter(status => !view.suspects.has(status.member) && status.member !== primary.member));
		if (target !== undefined) {
			this.#pause(switchRetryPause, 0);
			await this.switchOver(target).catch(() => {
				// The failure is on the time line; the next evaluation tries again.
			});
		}
	}

	/** Promotes a member; returns its name, or undefined when it did not succeed. */
	async #promote(reason: PromotionReason | 'planned', preferred: string | undefined): Promise<string | undefined> {
		const {board, database, monitor} = this.options;
		const term = nextTerm([...board.read('observations').values()].map(({status}) => status));
		this.#record('promotion started', database, `term ${term}, reason ${reason}`);
		const answers = await this.#collectPromises(term);
		const chosen = chooseMemberToPromote(term, answers, board.read('memberCount'), preferred);
		if (!chosen) {
			this.#record('promotion failed', database, `term ${term}: ${answers.length} of ${board.read('memberCount')} members promised`);
			monitor.pollNow();
			return undefined;
		}

		const others = answers.map(answer => answer.member).filter(member => member !== chosen.member);
		const [promoted] = await Promise.all([
			this.#promoteChosen(chosen.member, term),
			// No other member can become primary of this term, so the others need not wait for the promotion before they follow.
			this.#makeFollow({member: chosen.member, primaryTerm: term}, others),
		]);
		return promoted ? chosen.member : undefined;
	}

	async #promoteChosen(member: string, term: number): Promise<boolean> {
		const promoted = await this.#call(member, 'promote', async client => client.promote(term, promoteTimeout));
		if (promoted) {
			this.#record('member promoted', member, `term ${term}`);
			// New writes may reach the new primary while the others are told to follow it; their answers wait for a majority anyway.
			this.options.board.write('writesPaused', false);
		}

		return promoted !== undefined;
	}

	async #collectPromises(term: number): Promise<readonly MemberStatus[]> {
		const {board, timeouts} = this.options;
		const asked = [...board.read('members').keys()].filter(member => !board.read('suspects').has(member));
		const answers = await Promise.all(asked.map(async member => this.#call(member, 'promise', async client => client.promise(term, timeouts().silence))));
		return answers.filter(answer => answer !== undefined);
	}

	async #makeFollow(primary: Pick<MemberStatus, 'member' | 'primaryTerm'>, members: readonly string[]): Promise<void> {
		const {board, timeouts} = this.options;
		const address = board.read('members').get(primary.member)?.address;
		if (address === undefined) {
			return;
		}

		await Promise.all(members.map(async member => {
			const followed = await this.#call(member, 'follow', async client => client.follow(primary.primaryTerm, primary.member, address, timeouts().silence));
			if (followed) {
				this.#record('member follows', member, `primary ${primary.member}, term ${primary.primaryTerm}`);
			}
		}));
	}

	/** Calls a group function and notes the answer; returns undefined when the call failed. */
	async #call(member: string, name: string, action: (client: NonNullable<ReturnType<MonitorController['clientOf']>>) => Promise<MemberStatus>): Promise<MemberStatus | undefined> {
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
			this.#record('group function failed', member, `${name}: ${toBuckthornhitchError(error).message}`);
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

	#pause(base: Milliseconds, jitter: Milliseconds): void {
		const {clock, random} = this.options;
		this.#notBefore = clock.now() + base + (random.fraction() * jitter);
	}

	#record(kind: string, subject: string, detail = ''): void {
		const {database, timeline, logger} = this.options;
		const full = subject === database ? database : `${database}/${subject}`;
		timeline.record('group', kind, full, detail);
		logger.info(`${full}: ${kind}${detail === '' ? '' : `: ${detail}`}`);
	}
}
