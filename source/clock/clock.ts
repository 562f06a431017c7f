/** A duration or a point in time, in milliseconds. */
export type Milliseconds = number;

/** Cancels a scheduled action; further calls have no effect. */
export type Cancel = () => void;

/** Source of time, replaceable in tests. Points in time are comparable only within one process. */
export abstract class Clock {
	/** Resolves after the delay in milliseconds. */
	async sleep(delay: Milliseconds): Promise<void> {
		return new Promise(resolve => {
			this.schedule(delay, resolve);
		});
	}

	/** Runs the action repeatedly with the given period in milliseconds until cancelled. */
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
	Returns the time on this clock at which the instance was last suspected of having been suspended.

	Durations measured across this time cannot be trusted, because the monotonic clock of the operating system stops while an instance is suspended.
	*/
	lastSuspectedSuspension(): Milliseconds {
		return Number.NEGATIVE_INFINITY;
	}

	/** Returns monotonic time in milliseconds since an arbitrary origin. */
	abstract now(): Milliseconds;

	/** Returns milliseconds since the Unix epoch; may jump. Only for display and for the hybrid logical clock. */
	abstract wallTime(): Milliseconds;

	/** Runs the action once after the delay in milliseconds, which may be of any length; never if it is infinite. A delay that is not positive has passed already. */
	abstract schedule(delay: Milliseconds, action: () => void): Cancel;
}
