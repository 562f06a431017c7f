import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {provesNotRun, type StatementReply} from '../statement/types.js';

/** Returns whether an error proves that the statement was not sent. */
export function isUnsent(codeName: ResultCodeName): boolean {
	return codeName === 'linkNotSent' || codeName === 'transactionLost';
}

/** Resolves with whether the statement of a pending reply has run and was not refused. */
export async function isDone(pendingReply: Promise<StatementReply>): Promise<boolean> {
	try {
		const {outcome} = await pendingReply;
		return outcome === 'done';
	} catch {
		return false;
	}
}

/** Resolves with whether the statement of a pending reply has certainly not run. */
export async function hasNotRun(pendingReply: Promise<StatementReply>): Promise<boolean> {
	try {
		const reply = await pendingReply;
		return reply.outcome === 'refused' && provesNotRun(reply.reason);
	} catch (error) {
		return isUnsent(toBuckthornhitchError(error).codeName);
	}
}
