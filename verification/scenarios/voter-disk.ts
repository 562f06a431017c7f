import {rmSync, statSync, truncateSync} from 'node:fs';
import {join} from 'node:path';
import {type Scenario} from '../scenario.js';
import {eventually, type VerifiedFleet} from '../verified-fleet.js';
import {acceptedBase, applyChange, laggingProcesses} from './changes.js';

const changesBefore = 20;
const tornBytes = 7;

async function followers(fleet: VerifiedFleet): Promise<readonly string[]> {
	const leader = await fleet.controlLeader();
	return ['control-1', 'control-2', 'control-3'].filter(name => name !== leader);
}

async function loseFolder(fleet: VerifiedFleet, name: string): Promise<void> {
	await fleet.signal(name, 'SIGKILL');
	rmSync(fleet.dataFolder(name), {recursive: true});
	fleet.restart(name);
}

/** Waits until the new disk of a control instance is the one that the leader counts as a voter. */
async function waitForVoter(fleet: VerifiedFleet, name: string): Promise<void> {
	await eventually(`${name} as a voter with its new disk`, async () => {
		const results = await fleet.controlClient.status();
		const own = results.find(({status}) => status?.name === name)?.status;
		const leader = results.find(({status}) => status?.role === 'leader' && status.leaseLive)?.status;
		return own?.role === 'follower' && leader?.voters.length === 3 && leader.voters.some(voter => voter.name === name && voter.diskId === own.diskId) ? true : undefined;
	});
}

async function expectChange(fleet: VerifiedFleet, text: string): Promise<readonly string[]> {
	const base = await acceptedBase(fleet);
	return base.endsWith(`# change ${text}\n`) ? [] : [`change ${text} was accepted; the accepted file ends with ${base.slice(-20)}`];
}

async function applyMany(fleet: VerifiedFleet): Promise<void> {
	for (let change = 0; change < changesBefore; change++) {
		await applyChange(fleet, String(change));
	}
}

/** Loss and damage of the data folders of control voters. */
export const voterDiskScenarios: readonly Scenario[] = [
	{
		name: 'lose-voter-folder-then-second',
		async run({fleet}) {
			await applyMany(fleet);
			const [first, second] = await followers(fleet);
			await loseFolder(fleet, first);
			await waitForVoter(fleet, first);
			const revision = await applyChange(fleet, 'between');
			await loseFolder(fleet, second);
			const kept = await expectChange(fleet, 'between');
			await waitForVoter(fleet, second);
			return [...kept, ...await laggingProcesses(fleet, revision)];
		},
	},
	{
		name: 'lose-leader-folder',
		async run({fleet}) {
			await applyMany(fleet);
			const leader = await fleet.controlLeader();
			const revision = await applyChange(fleet, 'before');
			await loseFolder(fleet, leader);
			const kept = await expectChange(fleet, 'before');
			await waitForVoter(fleet, leader);
			return [...kept, ...await laggingProcesses(fleet, revision)];
		},
	},
	{
		name: 'truncate-voter-log',
		async run({fleet}) {
			await applyMany(fleet);
			const [first] = await followers(fleet);
			const revision = await applyChange(fleet, 'before');
			await fleet.signal(first, 'SIGKILL');
			const log = join(fleet.dataFolder(first), 'log');
			truncateSync(log, statSync(log).size - tornBytes);
			fleet.restart(first);
			return [...await expectChange(fleet, 'before'), ...await laggingProcesses(fleet, revision)];
		},
	},
];
