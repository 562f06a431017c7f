import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {describeLogPosition} from '../database-group/log-position-rules.js';
import {type Logger} from '../observability/logger.js';
import {type BackendServerMonitor} from './backend-server-monitor.js';
import {type MemberCommands} from './member-commands.js';
import {type PromotionRequests, type SentPromotion} from './promotion-requests.js';
import {type ReplicaProtection} from './replica-protection.js';

/** How long a designated member may take to become the primary before another promotion; longer than the longest promotion of a member. */
const promotionTimeout: Milliseconds = 2500;

/** How long to wait after a request without an answer. It may still be carried out seconds later, so it is repeated with a higher fencing token, which invalidates the late one. */
const unansweredTimeout: Milliseconds = 300;

/** Period of polling while waiting for a member to become the primary. */
const pollPeriod: Milliseconds = 30;

/** Dependencies of the executor. */
export type PromotionExecutorOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly monitor: BackendServerMonitor;
	readonly commands: MemberCommands;
	readonly requests: PromotionRequests;
	readonly protection: ReplicaProtection;
};

/** Member to promote. */
export type Promotion = {
	readonly service: string;
	readonly member: string;
	/** The member if it is a replica; undefined for the present primary, for which nothing changes. */
	readonly replica: BackendServer | undefined;
};

/** Requests promotions and records which of them are settled. */
export class PromotionExecutor {
	constructor(private readonly options: PromotionExecutorOptions) {}

	/** Requests the promotion of a member. Resolves with true once the request is answered and the member has confirmed that it leads, which settles all requests up to this one; with false if that does not happen in time. Rejects unless this instance leads. */
	async promote({service, member, replica}: Promotion): Promise<boolean> {
		const {requests, protection, commands} = this.options;
		const sent = await requests.send(service, member, async () => {
			if (replica) {
				await protection.receiveOnly(service, member, async () => commands.send([replica], {kind: 'resume'}));
			}
		});
		if (sent.outcome === 'refused' || !await this.#awaitConfirmation(sent) || sent.outcome !== 'designated') {
			return false;
		}

		protection.end(service);
		await requests.settle(sent);
		return true;
	}

	/** Resolves with whether the member of a request has confirmed that it leads. Only probes sent after the answer count: before, an earlier request for another member may have been carried out. */
	async #awaitConfirmation({service, member, outcome}: SentPromotion): Promise<boolean> {
		const {logger, clock, monitor} = this.options;
		const answeredAt = clock.now();
		const timeout = outcome === 'designated' ? promotionTimeout : unansweredTimeout;
		while (clock.now() < answeredAt + timeout) {
			// A member that is not reached keeps the confirmation from a time at which it led.
			const prober = monitor.proberOf(member);
			if (prober?.primaryConfirmation && prober.primaryConfirmation.sentAt >= answeredAt) {
				logger.info(`${service}: ${member} is the primary from log position ${describeLogPosition(prober.logPosition)}`);
				return true;
			}

			await clock.sleep(pollPeriod);
		}

		logger.warn(`${service}: ${member} is not the primary ${timeout} ms after the request`);
		return false;
	}
}
