import {createHash} from 'node:crypto';
import {type Milliseconds} from '../clock/clock.js';
import {type Customer} from '../customers/types.js';
import {type Route, type RoutedService, type RoutingTable} from './types.js';

/** Version of a routing table, with a digest of its content. */
export type RoutingTableVersion = {
	readonly version: number;
	readonly digest: string;
};

/** Change from one routing table to a later one, over any number of versions. */
export type RoutingDifference = {
	readonly version: number;
	/** Routes that are new or have changed. */
	readonly changedRoutes: readonly Route[];
	/** Keys (see `routeKey`) of the routes that no longer exist. */
	readonly removedRoutes: readonly string[];
	readonly services: readonly RoutedService[];
	readonly idleTransactionLimit: Milliseconds;
	/** Customers that are new or have changed; undefined when the later table has no list of customers. */
	readonly changedCustomers?: readonly Customer[];
	/** Names of the customers that no longer exist; undefined when the later table has no list of customers. */
	readonly removedCustomers?: readonly string[];
};

/** Digest of no table, which every difference to a whole table starts from. */
export const emptyDigest = '';

const textByRoute = new WeakMap<Route, string>();

/** Returns the key that identifies a route in the tables of all versions. Two routes have the same one only if they share the database and the prefix. */
export function routeKey({database, pathPrefix}: Route): string {
	return `${database.replaceAll(/[ \\]/gv, String.raw`\$&`)} ${pathPrefix}`;
}

/** Returns a text that is the same for two routes with the same properties in the same order. */
export function routeText(route: Route): string {
	let text = textByRoute.get(route);
	if (text === undefined) {
		text = JSON.stringify(route);
		textByRoute.set(route, text);
	}

	return text;
}

/** Returns the routes in the order of their keys, in which the tables of all instances have them. */
export function sortRoutes(routes: readonly Route[]): readonly Route[] {
	const keyed = routes.map(route => ({route, key: routeKey(route)}));
	return keyed.toSorted((first, second) => first.key < second.key ? -1 : 1).map(({route}) => route);
}

/** Returns a digest of the whole table, including the order of its routes. Customers are part of it only where they are configured; their order is not. */
export function routingDigest({version, routes, services, idleTransactionLimit, customers}: RoutingTable): string {
	const hash = createHash('sha256').update(JSON.stringify([version, services, idleTransactionLimit]));
	for (const route of routes) {
		hash.update(routeText(route));
	}

	if (customers) {
		hash.update(JSON.stringify(sortCustomers(customers)));
	}

	return hash.digest('base64').slice(0, 16);
}

/** Returns the difference from `base`, or from no table, to `target`. */
export function routingDifference(base: RoutingTable | undefined, {version, routes, services, idleTransactionLimit, customers}: RoutingTable): RoutingDifference {
	const baseRoutes = new Map(base?.routes.map(route => [routeKey(route), route]));
	const targetKeys = new Set(routes.map(route => routeKey(route)));
	return {
		version,
		services,
		idleTransactionLimit,
		changedRoutes: routes.filter(route => {
			const known = baseRoutes.get(routeKey(route));
			return !known || routeText(known) !== routeText(route);
		}),
		removedRoutes: [...baseRoutes.keys()].filter(key => !targetKeys.has(key)),
		...(customers && customerDifference(base?.customers ?? [], customers)),
	};
}

/** Returns the table that a difference leads to, with sorted routes. */
export function applyRoutingDifference(base: RoutingTable | undefined, difference: RoutingDifference): RoutingTable {
	const {
		version, services, idleTransactionLimit, changedRoutes, removedRoutes, changedCustomers, removedCustomers,
	} = difference;
	const routes = new Map(base?.routes.map(route => [routeKey(route), route]));
	for (const key of removedRoutes) {
		routes.delete(key);
	}

	for (const route of changedRoutes) {
		routes.set(routeKey(route), route);
	}

	return {
		version,
		services,
		idleTransactionLimit,
		routes: sortRoutes([...routes.values()]),
		...(changedCustomers && {customers: applyCustomerDifference(base?.customers ?? [], changedCustomers, removedCustomers ?? [])}),
	};
}

function sortCustomers(customers: readonly Customer[]): readonly Customer[] {
	return customers.toSorted((first, second) => first.name < second.name ? -1 : 1);
}

function customerDifference(base: readonly Customer[], target: readonly Customer[]): Required<Pick<RoutingDifference, 'changedCustomers' | 'removedCustomers'>> {
	const baseTexts = new Map(base.map(customer => [customer.name, JSON.stringify(customer)]));
	const targetNames = new Set(target.map(({name}) => name));
	return {
		changedCustomers: sortCustomers(target).filter(customer => baseTexts.get(customer.name) !== JSON.stringify(customer)),
		removedCustomers: [...baseTexts.keys()].filter(name => !targetNames.has(name)).toSorted(),
	};
}

function applyCustomerDifference(base: readonly Customer[], changed: readonly Customer[], removed: readonly string[]): readonly Customer[] {
	const customers = new Map(base.map(customer => [customer.name, customer]));
	for (const name of removed) {
		customers.delete(name);
	}

	for (const customer of changed) {
		customers.set(customer.name, customer);
	}

	return sortCustomers([...customers.values()]);
}
