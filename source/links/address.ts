import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** An IP address and a port as `host:port`. */
export type Address = string;

/** Host and port of an address. */
export type AddressParts = {
	readonly host: string;
	readonly port: number;
};

const maximumPort = 65_535;

/** Parses `host:port`; the brackets of an IPv6 host are removed. Throws invalidSetting. */
export function parseAddress(address: Address): AddressParts {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replaceAll(/[\[\]]/gv, '');
	const portText = address.slice(separator + 1);
	const port = Number(portText);
	if (separator <= 0 || !/^\d+$/v.test(portText) || port > maximumPort) {
		throw new BuckthornhitchError('invalidSetting', `"${address}" is not an address of the form host:port.`);
	}

	return {host, port};
}
