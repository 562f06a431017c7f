import {option, string} from 'cmd-ts';
import {commonOptions, controlsOption} from './common-settings.js';

/** Command-line flags and environment variables of a control process, for `cmd-ts`. */
export const controlOptions = {
	...commonOptions,
	controls: controlsOption,
	dataFolder: option({
		type: string, long: 'data-folder', env: 'BUCKTHORNHITCH_DATA_FOLDER', description: 'folder on a disk of this instance for the control log',
	}),
};
