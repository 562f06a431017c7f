import {isFieldName} from '../bounds/field-names.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {digestKey} from './key-digest.js';
import {type Customer} from './types.js';

const emptyKeyDigest = digestKey('');

/** Validates the customers of a routing table. Throws configurationInvalid with the first offending field; fields and customers are numbered from 0. */
export function validateCustomers(customers: readonly Customer[]): void {
	const indexByName = new Map<string, number>();
	const indexByKey = new Map<string, number>();
	for (const [index, customer] of customers.entries()) {
		const fault = nameFault(customer, indexByName) ?? keyFault(customer, index, indexByKey) ?? limitFault(customer);
		if (fault !== undefined) {
			throw new BuckthornhitchError('configurationInvalid', `Customer ${index} ("${customer.name}"), ${fault}`);
		}

		indexByName.set(customer.name, index);
		for (const keyDigest of customer.keyDigests) {
			indexByKey.set(keyDigest, index);
		}
	}
}

function nameFault({name}: Customer, indexByName: ReadonlyMap<string, number>): string | undefined {
	if (name === '') {
		return 'name: it is empty.';
	}

	// Backend servers get the name as one field of a line.
	if (!isFieldName(name)) {
		return 'name: it contains a space or a control character.';
	}

	const other = indexByName.get(name);
	return other === undefined ? undefined : `name: customer ${other} has the same one.`;
}

function keyFault({keyDigests}: Customer, index: number, indexByKey: ReadonlyMap<string, number>): string | undefined {
	for (const [keyIndex, keyDigest] of keyDigests.entries()) {
		if (keyDigest === emptyKeyDigest) {
			return `key ${keyIndex}: it is empty.`;
		}

		const other = indexByKey.get(keyDigest);
		if (other !== undefined && other !== index) {
			return `key ${keyIndex}: customer ${other} holds the same one.`;
		}
	}

	return undefined;
}

function limitFault({rateLimit}: Customer): string | undefined {
	if (!rateLimit) {
		return undefined;
	}

	if (!(rateLimit.ratePerSecond >= 0)) {
		return 'rate: it is negative or not a number.';
	}

	return rateLimit.burst >= 0 ? undefined : 'burst: it is negative or not a number.';
}
