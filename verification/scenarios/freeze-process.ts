import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay} from '../tested-fleet.js';
import {failureTargets} from './kill-process.js';

/** Longer than every timeout of the deployment. */
const freezeTime: Milliseconds = 8000;
const timeBetweenFreezes: Milliseconds = 1000;
const shortFreezeTime: Milliseconds = 3000;

/** One process is suspended with SIGSTOP and resumed later, when it may still rely on leases that have expired in the meantime. */
export const freezeScenarios: readonly Scenario[] = Object.entries(failureTargets).flatMap(([name, target]) => [
	{
		name: `freeze-${name}`,
		async run({fleet}) {
			await fleet.freeze(await target(fleet), freezeTime);
			return [];
		},
	},
	{
		name: `freeze-${name}-twice`,
		async run({fleet}) {
			await fleet.freeze(await target(fleet), shortFreezeTime);
			await delay(timeBetweenFreezes);
			await fleet.freeze(await target(fleet), shortFreezeTime);
			return [];
		},
	},
]);
