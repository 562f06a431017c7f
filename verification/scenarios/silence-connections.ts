import {type Milliseconds} from '../../source/clock/clock.js';
import {type Scenario} from '../scenario.js';
import {delay} from '../verified-fleet.js';

const silenceTime: Milliseconds = 4000;

/** Established connections never answer again while new ones work. */
export const silenceScenarios: readonly Scenario[] = [
	{
		name: 'silence-primary-connections',
		async run({fleet}) {
			const primary = await fleet.primary();
			fleet.relays.get(primary)!.stallOpenConnections();
			await delay(silenceTime);
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

				await delay(silenceTime);
			}

			return [];
		},
	},
];
