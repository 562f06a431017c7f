import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {type Route, type RoutingTable} from '../routing-table/types.js';
import {CallerSessionState} from './caller-session-state.js';
import {type OwnCommit} from './freshness-tracker.js';
import {type RequestDecision, type RequestLog} from './request-log.js';
import {type ServiceClient} from './service-client.js';

/** Time that is left of a statement's limit for the answer to reach the caller. */
const answerMargin: Milliseconds = 20;

/** What sessions share within a process. */
export type SessionDependencies = {
	readonly clock: Clock;
	readonly dataCentre: string;
	readonly requestLog: RequestLog;
	readonly table: () => RoutingTable | undefined;
	/** Returns the route of a database, if there is one now. */
	readonly route: (database: string) => Route | undefined;
	readonly client: (service: string) => ServiceClient;
};

/** What the parts of one session share. */
export class SessionContext {
	readonly state = new CallerSessionState();
	#own: OwnCommit | undefined;

	constructor(readonly id: string, readonly database: string, readonly services: SessionDependencies) {}

	/** The session's last acknowledged commit. */
	get own(): OwnCommit | undefined {
		return this.#own;
	}

	/** The present time. */
	get now(): Milliseconds {
		return this.services.clock.now();
	}

	/** Returns the time until which a statement that begins now must be answered. */
	deadlineOf(route: Route): Milliseconds {
		return this.now + route.statementTimeout - answerMargin;
	}

	/** Takes note of an acknowledged commit. */
	committed(member: string, point: LogPosition | undefined): void {
		if (point) {
			this.#own = {member, point, acknowledgedAt: this.now};
		}
	}

	/** Records a decision on a request. */
	log(request: string, step: string, outcome: string, more: Partial<RequestDecision> = {}): void {
		this.services.requestLog.record({
			request, session: this.id, database: this.database, step, routingVersion: this.services.table()?.version, outcome, ...more,
		});
	}
}
