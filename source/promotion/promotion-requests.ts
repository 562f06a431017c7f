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
	/** Token of the last request that was carried out with an answer, by service. */
	readonly #settledTokens = new Map<string, number>();
	/** Token of the last request that the authority refused, by service; its member may not be running. */
	readonly #refusedTokens = new Map<string, number>();

	constructor(private readonly options: PromotionRequestOptions) {}

	/** Returns whether no request can change the primary any more: the last one named it and was answered. A new leader does not know the answers to its predecessor. */
	isSettled(service: string, primary: string): boolean {
		const last = this.options.lastPromotion(service);
		return last?.member === primary && last.token === this.#settledTokens.get(service);
	}

	/** Returns the member that the last request named and that may still be promoted by it. Returns undefined if the authority refused the request, or the log does not name a member. */
	lastNamed(service: string): string | undefined {
		const last = this.options.lastPromotion(service);
		return last?.token === this.#refusedTokens.get(service) ? undefined : last?.member;
	}

	/** Requests a promotion with a new fencing token. For the present primary, it changes nothing; once answered, it has invalidated all earlier requests. Rejects unless this instance leads. */
	async send(service: string, member: string): Promise<PromotionOutcome> {
		const {name, authority, issueToken, logger} = this.options;
		const token = await issueToken(service, member);
		const outcome = await authority.promote({
			service, member, leader: name, token,
		});
		logger.info(`${service}: promotion of ${member} with token ${token}: ${outcome}`);
		if (outcome === 'designated') {
			this.#settledTokens.set(service, token);
		} else if (outcome === 'refused') {
			this.#refusedTokens.set(service, token);
		}

		return outcome;
	}
}
