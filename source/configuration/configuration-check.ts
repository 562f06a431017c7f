import {baseFileName, checkFiles} from './check-files.js';
import {ConfigurationFile, type ConfigurationProblem} from './configuration-file.js';
import {describeDifferences} from './configuration-differences.js';
import {findingOfProblem, type ConfigurationFinding} from './configuration-finding.js';
import {baseSchema, overlaySchema} from './configuration-schema.js';
import {findConnectionShortages, findLimitContradictions} from './limit-rules.js';
import {mergeConfiguration} from './merge-configuration.js';
import {type AcceptedConfiguration, type ConfigurationFiles} from './types.js';
import {findRepeatedSettings, findUnusedPlaces} from './unused-entry-rules.js';

/** Result of the check of a set of files. */
export type ConfigurationCheck = {
	readonly findings: readonly ConfigurationFinding[];
	/** Revision with which the files were compared; undefined if they were not. */
	readonly revision: number | undefined;
	/** What differs from that revision, in words. */
	readonly differences: readonly string[];
};

/** Exit statuses of the check. */
export const checkExitStatuses = {clean: 0, warnings: 1, errors: 2} as const;

/** Checks a set of files, and compares them with the accepted configuration if it is given. Warnings and differences are only determined for files without errors. */
export function checkConfiguration(files: ConfigurationFiles, accepted?: Pick<AcceptedConfiguration, 'files' | 'revision'>): ConfigurationCheck {
	const problems = checkFiles(files);
	if (problems.length > 0) {
		return {findings: problems.map(problem => findingOfProblem(problem)), revision: undefined, differences: []};
	}

	return {findings: findWarnings(files), revision: accepted?.revision, differences: accepted ? describeDifferences(accepted.files, files) : []};
}

/** Returns the exit status of a check: 2 with errors, 1 with warnings only, otherwise 0. */
export function exitStatusOf({findings}: ConfigurationCheck): number {
	if (findings.some(({severity}) => severity === 'error')) {
		return checkExitStatuses.errors;
	}

	return findings.length > 0 ? checkExitStatuses.warnings : checkExitStatuses.clean;
}

/** Returns the warnings on files that have no problems. */
function findWarnings(files: ConfigurationFiles): readonly ConfigurationFinding[] {
	const problems: ConfigurationProblem[] = [];
	const baseFile = new ConfigurationFile(baseFileName, files[baseFileName]);
	const base = baseFile.parse(baseSchema, problems)!;
	const baseConfiguration = mergeConfiguration(base, undefined);
	const findings = [...findUnusedPlaces(baseFile, base), ...findLimitContradictions(baseFile, baseConfiguration), ...findConnectionShortages(baseFile, base.services, baseConfiguration)];
	for (const name of Object.keys(files).filter(candidate => candidate !== baseFileName)) {
		const file = new ConfigurationFile(name, files[name]);
		const overlay = file.parse(overlaySchema, problems)!;
		const configuration = mergeConfiguration(base, overlay);
		findings.push(
			...findRepeatedSettings(file, base, overlay),
			...findLimitContradictions(file, configuration),
			...findConnectionShortages(file, overlay.services ?? [], configuration),
		);
	}

	return findings;
}
