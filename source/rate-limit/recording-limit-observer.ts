import {Counter, type Registry} from 'prom-client';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {type AdmissionKind, LimitObserver} from './limit-observer.js';

/** Time without a refusal after which a customer counts as no longer refused. */
const refusalPause: Milliseconds = 5000;

/** Number of customers that get a metric label of their own, and number of customers that are logged at the same time. The number of customers is not bounded. */
const maximumNamedCustomers = 10;

/** Metric label of all customers without one of their own. */
const otherCustomers = 'other';

type Refusals = {
	count: number;
	lastAt: Milliseconds;
};

/** Counts the decisions of an operation limiter in metrics, and logs when a customer begins and ceases to be refused. */
export class RecordingLimitObserver extends LimitObserver {
	readonly #admitted: Counter<'kind'>;
	readonly #refused: Counter<'customer'>;
	readonly #requested: Counter;
	readonly #granted: Counter;
	readonly #labels = new Set<string>();
	readonly #refusals = new Map<string, Refusals>();

	constructor(private readonly clock: Clock, private readonly logger: Logger, registry: Registry) {
		super();
		const registers = [registry];
		this.#admitted = new Counter({
			name: 'buckthornhitch_limited_operations_admitted_total', help: 'Admitted operations of customers with a limit, by what admitted them.', labelNames: ['kind'], registers,
		});
		this.#refused = new Counter({
			name: 'buckthornhitch_limited_operations_refused_total', help: 'Operations refused by the limit of their customer.', labelNames: ['customer'], registers,
		});
		this.#requested = new Counter({name: 'buckthornhitch_limit_operations_requested_total', help: 'Operations for which a control instance was asked.', registers});
		this.#granted = new Counter({name: 'buckthornhitch_limit_operations_granted_total', help: 'Operations granted on request by a control instance.', registers});
	}

	override operationAdmitted(_customer: string, kind: AdmissionKind): void {
		this.#admitted.inc({kind});
	}

	override operationRefused(customer: string): void {
		if (this.#labels.size < maximumNamedCustomers) {
			this.#labels.add(customer);
		}

		this.#refused.inc({customer: this.#labels.has(customer) ? customer : otherCustomers});
		const refusals = this.#refusals.get(customer);
		if (refusals) {
			refusals.count++;
			refusals.lastAt = this.clock.now();
		} else if (this.#refusals.size < maximumNamedCustomers) {
			this.#refusals.set(customer, {count: 1, lastAt: this.clock.now()});
			this.logger.info(`operations of customer ${customer} exceed its rate limit and are refused`);
			this.#checkLater(customer, refusalPause);
		}
	}

	override operationsRequested(count: number): void {
		this.#requested.inc(count);
	}

	override operationsGranted(count: number): void {
		this.#granted.inc(count);
	}

	#checkLater(customer: string, delay: Milliseconds): void {
		this.clock.schedule(delay, () => {
			const {count, lastAt} = this.#refusals.get(customer)!;
			const silence = this.clock.now() - lastAt;
			if (silence < refusalPause) {
				this.#checkLater(customer, refusalPause - silence);
				return;
			}

			this.#refusals.delete(customer);
			this.logger.info(`operations of customer ${customer} are no longer refused; ${count} were refused by its rate limit`);
		});
	}
}
