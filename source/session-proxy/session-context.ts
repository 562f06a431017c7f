import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type CallerAuthorization, type CustomerDirectory} from '../customers/customer-directory.js';
import {type Customer} from '../customers/types.js';
import {type LogPosition} from '../database-group/types.js';
import {type OperationAdmission} from '../rate-limit/messages.js';
import {type Route, type RoutingTable} from '../routing-table/types.js';
import {CallerPresence} from './caller-presence.js';
import {CallerSessionState} from './caller-session-state.js';
import {type SessionCommit} from './freshness-tracker.js';
import {type RequestDecision, type RequestLog} from './request-log.js';
import {boundText} from './request-trace.js';
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
	/** Returns the customers of the current routing table. */
	readonly customers: () => CustomerDirectory;
	/** Counts an operation of a customer and returns whether it may run; absent when no limits are enforced. */
	readonly admitOperation?: (customer: Customer) => Promise<OperationAdmission>;
};

/** What a caller stated when it opened its session. */
export type CallerIdentity = {
	readonly database: string;
	/** Digest of the caller's API key (see `digestKey`). */
	readonly keyDigest: string;
};

/** State and dependencies that the components of one session share. */
export class SessionContext {
	/** Session variables and prepared statements of the caller. */
	readonly sessionState = new CallerSessionState();
	/** Whether the caller still waits for replies. */
	readonly presence = new CallerPresence();
	#lastCommit: SessionCommit | undefined;

	constructor(readonly id: string, readonly caller: CallerIdentity, readonly dependencies: SessionDependencies) {}

	/** Last commit of the session that was acknowledged. */
	get lastCommit(): SessionCommit | undefined {
		return this.#lastCommit;
	}

	/** Name of the database that the caller uses. */
	get database(): string {
		return this.caller.database;
	}

	/** Current time. */
	get now(): Milliseconds {
		return this.dependencies.clock.now();
	}

	/** Returns the deadline of a statement that starts now. */
	deadlineOf(route: Route): Milliseconds {
		return this.now + route.statementTimeout - replyMargin;
	}

	/** Returns whether the caller may execute statements with the current routing table, and for which customer. */
	authorize(): CallerAuthorization {
		const {customers, route} = this.dependencies;
		return customers().authorize(this.caller.keyDigest, route(this.database));
	}

	/** Returns whether the caller may execute statements for the customer, or for none if undefined. */
	isAuthorizedAs(customer: string | undefined): boolean {
		const authorization = this.authorize();
		return authorization.isAuthorized && authorization.customer?.name === customer;
	}

	/** Records an acknowledged commit, also if its log position is not known. */
	recordCommit(member: string, logPosition: LogPosition | undefined): void {
		this.#lastCommit = {member, logPosition, acknowledgedAt: this.now};
	}

	/** Records a decision in the request log. */
	log(request: string, step: string, outcome: string, fields: Partial<RequestDecision> = {}): void {
		this.dependencies.requestLog.record({
			request: boundText(request), session: this.id, database: this.database, step, routingVersion: this.dependencies.table()?.version, outcome: boundText(outcome), ...fields,
		});
	}
}
