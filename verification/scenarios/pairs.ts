import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario, type ScenarioContext} from '../scenario.js';
import {delay} from '../verified-fleet.js';
import {acceptedRevision, applyChange, laggingProcesses} from './changes.js';
import {targets} from './kill-process.js';

const absence: Milliseconds = 3000;
const freezeTime: Milliseconds = 4000;

type Failure = (context: ScenarioContext) => Promise<void>;

const kill = (target: keyof typeof targets): Failure => async ({fleet}) => fleet.killAndRestart(await targets[target](fleet), absence);
const freeze = (target: keyof typeof targets): Failure => async ({fleet}) => fleet.freeze(await targets[target](fleet), freezeTime);

const cutPrimary: Failure = async ({fleet}) => {
	const relay = fleet.relays.get(await fleet.primary())!;
	relay.dropTraffic();
	await delay(freezeTime);
	await relay.heal();
};

const loseMajority: Failure = async ({fleet}) => {
	const [first, second] = fleet.processes.memberAddresses.keys();
	await Promise.all([first, second].map(async name => fleet.killAndRestart(name, absence)));
};

const change: Failure = async ({fleet}) => {
	await applyChange(fleet, 'during-failure');
};

const pairs: ReadonlyArray<readonly [name: string, first: Failure, second: Failure]> = [
	['kill-primary+kill-pool', kill('primary'), kill('pool')],
	['kill-primary+kill-entry', kill('primary'), kill('entry')],
	['kill-pool+kill-entry', kill('pool'), kill('entry')],
	['cut-primary+freeze-pool', cutPrimary, freeze('pool')],
	['freeze-primary+kill-pool', freeze('primary'), kill('pool')],
	['freeze-pool+kill-primary', freeze('pool'), kill('primary')],
	['kill-control-leader+change', kill('control-leader'), change],
	['lose-member-majority+freeze-entry', loseMajority, freeze('entry')],
];

/** Two failures at the same moment. */
export const pairScenarios: readonly Scenario[] = pairs.map(([name, first, second]) => ({
	name,
	async run(context) {
		await Promise.all([first(context), second(context)]);
		return second === change ? laggingProcesses(context.fleet, await acceptedRevision(context.fleet)) : [];
	},
}));
