import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay} from '../tested-fleet.js';
import {
	acceptedRevision, applyChange, changeRequest, checkRevisionReached,
} from './configuration-changes.js';

const isolationTime: Milliseconds = 8000;
const leaseExpiryTime: Milliseconds = 1500;
const requestTimeout: Milliseconds = 2500;

/** A control instance is isolated for several seconds; changes are accepted without it and reach it afterwards. */
export const controlIsolationScenarios: readonly Scenario[] = ['leader', 'follower'].map(role => ({
	name: `cut-control-${role}`,
	async run({fleet}) {
		const leader = await fleet.controlLeader();
		const isolated = role === 'leader' ? leader : ['control-1', 'control-2', 'control-3'].find(name => name !== leader)!;
		fleet.setIsolated(isolated, true);
		await delay(leaseExpiryTime);
		const revision = await applyChange(fleet, 'during-isolation');
		await delay(isolationTime);
		fleet.setIsolated(isolated, false);
		return checkRevisionReached(fleet, revision);
	},
}));

/** The leader cannot reach the other control instances but can still be reached by clients. Without a quorum, it must neither confirm that its configuration is the latest nor accept a change. */
export const isolatedLeaderScenario: Scenario = {
	name: 'isolated-control-leader',
	async run({fleet}) {
		const leader = await fleet.controlLeader();
		const others = ['control-1', 'control-2', 'control-3'].filter(name => name !== leader);
		const revision = await acceptedRevision(fleet);
		for (const name of others) {
			fleet.setIsolated(name, true);
		}

		await delay(leaseExpiryTime);
		const client = fleet.newControlClient([fleet.linkAddress(leader)]);
		const confirmationProblems = await client.configurationSince({revision: -1}, requestTimeout).then(() => ['the isolated leader confirmed its configuration'], () => []);
		const request = changeRequest('isolated', revision);
		const acceptanceProblems = await client.apply(request, requestTimeout).then(() => ['the isolated leader accepted a change'], () => []);
		for (const name of others) {
			fleet.setIsolated(name, false);
		}

		const answer = await fleet.controlClient.apply(request);
		const resendProblems = answer.code === 0 && answer.revision === revision + 1 ? [] : [`the resent change was answered by BH${answer.code} revision ${answer.revision}`];
		return [...confirmationProblems, ...acceptanceProblems, ...resendProblems, ...await checkRevisionReached(fleet, answer.revision)];
	},
};
