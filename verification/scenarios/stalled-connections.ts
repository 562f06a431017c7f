import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay} from '../tested-fleet.js';

const stallTime: Milliseconds = 4000;

/** Established connections to members stall permanently, while new connections work. */
export const stalledConnectionScenarios: readonly Scenario[] = [
	{
		name: 'silence-primary-connections',
		async run({fleet}) {
			const primary = await fleet.primary();
			fleet.relays.get(primary)!.stallOpenConnections();
			await delay(stallTime);
			return [];
		},
	},
	{
		name: 'silence-all-connections-twice',
		async run({fleet}) {
			for (let round = 0; round < 2; round++) {
				for (const relay of fleet.relays.values()) {
					relay.stallOpenConnections();
				}

				await delay(stallTime);
			}

			return [];
		},
	},
];
