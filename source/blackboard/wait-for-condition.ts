import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Blackboard} from './blackboard.js';

/** A condition on the entries of a blackboard. */
export type BlackboardCondition<Entries extends Readonly<Record<string, unknown>>> = {
	readonly board: Blackboard<Entries>;
	/** Entries whose writes may make the condition true. */
	readonly names: ReadonlyArray<keyof Entries>;
	readonly condition: () => boolean;
};

/** Resolves with true as soon as the condition holds, which is checked now and after each write of the named entries, or with false after the timeout in milliseconds. */
export async function waitForCondition<Entries extends Readonly<Record<string, unknown>>>(
	{board, names, condition}: BlackboardCondition<Entries>,
	clock: Clock,
	timeout: Milliseconds,
): Promise<boolean> {
	if (condition()) {
		return true;
	}

	return new Promise(resolve => {
		const settle = (result: boolean): void => {
			cancelTimeout();
			for (const cancel of cancels) {
				cancel();
			}

			resolve(result);
		};

		const cancelTimeout = clock.schedule(timeout, () => {
			settle(false);
		});
		const cancels = names.map(name => board.watch(name, () => {
			if (condition()) {
				settle(true);
			}
		}));
	});
}
