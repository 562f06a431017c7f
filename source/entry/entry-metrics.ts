import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import {type Milliseconds} from '../clock/clock.js';
import {type Access} from '../pool/messages.js';

/** Outcome of a request as counted in the metrics. */
export type RequestOutcome = 'done' | 'notRun' | 'unknown';

const latencyBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];
const millisecondsPerSecond = 1000;

/** Metrics of an entry process. */
export class EntryMetrics {
	readonly callers: Gauge;
	readonly retries: Counter;
	readonly #requests: Counter<'access' | 'outcome'>;
	readonly #latency: Histogram<'access'>;
	readonly #refusals: Counter<'code'>;

	constructor(registry: Registry) {
		const registers = [registry];
		this.callers = new Gauge({name: 'buckthornhitch_entry_callers', help: 'Connected callers.', registers});
		this.retries = new Counter({name: 'buckthornhitch_entry_retries_total', help: 'Attempts after the first.', registers});
		this.#requests = new Counter({
			name: 'buckthornhitch_entry_requests_total', help: 'Forwarded requests.', labelNames: ['access', 'outcome'], registers,
		});
		this.#latency = new Histogram({
			name: 'buckthornhitch_entry_request_seconds', help: 'Time from a request to its answer.', labelNames: ['access'], buckets: latencyBucketsSeconds, registers,
		});
		this.#refusals = new Counter({
			name: 'buckthornhitch_entry_refusals_total', help: 'Errors given by the entry, by numbered code.', labelNames: ['code'], registers,
		});
	}

	/** Counts a forwarded request and records its duration in milliseconds. */
	countRequest(access: Access, outcome: RequestOutcome, duration: Milliseconds): void {
		this.#requests.inc({access, outcome});
		this.#latency.observe({access}, duration / millisecondsPerSecond);
	}

	/** Counts an error that was sent to a caller, by its result code. */
	countRefusal(code: number): void {
		this.#refusals.inc({code: String(code)});
	}
}
