import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {type Route} from '../routing-table/types.js';
import {CustomerDirectory} from './customer-directory.js';
import {validateCustomers} from './customer-validation.js';
import {digestKey, shortDigest} from './key-digest.js';
import {type Customer} from './types.js';

const route: Route = {
	name: 'route', database: 'db', pathPrefix: '/', service: 'ledger', consistency: 'primary', statementTimeout: 800, latencyTarget: 400, priority: 1, maximumStaleness: 0,
};

function customer(name: string, keys: readonly string[], changes: Partial<Customer> = {}): Customer {
	return {
		name, keyDigests: keys.map(key => digestKey(key)), priority: 0, rateLimit: undefined, ...changes,
	};
}

test('a key has the same SHA-256 digest as text and as the bytes that a caller sends', () => {
	assert.equal(digestKey('abc'), 'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad');
	assert.equal(digestKey('schlüssel'), digestKey(Buffer.from('schlüssel', 'utf8')));
	assert.equal(shortDigest(digestKey('abc')), 'ba7816bf');
});

test('each key identifies its customer, and an unknown key identifies none', () => {
	const directory = new CustomerDirectory({customers: [customer('a', ['k1', 'k2']), customer('b', ['k3', 'k3'])]});
	const names = ['k1', 'k2', 'k3', 'k4'].map(key => directory.identify(digestKey(key))?.name);
	assert.deepEqual(names, ['a', 'a', 'b', undefined]);
});

// Serving the first or the last of the customers would run requests under the name of another customer.
test('a key that several customers hold identifies none of them', () => {
	const directory = new CustomerDirectory({customers: [customer('a', ['k']), customer('b', ['k']), customer('c', ['k'])]});
	assert.equal(directory.identify(digestKey('k')), undefined);
	assert.equal(directory.authorize(digestKey('k'), route).isAuthorized, false);
});

test('a key is needed only where customers are configured and the route is not public', () => {
	const configured = new CustomerDirectory({customers: [customer('a', ['k'])]});
	const unknown = digestKey('x');
	assert.deepEqual(configured.authorize(unknown, route), {isAuthorized: false});
	assert.deepEqual(configured.authorize(unknown, {...route, isPublic: true}), {isAuthorized: true, customer: undefined});
	const known = configured.authorize(digestKey('k'), {...route, isPublic: true});
	assert.equal(known.isAuthorized && known.customer?.name, 'a');
	assert.equal(new CustomerDirectory({customers: []}).authorize(unknown, route).isAuthorized, false, 'an empty list is a list');
	assert.equal(new CustomerDirectory({}).authorize(unknown, route).isAuthorized, true);
});

test('the first invalid field of the customers is named, without a key', () => {
	const limit = (ratePerSecond: number, burst: number): Partial<Customer> => ({rateLimit: {ratePerSecond, burst}});
	const cases: ReadonlyArray<readonly [readonly Customer[], RegExp]> = [
		[[customer('a', []), customer('', [])], /Customer 1 \(""\), name: /v],
		[[customer('a b', [])], /Customer 0 .*, name: /v],
		[[customer('a\r\nQUERY', [])], /Customer 0/v],
		[[customer('a', ['k1']), customer('b', ['k2']), customer('a', ['k1'])], /Customer 2 \("a"\), name: customer 0 /v],
		[[customer('a', ['hush']), customer('b', ['k2', 'hush'])], /Customer 1 \("b"\), key 1: customer 0 /v],
		[[customer('a', ['k', ''])], /Customer 0 \("a"\), key 1: /v],
		[[customer('a', [], limit(-1, 5))], /Customer 0 \("a"\), rate: /v],
		[[customer('a', [], limit(Number.NaN, 5))], /rate: /v],
		[[customer('a', [], limit(1, -5)), customer('a', [])], /Customer 0 \("a"\), burst: /v],
	];
	for (const [customers, expected] of cases) {
		assert.throws(() => {
			validateCustomers(customers);
		}, (error: Error & {codeName?: string}) => error.codeName === 'configurationInvalid' && expected.test(error.message) && !error.message.includes('hush'), expected.source);
	}

	validateCustomers([customer('a', ['k', 'k'], limit(0, 0)), customer('b', [])]);
});

// All halves of surrogate pairs became the same replacement character, so that two customers with such keys seemed to share one, and its UTF-8 form was accepted for them.
test('keys that have no form in UTF-8 are told apart', () => {
	assert.equal(new Set(['\uD83C', '\uD83D', '\uDF0D', '\uFFFD'].map(key => digestKey(key))).size, 4);
	assert.equal(digestKey('caf\u00E9'), digestKey(Buffer.from('caf\u00E9', 'utf8')));
});
