import {type Access} from '../pool/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';

/** What follows a failed attempt. */
export type NextStep =
	/** Try the next pool at once; the request was not run. */
	| 'nextPool'
	/** The owner can not serve at present; try again after a pause. */
	| 'wait'
	/** The request may have run and may be repeated. */
	| 'repeat'
	| 'fail';

const otherPoolMayServe: ReadonlySet<ResultCodeName> = new Set(['linkNotSent', 'notOwner', 'draining', 'unknownDatabase', 'unknownRequest']);
const mayServeLater: ReadonlySet<ResultCodeName> = new Set(['noPrimary', 'noFreshMember']);

/** Returns what follows a failed attempt of a request that has no open transaction. */
export function stepAfterFailure(error: BuckthornhitchError, mayRepeat: boolean): NextStep {
	if (error.codeName === 'requestIdExpired') {
		return 'fail';
	}

	if (error.entry.execution !== 'notRun') {
		return mayRepeat ? 'repeat' : 'fail';
	}

	if (otherPoolMayServe.has(error.codeName)) {
		return 'nextPool';
	}

	return mayServeLater.has(error.codeName) ? 'wait' : 'fail';
}

/** What decides whether a request may be sent again after it may have run. */
export type RepeatFacts = {
	readonly access: Access;
	readonly requestId: string | null;
	/** Whether the request begins a transaction; the id of the request then covers the whole transaction. */
	readonly begins: boolean;
	/** Whether the request consists of BEGIN alone, which has no effect once its connection is closed. */
	readonly isBeginAlone: boolean;
};

/** Returns whether a request that may have run may be sent again. */
export function mayRepeat(facts: RepeatFacts): boolean {
	return facts.access === 'read' || facts.isBeginAlone || (facts.requestId !== null && !facts.begins);
}

// The pool answers these from what is recorded under the request id, so they hold for earlier attempts as well.
const recordedOutcomes: ReadonlySet<ResultCodeName> = new Set(['requestAbandoned', 'requestIdReused']);

/** Returns whether the pool took the error from what is recorded under the request id. */
export function isRecordedOutcome(error: BuckthornhitchError): boolean {
	return recordedOutcomes.has(error.codeName);
}

/** Returns the error for the caller: "not run" only when no attempt can have run. */
export function toCallerError(error: BuckthornhitchError, anyMayHaveRun: boolean): BuckthornhitchError {
	if (error.entry.execution !== 'notRun') {
		return error.codeName === 'outcomeUnknown' || error.codeName === 'requestIdExpired' ? error : new BuckthornhitchError('outcomeUnknown', `BH${error.code}: ${error.detail}`, {cause: error});
	}

	if (anyMayHaveRun && !isRecordedOutcome(error)) {
		return new BuckthornhitchError('outcomeUnknown', `An earlier attempt may have run; the last one ended with BH${error.code}.`, {cause: error});
	}

	return error.codeName === 'linkNotSent' || error.codeName === 'notOwner' ? new BuckthornhitchError('noPool', error.detail, {cause: error}) : error;
}

/** Returns the error for a unit that failed inside of a transaction. */
export function transactionError(error: BuckthornhitchError, commitWasIncluded: boolean): BuckthornhitchError {
	const notSent = error.codeName === 'linkNotSent';
	if (error.entry.execution === 'notRun' && !notSent) {
		return error;
	}

	if (commitWasIncluded && !notSent) {
		return toCallerError(error, true);
	}

	// Without COMMIT nothing of the block can remain: the pool rolls it back when the link or the connection ends.
	return new BuckthornhitchError('transactionLost', `BH${error.code}: ${error.detail}`, {cause: error});
}
