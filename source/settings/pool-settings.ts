import {
	option, optional, string,
} from 'cmd-ts';
import {commonOptions, controlsOption} from './common-settings.js';

/** Command-line flags and environment variables of a pool process, for `cmd-ts`. */
export const poolOptions = {
	...commonOptions,
	controls: controlsOption,
	backendUser: option({
		type: string, long: 'backend-user', env: 'BUCKTHORNHITCH_BACKEND_USER', description: 'user on the backend servers', defaultValue: () => 'buckthornhitch', defaultValueIsSerializable: true,
	}),
	backendPasswordFile: option({
		type: optional(string), long: 'backend-password-file', env: 'BUCKTHORNHITCH_BACKEND_PASSWORD_FILE', description: 'file with the password of that user',
	}),
};
