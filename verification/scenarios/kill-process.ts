import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay, type TestedFleet} from '../tested-fleet.js';

/** Time until a killed process restarts; longer than a promotion and the expiry of a lease. */
const downtime: Milliseconds = 3000;

/** Returns the name of the process that a failure affects. */
export type FailureTarget = (fleet: TestedFleet) => Promise<string>;

/** Processes with a particular role, by the name that scenarios use for them. */
export const failureTargets: Readonly<Record<'primary' | 'pool' | 'entry' | 'control-leader', FailureTarget>> = {
	primary: async fleet => fleet.primary(),
	pool: async fleet => fleet.owningPool(),
	entry: async () => 'entry-2',
	'control-leader': async fleet => fleet.controlLeader(),
};

/** One process is killed with SIGKILL and restarts later. */
export const killScenarios: readonly Scenario[] = Object.entries(failureTargets).map(([name, target]) => ({
	name: `kill-${name}`,
	async run({fleet}) {
		await fleet.killAndRestart(await target(fleet), downtime);
		return [];
	},
}));

/** The process in a role is killed twice, the second time soon after the first one has restarted. */
export const killTwiceScenarios: readonly Scenario[] = Object.entries(failureTargets).map(([name, target]) => ({
	name: `kill-${name}-twice`,
	async run({fleet}) {
		await fleet.killAndRestart(await target(fleet), downtime);
		await delay(downtime / 2);
		await fleet.killAndRestart(await target(fleet), downtime);
		return [];
	},
}));
