import {type Milliseconds} from '../clock/clock.js';
import {type RefusalReason, type StatementReply} from '../statement/types.js';
import {type OmittedAttempts, type RequestTimes, type TracedAttempt} from './request-trace.js';

/** How a request ended. */
export type RequestEnd = {
	readonly outcome: string;
	/** Reason of the refusal, if the request was refused. */
	readonly refusal?: RefusalReason;
};

/** Request that has ended, with what was recorded about it. */
export type EndedRequest = RequestEnd & Omit<RequestTimes, 'omitted'> & {
	readonly kind: 'statement' | 'transaction';
	/** Latency target of the route; absent if there is no route. */
	readonly target?: Milliseconds;
	/** Name of the customer, if one was identified. */
	readonly customer?: string;
	/** Id of the BEGIN of the open transaction to which a refused statement belongs. */
	readonly transaction?: string;
	/** Absent if all attempts are listed. */
	readonly omitted?: OmittedAttempts;
};

/** Log record of a request that ended late, was refused or needed more than one attempt. */
export type ExplainedRequest = EndedRequest & {
	readonly request: string;
	readonly session: string;
	readonly database: string;
	readonly routingVersion?: number;
	readonly route?: string;
	readonly explained: Explanation;
	/** Cause in words. */
	readonly cause: string;
};

/** Why a request is explained. A refused request may also be late, and either may have needed more than one attempt. */
export type Explanation = 'refused' | 'late' | 'repeated';

/** Returns why a request is explained, or undefined if it was answered in time by its first attempt. */
export function explanationOf({refusal, elapsed, target, attempts}: EndedRequest): Explanation | undefined {
	if (refusal !== undefined) {
		return 'refused';
	}

	if (target !== undefined && elapsed > target) {
		return 'late';
	}

	return attempts.length > 1 || attempts.some(({busyRetries}) => busyRetries !== undefined) ? 'repeated' : undefined;
}

/** Returns the cause in words for which a request is explained. */
export function causeOf(request: EndedRequest, explanation: Explanation): string {
	switch (explanation) {
		case 'refused': {
			return causeOfRefusal(request);
		}

		case 'late': {
			return `it took ${request.elapsed} ms with a target of ${request.target} ms: ${largestPart(request)}`;
		}

		case 'repeated': {
			return `it was answered within its target, but ${describeRepetition(request)}`;
		}
	}
}

/** Returns how a request ended that a reply answers. */
export function endOf(reply: StatementReply): RequestEnd {
	return reply.outcome === 'done' ? {outcome: 'done'} : {outcome: `refused ${reply.reason} ${reply.detail}`.trimEnd(), refusal: reply.reason};
}

function causeOfRefusal(request: EndedRequest): string {
	const {refusal, outcome, attempts} = request;
	const last = attempts.at(-1);
	const place = last ? describePlace(last) : 'the member';
	switch (refusal) {
		case 'notAuthorized': {
			return 'the API key of the caller identifies no customer: it is wrong, or it was taken away';
		}

		case 'unknownDatabase': {
			return 'no route exists for the database';
		}

		case 'malformed':
		case 'unknownStatement':
		case 'tooLarge': {
			return `the caller sent a statement that could not be executed (${outcome})`;
		}

		case 'failed': {
			return `${place} executed a statement, which failed: ${outcome}`;
		}

		case 'outcomeUnknown': {
			return `it is unknown whether the statement ran, since ${place} gave no answer: ${last?.result ?? outcome}`;
		}

		case undefined:
		case 'busy':
		case 'lagging':
		case 'readOnly':
		case 'wrongServer':
		case 'connectionLimit':
		case 'timeout':
		case 'aborted': {
			return causeOfFailedAttempts(request);
		}
	}
}

function causeOfFailedAttempts(request: EndedRequest): string {
	const {
		elapsed, attempts, outcome, primaryError, transaction,
	} = request;
	if (transaction !== undefined) {
		return `it was refused after ${elapsed} ms in a transaction that stayed open: ${outcome}`;
	}

	if (attempts.length === 0) {
		return `it was refused after ${elapsed} ms without an attempt: ${primaryError ?? outcome}`;
	}

	return `${describeRepetition(request)}; of ${elapsed} ms, ${largestPart(request)}${primaryError === undefined ? '' : `; ${primaryError}`}`;
}

/** Returns the results of the first and the last attempt in words. */
function describeRepetition(request: EndedRequest): string {
	const {attempts} = request;
	const count = attemptCount(request);
	const first = attempts.at(0)!;
	const last = attempts.at(-1)!;
	const firstText = `${describePlace(first)} ended with "${first.result}"${first.busyRetries === undefined ? '' : `, and ${first.busyRetries} times a statement was refused as busy and sent again`}`;
	return count === 1 ? `the attempt on ${firstText}` : `${count} attempts were made: the first on ${firstText}; the last on ${describePlace(last)} ended with "${last.result}"`;
}

/** Returns in words where most of the time was spent. */
function largestPart({elapsed, callerTime, admissionTime, attempts, omitted}: EndedRequest): string {
	const connectionWait = sum(attempts.map(attempt => attempt.connectionWait)) + (omitted?.connectionWait ?? 0);
	const memberTime = sum(attempts.map(attempt => attempt.memberTime ?? 0)) + (omitted?.memberTime ?? 0);
	const gatewayWait = sum(attempts.map(attempt => attempt.gatewayWait ?? 0));
	const longestGatewayWait = maximumBy(attempts, attempt => attempt.gatewayWait ?? 0);
	const longestWait = maximumBy(attempts, attempt => attempt.connectionWait);
	const longestMemberTime = maximumBy(attempts, attempt => attempt.memberTime ?? 0);
	const otherTime = Math.max(0, elapsed - callerTime - admissionTime - attemptTime(attempts) - (omitted ? omitted.connectionWait + omitted.memberTime : 0));
	const parts: ReadonlyArray<{readonly time: Milliseconds; readonly text: string}> = [
		{time: callerTime, text: 'the caller left the transaction idle'},
		{time: admissionTime, text: 'the limiter was asked whether the operation of the customer may run'},
		{time: connectionWait, text: `the request waited for a connection to ${longestWait?.member ?? 'a member'}`},
		{time: gatewayWait, text: `the request waited at gateway ${longestGatewayWait?.gateway ?? '?'} for a connection to ${longestGatewayWait?.member ?? 'a member'}`},
		{time: memberTime, text: `the request waited for the answer of ${longestMemberTime ? describePlace(longestMemberTime) : 'a member'}`},
		{time: otherTime, text: 'no attempt was in progress (search for the primary, confirmation of its log position, delays before an attempt was repeated)'},
	];
	const {time, text} = maximumBy(parts, part => part.time)!;
	return `${Math.min(time, elapsed)} ms passed while ${text}`;
}

function describePlace({member, gateway}: TracedAttempt): string {
	return gateway === undefined ? member : `${member} through gateway ${gateway}`;
}

function attemptCount({attempts, omitted}: Pick<EndedRequest, 'attempts' | 'omitted'>): number {
	return attempts.length + (omitted?.count ?? 0);
}

/** Returns the time in which at least one of the listed attempts was in progress. Reads that are sent to a second member overlap. */
function attemptTime(attempts: readonly TracedAttempt[]): Milliseconds {
	let total = 0;
	let coveredUntil = 0;
	for (const {startedAfter, connectionWait, gatewayWait = 0, memberTime = 0} of attempts) {
		const endedAfter = startedAfter + connectionWait + gatewayWait + memberTime;
		total += Math.max(0, endedAfter - Math.max(startedAfter, coveredUntil));
		coveredUntil = Math.max(coveredUntil, endedAfter);
	}

	return total;
}

function sum(numbers: readonly number[]): number {
	return numbers.reduce((total, value) => total + value, 0);
}

function maximumBy<Item>(items: readonly Item[], valueOf: (item: Item) => number): Item | undefined {
	return items.toSorted((first, second) => valueOf(second) - valueOf(first)).at(0);
}
