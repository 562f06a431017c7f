import {retryAfter, type RetryCause} from '../admission/retry-after.js';
import {type Milliseconds} from '../clock/clock.js';
import {shortDigest} from '../customers/key-digest.js';
import {type Customer} from '../customers/types.js';
import {SystemRandom} from '../random/random.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Route} from '../routing-table/types.js';
import {
	isInvalidMessage, provesNotRun, type RefusalReason, type StatementReply,
} from '../statement/types.js';
import {
	causeOf, explanationOf, type EndedRequest, type RequestEnd,
} from './explained-request.js';
import {notRunRefusal, refusal} from './replies.js';
import {boundText, RequestTrace} from './request-trace.js';
import {type SessionContext} from './session-context.js';

const random = new SystemRandom();

/** Number of members' refusals of a session's variables or prepared statements after which an operation ends: each member of a usual service may refuse once. */
const maximumSetupRefusals = 3;

/** What an operation is, for its record. */
export type OperationDescription = {
	readonly kind: 'statement' | 'transaction';
	/** Absent if the database has no route. */
	readonly route?: Route;
	/** Time at which it arrived; by default the current time. */
	readonly arrivedAt?: Milliseconds;
	/** Id of the BEGIN of the open transaction to which a refused statement belongs. */
	readonly transaction?: string;
};

/** Operation of a caller, which is one statement outside a transaction or a whole transaction. It is executed for the customer for whom it was admitted. */
export class CallerOperation {
	/** Record of how the operation is executed. */
	readonly trace: RequestTrace;
	#isAdmitted = false;
	#customer: string | undefined;
	/** Name of the customer for whom the limiter was asked last. */
	#askedCustomer: string | undefined;
	#hasEnded = false;
	#setupRefusalCount = 0;

	/** The id is that of the statement, or of the BEGIN of the transaction. */
	constructor(private readonly context: SessionContext, readonly id: string, private readonly description: OperationDescription = {kind: 'statement'}) {
		this.trace = new RequestTrace(() => context.now, description.arrivedAt);
	}

	/** Name of the customer for whom the operation was admitted; undefined on a public route and without customers. */
	get customer(): string | undefined {
		return this.#customer;
	}

	/** Whether the operation was admitted for the customer whom the key identifies now. */
	get isAdmitted(): boolean {
		return this.#isAdmitted && this.context.isAuthorizedAs(this.#customer);
	}

	/** Whether the end of the operation was recorded. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Admits the operation for the customer whom the key identifies. Resolves with a refusal, which has not run, if the key is not known or the customer has reached its limit. */
	async admit(): Promise<StatementReply | undefined> {
		// The key may identify another customer when the limiter has answered.
		while (!this.isAdmitted) {
			const authorization = this.context.authorize();
			if (!authorization.isAuthorized) {
				return refuseUnknownKey(this.context, this.id);
			}

			const {customer} = authorization;
			if (customer) {
				const refused = await this.#askLimiter(customer);
				if (refused) {
					return refused;
				}
			}

			this.#isAdmitted = true;
			this.#customer = customer?.name;
		}

		return undefined;
	}

	/** Counts a member's refusal of the session's variables or of the prepared statement. Returns whether the operation ends, since further members would refuse them as well. */
	endsAfterSetupRefusal(reason: RefusalReason): boolean {
		if (provesNotRun(reason)) {
			// The member refuses other statements as well at the moment.
			return false;
		}

		this.#setupRefusalCount++;
		return isInvalidMessage(reason) || this.#setupRefusalCount >= maximumSetupRefusals;
	}

	/** Records that the operation has ended, and logs why it was late, refused or attempted more than once. Only the first call has an effect. */
	end(end: RequestEnd): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = true;
		const {context, id, description: {kind, route, transaction}} = this;
		const {omitted, ...times} = this.trace.finish(kind === 'transaction' ? end.outcome : 'given up when the request had ended');
		const customer = this.#customer ?? this.#askedCustomer;
		const ended: EndedRequest = {
			kind,
			...end,
			outcome: boundText(end.outcome),
			...times,
			...(omitted.count > 0 && {omitted}),
			...(route && {target: route.latencyTarget}),
			...(customer !== undefined && {customer}),
			...(transaction !== undefined && {transaction: boundText(transaction)}),
		};
		const explained = explanationOf(ended);
		if (explained) {
			context.dependencies.requestLog.explain({
				request: boundText(id),
				session: context.id,
				database: context.database,
				routingVersion: context.dependencies.table()?.version,
				...(route && {route: route.name}),
				...ended,
				explained,
				cause: causeOf(ended, explained),
			});
		}
	}

	/** Records the end of a transaction unless a statement of it is being executed, whose reply states the outcome. */
	endWithoutStatement(end: RequestEnd): void {
		if (this.trace.isWaitingForCaller) {
			this.end(end);
		}
	}

	async #askLimiter(customer: Customer): Promise<StatementReply | undefined> {
		const {context, id, trace} = this;
		const askedAt = context.now;
		this.#askedCustomer = customer.name;
		try {
			const admission = await context.dependencies.admitOperation?.(customer) ?? {admitted: true};
			trace.recordAdmission(context.now - askedAt);
			context.log(id, 'admission', admission.admitted ? 'done' : 'limited', {customer: customer.name});
			return admission.admitted ? undefined : this.#refuse('the limit of the customer is reached', {kind: 'customerLimit', remaining: admission.retryAfter});
		} catch (error) {
			const {message} = toBuckthornhitchError(error);
			trace.recordAdmission(context.now - askedAt);
			context.log(id, 'admission', `fault ${message}`);
			return this.#refuse(message, {kind: 'unknown'});
		}
	}

	#refuse(detail: string, cause: RetryCause): StatementReply {
		const {dependencies, database} = this.context;
		const usefulTime = dependencies.route(database)?.statementTimeout ?? Number.POSITIVE_INFINITY;
		return notRunRefusal(detail, 'idle', retryAfter(cause, usefulTime, random));
	}
}

/** Returns the refusal of a statement whose key identifies no customer. */
export function refuseUnknownKey(context: SessionContext, id: string): StatementReply {
	context.log(id, 'authorization', 'refused notAuthorized', {key: shortDigest(context.caller.keyDigest)});
	return refusal('notAuthorized', 'the key is not known', 'idle');
}
