import {Counter, Histogram, type Registry} from 'prom-client';
import {type Logger} from '../observability/logger.js';
import {RequestLog, type RequestDecision} from './request-log.js';

/** Upper bounds of the buckets of answer times, in seconds; from an answer in the own data centre to the longest limit of a statement. */
const bucketBounds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2];

const millisecondsPerSecond = 1000;

/** Counts decisions on requests, and writes those that were not plain successes as structured lines. */
export class StructuredRequestLog extends RequestLog {
	readonly #decisions: Counter<'step' | 'outcome'>;
	readonly #times: Histogram<'step'>;

	constructor(private readonly logger: Logger, registry: Registry) {
		super();
		const registers = [registry];
		this.#decisions = new Counter({
			name: 'buckthornhitch_request_decisions_total', help: 'Decisions on requests by step and outcome.', labelNames: ['step', 'outcome'], registers,
		});
		this.#times = new Histogram({
			name: 'buckthornhitch_request_seconds', help: 'Time to the answer of a member by step.', labelNames: ['step'], buckets: bucketBounds, registers,
		});
	}

	override record(decision: RequestDecision): void {
		const {step, outcome, elapsed} = decision;
		this.#decisions.inc({step, outcome: labelOf(outcome)});
		if (elapsed !== undefined) {
			this.#times.observe({step}, elapsed / millisecondsPerSecond);
		}

		if (decision.outcome === 'done') {
			return;
		}

		this.logger.info(`${decision.step} ${decision.outcome}`, decision);
	}
}

/** Details after the kind of an outcome name members, whose number is not bounded. */
function labelOf(outcome: string): string {
	const [kind, reason] = outcome.split(' ', 2);
	return kind === 'refused' ? `refused ${reason}` : kind;
}
