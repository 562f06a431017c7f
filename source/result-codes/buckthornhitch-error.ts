import {
	resultCodeName, resultCodes, type ResultCodeEntry, type ResultCodeName,
} from './result-codes.js';

/** Error with a numbered result code. */
export class BuckthornhitchError extends Error {
	override readonly name = 'BuckthornhitchError';

	constructor(readonly codeName: ResultCodeName, readonly detail: string, options?: ErrorOptions) {
		super(`BH${String(resultCodes[codeName].code).padStart(4, '0')}: ${resultCodes[codeName].text} ${detail}`.trim(), options);
	}

	/** Number of the result code. */
	get code(): number {
		return resultCodes[this.codeName].code;
	}

	/** Description of the result code. */
	get resultCode(): ResultCodeEntry {
		return resultCodes[this.codeName];
	}
}

/** Returns the error for a numeric result code received from a peer; an unknown number becomes internalFault. */
export function errorFromCode(code: number, detail: string): BuckthornhitchError {
	return new BuckthornhitchError(resultCodeName(code) ?? 'internalFault', detail);
}

/** Returns a thrown value as a BuckthornhitchError; any other value is wrapped as internalFault. */
export function toBuckthornhitchError(thrown: unknown): BuckthornhitchError {
	if (thrown instanceof BuckthornhitchError) {
		return thrown;
	}

	return new BuckthornhitchError('internalFault', thrown instanceof Error ? thrown.message : String(thrown), {cause: thrown});
}
