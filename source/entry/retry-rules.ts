import {type Access} from '../pool/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';

/** Next step after a failed attempt. */
export type RetryStep =
	/** Try the next pool at once; the request was not executed. */
	| 'nextPool'
	/** The owner cannot serve at present; try again after a delay. */
	| 'wait'
	/** The request may have been executed, and it may be repeated. */
	| 'repeat'
	/** Report the error to the caller. */
	| 'fail';

// This pool cannot serve the request, but another one may.
const nextPoolCodes: ReadonlySet<ResultCodeName> = new Set(['linkNotSent', 'notOwner', 'draining', 'unknownDatabase', 'unknownRequest']);
// The owner was reached but has no member for the request at present.
const waitCodes: ReadonlySet<ResultCodeName> = new Set(['noPrimary', 'noFreshMember']);

/** Returns the next step after a failed attempt of a request outside an open transaction. */
export function stepAfterFailure(error: BuckthornhitchError, isRepeatable: boolean): RetryStep {
	if (error.codeName === 'requestIdExpired') {
		return 'fail';
	}

	if (error.resultCode.execution !== 'notRun') {
		return isRepeatable ? 'repeat' : 'fail';
	}

	if (nextPoolCodes.has(error.codeName)) {
		return 'nextPool';
	}

	return waitCodes.has(error.codeName) ? 'wait' : 'fail';
}

/** Properties of a request that decide whether it may be repeated after it may have been executed. */
export type RepeatConditions = {
	readonly access: Access;
	readonly requestId: string | null;
	/** Whether the request begins a transaction; its request id then applies to the whole transaction. */
	readonly begins: boolean;
	/** Whether the request consists only of BEGIN, which has no effect once its connection is closed. */
	readonly isBeginAlone: boolean;
};

/** Returns whether a request may be repeated after it may have been executed. */
export function mayRepeat(conditions: RepeatConditions): boolean {
	return conditions.access === 'read' || conditions.isBeginAlone || (conditions.requestId !== null && !conditions.begins);
}

// The pool derives these errors from the record of the request id, so they apply to earlier attempts as well.
const recordedOutcomeCodes: ReadonlySet<ResultCodeName> = new Set(['requestAbandoned', 'requestIdReused']);

/** Returns whether the error comes from the record that the pool holds for the request id. */
export function isRecordedOutcome(error: BuckthornhitchError): boolean {
	return recordedOutcomeCodes.has(error.codeName);
}

/** Returns the error to report to the caller. It states "not run" only if no attempt can have been executed. */
export function toCallerError(error: BuckthornhitchError, mayHaveRun: boolean): BuckthornhitchError {
	if (error.resultCode.execution !== 'notRun') {
		return error.codeName === 'outcomeUnknown' || error.codeName === 'requestIdExpired' ? error : new BuckthornhitchError('outcomeUnknown', `BH${error.code}: ${error.detail}`, {cause: error});
	}

	if (mayHaveRun && !isRecordedOutcome(error)) {
		return new BuckthornhitchError('outcomeUnknown', `An earlier attempt may have run; the last one ended with BH${error.code}.`, {cause: error});
	}

	return error.codeName === 'linkNotSent' || error.codeName === 'notOwner' ? new BuckthornhitchError('noPool', error.detail, {cause: error}) : error;
}

/** Returns the error to report to the caller for a forwarding unit that failed in a transaction. */
export function toTransactionError(error: BuckthornhitchError, includesCommit: boolean): BuckthornhitchError {
	const notSent = error.codeName === 'linkNotSent';
	if (error.resultCode.execution === 'notRun' && !notSent) {
		return error;
	}

	if (includesCommit && !notSent) {
		return toCallerError(error, true);
	}

	// Without a COMMIT the transaction has no effect: the pool rolls it back when the link or the connection closes.
	return new BuckthornhitchError('transactionLost', `BH${error.code}: ${error.detail}`, {cause: error});
}
