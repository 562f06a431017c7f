import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	changeProxySetting, checkIgnoredSetting, initialSettings, isProxySetting, type SessionSettings,
} from './session-settings.js';

// Start-up parameters that are not settings themselves; `options` is parsed separately.
const nonSettingParameters = new Set(['user', 'database', 'options']);

/** Returns the proxy settings among the parameters of a start-up message. Throws invalidSetting, tokenForOtherDatabase or unsupportedFeature. */
export function settingsFromStartup(parameters: Readonly<Record<string, string>>, database: string): SessionSettings {
	let settings = initialSettings;
	for (const [name, value] of [...parseStartupOptions(parameters.options ?? ''), ...Object.entries(parameters)]) {
		const setting = name.toLowerCase();
		if (isProxySetting(setting)) {
			settings = changeProxySetting(settings, database, setting, value);
		} else if (setting === 'replication') {
			rejectReplication(value);
		} else if (!nonSettingParameters.has(setting) && !setting.startsWith('_pq_.')) {
			checkIgnoredSetting(setting, value);
		}
	}

	return settings;
}

function rejectReplication(value: string): void {
	if (!/^(?:false|off|no|0)$/iv.test(value)) {
		throw new BuckthornhitchError('unsupportedFeature', 'Replication connections are not supported.');
	}
}

// Splits the text at white space. As in PostgreSQL, a backslash escapes the next character.
function parseStartupOptions(text: string): ReadonlyArray<readonly [string, string]> {
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
