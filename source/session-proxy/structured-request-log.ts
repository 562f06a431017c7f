import {type Logger} from '../observability/logger.js';
import {RequestLog, type RequestDecision} from './request-log.js';

/** Writes decisions on requests that were not plain successes as structured lines. */
export class StructuredRequestLog extends RequestLog {
	constructor(private readonly logger: Logger) {
		super();
	}

	override record(decision: RequestDecision): void {
		if (decision.outcome === 'done') {
			return;
		}

		this.logger.info(`${decision.step} ${decision.outcome}`, decision);
	}
}
