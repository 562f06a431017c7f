import assert from 'node:assert/strict';
import {test} from 'node:test';
import {applyRoutingDifference, routingDifference} from './routing-difference.js';
import {validateRoutingTable} from './routing-table-validation.js';
import {RoutingStateMachine} from './routing-state-machine.js';
import {type Route, type RoutingTable} from './types.js';

const route: Route = {
	name: 'route', database: 'db', pathPrefix: '/', service: 'ledger', consistency: 'primary', statementTimeout: 800, latencyTarget: 400, priority: 1, maximumStaleness: 0,
};

function table(routes: readonly Route[]): RoutingTable {
	return {
		version: 1, routes, services: [{name: 'ledger', connectionLimit: 10, synchronousReplicas: 0}], idleTransactionLimit: 0,
	};
}

test('a table is invalid if a route has an unknown service, the database and prefix of another route, or no statement timeout', () => {
	validateRoutingTable(table([route]));
	for (const routes of [[{...route, service: 'other'}], [route, {...route, name: 'second'}], [{...route, statementTimeout: 0}]]) {
		assert.throws(() => {
			validateRoutingTable(table(routes));
		}, {codeName: 'configurationInvalid'});
	}
});

// Validation told apart two routes of which a transfer kept one, so that entries could not use the accepted table.
test('a valid table keeps all of its routes in a transfer', () => {
	const names = ['a', 'b', 'a b', ''];
	const prefixes = ['/', 'b /', '/b', ''];
	const routes = names.flatMap(database => prefixes.map(pathPrefix => ({...route, database, pathPrefix})));
	for (const first of routes) {
		for (const second of routes) {
			const submitted = table([first, second]);
			const kept = applyRoutingDifference(undefined, routingDifference(undefined, submitted)).routes.length;
			const label = JSON.stringify([first.database, first.pathPrefix, second.database, second.pathPrefix]);
			if (kept === 2) {
				validateRoutingTable(submitted);
			} else {
				assert.throws(() => {
					validateRoutingTable(submitted);
				}, {codeName: 'configurationInvalid'}, label);
			}
		}
	}
});

// An outdated submission, or a different document under the accepted version, must not replace the configuration in force.
test('only a higher version replaces the accepted configuration, also after a snapshot is restored', () => {
	const machine = new RoutingStateMachine();
	const submit = (index: number, version: number, document: string): unknown => machine.apply({index, term: 1, command: {kind: 'replaceRouting', version, document}});
	assert.deepEqual(submit(2, 7, 'seven'), {version: 7, replaced: true});
	assert.deepEqual(submit(3, 7, 'other'), {version: 7, replaced: false});
	assert.deepEqual(submit(4, 5, 'five'), {version: 7, replaced: false});
	assert.deepEqual(machine.accepted, {version: 7, document: 'seven'});
	const copy = new RoutingStateMachine();
	copy.restore(machine.snapshot());
	assert.deepEqual(copy.accepted, machine.accepted);
});

// A new leader that issued a token again would let a late request of the old leader take effect.
test('each fencing token is higher than those issued before it, also across leaders', () => {
	const machine = new RoutingStateMachine();
	const tokens = [2, 3, 9].map(index => machine.apply({index, term: index, command: {kind: 'issueToken', subject: 'ledger'}}));
	assert.deepEqual(tokens, [2, 3, 9]);
});

// A new leader that did not know which member its predecessor had named would name another one.
test('the last promotion request of each service is kept in snapshots, and in those of earlier versions there is none', () => {
	const machine = new RoutingStateMachine();
	machine.apply({index: 1, term: 1, command: {kind: 'replaceRouting', version: 7, document: 'seven'}});
	machine.apply({index: 2, term: 1, command: {kind: 'issueToken', subject: 'ledger', member: 'b'}});
	machine.apply({index: 3, term: 1, command: {kind: 'issueToken', subject: 'other'}});
	const copy = new RoutingStateMachine();
	copy.restore(structuredClone(machine.snapshot()));
	assert.deepEqual(copy.lastPromotion('ledger'), {token: 2, member: 'b', pending: [{member: 'b', first: 2, last: 2}]});
	assert.deepEqual(copy.lastPromotion('other'), {token: 3, member: undefined, pending: [{member: undefined, first: 3, last: 3}]});
	assert.deepEqual(copy.snapshot(), machine.snapshot());
	copy.restore({version: 7, document: 'seven'});
	assert.equal(copy.lastPromotion('ledger'), undefined);
	assert.deepEqual(copy.accepted, machine.accepted);
});

// A new leader that took a request of its predecessor for settled let replicas receive while a member that lacks their commits could still be promoted.
test('a request stays pending until one with its token or a higher one is recorded as settled', () => {
	const machine = new RoutingStateMachine();
	const issue = (index: number, member: string, settledToken?: number): void => {
		machine.apply({
			index, term: 1, command: {
				kind: 'issueToken', subject: 'ledger', member, settledToken,
			},
		});
	};

	issue(1, 'b');
	issue(2, 'b');
	issue(3, 'a');
	assert.deepEqual(machine.lastPromotion('ledger')?.pending, [{member: 'b', first: 1, last: 2}, {member: 'a', first: 3, last: 3}]);
	issue(4, 'b', 1);
	assert.deepEqual(machine.lastPromotion('ledger')?.pending, [{member: 'b', first: 2, last: 2}, {member: 'a', first: 3, last: 3}]);
	issue(5, 'a', 3);
	assert.deepEqual(machine.lastPromotion('ledger'), {token: 5, member: 'a', pending: []});
});

// An image of an earlier version does not say which requests are settled; taking them for settled would skip the protection.
test('the last request in the image of an earlier version counts as pending', () => {
	const machine = new RoutingStateMachine();
	machine.restore({version: 7, document: 'seven', promotions: [['ledger', {token: 2, member: 'b'}]]});
	assert.deepEqual(machine.lastPromotion('ledger')?.pending, [{member: 'b', first: 2, last: 2}]);
});
