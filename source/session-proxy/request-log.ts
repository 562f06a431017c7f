import {type Milliseconds} from '../clock/clock.js';

/** One line on a request whose outcome an operator may ask for. */
export type RequestDecision = {
	readonly request: string;
	readonly session: string;
	readonly database: string;
	readonly step: string;
	readonly routingVersion?: number;
	readonly member?: string;
	readonly point?: string;
	readonly pointAge?: Milliseconds;
	readonly elapsed?: Milliseconds;
	readonly outcome: string;
};

/** Receives decisions on requests. */
export abstract class RequestLog {
	/** Records a decision; never blocks, and drops lines beyond its rate. */
	abstract record(decision: RequestDecision): void;
}
