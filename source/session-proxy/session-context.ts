import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {type Route, type RoutingTable} from '../routing-table/types.js';
import {CallerSessionState} from './caller-session-state.js';
import {type SessionCommit} from './freshness-tracker.js';
import {type RequestDecision, type RequestLog} from './request-log.js';
import {type ServiceClient} from './service-client.js';

/** Part of the statement timeout that is reserved for the reply to reach the caller. */
const replyMargin: Milliseconds = 20;

/** Dependencies that the sessions of a process share. */
export type SessionDependencies = {
	readonly clock: Clock;
	readonly dataCentre: string;
	readonly requestLog: RequestLog;
	/** Returns the current routing table, if one has arrived. */
	readonly table: () => RoutingTable | undefined;
	/** Returns the current route of a database, if there is one. */
	readonly route: (database: string) => Route | undefined;
	/** Returns the client of a service. */
	readonly client: (service: string) => ServiceClient;
};

/** State and dependencies that the components of one session share. */
export class SessionContext {
	/** Session variables and prepared statements of the caller. */
	readonly sessionState = new CallerSessionState();
	#lastCommit: SessionCommit | undefined;

	constructor(readonly id: string, readonly database: string, readonly dependencies: SessionDependencies) {}

	/** Last commit of the session that was acknowledged. */
	get lastCommit(): SessionCommit | undefined {
		return this.#lastCommit;
	}

	/** Current time. */
	get now(): Milliseconds {
		return this.dependencies.clock.now();
	}

	/** Returns the deadline of a statement that starts now. */
	deadlineOf(route: Route): Milliseconds {
		return this.now + route.statementTimeout - replyMargin;
	}

	/** Records an acknowledged commit. Has no effect if the member reported no log position. */
	recordCommit(member: string, logPosition: LogPosition | undefined): void {
		if (logPosition) {
			this.#lastCommit = {member, logPosition, acknowledgedAt: this.now};
		}
	}

	/** Records a decision in the request log. */
	log(request: string, step: string, outcome: string, fields: Partial<RequestDecision> = {}): void {
		this.dependencies.requestLog.record({
			request, session: this.id, database: this.database, step, routingVersion: this.dependencies.table()?.version, outcome, ...fields,
		});
	}
}
