import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario, type ScenarioContext} from '../scenario.js';
import {delay} from '../tested-fleet.js';
import {acceptedRevision, applyChange, checkRevisionReached} from './configuration-changes.js';
import {failureTargets} from './kill-process.js';

const downtime: Milliseconds = 3000;
const failureDuration: Milliseconds = 4000;

type Failure = (context: ScenarioContext) => Promise<void>;

const kill = (target: keyof typeof failureTargets): Failure => async ({fleet}) => fleet.killAndRestart(await failureTargets[target](fleet), downtime);
const freeze = (target: keyof typeof failureTargets): Failure => async ({fleet}) => fleet.freeze(await failureTargets[target](fleet), failureDuration);

const cutPrimary: Failure = async ({fleet}) => {
	const relay = fleet.relays.get(await fleet.primary())!;
	relay.dropTraffic();
	await delay(failureDuration);
	await relay.heal();
};

const killMajority: Failure = async ({fleet}) => {
	const [first, second] = fleet.processes.memberAddresses.keys();
	await Promise.all([first, second].map(async name => fleet.killAndRestart(name, downtime)));
};

const applyChangeDuringFailure: Failure = async ({fleet}) => {
	await applyChange(fleet, 'during-failure');
};

const failurePairs: ReadonlyArray<readonly [name: string, first: Failure, second: Failure]> = [
	['kill-primary+kill-pool', kill('primary'), kill('pool')],
	['kill-primary+kill-entry', kill('primary'), kill('entry')],
	['kill-pool+kill-entry', kill('pool'), kill('entry')],
	['cut-primary+freeze-pool', cutPrimary, freeze('pool')],
	['freeze-primary+kill-pool', freeze('primary'), kill('pool')],
	['freeze-pool+kill-primary', freeze('pool'), kill('primary')],
	['kill-control-leader+change', kill('control-leader'), applyChangeDuringFailure],
	['lose-member-majority+freeze-entry', killMajority, freeze('entry')],
];

/** Two failures are injected at the same time. */
export const simultaneousFailureScenarios: readonly Scenario[] = failurePairs.map(([name, first, second]) => ({
	name,
	async run(context) {
		await Promise.all([first(context), second(context)]);
		return second === applyChangeDuringFailure ? checkRevisionReached(context.fleet, await acceptedRevision(context.fleet)) : [];
	},
}));
