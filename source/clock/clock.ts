/** A duration or a point in time, in milliseconds. */
export type Milliseconds = number;

/** Cancels a scheduled action; calling it again has no effect. */
export type Cancel = () => void;

/** Source of time for all decisions. Points in time are comparable only within one process. */
export abstract class Clock {
	/** Resolves after the delay in milliseconds. */
	async sleep(delay: Milliseconds): Promise<void> {
		return new Promise(resolve => {
			this.schedule(delay, resolve);
		});
	}

	/** Runs the action every period in milliseconds until cancelled. */
	repeat(period: Milliseconds, action: () => void): Cancel {
		let cancel: Cancel;
		const next = (): void => {
			cancel = this.schedule(period, next);
			action();
		};

		cancel = this.schedule(period, next);
		return () => {
			cancel();
		};
	}

	/**
	Returns the time on this clock up to which measured ages are not to be trusted, because the instance may have been suspended then.

	The steady clock of the operating system stands still while an instance is suspended.
	*/
	lastSuspectedSuspension(): Milliseconds {
		return Number.NEGATIVE_INFINITY;
	}

	/** Returns milliseconds since an arbitrary start; never goes back. */
	abstract now(): Milliseconds;

	/** Returns milliseconds since the Unix epoch; may jump. Used for display and for the hybrid logical clock only. */
	abstract wallTime(): Milliseconds;

	/** Runs the action once after the delay in milliseconds. */
	abstract schedule(delay: Milliseconds, action: () => void): Cancel;
}
