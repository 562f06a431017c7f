import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay, type VerifiedFleet} from '../verified-fleet.js';

/** Time that a killed process stays away; longer than a promotion and the expiry of a lease. */
const absence: Milliseconds = 3000;

/** Returns the name of the process that a failure hits. */
export type Target = (fleet: VerifiedFleet) => Promise<string>;

/** Processes with a special part, by the name that scenarios use. */
export const targets: Readonly<Record<'primary' | 'pool' | 'entry' | 'control-leader', Target>> = {
	primary: async fleet => fleet.primary(),
	pool: async fleet => fleet.owner(),
	entry: async () => 'entry-2',
	'control-leader': async fleet => fleet.controlLeader(),
};

/** SIGKILL of one process, which comes back later. */
export const killScenarios: readonly Scenario[] = Object.entries(targets).map(([name, target]) => ({
	name: `kill-${name}`,
	async run({fleet}) {
		await fleet.killAndRestart(await target(fleet), absence);
		return [];
	},
}));

/** The same failure twice, the second time soon after the process that was hit first is back. */
export const killTwiceScenarios: readonly Scenario[] = Object.entries(targets).map(([name, target]) => ({
	name: `kill-${name}-twice`,
	async run({fleet}) {
		await fleet.killAndRestart(await target(fleet), absence);
		await delay(absence / 2);
		await fleet.killAndRestart(await target(fleet), absence);
		return [];
	},
}));
