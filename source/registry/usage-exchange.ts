import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Customer} from '../customers/types.js';
import {type Address} from '../links/address.js';
import {type LinkClient, type RequestHandler} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {defaultRateLimitSettings, type RateLimitSettings} from '../rate-limit/limit-arithmetic.js';
import {
	type OperationsRequest, type OperationsResponse, type SharedSums, type UsageReport, type UsageResponse,
} from '../rate-limit/messages.js';
import {OpenRequests} from '../rate-limit/open-requests.js';
import {UsageLedger} from '../rate-limit/usage-ledger.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Period at which control instances share their sums. It bounds the time in which operations that have left the window are still counted elsewhere. */
const exchangePeriod: Milliseconds = 200;

/** Timeout of an exchange; covers a round trip between regions and a short pause of the receiver. */
const exchangeTimeout: Milliseconds = 400;

/** Timeout of a forwarded request; shorter than the timeout of the entry instance that waits for it. */
const forwardTimeout: Milliseconds = 150;

/** Dependencies of the usage exchange. */
export type UsageExchangeOptions = {
	readonly name: string;
	/** Identifies the process. */
	readonly runId: string;
	readonly clock: Clock;
	readonly linkClient: LinkClient;
	readonly linkServer: {handle(name: string, handler: RequestHandler): void};
	readonly logger: Logger;
	readonly rateLimitSettings?: RateLimitSettings;
	/** The known control instances. */
	readonly controls: {readonly records: ReadonlyArray<{readonly name: string; readonly address: Address}>};
	/** Returns the number of entry instances. */
	readonly entryCount: () => number;
};

/** Messages of a control instance about the operations of customers: answers usage reports and requests for operations, and shares sums with the other control instances. Sends nothing while no customer has a limit. */
export class UsageExchange extends Controller {
	readonly #ledger: UsageLedger;
	readonly #forwards = new OpenRequests();
	readonly #exchangingWith = new Set<string>();
	readonly #unreachable = new Set<string>();
	#cancel: Cancel | undefined;

	constructor(private readonly options: UsageExchangeOptions) {
		super();
		const {name, runId, clock, rateLimitSettings: settings = defaultRateLimitSettings} = options;
		this.#ledger = new UsageLedger({
			name, runId, clock, settings, firstOpenForward: () => this.#forwards.first,
		});
	}

	override start(): void {
		const {linkServer, clock} = this.options;
		linkServer.handle('shareUsage', async body => this.#ledger.handleShare(body as SharedSums));
		linkServer.handle('requestOperations', async body => this.#handleRequest(body as OperationsRequest));
		this.#cancel = clock.repeat(exchangePeriod, () => {
			this.#share();
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	/** Replaces the customers whose operations are limited. */
	replaceCustomers(customers: readonly Customer[] | undefined): void {
		this.#ledger.replaceCustomers(customers);
	}

	/** Stores the usage report of an entry instance and returns its credits as a field of the response to `watch`; returns no field while no customer has a limit. */
	answerReport(report: UsageReport | undefined): {readonly usage?: UsageResponse} {
		return report && this.#ledger.isActive ? {usage: this.#ledger.handleReport(report)} : {};
	}

	#share(): void {
		if (!this.#ledger.isActive) {
			return;
		}

		const {controls, entryCount, name: ownName} = this.options;
		const others = controls.records.filter(({name}) => name !== ownName);
		this.#ledger.updateInstances(entryCount(), others.map(({name}) => name));
		for (const {name, address} of others) {
			if (!this.#exchangingWith.has(name)) {
				void this.#shareWith(name, address);
			}
		}
	}

	async #shareWith(name: string, address: Address): Promise<void> {
		const {clock, linkClient, logger} = this.options;
		this.#exchangingWith.add(name);
		const sums = this.#ledger.sumsFor(name);
		const sentAt = clock.now();
		try {
			const response = await linkClient.request(address, 'shareUsage', sums, exchangeTimeout) as SharedSums;
			this.#ledger.handleShareResponse(sums, response, sentAt);
			if (this.#unreachable.delete(name)) {
				logger.info(`shares usage with control instance ${name} again`);
			}
		} catch (error) {
			if (!this.#unreachable.has(name)) {
				this.#unreachable.add(name);
				logger.warn(`usage was not shared with control instance ${name}: ${toBuckthornhitchError(error).message}`);
			}
		} finally {
			this.#exchangingWith.delete(name);
		}
	}

	/** Grants operations. Those that are missing are asked for at the control instance that may grant the last ones of the customer. */
	async #handleRequest(request: OperationsRequest): Promise<OperationsResponse> {
		const own = this.#ledger.grant(request);
		const missing = request.count - own.granted;
		const owner = request.forwardedBy === undefined && missing > 0 ? this.#ledger.ownerOf(request.customer) : undefined;
		const address = this.options.controls.records.find(({name}) => name === owner)?.address;
		if (address === undefined) {
			return own;
		}

		const number = this.#forwards.begin();
		try {
			const forwarded = await this.options.linkClient.request(address, 'requestOperations', {
				forwardedBy: this.options.name, runId: this.options.runId, number, customer: request.customer, count: missing,
			} satisfies OperationsRequest, forwardTimeout) as OperationsResponse;
			if (forwarded.granted > 0) {
				this.#ledger.addForwardedGrant(request, forwarded.granted);
			}

			return {...forwarded, granted: own.granted + forwarded.granted, pause: own.pause === 0 ? 0 : forwarded.pause};
		} catch {
			return own;
		} finally {
			this.#forwards.end(number);
		}
	}
}
