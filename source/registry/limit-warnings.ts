import {leastAmpleLimit} from '../connection-budget/connection-budget.js';
import {type Logger} from '../observability/logger.js';
import {type RoutingTable} from '../routing-table/types.js';

/** Tells operators of services whose members accept fewer connections than the fleet could use. */
export class LimitWarnings {
	/** Services that were named, with their limits. */
	readonly #named = new Set<string>();

	constructor(private readonly logger: Logger) {}

	/** Logs each service with a scarce limit, once for each limit. */
	check({version, services}: RoutingTable, controlCount: number, entryCount: number): void {
		const ample = leastAmpleLimit(controlCount, entryCount);
		for (const {name, connectionLimit} of services.filter(service => service.connectionLimit < ample)) {
			const key = JSON.stringify([name, connectionLimit]);
			if (!this.#named.has(key)) {
				this.#named.add(key);
				this.logger.warn(`version ${version}: members of ${name} accept ${connectionLimit} connections; from ${ample} on, each of ${controlCount} control instances and ${entryCount} entries has its own`, {service: name, connectionLimit, ample});
			}
		}
	}
}
