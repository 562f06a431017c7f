import {type Logger} from '../observability/logger.js';
import {type PromotionRecord} from '../routing-table/routing-state-machine.js';
import {type PromotionAuthority, type PromotionOutcome} from './promotion-authority.js';

/** Dependencies of the promotion requests. */
export type PromotionRequestOptions = {
	readonly name: string;
	readonly logger: Logger;
	readonly authority: PromotionAuthority;
	/** Records a request for the member in the control log and resolves with its fencing token; rejects unless this instance leads. */
	readonly issueToken: (service: string, member: string) => Promise<number>;
	/** Returns the last request for a service in the control log, of whichever leader. */
	readonly lastPromotion: (service: string) => PromotionRecord | undefined;
};

/**
Sends promotion requests and tells which of them may still be carried out.

A request without an answer may be carried out seconds later, also after the process that sent it has died. The fencing tokens order all requests for a service: once one is answered, the authority refuses those with lower tokens, so that they are settled.
*/
export class PromotionRequests {
	/** Highest token with which a request was answered, by service. */
	readonly #settledTokens = new Map<string, number>();
	/** Member whose promotion the authority refused last, by service; it may not be running. */
	readonly #refusedMembers = new Map<string, string>();

	constructor(private readonly options: PromotionRequestOptions) {}

	/** Returns whether no earlier request for the service can be carried out any more. A new leader does not know the answers to its predecessor. */
	isSettled(service: string): boolean {
		const settledToken = this.#settledTokens.get(service);
		return settledToken !== undefined && (this.options.lastPromotion(service)?.token ?? 0) <= settledToken;
	}

	/** Returns the member that the last request named, if the request may still be carried out. Returns undefined if the authority refuses that member, or the log does not name one. */
	unsettledMember(service: string): string | undefined {
		const member = this.isSettled(service) ? undefined : this.options.lastPromotion(service)?.member;
		return member === this.#refusedMembers.get(service) ? undefined : member;
	}

	/** Returns whether the last request, answered or not, named the member. */
	isLastNamed(service: string, member: string): boolean {
		return this.options.lastPromotion(service)?.member === member;
	}

	/** Requests a promotion with a new fencing token. For the present primary, it changes nothing and settles all earlier requests. Rejects unless this instance leads. */
	async send(service: string, member: string): Promise<PromotionOutcome> {
		const {name, authority, issueToken, logger} = this.options;
		const token = await issueToken(service, member);
		const outcome = await authority.promote({
			service, member, leader: name, token,
		});
		logger.info(`${service}: promotion of ${member} with token ${token}: ${outcome}`);
		if (outcome === 'designated') {
			this.#settledTokens.set(service, token);
			this.#refusedMembers.delete(service);
		} else if (outcome === 'refused') {
			this.#refusedMembers.set(service, member);
		}

		return outcome;
	}
}
