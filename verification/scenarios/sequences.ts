import {type Scenario} from '../scenario.js';
import {eventually} from '../verified-fleet.js';
import {killScenarios} from './kill-process.js';
import {plannedPromotionScenario, plannedStopScenarios} from './planned-stop.js';

/** Runs scenarios one after the other on one deployment, each after the repair of the one before. */
function sequence(name: string, steps: readonly Scenario[]): Scenario {
	return {
		name,
		async run(context) {
			const faults: string[] = [];
			for (const step of steps) {
				faults.push(...await step.run(context));
				await context.fleet.repair();
				await eventually('an owner after the repair', async () => await context.fleet.owner() === '' ? undefined : true);
			}

			return faults;
		},
	};
}

/** Kills of the primary, the owning pool and an entry. */
export const killSequence = sequence('kills-in-sequence', killScenarios.filter(({name}) => name !== 'kill-control-leader'));

/** Planned stops of an entry, the owning pool and each kind of member, and a planned promotion. */
export const plannedSequence = sequence('planned-stops-in-sequence', [...plannedStopScenarios, plannedPromotionScenario]);
