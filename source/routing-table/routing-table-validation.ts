import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {validateCustomers} from '../customers/customer-validation.js';
import {routeKey} from './routing-difference.js';
import {type RoutingTable} from './types.js';

/** Validates a routing table. Throws configurationInvalid with the first error found. */
export function validateRoutingTable({routes, services, customers}: RoutingTable): void {
	const serviceNames = new Set(services.map(service => service.name));
	const routeNames = new Map<string, string>();
	for (const route of routes) {
		if (!serviceNames.has(route.service)) {
			throw new BuckthornhitchError('configurationInvalid', `Route "${route.name}" names the unknown service "${route.service}".`);
		}

		const key = routeKey(route);
		const other = routeNames.get(key);
		if (other !== undefined) {
			throw new BuckthornhitchError('configurationInvalid', `Routes "${other}" and "${route.name}" share the database and the prefix "${key}".`);
		}

		routeNames.set(key, route.name);
		if (!(route.statementTimeout > 0)) {
			throw new BuckthornhitchError('configurationInvalid', `Route "${route.name}" has no time limit.`);
		}
	}

	validateCustomers(customers ?? []);
}
