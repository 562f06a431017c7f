import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** A request that waits for its turn. */
export type AdmissionRequest<Grant> = {
	/** Returns what the request was waiting for, or undefined while it must wait; a thrown error rejects the request. */
	readonly attempt: () => Grant | undefined;
	/** Time on the clock by which the request must have been admitted. */
	readonly deadlineAt: Milliseconds;
	/** Whether the request goes before those that wait, for example within an open transaction. */
	readonly urgent?: boolean;
	/** Returns the error for a request whose deadline passed; a deadlinePassed by default. */
	readonly createDeadlineError?: () => BuckthornhitchError;
};

type Waiting<Grant> = {
	readonly admission: AdmissionRequest<Grant>;
	readonly resolve: (grant: Grant) => void;
	readonly reject: (error: unknown) => void;
	cancelDeadline: Cancel;
};

/** Bounded queue of requests with deadlines. */
export class AdmissionQueue<Grant> {
	readonly #urgent = new Set<Waiting<Grant>>();
	readonly #ordinary = new Set<Waiting<Grant>>();

	constructor(private readonly clock: Clock, private readonly capacity: () => number) {}

	/** Number of waiting requests. */
	get length(): number {
		return this.#urgent.size + this.#ordinary.size;
	}

	/** Resolves when the request is admitted. Rejects with queueFull or deadlinePassed; the request was not run then. */
	async enter(admission: AdmissionRequest<Grant>): Promise<Grant> {
		if (this.clock.now() >= admission.deadlineAt) {
			throw this.#deadlineError(admission);
		}

		if (this.length === 0 || admission.urgent) {
			const grant = admission.attempt();
			if (grant !== undefined) {
				return grant;
			}
		}

		if (this.length >= this.capacity() && !admission.urgent) {
			throw new BuckthornhitchError('queueFull', `${this.length} requests are waiting.`);
		}

		return this.#wait(admission);
	}

	/** Admits the waiting requests that can go on, in their order, for as long as there is capacity at all. */
	dispatch(hasCapacity: () => boolean = () => true): void {
		for (const waiting of [this.#urgent, this.#ordinary]) {
			for (const entry of waiting) {
				if (!hasCapacity()) {
					return;
				}

				this.#tryAdmit(entry);
			}
		}
	}

	async #wait(admission: AdmissionRequest<Grant>): Promise<Grant> {
		return new Promise((resolve, reject) => {
			const entry: Waiting<Grant> = {
				admission, resolve, reject, cancelDeadline: () => undefined,
			};
			entry.cancelDeadline = this.clock.schedule(admission.deadlineAt - this.clock.now(), () => {
				this.#remove(entry);
				reject(this.#deadlineError(admission));
			});
			(admission.urgent ? this.#urgent : this.#ordinary).add(entry);
		});
	}

	#tryAdmit(entry: Waiting<Grant>): void {
		try {
			const grant = entry.admission.attempt();
			if (grant !== undefined) {
				this.#remove(entry);
				entry.resolve(grant);
			}
		} catch (error) {
			this.#remove(entry);
			entry.reject(error);
		}
	}

	#remove(entry: Waiting<Grant>): void {
		entry.cancelDeadline();
		this.#urgent.delete(entry);
		this.#ordinary.delete(entry);
	}

	#deadlineError(admission: AdmissionRequest<Grant>): BuckthornhitchError {
		return admission.createDeadlineError?.() ?? new BuckthornhitchError('deadlinePassed', 'No slot became free in time.');
	}
}
