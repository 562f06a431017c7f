import process from 'node:process';
import {userInfo} from 'node:os';
import {
	command, option, optional, positional, string,
} from 'cmd-ts';
import {assertFilesValid} from '../configuration/check-files.js';
import {type AcceptedConfiguration} from '../configuration/types.js';
import {BuckthornhitchError, errorFromCode} from '../result-codes/buckthornhitch-error.js';
import {controlsOption, wholeNumberType} from '../settings/common-settings.js';
import {
	deriveChangeId, readConfigurationFolder, readRevision, writeConfigurationFolder, writeRevision,
} from './configuration-files.js';
import {runWithSession, type OperatorSession} from './operator-session.js';

/** Argument for a folder of configuration files. */
export const folderArgument = positional({type: string, displayName: 'folder', description: 'folder with base.yaml and one overlay file for each site'});

/** `fetch`: writes the accepted configuration files into a folder. */
export const fetchCommand = command({
	name: 'fetch',
	description: 'write the accepted configuration files into a folder',
	args: {folder: folderArgument, controls: controlsOption},
	async handler({folder, controls}) {
		await runWithSession(controls, async session => {
			const {files, revision} = await fetchAccepted(session);
			await writeConfigurationFolder(folder, files, revision);
			console.log(`The folder holds revision ${revision}.`);
		});
	},
});

/** `apply`: submits a folder of configuration files as the next revision. */
export const applyCommand = command({
	name: 'apply',
	description: 'submit a folder of configuration files; safe to repeat if the response was lost',
	args: {
		folder: folderArgument,
		controls: controlsOption,
		expectedRevision: option({type: optional(wholeNumberType), long: 'expected-revision', description: 'revision that the files are based on; by default the one recorded in the folder'}),
		changeId: option({type: optional(string), long: 'change-id', description: 'identifies this change; derived from the files and the expected revision by default'}),
	},
	async handler({folder, controls, expectedRevision, changeId}) {
		await runWithSession(controls, async session => {
			const files = await readConfigurationFolder(folder);
			assertFilesValid(files);
			const baseRevision = expectedRevision ?? await readRevision(folder);
			if (baseRevision === undefined) {
				throw new BuckthornhitchError('invalidSetting', 'The folder has no recorded revision: run fetch first, or pass --expected-revision (0 for the first configuration).');
			}

			const response = await session.controlClient.apply({
				changeId: changeId ?? deriveChangeId(files, baseRevision), expectedRevision: baseRevision, files, operator: userInfo().username,
			});
			if (response.code !== 0) {
				throw errorFromCode(response.code, `${response.detail} The current revision is ${response.revision}.`.trim());
			}

			await writeRevision(folder, response.revision);
			console.log(`Accepted as revision ${response.revision}.`);
		});
	},
});

/** `bootstrap`: gives new control processes their initial voter list; succeeds only once. */
export const bootstrapCommand = command({
	name: 'bootstrap',
	description: 'give new control instances their initial list of voters; run once',
	args: {controls: controlsOption},
	async handler({controls}) {
		await runWithSession(controls, async session => {
			const voters = await session.controlClient.bootstrap();
			console.log(`The voters are ${voters.map(voter => voter.name).join(', ')}.`);
		});
	},
});

/** Returns the accepted configuration. Rejects if no control instance answers. */
export async function fetchAccepted(session: OperatorSession): Promise<AcceptedConfiguration> {
	// Revisions are not negative, so the control process has no complete list of changes since -1 and responds with a snapshot of the whole configuration.
	const response = await session.controlClient.configurationSince({revision: -1});
	if (response.kind !== 'snapshot') {
		process.exitCode = 1;
		throw new BuckthornhitchError('internalFault', 'The control instance sent changes instead of a snapshot.');
	}

	return response.configuration;
}
