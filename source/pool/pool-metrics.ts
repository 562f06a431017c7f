import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

/** Metrics of a pool process. */
export type PoolMetrics = ReturnType<typeof createPoolMetrics>;

/** Histogram buckets in seconds. */
const failoverGapBuckets = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30];
const confirmationWaitBuckets = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Creates the metrics and registers them. */
export function createPoolMetrics(registry: Registry) {
	const registers = [registry];
	return {
		reads: new Counter({
			name: 'buckthornhitch_pool_reads_total',
			help: 'Reads outside of transactions by the role of the member that served them and by whether they state a maximum age.',
			labelNames: ['database', 'role', 'stated_age'],
			registers,
		}),
		writes: new Counter({
			name: 'buckthornhitch_pool_writes_total', help: 'Writes by outcome.', labelNames: ['database', 'outcome'], registers,
		}),
		rejections: new Counter({
			name: 'buckthornhitch_pool_rejections_total', help: 'Requests that ended with a numbered code.', labelNames: ['database', 'code'], registers,
		}),
		retries: new Counter({
			name: 'buckthornhitch_pool_retries_total', help: 'Reads sent again after a failure.', labelNames: ['database'], registers,
		}),
		failoverGap: new Histogram({
			name: 'buckthornhitch_pool_failover_gap_seconds',
			help: 'Time from the last answer of an old primary to the first answer of the new one.',
			labelNames: ['database'],
			buckets: failoverGapBuckets,
			registers,
		}),
		confirmationWait: new Histogram({
			name: 'buckthornhitch_pool_confirmation_wait_seconds',
			help: 'Time from the answer of the primary to the confirmation by a majority.',
			labelNames: ['database'],
			buckets: confirmationWaitBuckets,
			registers,
		}),
		queueLength: new Gauge({
			name: 'buckthornhitch_pool_queue_length', help: 'Requests that wait for a member or a slot.', labelNames: ['database', 'access'], registers,
		}),
		slotsInUse: new Gauge({
			name: 'buckthornhitch_pool_slots_in_use', help: 'Statements under way.', labelNames: ['database'], registers,
		}),
		connections: new Gauge({
			name: 'buckthornhitch_pool_connections', help: 'Open connections to members, without the monitor connections.', labelNames: ['database'], registers,
		}),
	};
}
