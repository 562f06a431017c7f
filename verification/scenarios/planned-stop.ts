import {type Milliseconds} from '../../source/clock/clock.js';
import {interruptedRequests, type Scenario} from '../scenario.js';
import {eventually, delay, type VerifiedFleet} from '../verified-fleet.js';
import {targets, type Target} from './kill-process.js';

/** Time for the answers to requests that were in progress at the end of the stop. */
const answerTime: Milliseconds = 800;

async function replica(fleet: VerifiedFleet): Promise<string> {
	const primary = await fleet.primary();
	return [...fleet.processes.memberAddresses.keys()].find(name => name !== primary)!;
}

const stops: Readonly<Record<string, Target>> = {
	entry: targets.entry, pool: targets.pool, replica, primary: targets.primary,
};

/** SIGTERM of one process: a graceful shutdown that interrupts no request. */
export const plannedStopScenarios: readonly Scenario[] = Object.entries(stops).map(([name, target]) => ({
	name: `stop-${name}`,
	async run({fleet, history}) {
		await fleet.signal(await target(fleet), 'SIGTERM');
		await delay(answerTime);
		return interruptedRequests(history);
	},
}));

/** An operator makes another member the primary, and then the third one. */
export const plannedPromotionScenario: Scenario = {
	name: 'planned-promotion',
	async run({fleet, history}) {
		const members = [...fleet.processes.memberAddresses.keys()];
		const first = await fleet.primary();
		for (const member of members.filter(name => name !== first)) {
			await fleet.processes.runOperatorCommand(['promote', 'ledger-1', member]);
			await eventually(`${member} as the primary`, async () => await fleet.primary() === member ? true : undefined);
		}

		await delay(answerTime);
		return interruptedRequests(history);
	},
};
