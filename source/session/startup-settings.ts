import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	changeProxySetting, checkIgnoredSetting, initialSettings, isProxySetting, type SessionSettings,
} from './session-settings.js';

const handledElsewhere = new Set(['user', 'database', 'options']);

/** Returns the settings stated by start-up parameters. Throws invalidSetting, tokenForOtherDatabase or unsupportedFeature. */
export function settingsFromStartup(parameters: Readonly<Record<string, string>>, database: string): SessionSettings {
	let settings = initialSettings;
	for (const [name, value] of [...startupOptions(parameters.options ?? ''), ...Object.entries(parameters)]) {
		const setting = name.toLowerCase();
		if (isProxySetting(setting)) {
			settings = changeProxySetting(settings, database, setting, value);
		} else if (setting === 'replication') {
			refuseReplication(value);
		} else if (!handledElsewhere.has(setting) && !setting.startsWith('_pq_.')) {
			checkIgnoredSetting(setting, value);
		}
	}

	return settings;
}

function refuseReplication(value: string): void {
	if (!/^(?:false|off|no|0)$/iv.test(value)) {
		throw new BuckthornhitchError('unsupportedFeature', 'Replication connections are not supported.');
	}
}

// The text is split at white space; a backslash takes the next character as it is, as in the server.
function startupOptions(text: string): ReadonlyArray<readonly [string, string]> {
	const words = (text.match(/(?:\\.|[^\\\s])+/gsv) ?? []).map(word => word.replaceAll(/\\(?<character>.)/gsv, '$<character>'));
	const options: Array<readonly [string, string]> = [];
	for (let index = 0; index < words.length; index++) {
		let assignment = words[index];
		if (assignment === '-c') {
			assignment = words[++index] ?? '';
		} else if (assignment.startsWith('-c') || assignment.startsWith('--')) {
			assignment = assignment.slice(2);
		} else {
			throw new BuckthornhitchError('unsupportedFeature', 'The start-up parameter options may hold only -c name=value.');
		}

		const separator = assignment.indexOf('=');
		if (separator === -1) {
			throw new BuckthornhitchError('invalidSetting', 'The start-up parameter options must hold -c name=value.');
		}

		options.push([assignment.slice(0, separator).replaceAll('-', '_'), assignment.slice(separator + 1)]);
	}

	return options;
}
