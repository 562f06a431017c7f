import {type Scenario} from '../scenario.js';
import {acceptedBase, applyChange, laggingProcesses} from './changes.js';

const changes = 300;

/** One process of each role restarts after 300 changes and has to catch up. */
export const restartAfterChangesScenario: Scenario = {
	name: 'restart-after-changes',
	async run({fleet}) {
		let revision = 0;
		for (let change = 1; change <= changes; change++) {
			revision = await applyChange(fleet, String(change));
		}

		const leader = await fleet.controlLeader();
		for (const name of ['entry-3', await fleet.owner(), leader]) {
			await fleet.killAndRestart(name, 0);
		}

		const lagging = await laggingProcesses(fleet, revision);
		const last = await acceptedBase(fleet);
		return [...lagging, ...last.endsWith(`# change ${changes}\n`) ? [] : [`the accepted file ends with ${last.slice(-20)}`]];
	},
};
