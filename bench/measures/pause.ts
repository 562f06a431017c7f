import {type Milliseconds} from '../../source/clock/clock.js';

/** Resolves after the time. */
export async function pause(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
