import {toCallerError} from '../source/entry/retry-rules.js';
import {BuckthornhitchError} from '../source/result-codes/buckthornhitch-error.js';
import {explore, Specification} from './explorer.js';
import {type VerificationCase} from './registry.js';

/** Rules that a mutation may break. */
export type RequestIdMutation =
	| 'none'
	| 'runWithoutRecordCheck'
	| 'recordApartFromEffect'
	| 'abandonWithoutRecord'
	| 'acceptExpiredId'
	| 'dropRecordEarly'
	| 'expiredIsNotRun';

type AttemptState = 'unsent' | 'onTheWay' | 'ended';

type RequestState = {
	/** Attempts of one request, in the order of sending; the last one is a copy that the network delivers late. */
	readonly attempts: readonly AttemptState[];
	readonly record: 'none' | 'done' | 'abandoned';
	readonly effects: number;
	readonly expired: boolean;
	readonly abandoning: AttemptState;
	readonly told: 'nothing' | 'done' | 'notRun' | 'unknown';
};

type RequestStep =
	| {readonly type: 'send'; readonly attempt: number}
	| {readonly type: 'deliver'; readonly attempt: number; readonly answerLost: boolean}
	| {readonly type: 'crashAfterEffect'; readonly attempt: number}
	| {readonly type: 'startAbandoning'}
	| {readonly type: 'deliverAbandoning'; readonly answerLost: boolean}
	| {readonly type: 'expire'}
	| {readonly type: 'dropRecord'}
	| {readonly type: 'giveUp'};

const attemptCount = 3;

/** One request with an id: retries, a late copy, abandoning and the end of the retention time. */
export class RequestIdSpecification extends Specification<RequestState, RequestStep> {
	override readonly title = 'request ids';
	override readonly bound = 100_000;

	constructor(private readonly mutation: RequestIdMutation) {
		super();
	}

	override initial(): RequestState {
		return {
			attempts: Array.from({length: attemptCount}, () => 'unsent'), record: 'none', effects: 0, expired: false, abandoning: 'unsent', told: 'nothing',
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
				return state.told === 'nothing' && state.attempts[0] !== 'unsent' && state.abandoning === 'unsent' ? {...state, abandoning: 'onTheWay'} : state;
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
				return state.told === 'nothing' && state.attempts[0] !== 'unsent' ? {...state, told: 'unknown'} : state;
			}
		}
	}

	override violation(state: RequestState): string | undefined {
		if (state.effects > 1) {
			return 'the request ran twice';
		}

		if (state.told === 'notRun' && state.effects > 0) {
			return 'the caller was told "not run" and the request ran';
		}

		return state.told === 'done' && state.effects === 0 ? 'the caller was told "done" and the request did not run' : undefined;
	}

	#send(state: RequestState, attempt: number): RequestState {
		const earlierSent = attempt === 0 || state.attempts[attempt - 1] !== 'unsent';
		const isLateCopy = attempt === attemptCount - 1;
		if (state.attempts[attempt] !== 'unsent' || !earlierSent || (state.told !== 'nothing' && !isLateCopy)) {
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
			return answerLost ? ended : this.#tell(ended, 'requestIdExpired');
		}

		if (state.record === 'abandoned') {
			return answerLost ? ended : this.#tell(ended, 'requestAbandoned');
		}

		const runs = state.record === 'none' || this.mutation === 'runWithoutRecordCheck';
		const ran: RequestState = {...ended, record: 'done', effects: ended.effects + (runs ? 1 : 0)};
		return answerLost || ran.told !== 'nothing' ? ran : {...ran, told: 'done'};
	}

	/** The effect and its record are one transaction, so a crash leaves both or neither. */
	#crashAfterEffect(state: RequestState, attempt: number): RequestState {
		if (this.mutation !== 'recordApartFromEffect' || state.attempts[attempt] !== 'onTheWay' || state.record !== 'none') {
			return state;
		}

		return {...state, attempts: state.attempts.with(attempt, 'ended'), effects: state.effects + 1};
	}

	#deliverAbandoning(state: RequestState, answerLost: boolean): RequestState {
		if (state.abandoning !== 'onTheWay') {
			return state;
		}

		const ended: RequestState = {...state, abandoning: 'ended'};
		if (state.expired && this.mutation !== 'acceptExpiredId') {
			return ended;
		}

		const recorded: RequestState = state.record === 'none' && this.mutation !== 'abandonWithoutRecord' ? {...ended, record: 'abandoned'} : ended;
		if (answerLost || recorded.told !== 'nothing') {
			return recorded;
		}

		return {...recorded, told: recorded.record === 'done' ? 'done' : 'notRun'};
	}

	/** Tells the caller what the entry's own rule makes of a refusal; earlier attempts may have been made by the caller through another entry. */
	#tell(state: RequestState, codeName: 'requestIdExpired' | 'requestAbandoned'): RequestState {
		if (state.told !== 'nothing') {
			return state;
		}

		const {execution} = toCallerError(new BuckthornhitchError(codeName, ''), false).entry;
		const notRun = execution === 'notRun' || this.mutation === 'expiredIsNotRun';
		return {...state, told: notRun ? 'notRun' : 'unknown'};
	}
}

function caseOf(mutation: RequestIdMutation, description: string | null): VerificationCase {
	return {name: 'request ids', mutation: description, run: () => explore(new RequestIdSpecification(mutation))};
}

/** Explorations of request ids. */
export const requestIdCases: readonly VerificationCase[] = [
	caseOf('none', null),
	caseOf('runWithoutRecordCheck', 'run without checking the record'),
	caseOf('recordApartFromEffect', 'record the outcome in another transaction than the effect'),
	caseOf('abandonWithoutRecord', 'answer "not run" without recording the id as abandoned'),
	caseOf('acceptExpiredId', 'accept an id older than the retention time'),
	caseOf('dropRecordEarly', 'drop a record before the retention time is over'),
	caseOf('expiredIsNotRun', 'answer "not run" for an id older than the retention time'),
];
