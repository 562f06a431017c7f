import {type Logger} from '../observability/logger.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type PromotionRecord} from '../routing-table/routing-state-machine.js';
import {type PromotionAuthority, type PromotionOutcome} from './promotion-authority.js';

/** Dependencies of the promotion requests. */
export type PromotionRequestOptions = {
	readonly name: string;
	readonly logger: Logger;
	readonly authority: PromotionAuthority;
	/** Records a request for the member in the control log and resolves with its fencing token; rejects unless this instance leads. */
	readonly issueToken: (service: string, member: string) => Promise<number>;
	/** Records in the control log that no request up to the token can be carried out any more; rejects unless this instance leads. */
	readonly settlePromotions: (service: string, member: string, token: number) => Promise<void>;
	/** Returns the last request for a service in the control log, of whichever leader. */
	readonly lastPromotion: (service: string) => PromotionRecord | undefined;
};

/** A request that was sent, and its outcome. */
export type SentPromotion = {
	readonly service: string;
	readonly member: string;
	readonly token: number;
	readonly outcome: PromotionOutcome;
};

/**
Sends promotion requests and tells which members they may still promote.

A request without an answer may be carried out seconds later, also after the process that sent it has died. The fencing tokens order all requests for a service: once one is carried out, the authority refuses those with lower tokens. The control log holds the requests that are not known to be settled, so that each leader knows those of its predecessors.
*/
export class PromotionRequests {
	/** Token of the last request that the authority refused, by service; its member may not be running. */
	readonly #refusedTokens = new Map<string, number>();
	/** Token up to which requests are settled, by service, in case that the control log did not accept it. */
	readonly #settledTokens = new Map<string, number>();

	constructor(private readonly options: PromotionRequestOptions) {}

	/** Returns the ids of the members other than the primary that a request may still promote, undefined for a request whose member is not known. */
	pendingMembers(service: string, primary: string | undefined): ReadonlyArray<string | undefined> {
		const settledToken = this.#settledTokens.get(service) ?? Number.NEGATIVE_INFINITY;
		const pending = this.options.lastPromotion(service)?.pending ?? [];
		return pending.filter(({member, last}) => last > settledToken && (member === undefined || member !== primary)).map(({member}) => member);
	}

	/** Returns the member that the last request named, whether or not it is settled. */
	lastNamed(service: string): string | undefined {
		return this.options.lastPromotion(service)?.member;
	}

	/** Returns the member that the last request named, unless the authority refused that request. */
	lastAccepted(service: string): string | undefined {
		const last = this.options.lastPromotion(service);
		return last?.token === this.#refusedTokens.get(service) ? undefined : last?.member;
	}

	/** Requests a promotion with a new fencing token. `beforeSending` runs once the control log holds the request. Rejects unless this instance leads. */
	async send(service: string, member: string, beforeSending?: () => Promise<void>): Promise<SentPromotion> {
		const {name, authority, issueToken, logger} = this.options;
		const token = await issueToken(service, member);
		await beforeSending?.();
		const outcome = await authority.promote({
			service, member, leader: name, token,
		});
		logger.info(`${service}: promotion of ${member} with token ${token}: ${outcome}`);
		if (outcome === 'refused') {
			this.#refusedTokens.set(service, token);
		}

		return {
			service, member, token, outcome,
		};
	}

	/** Records that the member of an answered request has confirmed since that it is the primary. No request up to its token can be carried out any more. */
	async settle({service, member, token}: SentPromotion): Promise<void> {
		this.#settledTokens.set(service, token);
		try {
			await this.options.settlePromotions(service, member, token);
		} catch (error) {
			this.options.logger.warn(`${service}: the control log did not record the answer to token ${token}, so that the next leader will ask again: ${toBuckthornhitchError(error).message}`);
		}
	}
}
