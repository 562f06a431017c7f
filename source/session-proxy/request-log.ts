import {type Milliseconds} from '../clock/clock.js';

/** Decision on a request, as it is logged for operators. */
export type RequestDecision = {
	readonly request: string;
	readonly session: string;
	readonly database: string;
	readonly step: string;
	readonly routingVersion?: number;
	readonly member?: string;
	/** Log position that a read requires, in the form `term.position`. */
	readonly point?: string;
	readonly pointAge?: Milliseconds;
	readonly elapsed?: Milliseconds;
	readonly outcome: string;
};

/** Log of decisions on requests. */
export abstract class RequestLog {
	/** Records a decision without blocking. Lines above the rate limit are dropped. */
	abstract record(decision: RequestDecision): void;
}
