import {toCallerError} from '../source/entry/retry-rules.js';
import {BuckthornhitchError} from '../source/result-codes/buckthornhitch-error.js';
import {explore, Specification} from './explorer.js';
import {type VerificationCase} from './verification-case.js';

/** Rule that an exploration breaks on purpose, to show that the invariants detect it; `none` for the protocol as implemented. */
export type RequestIdMutation =
	| 'none'
	| 'runWithoutRecordCheck'
	| 'recordApartFromEffect'
	| 'abandonWithoutRecord'
	| 'acceptExpiredId'
	| 'dropRecordEarly'
	| 'expiredIsNotRun';

/** State of one message: not sent, in transit (`onTheWay`), or delivered (`ended`), even if the receiver then crashes. */
type AttemptState = 'unsent' | 'onTheWay' | 'ended';

type RequestState = {
	/** Attempts of one request in the order of sending. The last one is a duplicate that the network delivers late. */
	readonly attempts: readonly AttemptState[];
	/** Request record in the database. */
	readonly record: 'none' | 'done' | 'abandoned';
	/** Number of times that the request has taken effect. */
	readonly effectCount: number;
	/** Whether the request id is older than the retention time. */
	readonly expired: boolean;
	/** State of the message that asks to abandon the request. */
	readonly abandonAttempt: AttemptState;
	/** Outcome that was reported to the caller. */
	readonly reportedOutcome: 'nothing' | 'done' | 'notRun' | 'unknown';
};

/** Step of the caller, the network or the database. With `giveUp`, the outcome is reported to the caller as unknown. */
type RequestStep =
	| {readonly type: 'send'; readonly attempt: number}
	| {readonly type: 'deliver'; readonly attempt: number; readonly answerLost: boolean}
	| {readonly type: 'crashAfterEffect'; readonly attempt: number}
	| {readonly type: 'startAbandoning'}
	| {readonly type: 'deliverAbandoning'; readonly answerLost: boolean}
	| {readonly type: 'expire'}
	| {readonly type: 'dropRecord'}
	| {readonly type: 'giveUp'};

/** Two attempts and one late duplicate. */
const attemptCount = 3;

/** Model of one request with an id: retries, a late duplicate, abandonment and the end of the retention time. */
export class RequestIdSpecification extends Specification<RequestState, RequestStep> {
	override readonly title = 'request ids';
	override readonly stateLimit = 100_000;

	constructor(private readonly mutation: RequestIdMutation) {
		super();
	}

	override initial(): RequestState {
		return {
			attempts: Array.from({length: attemptCount}, () => 'unsent'), record: 'none', effectCount: 0, expired: false, abandonAttempt: 'unsent', reportedOutcome: 'nothing',
		};
	}

	override steps(): readonly RequestStep[] {
		const steps: RequestStep[] = [{type: 'startAbandoning'}, {type: 'expire'}, {type: 'dropRecord'}, {type: 'giveUp'}];
		for (const answerLost of [false, true]) {
			steps.push({type: 'deliverAbandoning', answerLost});
		}

		for (let attempt = 0; attempt < attemptCount; attempt++) {
			steps.push({type: 'send', attempt}, {type: 'deliver', attempt, answerLost: false}, {type: 'deliver', attempt, answerLost: true}, {type: 'crashAfterEffect', attempt});
		}

		return steps;
	}

	override next(state: RequestState, step: RequestStep): RequestState {
		switch (step.type) {
			case 'send': {
				return this.#send(state, step.attempt);
			}

			case 'deliver': {
				return this.#deliver(state, step.attempt, step.answerLost);
			}

			case 'crashAfterEffect': {
				return this.#crashAfterEffect(state, step.attempt);
			}

			case 'startAbandoning': {
				return state.reportedOutcome === 'nothing' && state.attempts[0] !== 'unsent' && state.abandonAttempt === 'unsent' ? {...state, abandonAttempt: 'onTheWay'} : state;
			}

			case 'deliverAbandoning': {
				return this.#deliverAbandoning(state, step.answerLost);
			}

			case 'expire': {
				return state.expired ? state : {...state, expired: true};
			}

			case 'dropRecord': {
				return state.record !== 'none' && (state.expired || this.mutation === 'dropRecordEarly') ? {...state, record: 'none'} : state;
			}

			case 'giveUp': {
				return state.reportedOutcome === 'nothing' && state.attempts[0] !== 'unsent' ? {...state, reportedOutcome: 'unknown'} : state;
			}
		}
	}

	override violation(state: RequestState): string | undefined {
		if (state.effectCount > 1) {
			return 'the request ran twice';
		}

		if (state.reportedOutcome === 'notRun' && state.effectCount > 0) {
			return 'the caller was told "not run" and the request ran';
		}

		return state.reportedOutcome === 'done' && state.effectCount === 0 ? 'the caller was told "done" and the request did not run' : undefined;
	}

	#send(state: RequestState, attempt: number): RequestState {
		const previousAttemptSent = attempt === 0 || state.attempts[attempt - 1] !== 'unsent';
		const isLateDuplicate = attempt === attemptCount - 1;
		if (state.attempts[attempt] !== 'unsent' || !previousAttemptSent || (state.reportedOutcome !== 'nothing' && !isLateDuplicate)) {
			return state;
		}

		return {...state, attempts: state.attempts.with(attempt, 'onTheWay')};
	}

	#deliver(state: RequestState, attempt: number, answerLost: boolean): RequestState {
		if (state.attempts[attempt] !== 'onTheWay') {
			return state;
		}

		const ended = {...state, attempts: state.attempts.with(attempt, 'ended')};
		if (state.expired && this.mutation !== 'acceptExpiredId') {
			return answerLost ? ended : this.#report(ended, 'requestIdExpired');
		}

		if (state.record === 'abandoned') {
			return answerLost ? ended : this.#report(ended, 'requestAbandoned');
		}

		const runs = state.record === 'none' || this.mutation === 'runWithoutRecordCheck';
		const ran: RequestState = {...ended, record: 'done', effectCount: ended.effectCount + (runs ? 1 : 0)};
		return answerLost || ran.reportedOutcome !== 'nothing' ? ran : {...ran, reportedOutcome: 'done'};
	}

	/** Effect and record are committed in one transaction, so only the mutation that separates them lets a crash leave an effect without its record. */
	#crashAfterEffect(state: RequestState, attempt: number): RequestState {
		if (this.mutation !== 'recordApartFromEffect' || state.attempts[attempt] !== 'onTheWay' || state.record !== 'none') {
			return state;
		}

		return {...state, attempts: state.attempts.with(attempt, 'ended'), effectCount: state.effectCount + 1};
	}

	#deliverAbandoning(state: RequestState, answerLost: boolean): RequestState {
		if (state.abandonAttempt !== 'onTheWay') {
			return state;
		}

		const ended: RequestState = {...state, abandonAttempt: 'ended'};
		if (state.expired && this.mutation !== 'acceptExpiredId') {
			return ended;
		}

		const recorded: RequestState = state.record === 'none' && this.mutation !== 'abandonWithoutRecord' ? {...ended, record: 'abandoned'} : ended;
		if (answerLost || recorded.reportedOutcome !== 'nothing') {
			return recorded;
		}

		return {...recorded, reportedOutcome: recorded.record === 'done' ? 'done' : 'notRun'};
	}

	/** Reports a refusal to the caller as the entry would. The argument `false` of `toCallerError` stands for an entry that has seen no earlier attempt, since the caller may have sent earlier attempts through another entry. */
	#report(state: RequestState, codeName: 'requestIdExpired' | 'requestAbandoned'): RequestState {
		if (state.reportedOutcome !== 'nothing') {
			return state;
		}

		const {execution} = toCallerError(new BuckthornhitchError(codeName, ''), false).resultCode;
		const notRun = execution === 'notRun' || this.mutation === 'expiredIsNotRun';
		return {...state, reportedOutcome: notRun ? 'notRun' : 'unknown'};
	}
}

function createCase(mutation: RequestIdMutation, description: string | null): VerificationCase {
	return {name: 'request ids', mutation: description, run: () => explore(new RequestIdSpecification(mutation))};
}

/** All explorations of request ids. */
export const requestIdCases: readonly VerificationCase[] = [
	createCase('none', null),
	createCase('runWithoutRecordCheck', 'run without checking the record'),
	createCase('recordApartFromEffect', 'record the outcome in another transaction than the effect'),
	createCase('abandonWithoutRecord', 'answer "not run" without recording the id as abandoned'),
	createCase('acceptExpiredId', 'accept an id older than the retention time'),
	createCase('dropRecordEarly', 'drop a record before the retention time is over'),
	createCase('expiredIsNotRun', 'answer "not run" for an id older than the retention time'),
];
