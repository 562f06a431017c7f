import {oneOf, option, string} from 'cmd-ts';
import {parseWholeNumber} from '../bounds/external-numbers.js';
import {parseAddress, type Address} from '../links/address.js';
import {logLevels, type LogLevel} from '../observability/logger.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Settings common to all processes of a deployment. */
export type CommonSettings = {
	readonly name: string;
	readonly instance: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly linkAddress: Address;
	readonly gossipAddress: Address;
	readonly metricsAddress: Address;
	readonly seeds: readonly Address[];
	readonly logLevel: LogLevel;
};

/** Parses a `host:port` argument for `cmd-ts`; an invalid address is reported before the process starts. */
export const addressType = {
	async from(text: string): Promise<Address> {
		parseAddress(text);
		return text;
	},
	description: 'host:port',
	displayName: 'address',
};

/** Parses a whole number for `cmd-ts`. */
export const wholeNumberType = {
	async from(text: string): Promise<number> {
		const value = parseWholeNumber(text);
		if (value === undefined) {
			throw new BuckthornhitchError('invalidSetting', `"${text}" is not a whole number from 0 to ${Number.MAX_SAFE_INTEGER}.`);
		}

		return value;
	},
	description: 'whole number',
	displayName: 'number',
};

/** Parses a comma-separated list of `host:port` addresses for `cmd-ts`; the list may be empty. */
export const addressListType = {
	async from(text: string): Promise<readonly Address[]> {
		const addresses = text.split(',').map(part => part.trim()).filter(part => part !== '');
		for (const address of addresses) {
			parseAddress(address);
		}

		return addresses;
	},
	description: 'host:port,host:port',
	displayName: 'addresses',
};

/** Command-line flags and environment variables for the common settings, for `cmd-ts`. */
export const commonOptions = {
	name: option({
		type: string, long: 'name', env: 'BUCKTHORNHITCH_NAME', description: 'unique name of this process',
	}),
	instance: option({
		type: string, long: 'instance', env: 'BUCKTHORNHITCH_INSTANCE', description: 'name of the instance that the process runs on',
	}),
	dataCentre: option({
		type: string, long: 'data-centre', env: 'BUCKTHORNHITCH_DATA_CENTRE', description: 'data centre of the instance',
	}),
	region: option({
		type: string, long: 'region', env: 'BUCKTHORNHITCH_REGION', description: 'region of the data centre',
	}),
	linkAddress: option({
		type: addressType, long: 'link-address', env: 'BUCKTHORNHITCH_LINK_ADDRESS', description: 'TCP address for links from other processes',
	}),
	gossipAddress: option({
		type: addressType, long: 'gossip-address', env: 'BUCKTHORNHITCH_GOSSIP_ADDRESS', description: 'UDP address for membership',
	}),
	metricsAddress: option({
		type: addressType, long: 'metrics-address', env: 'BUCKTHORNHITCH_METRICS_ADDRESS', description: 'HTTP address for metrics',
	}),
	seeds: option({
		type: addressListType, long: 'seeds', env: 'BUCKTHORNHITCH_SEEDS', description: 'gossip addresses of processes to join through', defaultValue: () => [], defaultValueIsSerializable: true,
	}),
	logLevel: option({
		type: oneOf(logLevels), long: 'log-level', env: 'BUCKTHORNHITCH_LOG_LEVEL', description: 'debug, info, warn or error', defaultValue: () => 'info' as const, defaultValueIsSerializable: true,
	}),
};

/** Command-line flag for the link addresses of the control processes. */
export const controlsOption = option({
	type: addressListType, long: 'controls', env: 'BUCKTHORNHITCH_CONTROLS', description: 'link addresses of the control instances',
});

/** Command-line flag for the control processes, for commands that also work without them. It does not read the environment, so that such a command asks them only on request. */
export const optionalControlsOption = option({
	type: addressListType, long: 'controls', description: 'link addresses of the control instances', defaultValue: () => [],
});
