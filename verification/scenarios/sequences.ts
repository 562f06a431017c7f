import {type Scenario} from '../scenario.js';
import {waitForValue} from '../tested-fleet.js';
import {killScenarios} from './kill-process.js';
import {plannedPromotionScenario, plannedStopScenarios} from './planned-stop.js';

/** Returns a scenario that runs others one after the other on one deployment, with a repair after each. */
function createSequence(name: string, scenarios: readonly Scenario[]): Scenario {
	return {
		name,
		async run(context) {
			const problems: string[] = [];
			for (const scenario of scenarios) {
				problems.push(...await scenario.run(context));
				await context.fleet.repair();
				await waitForValue('a pool that owns the database after the repair', async () => await context.fleet.owningPool() === '' ? undefined : true);
			}

			return problems;
		},
	};
}

/** Kills the primary, the owning pool and an entry in turn. */
export const killSequence = createSequence('kills-in-sequence', killScenarios.filter(({name}) => name !== 'kill-control-leader'));

/** Stops an entry, the owning pool, a replica and the primary in turn, then promotes members as planned changes. */
export const plannedSequence = createSequence('planned-stops-in-sequence', [...plannedStopScenarios, plannedPromotionScenario]);
