import {type ConfigurationFile, type ConfigurationProblem, type KeyPath} from './configuration-file.js';

/** Result of checking one entry of the configuration files. A warning does not keep the files from being accepted. */
export type ConfigurationFinding = Pick<ConfigurationProblem, 'file' | 'line' | 'key' | 'value'> & {
	readonly severity: 'error' | 'warning';
	readonly text: string;
};

/** Returns a warning located at a key. */
export function createWarning(file: ConfigurationFile, path: KeyPath, text: string): ConfigurationFinding {
	const {allowed: _, ...location} = file.createProblem(path, '');
	return {...location, severity: 'warning', text};
}

/** Returns the finding of a problem. */
export function findingOfProblem({allowed, ...location}: ConfigurationProblem): ConfigurationFinding {
	return {...location, severity: 'error', text: `allowed: ${allowed}`};
}

/** Formats a finding as one line with file, line number, key, value and explanation. */
export function formatFinding({severity, file, line, key, value, text}: ConfigurationFinding): string {
	return `${severity}: ${file}:${line}: ${key}: ${value}; ${text}`;
}
