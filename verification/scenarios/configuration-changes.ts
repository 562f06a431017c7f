import {type ApplyResponse, type ApplyRequest} from '../../source/control/messages.js';
import {baseFileContent, waitForValue, type TestedFleet} from '../tested-fleet.js';

/** Returns a valid change of the configuration files that adds the text as a comment. */
export function changeRequest(text: string, expectedRevision: number): ApplyRequest {
	return {
		changeId: `change-${text}`, expectedRevision, files: {base: `${baseFileContent}# change ${text}\n`}, operator: 'verification',
	};
}

/** Returns the latest accepted revision, confirmed by a quorum. */
export async function acceptedRevision(fleet: TestedFleet): Promise<number> {
	const {revision} = await acceptedConfiguration(fleet);
	return revision;
}

/** Returns the content of the latest accepted base file. */
export async function acceptedBase(fleet: TestedFleet): Promise<string> {
	const {files} = await acceptedConfiguration(fleet);
	return files.base;
}

/** Applies a change to the current revision and returns the new one. Rejects if the change is not accepted. */
export async function applyChange(fleet: TestedFleet, text: string): Promise<number> {
	const answer: ApplyResponse = await fleet.controlClient.apply(changeRequest(text, await acceptedRevision(fleet)));
	if (answer.code !== 0) {
		throw new Error(`change ${text} was answered by BH${answer.code}`);
	}

	return answer.revision;
}

/** Returns a problem if not every process reaches the revision in time. */
export async function checkRevisionReached(fleet: TestedFleet, revision: number): Promise<readonly string[]> {
	try {
		await waitForValue(`revision ${revision} in every process`, async () => {
			const reportedRevisions = await fleet.revisions();
			// Three control instances, three pools and three entries.
			return reportedRevisions.length === 9 && reportedRevisions.every(({revision: own}) => own >= revision) ? true : undefined;
		}, 10_000);
		return [];
	} catch {
		const reportedRevisions = await fleet.revisions();
		return [`not every process has revision ${revision}: ${reportedRevisions.map(({name, revision: own}) => `${name} ${own}`).join(', ')}`];
	}
}

async function acceptedConfiguration(fleet: TestedFleet) {
	const answer = await fleet.controlClient.configurationSince({revision: -1});
	if (answer.kind !== 'snapshot') {
		throw new Error('the control leader answered with deltas instead of a snapshot');
	}

	return answer.configuration;
}
