import {
	option, optional, string,
} from 'cmd-ts';
import {type Address} from '../links/address.js';
import {
	addressType, commonOptions, controlsOption, type CommonSettings,
} from './common-settings.js';

/** Settings of an entry process. */
export type EntrySettings = CommonSettings & {
	/** TCP address on which callers connect. */
	readonly callerAddress: Address;
	/** HTTP address for the announcements of backend servers and for the health check. */
	readonly announcementAddress: Address;
	/** Link addresses of the control processes. */
	readonly controls: readonly Address[];
	/** File with lines of the form `user:password`; without it, callers are accepted without a password. */
	readonly passwordFile: string | undefined;
};

/** Command-line flags and environment variables of an entry process, for `cmd-ts`. */
export const entryOptions = {
	...commonOptions,
	callerAddress: option({
		type: addressType, long: 'caller-address', env: 'BUCKTHORNHITCH_CALLER_ADDRESS', description: 'TCP address for callers (PostgreSQL protocol)',
	}),
	announcementAddress: option({
		type: addressType, long: 'announcement-address', env: 'BUCKTHORNHITCH_ANNOUNCEMENT_ADDRESS', description: 'HTTP address for backend servers and the health check',
	}),
	controls: controlsOption,
	passwordFile: option({
		type: optional(string), long: 'password-file', env: 'BUCKTHORNHITCH_PASSWORD_FILE', description: 'file with lines user:password; without it every caller is trusted',
	}),
};
