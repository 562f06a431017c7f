import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** A request for admission. The grant is what an admitted request receives, such as a slot on a member. */
export type AdmissionRequest<Grant> = {
	/** Returns the grant, or undefined while the request must wait; a thrown error rejects the request. */
	readonly attempt: () => Grant | undefined;
	/** Time on the clock by which the request must be admitted. */
	readonly deadlineAt: Milliseconds;
	/** Whether the request precedes the ordinary ones and is queued even when the queue is full, for example within an open transaction. */
	readonly urgent?: boolean;
	/** Returns the error for a request whose deadline passed; deadlinePassed by default. */
	readonly createDeadlineError?: () => BuckthornhitchError;
};

type WaitingRequest<Grant> = {
	readonly request: AdmissionRequest<Grant>;
	readonly resolve: (grant: Grant) => void;
	readonly reject: (error: unknown) => void;
	cancelDeadline: Cancel;
};

/** Queue of requests with deadlines. Urgent requests precede ordinary ones; ordinary requests are rejected while the queue has its maximum length. */
export class AdmissionQueue<Grant> {
	readonly #urgent = new Set<WaitingRequest<Grant>>();
	readonly #ordinary = new Set<WaitingRequest<Grant>>();

	constructor(private readonly clock: Clock, private readonly maximumLength: () => number) {}

	/** Number of waiting requests. */
	get length(): number {
		return this.#urgent.size + this.#ordinary.size;
	}

	/** Resolves with the grant when the request is admitted. Rejects with queueFull or deadlinePassed; in both cases the request was not run. */
	async enter(request: AdmissionRequest<Grant>): Promise<Grant> {
		if (this.clock.now() >= request.deadlineAt) {
			throw this.#deadlineError(request);
		}

		if (this.length === 0 || request.urgent) {
			const grant = request.attempt();
			if (grant !== undefined) {
				return grant;
			}
		}

		if (this.length >= this.maximumLength() && !request.urgent) {
			throw new BuckthornhitchError('queueFull', `${this.length} requests are waiting.`);
		}

		return this.#enqueue(request);
	}

	/** Attempts the waiting requests in their order, until `hasCapacity` returns false. A request that must keep waiting does not block those behind it. */
	dispatch(hasCapacity: () => boolean = () => true): void {
		for (const queue of [this.#urgent, this.#ordinary]) {
			for (const waiting of queue) {
				if (!hasCapacity()) {
					return;
				}

				this.#tryAdmit(waiting);
			}
		}
	}

	async #enqueue(request: AdmissionRequest<Grant>): Promise<Grant> {
		return new Promise((resolve, reject) => {
			const waiting: WaitingRequest<Grant> = {
				request, resolve, reject, cancelDeadline: () => undefined,
			};
			waiting.cancelDeadline = this.clock.schedule(request.deadlineAt - this.clock.now(), () => {
				this.#remove(waiting);
				reject(this.#deadlineError(request));
			});
			(request.urgent ? this.#urgent : this.#ordinary).add(waiting);
		});
	}

	#tryAdmit(waiting: WaitingRequest<Grant>): void {
		try {
			const grant = waiting.request.attempt();
			if (grant !== undefined) {
				this.#remove(waiting);
				waiting.resolve(grant);
			}
		} catch (error) {
			this.#remove(waiting);
			waiting.reject(error);
		}
	}

	#remove(waiting: WaitingRequest<Grant>): void {
		waiting.cancelDeadline();
		this.#urgent.delete(waiting);
		this.#ordinary.delete(waiting);
	}

	#deadlineError(request: AdmissionRequest<Grant>): BuckthornhitchError {
		return request.createDeadlineError?.() ?? new BuckthornhitchError('deadlinePassed', 'No slot became free in time.');
	}
}
