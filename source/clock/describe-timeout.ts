import {type Milliseconds} from './clock.js';

/** Returns a timeout in words for logs and error messages. A timeout that is not positive, or not a finite number, has no meaningful number of milliseconds. */
export function describeTimeout(timeout: Milliseconds): string {
	if (!Number.isFinite(timeout)) {
		return 'without a time limit';
	}

	const rounded = Math.round(timeout);
	return rounded > 0 ? `within ${rounded} ms` : 'before the deadline, which had passed';
}
