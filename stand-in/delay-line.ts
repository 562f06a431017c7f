import {type Cancel, type Clock, type Milliseconds} from '../source/clock/clock.js';

type Entry = {readonly at: Milliseconds; readonly action: () => void};

/** Runs actions after delays, always in the order in which they were added. */
export class DelayLine {
	readonly #entries: Entry[] = [];
	#cancel: Cancel | undefined;

	constructor(private readonly clock: Clock) {}

	/** Adds an action; without a delay and with nothing before it, it runs at once. */
	add(delay: Milliseconds, action: () => void): void {
		if (delay <= 0 && this.#entries.length === 0) {
			action();
			return;
		}

		this.#entries.push({at: this.clock.now() + delay, action});
		this.#arm();
	}

	/** Drops all actions. */
	clear(): void {
		this.#cancel?.();
		this.#cancel = undefined;
		this.#entries.length = 0;
	}

	#arm(): void {
		if (this.#entries.length > 0) {
			this.#cancel ??= this.clock.schedule(Math.max(0, this.#entries[0].at - this.clock.now()), () => {
				this.#runDue();
			});
		}
	}

	#runDue(): void {
		this.#cancel = undefined;
		while (this.#entries.length > 0 && this.#entries[0].at <= this.clock.now()) {
			this.#entries.shift()?.action();
		}

		this.#arm();
	}
}
