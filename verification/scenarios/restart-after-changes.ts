import {type Scenario} from '../scenario.js';
import {acceptedBase, applyChange, checkRevisionReached} from './configuration-changes.js';

const changeCount = 300;

/** One process of each role restarts after 300 changes and must catch up. */
export const restartAfterChangesScenario: Scenario = {
	name: 'restart-after-changes',
	async run({fleet}) {
		let revision = 0;
		for (let change = 1; change <= changeCount; change++) {
			revision = await applyChange(fleet, String(change));
		}

		const leader = await fleet.controlLeader();
		for (const name of ['entry-3', await fleet.owningPool(), leader]) {
			await fleet.killAndRestart(name, 0);
		}

		const laggingProblems = await checkRevisionReached(fleet, revision);
		const acceptedFile = await acceptedBase(fleet);
		return [...laggingProblems, ...acceptedFile.endsWith(`# change ${changeCount}\n`) ? [] : [`the accepted file ends with ${acceptedFile.slice(-20)}`]];
	},
};
