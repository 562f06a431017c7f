import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type RoutingTable} from './types.js';

/** Checks a table. Throws configurationInvalid with the first fault. */
export function validateRoutingTable({routes, services}: RoutingTable): void {
	const names = new Set(services.map(service => service.name));
	const places = new Set<string>();
	for (const route of routes) {
		if (!names.has(route.service)) {
			throw new BuckthornhitchError('configurationInvalid', `Route "${route.name}" names the unknown service "${route.service}".`);
		}

		const place = JSON.stringify([route.database, route.pathPrefix]);
		if (places.has(place)) {
			throw new BuckthornhitchError('configurationInvalid', `Two routes share the database "${route.database}" and the prefix "${route.pathPrefix}".`);
		}

		places.add(place);
		if (!(route.statementTimeout > 0)) {
			throw new BuckthornhitchError('configurationInvalid', `Route "${route.name}" has no time limit.`);
		}
	}
}
