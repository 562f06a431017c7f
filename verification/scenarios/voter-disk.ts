import {rmSync, statSync, truncateSync} from 'node:fs';
import {join} from 'node:path';
import {type Scenario} from '../scenario.js';
import {waitForValue, type TestedFleet} from '../tested-fleet.js';
import {acceptedBase, applyChange, checkRevisionReached} from './configuration-changes.js';

const initialChangeCount = 20;
/** Bytes removed from the end of the log, so that it ends with an incomplete entry. */
const truncatedByteCount = 7;

async function controlFollowers(fleet: TestedFleet): Promise<readonly string[]> {
	const leader = await fleet.controlLeader();
	return ['control-1', 'control-2', 'control-3'].filter(name => name !== leader);
}

async function loseDataFolder(fleet: TestedFleet, name: string): Promise<void> {
	await fleet.sendSignal(name, 'SIGKILL');
	rmSync(fleet.dataFolder(name), {recursive: true});
	fleet.restart(name);
}

/** Waits until the leader's voter list contains a control instance with its new disk. */
async function waitForVoter(fleet: TestedFleet, name: string): Promise<void> {
	await waitForValue(`${name} as a voter with its new disk`, async () => {
		const results = await fleet.controlClient.status();
		const own = results.find(({status}) => status?.name === name)?.status;
		const leader = results.find(({status}) => status?.role === 'leader' && status.leaseLive)?.status;
		return own?.role === 'follower' && leader?.voters.length === 3 && leader.voters.some(voter => voter.name === name && voter.diskId === own.diskId) ? true : undefined;
	});
}

async function checkLastChange(fleet: TestedFleet, text: string): Promise<readonly string[]> {
	const base = await acceptedBase(fleet);
	return base.endsWith(`# change ${text}\n`) ? [] : [`change ${text} was accepted; the accepted file ends with ${base.slice(-20)}`];
}

async function applyInitialChanges(fleet: TestedFleet): Promise<void> {
	for (let change = 0; change < initialChangeCount; change++) {
		await applyChange(fleet, String(change));
	}
}

/** Control voters lose their data folder or part of their log; no accepted change may be lost. */
export const voterDiskScenarios: readonly Scenario[] = [
	{
		name: 'lose-voter-folder-then-second',
		async run({fleet}) {
			await applyInitialChanges(fleet);
			const [first, second] = await controlFollowers(fleet);
			await loseDataFolder(fleet, first);
			await waitForVoter(fleet, first);
			const revision = await applyChange(fleet, 'between');
			await loseDataFolder(fleet, second);
			const lostChangeProblems = await checkLastChange(fleet, 'between');
			await waitForVoter(fleet, second);
			return [...lostChangeProblems, ...await checkRevisionReached(fleet, revision)];
		},
	},
	{
		name: 'lose-leader-folder',
		async run({fleet}) {
			await applyInitialChanges(fleet);
			const leader = await fleet.controlLeader();
			const revision = await applyChange(fleet, 'before');
			await loseDataFolder(fleet, leader);
			const lostChangeProblems = await checkLastChange(fleet, 'before');
			await waitForVoter(fleet, leader);
			return [...lostChangeProblems, ...await checkRevisionReached(fleet, revision)];
		},
	},
	{
		name: 'truncate-voter-log',
		async run({fleet}) {
			await applyInitialChanges(fleet);
			const [first] = await controlFollowers(fleet);
			const revision = await applyChange(fleet, 'before');
			await fleet.sendSignal(first, 'SIGKILL');
			const log = join(fleet.dataFolder(first), 'log');
			truncateSync(log, statSync(log).size - truncatedByteCount);
			fleet.restart(first);
			return [...await checkLastChange(fleet, 'before'), ...await checkRevisionReached(fleet, revision)];
		},
	},
];
