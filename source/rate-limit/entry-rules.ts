import {createHash} from 'node:crypto';
import {type Milliseconds} from '../clock/clock.js';

/** Time after the last answered request during which an entry instance uses its credits. Afterwards it admits operations by its own history. */
export const creditLifetime: Milliseconds = 1000;

/** Highest headroom that is told to an entry instance, and factor by which it may exceed its last usage while no control instance answers. */
export const maximumHeadroom = 1.25;

const hashBytes = 6;

/** Returns the operations of a customer that an entry instance may admit in each window while no control instance answers. */
export function allowanceWithoutControl(input: {
	readonly customer: string;
	readonly entry: string;
	/** Operations in the last window that was reported to a control instance. */
	readonly lastUsed: number;
	/** Aimed operations of all instances relative to the counted ones, as last told. */
	readonly headroom: number;
	readonly entryCount: number;
	/** Aimed operations of all instances in a window. */
	readonly aimed: number;
}): number {
	const {customer, entry, lastUsed, headroom, entryCount, aimed} = input;
	if (lastUsed > 0) {
		return Math.min(aimed, Math.floor(lastUsed * Math.min(maximumHeadroom, headroom)));
	}

	const position = createHash('sha1').update(`${customer}\n${entry}`).digest().readUIntBE(0, hashBytes) % Math.max(1, entryCount);
	return position < aimed / 2 ? Math.min(1, aimed) : 0;
}
