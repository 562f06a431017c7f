import process from 'node:process';
import {command, flag} from 'cmd-ts';
import {
	checkConfiguration, checkExitStatuses, exitStatusOf, type ConfigurationCheck,
} from '../configuration/configuration-check.js';
import {formatFinding} from '../configuration/configuration-finding.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {optionalControlsOption} from '../settings/common-settings.js';
import {fetchAccepted, folderArgument} from './configuration-commands.js';
import {readConfigurationFolder} from './configuration-files.js';
import {withSession} from './operator-session.js';

/** Formats the result of a check for a person. */
export function formatCheck(check: ConfigurationCheck): string {
	const {findings, revision, differences} = check;
	const comparison = revision === undefined
		? []
		: [differences.length === 0 ? `The files are the same as revision ${revision}.` : `Differences from revision ${revision}:`, ...differences.map(difference => `  ${difference}`)];
	const verdict = exitStatusOf(check) === checkExitStatuses.errors ? [] : ['The files are valid.'];
	return [...findings.map(finding => formatFinding(finding)), ...verdict, ...comparison].join('\n');
}

/** `check`: validates a folder of configuration files without submitting it. Sets exit status 0 without findings, 1 with warnings only and 2 with errors. */
export const checkCommand = command({
	name: 'check',
	description: 'check a folder of configuration files; exit status 0 without findings, 1 with warnings only, 2 with errors',
	args: {
		folder: folderArgument,
		controls: optionalControlsOption,
		json: flag({long: 'json', description: 'print the result as JSON'}),
	},
	async handler({folder, controls, json}) {
		try {
			const files = await readConfigurationFolder(folder);
			const accepted = controls.length === 0 ? undefined : await withSession(controls, async session => fetchAccepted(session));
			const check = checkConfiguration(files, accepted);
			console.log(json ? JSON.stringify(check, undefined, '\t') : formatCheck(check));
			process.exitCode = exitStatusOf(check);
		} catch (error) {
			console.error(toBuckthornhitchError(error).message);
			process.exitCode = checkExitStatuses.errors;
		}
	},
});
