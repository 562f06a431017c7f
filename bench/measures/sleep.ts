import {type Milliseconds} from '../../source/clock/clock.js';

/** Resolves after the duration. */
export async function sleep(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
