import {type Cancel} from '../clock/clock.js';

/** Whether the caller of a session still waits for replies. */
export class CallerPresence {
	#hasLeft = false;
	readonly #listeners = new Set<() => void>();

	/** Whether the caller has closed its connection. */
	get hasLeft(): boolean {
		return this.#hasLeft;
	}

	/** Records that the caller has left. */
	leave(): void {
		this.#hasLeft = true;
		for (const listener of this.#listeners) {
			listener();
		}

		this.#listeners.clear();
	}

	/** Calls the listener once when the caller leaves, or now if it has left, unless cancelled before. */
	onLeave(listener: () => void): Cancel {
		if (this.#hasLeft) {
			listener();
			return () => undefined;
		}

		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}
}
