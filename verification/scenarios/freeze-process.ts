import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay} from '../verified-fleet.js';
import {targets} from './kill-process.js';

/** Time that a process is stopped; longer than every timeout of the deployment. */
const freezeTime: Milliseconds = 8000;
const betweenFreezes: Milliseconds = 1000;
const secondFreezeTime: Milliseconds = 3000;

/** SIGSTOP of one process, which goes on later without a notion of the time that passed. */
export const freezeScenarios: readonly Scenario[] = Object.entries(targets).flatMap(([name, target]) => [
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
			await fleet.freeze(await target(fleet), secondFreezeTime);
			await delay(betweenFreezes);
			await fleet.freeze(await target(fleet), secondFreezeTime);
			return [];
		},
	},
]);
