import {Counter, Histogram, type Registry} from 'prom-client';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {CustomerRanking} from '../customers/customer-ranking.js';
import {type Logger} from '../observability/logger.js';
import {type ExplainedRequest} from './explained-request.js';
import {RequestLog, type RequestDecision} from './request-log.js';

/** Histogram buckets of reply times in seconds: from a reply within the data centre to the longest statement timeout. */
const replyTimeBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2];

const millisecondsPerSecond = 1000;

/** Lines about requests beyond this rate are counted but not written. While an instance with a quarter of a core is overloaded, formatting a line for each failed request would take time from the requests. */
const maximumLinesPerSecond = 40;

const rateWindow: Milliseconds = 1000;

/** Request log that counts decisions in metrics and writes those other than plain successes as structured log lines. */
export class StructuredRequestLog extends RequestLog {
	readonly #decisions: Counter<'step' | 'outcome'>;
	readonly #replyTimes: Histogram<'step'>;
	readonly #customerOperations: Counter<'customer' | 'outcome'>;
	readonly #explainedRequests: Counter<'explained'>;
	readonly #customerRanking = new CustomerRanking();

	#windowStart: Milliseconds = Number.NEGATIVE_INFINITY;
	#writtenInWindow = 0;
	#omittedCount = 0;

	constructor(private readonly logger: Logger, registry: Registry, private readonly clock: Clock) {
		super();
		const registers = [registry];
		this.#decisions = new Counter({
			name: 'buckthornhitch_request_decisions_total', help: 'Decisions on requests by step and outcome.', labelNames: ['step', 'outcome'], registers,
		});
		this.#replyTimes = new Histogram({
			name: 'buckthornhitch_request_seconds', help: 'Time to the answer of a member by step.', labelNames: ['step'], buckets: replyTimeBuckets, registers,
		});
		this.#customerOperations = new Counter({
			name: 'buckthornhitch_customer_operations_total',
			help: 'Operations by customer and outcome. The customers with the most operations have labels of their own.',
			labelNames: ['customer', 'outcome'],
			registers,
		});
		this.#explainedRequests = new Counter({
			name: 'buckthornhitch_explained_requests_total',
			help: 'Requests that were refused, late, or answered in time by more than one attempt, also those whose log lines were dropped.',
			labelNames: ['explained'],
			registers,
		});
	}

	override record(decision: RequestDecision): void {
		const {step, outcome, elapsed, customer} = decision;
		this.#decisions.inc({step, outcome: outcomeLabel(outcome)});
		if (elapsed !== undefined) {
			this.#replyTimes.observe({step}, elapsed / millisecondsPerSecond);
		}

		if (customer !== undefined) {
			this.#countOperation(customer, outcome);
		}

		if (decision.outcome === 'done') {
			return;
		}

		if (this.#mayWrite()) {
			this.logger.info(`${decision.step} ${decision.outcome}`, decision);
		}
	}

	override explain(request: ExplainedRequest): void {
		this.#explainedRequests.inc({explained: request.explained});
		if (this.#mayWrite()) {
			this.logger.info(`${request.explained} ${request.kind}`, request);
		}
	}

	/** Returns whether a line may be written now, and counts it. Reports the lines that were omitted in the second before. */
	#mayWrite(): boolean {
		const now = this.clock.now();
		if (now - this.#windowStart >= rateWindow) {
			this.#windowStart = now;
			this.#writtenInWindow = 0;
			if (this.#omittedCount > 0) {
				this.logger.info('lines about requests were omitted', {omitted: this.#omittedCount});
				this.#omittedCount = 0;
			}
		}

		if (this.#writtenInWindow >= maximumLinesPerSecond) {
			this.#omittedCount++;
			return false;
		}

		this.#writtenInWindow++;
		return true;
	}

	#countOperation(customer: string, outcome: string): void {
		const {label, replaced} = this.#customerRanking.count(customer);
		if (replaced !== undefined) {
			for (const replacedOutcome of ['done', 'limited']) {
				this.#customerOperations.remove({customer: replaced, outcome: replacedOutcome});
			}
		}

		this.#customerOperations.inc({customer: label, outcome});
	}
}

/** Returns the metric label of an outcome. Details are left out, since they name members, whose number is not bounded. */
function outcomeLabel(outcome: string): string {
	const [kind, reason] = outcome.split(' ', 2);
	return kind === 'refused' ? `refused ${reason}` : kind;
}
