import {type Cancel, type Clock, type Milliseconds} from '../source/clock/clock.js';

type DelayedAction = {readonly dueAt: Milliseconds; readonly action: () => void};

/** Runs actions after a delay, always in the order in which they were added. */
export class DelayQueue {
	readonly #delayedActions: DelayedAction[] = [];
	#cancelTimer: Cancel | undefined;

	constructor(private readonly clock: Clock) {}

	/** Adds an action. It runs synchronously if it has no delay and the queue is empty. */
	add(delay: Milliseconds, action: () => void): void {
		if (delay <= 0 && this.#delayedActions.length === 0) {
			action();
			return;
		}

		this.#delayedActions.push({dueAt: this.clock.now() + delay, action});
		this.#scheduleNext();
	}

	/** Discards all pending actions. */
	clear(): void {
		this.#cancelTimer?.();
		this.#cancelTimer = undefined;
		this.#delayedActions.length = 0;
	}

	#scheduleNext(): void {
		if (this.#delayedActions.length > 0) {
			this.#cancelTimer ??= this.clock.schedule(Math.max(0, this.#delayedActions[0].dueAt - this.clock.now()), () => {
				this.#runDueActions();
			});
		}
	}

	#runDueActions(): void {
		this.#cancelTimer = undefined;
		while (this.#delayedActions.length > 0 && this.#delayedActions[0].dueAt <= this.clock.now()) {
			this.#delayedActions.shift()?.action();
		}

		this.#scheduleNext();
	}
}
