import {type Milliseconds} from '../../source/clock/clock.js';
import {type RelayDirection} from '../../stand-in/fault-injecting-relay.js';
import {type Scenario} from '../scenario.js';
import {delay} from '../tested-fleet.js';

const cutDuration: Milliseconds = 5000;
const briefCutDuration: Milliseconds = 2000;

const cutDirections: ReadonlyArray<readonly [name: string, directions: readonly RelayDirection[]]> = [
	['both-ways', ['toServer', 'toClient']],
	['to-primary', ['toServer']],
	['from-primary', ['toClient']],
];

/** The relay of the primary drops the traffic of the primary in one or both directions. The old primary comes back afterwards. */
export const cutPrimaryScenarios: readonly Scenario[] = [
	...cutDirections.map(([name, directions]): Scenario => ({
		name: `cut-primary-${name}`,
		async run({fleet}) {
			const relay = fleet.relays.get(await fleet.primary())!;
			relay.dropTraffic(...directions);
			await delay(cutDuration);
			await relay.heal();
			return [];
		},
	})),
	{
		name: 'cut-primary-twice',
		async run({fleet}) {
			for (let round = 0; round < 2; round++) {
				const relay = fleet.relays.get(await fleet.primary())!;
				relay.dropTraffic();
				await delay(briefCutDuration);
				await relay.heal();
			}

			return [];
		},
	},
];
