import {retryAfter, type RetryCause} from '../admission/retry-after.js';
import {shortDigest} from '../customers/key-digest.js';
import {type Customer} from '../customers/types.js';
import {SystemRandom} from '../random/random.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type StatementReply} from '../statement/types.js';
import {notRunRefusal, refusal} from './replies.js';
import {type SessionContext} from './session-context.js';

const random = new SystemRandom();

/** Operation of a caller, which is one statement outside a transaction or a whole transaction. It is executed for the customer for whom it was admitted. */
export class CallerOperation {
	#isAdmitted = false;
	#customer: string | undefined;

	constructor(private readonly context: SessionContext, private readonly id: string) {}

	/** Name of the customer for whom the operation was admitted; undefined on a public route and without customers. */
	get customer(): string | undefined {
		return this.#customer;
	}

	/** Whether the operation was admitted for the customer whom the key identifies now. */
	get isAdmitted(): boolean {
		return this.#isAdmitted && this.context.isAuthorizedAs(this.#customer);
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

	async #askLimiter(customer: Customer): Promise<StatementReply | undefined> {
		const {context, id} = this;
		try {
			const admission = await context.dependencies.admitOperation?.(customer) ?? {admitted: true};
			context.log(id, 'admission', admission.admitted ? 'done' : 'limited', {customer: customer.name});
			return admission.admitted ? undefined : this.#refuse('the limit of the customer is reached', {kind: 'customerLimit', remaining: admission.retryAfter});
		} catch (error) {
			const {message} = toBuckthornhitchError(error);
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
