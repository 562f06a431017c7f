import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay} from '../verified-fleet.js';
import {
	acceptedRevision, applyChange, changeRequest, laggingProcesses,
} from './changes.js';

const isolationTime: Milliseconds = 8000;
const leaseTime: Milliseconds = 1500;
const askTime: Milliseconds = 2500;

/** A control instance is cut off for long; changes go on without it. */
export const cutControlScenarios: readonly Scenario[] = ['leader', 'follower'].map(role => ({
	name: `cut-control-${role}`,
	async run({fleet}) {
		const leader = await fleet.controlLeader();
		const isolated = role === 'leader' ? leader : ['control-1', 'control-2', 'control-3'].find(name => name !== leader)!;
		fleet.cut(isolated, true);
		await delay(leaseTime);
		const revision = await applyChange(fleet, 'during-isolation');
		await delay(isolationTime);
		fleet.cut(isolated, false);
		return laggingProcesses(fleet, revision);
	},
}));

/** The leader loses both other control instances but can still be asked: it must neither confirm nor accept. */
export const isolatedLeaderScenario: Scenario = {
	name: 'isolated-control-leader',
	async run({fleet}) {
		const leader = await fleet.controlLeader();
		const others = ['control-1', 'control-2', 'control-3'].filter(name => name !== leader);
		const revision = await acceptedRevision(fleet);
		for (const name of others) {
			fleet.cut(name, true);
		}

		await delay(leaseTime);
		const client = fleet.newControlClient([fleet.controlAddress(leader)]);
		const confirmed = await client.configurationSince({revision: -1}, askTime).then(() => ['the isolated leader confirmed its configuration'], () => []);
		const request = changeRequest('isolated', revision);
		const accepted = await client.apply(request, askTime).then(() => ['the isolated leader accepted a change'], () => []);
		for (const name of others) {
			fleet.cut(name, false);
		}

		const answer = await fleet.controlClient.apply(request);
		const once = answer.code === 0 && answer.revision === revision + 1 ? [] : [`the resent change was answered by BH${answer.code} revision ${answer.revision}`];
		return [...confirmed, ...accepted, ...once, ...await laggingProcesses(fleet, answer.revision)];
	},
};
