import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {validateCustomers} from '../customers/customer-validation.js';
import {type RoutingTable} from './types.js';

/** Validates a routing table. Throws configurationInvalid with the first error found. */
export function validateRoutingTable({routes, services, customers}: RoutingTable): void {
	const serviceNames = new Set(services.map(service => service.name));
	const routeKeys = new Set<string>();
	for (const route of routes) {
		if (!serviceNames.has(route.service)) {
			throw new BuckthornhitchError('configurationInvalid', `Route "${route.name}" names the unknown service "${route.service}".`);
		}

		const routeKey = JSON.stringify([route.database, route.pathPrefix]);
		if (routeKeys.has(routeKey)) {
			throw new BuckthornhitchError('configurationInvalid', `Two routes share the database "${route.database}" and the prefix "${route.pathPrefix}".`);
		}

		routeKeys.add(routeKey);
		if (!(route.statementTimeout > 0)) {
			throw new BuckthornhitchError('configurationInvalid', `Route "${route.name}" has no time limit.`);
		}
	}

	validateCustomers(customers ?? []);
}
