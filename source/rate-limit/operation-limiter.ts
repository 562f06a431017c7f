import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Customer, type RateLimit} from '../customers/types.js';
import {allowanceWithoutControl, creditLifetime, maximumHeadroom} from './entry-rules.js';
import {aimedOperations, type RateLimitSettings} from './limit-arithmetic.js';
import {type AdmissionKind, type LimitObserver} from './limit-observer.js';
import {
	type CustomerUsage, type OperationAdmission, type OperationsRequest, type OperationsResponse, type UsageReport, type UsageResponse,
} from './messages.js';
import {OpenRequests} from './open-requests.js';
import {SlidingWindow} from './sliding-window.js';

/** Delay before a request that failed or is to be repeated is sent again. It covers an exchange between the control instances after the start of one. */
const repeatDelay: Milliseconds = 50;

/** A credit that was not used for this long is returned. */
const unusedCreditTime: Milliseconds = 1000;

/** Dependencies of an operation limiter. */
export type OperationLimiterOptions = {
	/** Name of the entry instance. */
	readonly name: string;
	/** Identifies the process. */
	readonly runId: string;
	readonly clock: Clock;
	readonly settings: RateLimitSettings;
	readonly observer: LimitObserver;
	/** Sends `requestOperations` to the control instance that is watched. Rejects when it does not answer in time. */
	readonly requestOperations: (request: OperationsRequest) => Promise<OperationsResponse>;
};

type Waiting = {
	readonly startedAt: Milliseconds;
	readonly settle: (admission: OperationAdmission) => void;
};

type CustomerState = {
	readonly window: SlidingWindow;
	limit: RateLimit;
	credit: number;
	/** Operations admitted with the credit since the last report was sent. */
	creditUsedSinceReport: number;
	lastOperationAt: Milliseconds;
	headroom: number;
	/** Operations in the last report that was answered. */
	lastUsed: number;
	waiting: Waiting[];
	isAsking: boolean;
	refusedUntil: Milliseconds;
	retryAt: Milliseconds;
};

/** A usage report that was sent, from which the changes of the next one are computed once it is answered. */
export type SentReport = {
	readonly report: UsageReport;
	readonly target: string;
	readonly sentAt: Milliseconds;
	readonly counts: ReadonlyMap<string, CustomerUsage>;
};

/** Limits the operations of customers at an entry instance, with credits and grants of a control instance. */
export class OperationLimiter {
	readonly #customers = new Map<string, CustomerState>();
	readonly #requests = new OpenRequests();
	#isActive = false;
	#activeSince: Milliseconds = Number.NEGATIVE_INFINITY;
	#limits: ReadonlyMap<string, RateLimit> = new Map();
	#answered: {readonly target: string; readonly counts: ReadonlyMap<string, CustomerUsage>} | undefined;
	#answeredAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#isLastRequestFailed = false;
	#entryCount = 1;
	/** Number of the last report. */
	#lastReport = 0;

	constructor(private readonly options: OperationLimiterOptions) {}

	/** Replaces the customers. A lowered limit ends the credit of the customer. */
	replaceCustomers(customers: readonly Customer[] | undefined): void {
		const limits = new Map<string, RateLimit>();
		for (const {name, rateLimit} of customers ?? []) {
			const state = this.#customers.get(name);
			if (rateLimit) {
				limits.set(name, rateLimit);
			}

			if (state && rateLimit) {
				const isLowered = this.#aimed(rateLimit) < this.#aimed(state.limit);
				state.credit = isLowered ? 0 : state.credit;
				state.limit = rateLimit;
			}
		}

		this.#limits = limits;
		if (!this.#isActive) {
			this.#activeSince = this.options.clock.now();
		}

		this.#isActive = limits.size > 0;
		for (const name of this.#customers.keys()) {
			if (!limits.has(name)) {
				this.#forget(name);
			}
		}
	}

	/** Admits an operation of a customer, or refuses it with the time after which it may be sent again. Waits for a control instance if there is no credit. */
	async admitOperation({name, rateLimit}: Customer): Promise<OperationAdmission> {
		if (!rateLimit) {
			return {admitted: true};
		}

		const {clock} = this.options;
		const now = clock.now();
		const state = this.#stateOf(name, rateLimit);
		state.lastOperationAt = now;
		if (this.#isDisconnected()) {
			return this.#admitByHistory(name, state);
		}

		if (state.credit > 0 && this.#mayUseCredit()) {
			state.credit--;
			state.creditUsedSinceReport++;
			return this.#admit(name, state, 'credit');
		}

		if (now < state.refusedUntil) {
			return this.#refuse(name, state.retryAt - now);
		}

		return new Promise(resolve => {
			state.waiting.push({startedAt: now, settle: resolve});
			void this.#ask(name, state);
		});
	}

	/** Returns the report for the next `watch` request to a control instance, or undefined when no customer has a limit. */
	createReport(target: string): SentReport | undefined {
		if (!this.#isActive) {
			return undefined;
		}

		const now = this.options.clock.now();
		const counts = new Map<string, CustomerUsage>();
		for (const [name, state] of this.#customers) {
			if (now - state.lastOperationAt >= unusedCreditTime) {
				state.credit = 0;
			}

			state.creditUsedSinceReport = 0;
			const used = state.window.count(now);
			if (used > 0 || state.credit > 0) {
				counts.set(name, [name, used, state.credit]);
			} else if (state.waiting.length === 0 && !state.isAsking && !this.#isDisconnected()) {
				this.#customers.delete(name);
			}
		}

		const base = this.#answered?.target === target ? this.#answered.counts : undefined;
		const changed = [...counts.values()].filter(([name, used, credit]) => {
			const before = base?.get(name);
			return before?.[1] !== used || before[2] !== credit;
		});
		const ended = [...base?.keys() ?? []].filter(name => !counts.has(name)).map(name => [name, 0, 0] as const);
		return {
			report: {
				runId: this.options.runId, number: ++this.#lastReport, isComplete: base === undefined, counts: [...changed, ...ended], firstOpenRequest: this.#requests.first,
			},
			target,
			sentAt: now,
			counts,
		};
	}

	/** Applies the answer to a report. */
	handleResponse({target, counts, sentAt}: SentReport, {credits, wantsCompleteUsage}: UsageResponse, entryCount: number): void {
		this.#answered = wantsCompleteUsage ? undefined : {target, counts};
		this.#answeredAt = Math.max(this.#answeredAt, sentAt);
		this.#isLastRequestFailed = false;
		this.#entryCount = entryCount;
		const told = new Map(credits.map(credit => [credit[0], credit]));
		for (const [name, state] of this.#customers) {
			const [, credit, headroom] = told.get(name) ?? [name, 0, maximumHeadroom];
			state.credit = Math.max(0, credit - state.creditUsedSinceReport);
			state.headroom = headroom;
			state.lastUsed = counts.get(name)?.[1] ?? 0;
		}
	}

	async #ask(name: string, state: CustomerState): Promise<void> {
		if (state.isAsking) {
			return;
		}

		state.isAsking = true;
		while (state.waiting.length > 0) {
			const batch = state.waiting;
			state.waiting = [];
			// One request for each customer is open at a time; operations that arrive meanwhile share the next one.
			await this.#askFor(name, state, batch);
		}

		state.isAsking = false;
	}

	async #askFor(name: string, state: CustomerState, batch: readonly Waiting[]): Promise<void> {
		const {clock, observer, requestOperations, runId} = this.options;
		const number = this.#requests.begin();
		let response: OperationsResponse | undefined;
		try {
			observer.operationsRequested(batch.length);
			response = await requestOperations({
				forwardedBy: undefined, runId, number, customer: name, count: batch.length,
			});
		} catch {
			// Handled below: the operations wait, or are decided by history.
		}

		this.#isLastRequestFailed = response === undefined;
		if (!response) {
			this.#requests.end(number);
			await this.#repeatOrDecide(name, state, batch);
			return;
		}

		const now = clock.now();
		observer.operationsGranted(response.granted);
		for (const {settle} of batch.slice(0, response.granted)) {
			settle(this.#admit(name, state, 'grant'));
		}

		// The granted operations are in the window before the request counts as ended.
		this.#requests.end(number);
		const refused = batch.slice(response.granted);
		if (refused.length > 0 && response.pause === 0) {
			await this.#repeatOrDecide(name, state, refused);
			return;
		}

		if (refused.length > 0) {
			state.refusedUntil = now + response.pause;
			state.retryAt = now + response.retryAfter;
		}

		for (const {settle} of refused) {
			settle(this.#refuse(name, response.retryAfter));
		}
	}

	/** After a request that failed or is to be repeated, operations wait until a control instance answers, or are decided by history when none has answered for the lifetime of a credit. */
	async #repeatOrDecide(name: string, state: CustomerState, batch: readonly Waiting[]): Promise<void> {
		const {clock} = this.options;
		await clock.sleep(repeatDelay);
		const isDecidedNow = ({startedAt}: Waiting): boolean => this.#isDisconnected() || clock.now() - startedAt >= creditLifetime;
		for (const {settle} of batch.filter(waiting => isDecidedNow(waiting))) {
			settle(this.#admitByHistory(name, state));
		}

		state.waiting = [...batch.filter(waiting => !isDecidedNow(waiting)), ...state.waiting];
	}

	#admitByHistory(name: string, state: CustomerState): OperationAdmission {
		const now = this.options.clock.now();
		const allowance = allowanceWithoutControl({
			customer: name, entry: this.options.name, lastUsed: state.lastUsed, headroom: state.headroom, entryCount: this.#entryCount, aimed: this.#aimed(state.limit),
		});
		return state.window.count(now) < allowance ? this.#admit(name, state, 'history') : this.#refuse(name, state.window.timeUntilFirstExpiry(now));
	}

	#admit(name: string, state: CustomerState, kind: AdmissionKind): OperationAdmission {
		state.window.add(this.options.clock.now());
		this.options.observer.operationAdmitted(name, kind);
		return {admitted: true};
	}

	#refuse(name: string, retryAfter: Milliseconds): OperationAdmission {
		this.options.observer.operationRefused(name);
		return {admitted: false, retryAfter: Math.max(0, Math.round(retryAfter))};
	}

	/** Whether no control instance has answered a report for the lifetime of a credit, nor the last request for operations. */
	#isDisconnected(): boolean {
		return this.#isLastRequestFailed && this.options.clock.now() - Math.max(this.#answeredAt, this.#activeSince) >= creditLifetime;
	}

	/** Whether the credits are still counted by a control instance. Durations across a suspected suspension cannot be trusted. */
	#mayUseCredit(): boolean {
		const {clock} = this.options;
		return clock.now() - this.#answeredAt < creditLifetime && clock.lastSuspectedSuspension() < this.#answeredAt;
	}

	#aimed(limit: RateLimit): number {
		return aimedOperations(limit, this.options.settings);
	}

	#forget(name: string): void {
		const state = this.#customers.get(name);
		this.#customers.delete(name);
		for (const {settle} of state?.waiting ?? []) {
			settle({admitted: true});
		}

		if (state) {
			state.waiting = [];
		}
	}

	#stateOf(name: string, rateLimit: RateLimit): CustomerState {
		const known = this.#customers.get(name);
		if (known) {
			return known;
		}

		const state: CustomerState = {
			window: new SlidingWindow(this.options.settings.window),
			limit: this.#limits.get(name) ?? rateLimit,
			credit: 0,
			creditUsedSinceReport: 0,
			lastOperationAt: 0,
			headroom: maximumHeadroom,
			lastUsed: 0,
			waiting: [],
			isAsking: false,
			refusedUntil: 0,
			retryAt: 0,
		};
		this.#customers.set(name, state);
		return state;
	}
}
