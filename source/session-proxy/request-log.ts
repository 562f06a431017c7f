import {type Milliseconds} from '../clock/clock.js';
import {type ExplainedRequest} from './explained-request.js';

/** Log record of one step in the execution of a request, with its outcome. */
export type RequestDecision = {
	readonly request: string;
	readonly session: string;
	readonly database: string;
	/** Kind of the step, for example `read`, `commit` or `routing`. */
	readonly step: string;
	readonly routingVersion?: number;
	/** Name of the customer, on steps that admit an operation. */
	readonly customer?: string;
	/** Beginning of the digest of a key that identifies no customer (see `shortDigest`). */
	readonly key?: string;
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

	/** Records a request that ended late, was refused or needed more than one attempt. Never blocks; lines above the rate limit are dropped. */
	abstract explain(request: ExplainedRequest): void;
}
