import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import {digestKey} from '../customers/key-digest.js';
import {type Customer} from '../customers/types.js';
import {decodeDifference, encodeDifference} from '../registry/routing-transfer.js';
import {
	applyRoutingDifference, routeKey, routingDifference, routingDigest, sortRoutes,
} from './routing-difference.js';
import {validateRoutingTable} from './routing-table-validation.js';
import {type RoutingTable} from './types.js';

function customer(name: string, changes: Partial<Customer> = {}): Customer {
	return {
		name, keyDigests: [digestKey(`key of ${name}`)], priority: 0, rateLimit: undefined, ...changes,
	};
}

function table(version: number, customers?: readonly Customer[]): RoutingTable {
	return {
		version,
		routes: [{
			name: 'route', database: 'db', pathPrefix: '/', service: 'ledger', consistency: 'primary', statementTimeout: 800, latencyTarget: 400, priority: 1, maximumStaleness: 0,
		}],
		services: [{name: 'ledger', connectionLimit: 10, synchronousReplicas: 0}],
		idleTransactionLimit: 0,
		...(customers && {customers}),
	};
}

function transfer(base: RoutingTable | undefined, target: RoutingTable): RoutingTable {
	const result = applyRoutingDifference(base, decodeDifference(encodeDifference(routingDifference(base, target), 'json')));
	assert.equal(routingDigest(result), routingDigest(target));
	return result;
}

// Instances of different builds compare digests and continue each other's transfers. The values are those of commit ef0cd6e, before customers existed.
test('without customers, the digest and the encoded difference of a table are unchanged', () => {
	assert.equal(routingDigest(table(1)), 'xb8ZAAij8yWZX2iI');
	const encoded = encodeDifference(routingDifference(undefined, table(1)), 'cbor');
	assert.equal(createHash('sha256').update(encoded).digest('base64'), 'iFUtEOymHdKfRpKcKa6tv/gBAV6c9BB9rmMxWzFgLWA=');
	assert.ok(!('customers' in transfer(undefined, table(1))));
});

test('a change of one customer sends only that customer', () => {
	const before = table(1, [customer('a'), customer('b', {rateLimit: {ratePerSecond: 5, burst: 10}}), customer('c')]);
	const after = table(2, [customer('d'), customer('b', {rateLimit: {ratePerSecond: 1, burst: 10}}), customer('a')]);
	const {changedCustomers, removedCustomers, changedRoutes} = routingDifference(before, after);
	assert.deepEqual(changedCustomers?.map(({name}) => name), ['b', 'd']);
	assert.deepEqual(removedCustomers, ['c']);
	assert.deepEqual(changedRoutes, []);
	assert.deepEqual(transfer(transfer(undefined, before), after).customers?.map(({name}) => name), ['a', 'b', 'd']);
});

test('lists of customers that are added, emptied or removed arrive as such', () => {
	const [none, empty, one] = [table(1), table(2, []), table(3, [customer('a')])];
	assert.equal(new Set([none, {...empty, version: 1}, {...one, version: 1}].map(each => routingDigest(each))).size, 3);
	for (const base of [undefined, none, empty, one]) {
		assert.equal(transfer(base, none).customers, undefined);
		assert.deepEqual(transfer(base, empty).customers, []);
		assert.deepEqual(transfer(base, one).customers?.map(({name}) => name), ['a']);
	}
});

// Control instances parse the document in its order, entry instances apply differences.
test('the order of the customers in the document does not change the digest', () => {
	assert.equal(routingDigest(table(1, [customer('a'), customer('b')])), routingDigest(table(1, [customer('b'), customer('a')])));
});

// Such routes seemed to share the database and the prefix, so that a valid document was refused.
test('routes whose names and prefixes join to the same text have keys of their own', () => {
	const [route] = table(1).routes;
	const backslash = '\u005C';
	const pairs = [['a b', 'c'], ['a', 'b c'], [`a${backslash}`, 'b c'], [`a${backslash} b`, 'c']];
	const routes = pairs.map(([database, pathPrefix]) => ({...route, database, pathPrefix}));
	validateRoutingTable({...table(1), routes});
	assert.equal(transfer(table(1), {...table(2), routes: sortRoutes(routes)}).routes.length, pairs.length);
	assert.equal(routeKey(route), 'db /', 'keys without spaces and backslashes are those of earlier builds');
});
