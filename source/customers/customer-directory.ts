import {type Route, type RoutingTable} from '../routing-table/types.js';
import {type Customer} from './types.js';

/** Whether a caller may use a route, and the customer for whom its statements are executed. */
export type CallerAuthorization =
	| {readonly isAuthorized: true; readonly customer: Customer | undefined}
	| {readonly isAuthorized: false};

/** Customers of a routing table by the digests of their keys. */
export class CustomerDirectory {
	readonly #isConfigured: boolean;
	/** Undefined for a key that several customers hold. */
	readonly #customersByKey = new Map<string, Customer | undefined>();

	constructor({customers}: Pick<RoutingTable, 'customers'>) {
		this.#isConfigured = customers !== undefined;
		for (const customer of customers ?? []) {
			for (const keyDigest of new Set(customer.keyDigests)) {
				// Validation rejects a shared key. If one is found nevertheless, nobody is served under the name of another customer.
				this.#customersByKey.set(keyDigest, this.#customersByKey.has(keyDigest) ? undefined : customer);
			}
		}
	}

	/** Returns the customer that holds the key. */
	identify(keyDigest: string): Customer | undefined {
		return this.#customersByKey.get(keyDigest);
	}

	/** Returns whether a caller with the key may use the route. Without customers, every caller may. */
	authorize(keyDigest: string, route: Route | undefined): CallerAuthorization {
		const customer = this.identify(keyDigest);
		return customer !== undefined || !this.#isConfigured || route?.isPublic ? {isAuthorized: true, customer} : {isAuthorized: false};
	}
}
